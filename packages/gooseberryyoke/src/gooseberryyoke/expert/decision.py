"""Durable record of a group's map, and the events and effects of its driver."""

from gooseberryyoke.record import Record

__all__ = ["MapRecord", "ReadRecord", "RecordSeen", "Send", "WriteRecord"]


class MapRecord(Record):
    """
    Content of the durable register of a group.

    Parameters
    ----------
    present : MapSegment
        Map of the last decision, with its first step.
    before : MapSegment or None
        Map of the decision before.
    fence : int
        Fencing number of the driver in charge.
    opened : int
        Highest map number assigned to a change.
    """

    __slots__ = ("present", "before", "fence", "opened")

    def __init__(self, present, before=None, fence=0, opened=None):
        self.present = present
        self.before = before
        self.fence = fence
        self.opened = present.number if opened is None else opened


class ReadRecord(Record):
    """
    Effect that reads the register, at the time of the request or later.

    Parameters
    ----------
    tag : object
        Returned in `RecordSeen`.
    """

    __slots__ = ("tag",)

    def __init__(self, tag=None):
        self.tag = tag


class WriteRecord(Record):
    """
    Effect that writes the register if it still has the given version.

    Parameters
    ----------
    version : int
        Version that the write replaces.
    record : MapRecord
        New content.
    """

    __slots__ = ("version", "record")

    def __init__(self, version, record):
        self.version = version
        self.record = record


class RecordSeen(Record):
    """
    Event with the content of the register after a read or an attempted write.

    Parameters
    ----------
    version : int
        Version of the register, which rises with every write.
    record : MapRecord
        Content of the register.
    tag : object
        Tag of the read that is answered.
    """

    __slots__ = ("version", "record", "tag")

    def __init__(self, version, record, tag=None):
        self.version = version
        self.record = record
        self.tag = tag


class Send(Record):
    """
    Effect that sends a message to the agent of a rank.

    Parameters
    ----------
    rank : int
    message : Hello, Restore, Stage, Promise, Commit, Abort or Retire
    """

    __slots__ = ("rank", "message")

    def __init__(self, rank, message):
        self.rank = rank
        self.message = message
