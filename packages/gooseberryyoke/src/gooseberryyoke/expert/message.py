"""Messages between the driver of a map change and the agents beside the ranks."""

from gooseberryyoke.record import Record

__all__ = [
    "Abort",
    "Commit",
    "Hello",
    "MapSegment",
    "Promise",
    "RankReport",
    "Restore",
    "Retire",
    "Stage",
    "StagedMap",
]


class MapSegment(Record):
    """
    A map and the first step that runs on it.

    Parameters
    ----------
    number : int
        Number of the map, unique within a group.
    digest : str
        Digest of the map's content.
    step : int
        First step on this map.
    """

    __slots__ = ("number", "digest", "step")

    def __init__(self, number, digest, step):
        self.number = number
        self.digest = digest
        self.step = step


class StagedMap(Record):
    """
    A map that a rank is loading or has loaded and doesn't use yet.

    Parameters
    ----------
    number : int
        Number of the map.
    digest : str
        Digest of the map's content.
    hold_step : int, optional
        The rank's promise: no step from this one on is permitted before the
        decision is known. None if no promise was given.
    """

    __slots__ = ("number", "digest", "hold_step")

    def __init__(self, number, digest, hold_step=None):
        self.number = number
        self.digest = digest
        self.hold_step = hold_step


class _Fenced(Record):
    """
    Base class of the messages of a driver.

    Parameters
    ----------
    fence : int
        Fencing number of the driver.
    """

    __slots__ = ("fence",)


class _IncarnationBound(_Fenced):
    """
    Base class of the messages that change a rank's maps.

    Parameters
    ----------
    incarnation : object
        Incarnation of the agent in its last report; an agent of another incarnation
        refuses the message.
    """

    __slots__ = ("incarnation",)


class Hello(_Fenced):
    """Request for a report; the agent then refuses lower fencing numbers."""

    __slots__ = ()

    def __init__(self, fence):
        self.fence = fence


class Restore(_IncarnationBound):
    """
    Order to restore the maps in force, for an agent that has lost its state.

    Parameters
    ----------
    before : MapSegment or None
        Map of the steps before ``present.step``.
    present : MapSegment
        Map from ``present.step`` on.
    """

    __slots__ = ("before", "present")

    def __init__(self, fence, incarnation, before, present):
        self.fence = fence
        self.incarnation = incarnation
        self.before = before
        self.present = present


class Stage(_IncarnationBound):
    """
    Request to load a map in addition to the present one.

    Parameters
    ----------
    base : int
        Number of the map that the rank must be using.
    number : int
        Number of the map to load.
    digest : str
        Digest of the map to load.
    """

    __slots__ = ("base", "number", "digest")

    def __init__(self, fence, incarnation, base, number, digest):
        self.fence = fence
        self.incarnation = incarnation
        self.base = base
        self.number = number
        self.digest = digest


class Promise(_IncarnationBound):
    """Request for a promise to permit no step from ``hold_step`` on."""

    __slots__ = ("number", "hold_step")

    def __init__(self, fence, incarnation, number, hold_step):
        self.fence = fence
        self.incarnation = incarnation
        self.number = number
        self.hold_step = hold_step


class Commit(_IncarnationBound):
    """Announcement of the decision to use map ``number`` from ``step`` on."""

    __slots__ = ("number", "step")

    def __init__(self, fence, incarnation, number, step):
        self.fence = fence
        self.incarnation = incarnation
        self.number = number
        self.step = step


class Abort(_IncarnationBound):
    """Order to abort the changes to maps up to ``number``; cancels the promise."""

    __slots__ = ("number",)

    def __init__(self, fence, incarnation, number):
        self.fence = fence
        self.incarnation = incarnation
        self.number = number


class Retire(_IncarnationBound):
    """Order to remove the map before ``number``, once the rank is past the switch."""

    __slots__ = ("number",)

    def __init__(self, fence, incarnation, number):
        self.fence = fence
        self.incarnation = incarnation
        self.number = number


class RankReport(Record):
    """
    State of one rank, sent in answer to every message.

    Parameters
    ----------
    rank : int
    incarnation : object
        Incarnation of the agent; a restart without its state begins another one.
    fence : int
        Highest fencing number received in this incarnation, -1 for none.
    before, present : MapSegment or None
        Maps in force; ``present`` is None in an agent that was not restored.
    staged : StagedMap or None
        Map that is loading or loaded and not in use.
    closed : int
        Highest number of an aborted change.
    ready : bool
        Whether the weights of the staged map are loaded.
    next_step : int
        First step that the rank has not begun.
    until_step : int
        First step that the rank was not permitted to run.
    refused : str, optional
        Why the message was refused: ``fence``, ``incarnation``, ``unknown``,
        ``number``, ``unretired``, ``loading``, ``unobserved``, ``late``.
    """

    __slots__ = (
        "rank",
        "incarnation",
        "fence",
        "before",
        "present",
        "staged",
        "closed",
        "ready",
        "next_step",
        "until_step",
        "refused",
    )

    def __init__(
        self,
        rank,
        incarnation,
        fence,
        before,
        present,
        staged,
        closed,
        ready,
        next_step,
        until_step,
        refused=None,
    ):
        self.rank = rank
        self.incarnation = incarnation
        self.fence = fence
        self.before = before
        self.present = present
        self.staged = staged
        self.closed = closed
        self.ready = ready
        self.next_step = next_step
        self.until_step = until_step
        self.refused = refused
