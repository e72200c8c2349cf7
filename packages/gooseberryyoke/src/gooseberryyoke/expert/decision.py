"""The durable record of a group's map, and the events and effects around it."""

from gooseberryyoke.record import Record

__all__ = ["MapRecord", "ReadRecord", "RecordSeen", "Send", "WriteRecord"]


class MapRecord(Record):
    """
    What the durable register of a group holds.

    Parameters
    ----------
    present : MapSegment
        Map decided last, with its first step.
    before : MapSegment or None
        Map decided before it.
    fence : int
        Fencing number of the driver in charge.
    opened : int
        Highest map number given to a change.
    """

    __slots__ = ("present", "before", "fence", "opened")

    def __init__(self, present, before=None, fence=0, opened=None):
        self.present = present
        self.before = before
        self.fence = fence
        self.opened = present.number if opened is None else opened


class ReadRecord(Record):
    """
    Effect: read the register, at or after the time of asking.

    Parameters
    ----------
    tag : object
        Comes back in `RecordSeen`.
    """

    __slots__ = ("tag",)

    def __init__(self, tag=None):
        self.tag = tag


class WriteRecord(Record):
    """
    Effect: write the register if it still has the version that is named.

    Parameters
    ----------
    version : int
        Version that the write replaces.
    record : MapRecord
    """

    __slots__ = ("version", "record")

    def __init__(self, version, record):
        self.version = version
        self.record = record


class RecordSeen(Record):
    """
    Event: what the register holds after a read or an attempt to write.

    Parameters
    ----------
    version : int
        Rises with every write.
    record : MapRecord
    tag : object
        Tag of the read that this answers.
    """

    __slots__ = ("version", "record", "tag")

    def __init__(self, version, record, tag=None):
        self.version = version
        self.record = record
        self.tag = tag


class Send(Record):
    """
    Effect: send a message to the agent of a rank.

    Parameters
    ----------
    rank : int
    message : Hello, Restore, Stage, Promise, Commit, Abort or Retire
    """

    __slots__ = ("rank", "message")

    def __init__(self, rank, message):
        self.rank = rank
        self.message = message
