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
        Number of the map, never used twice in a group.
    digest : str
        Digest of its content.
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
    A map being loaded or loaded on a rank, not yet in use.

    Parameters
    ----------
    number : int
    digest : str
    hold_step : int, optional
        The rank's promise: no step from this one on is permitted before the
        decision is known. None while no promise was asked for.
    """

    __slots__ = ("number", "digest", "hold_step")

    def __init__(self, number, digest, hold_step=None):
        self.number = number
        self.digest = digest
        self.hold_step = hold_step


class _Fenced(Record):
    """
    Base of what a driver sends.

    Parameters
    ----------
    fence : int
        Fencing number of the driver.
    """

    __slots__ = ("fence",)


class _Addressed(_Fenced):
    """
    Base of what changes a rank's maps.

    Parameters
    ----------
    incarnation : object
        Life of the agent that the driver has read; another life refuses.
    """

    __slots__ = ("incarnation",)


class Hello(_Fenced):
    """Ask for a report; from now on lower fencing numbers are refused."""

    __slots__ = ()

    def __init__(self, fence):
        self.fence = fence


class Restore(_Addressed):
    """
    Tell an agent without memory which maps are in force.

    Parameters
    ----------
    before : MapSegment or None
        Map that steps before ``present.step`` run on.
    present : MapSegment
    """

    __slots__ = ("before", "present")

    def __init__(self, fence, incarnation, before, present):
        self.fence = fence
        self.incarnation = incarnation
        self.before = before
        self.present = present


class Stage(_Addressed):
    """
    Load a map beside the present one.

    Parameters
    ----------
    base : int
        Number of the map that the rank must be on.
    number : int
    digest : str
    """

    __slots__ = ("base", "number", "digest")

    def __init__(self, fence, incarnation, base, number, digest):
        self.fence = fence
        self.incarnation = incarnation
        self.base = base
        self.number = number
        self.digest = digest


class Promise(_Addressed):
    """Ask for the promise to permit no step from ``hold_step`` on."""

    __slots__ = ("number", "hold_step")

    def __init__(self, fence, incarnation, number, hold_step):
        self.fence = fence
        self.incarnation = incarnation
        self.number = number
        self.hold_step = hold_step


class Commit(_Addressed):
    """Tell the decision: map ``number`` from ``step`` on."""

    __slots__ = ("number", "step")

    def __init__(self, fence, incarnation, number, step):
        self.fence = fence
        self.incarnation = incarnation
        self.number = number
        self.step = step


class Abort(_Addressed):
    """Give up map ``number`` and all staged before it; releases the promise."""

    __slots__ = ("number",)

    def __init__(self, fence, incarnation, number):
        self.fence = fence
        self.incarnation = incarnation
        self.number = number


class Retire(_Addressed):
    """Drop the map before ``number`` once the rank has run past the switch."""

    __slots__ = ("number",)

    def __init__(self, fence, incarnation, number):
        self.fence = fence
        self.incarnation = incarnation
        self.number = number


class RankReport(Record):
    """
    State of one rank, the answer to every message.

    Parameters
    ----------
    rank : int
    incarnation : object
        Life of the agent; a restart without memory starts another.
    fence : int
        Highest fencing number seen in this life, -1 for none.
    before, present : MapSegment or None
        Maps in force; ``present`` is None in an agent that was not restored.
    staged : StagedMap or None
    closed : int
        Highest number that was given up.
    ready : bool
        Whether the weights of the staged map are loaded.
    next_step : int
        First step that the rank has not entered.
    until_step : int
        First step that the rank was not permitted.
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
