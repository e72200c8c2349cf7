"""What the agent beside a rank keeps and decides about expert maps."""

from functools import singledispatch

from gooseberryyoke.expert.message import (
    Abort,
    Commit,
    Hello,
    MapSegment,
    Promise,
    RankReport,
    Restore,
    Retire,
    Stage,
    StagedMap,
)
from gooseberryyoke.record import Record

__all__ = ["Permit", "RankMapState"]

_NO_FENCE = -1


class Permit(Record):
    """
    Leave for a rank to run more steps.

    Parameters
    ----------
    segments : tuple of MapSegment
        Maps by first step, for the steps that the engine had no permit for. They
        replace what it holds from the first of these steps on.
    until_step : int
        First step that is not permitted.
    """

    __slots__ = ("segments", "until_step")

    def __init__(self, segments, until_step):
        self.segments = tuple(segments)
        self.until_step = until_step


class RankMapState(Record):
    """
    State of the maps of one rank, an immutable value.

    Parameters
    ----------
    rank : int
    incarnation : object
        Name of this life of the agent, unlike that of every earlier life.
    fence : int
        Highest fencing number seen in this life.
    before, present : MapSegment or None
        Maps in force; ``present`` is None until the agent was restored.
    staged : StagedMap or None
    closed : int
        Highest number that was given up.
    next_step : int
        First step that the rank has not entered.
    until_step : int
        First step that the rank was not permitted.
    loaded : frozenset of str
        Digests of the maps whose weights the engine holds.
    observed : bool
        Whether the engine has been heard in this life.

    Notes
    -----
    The rank asks for permits (`permit`) some seconds ahead and runs no step
    that it wasn't permitted. An agent that knows no map permits nothing, which
    holds the whole group, as no other rank can finish a step without this one.
    """

    __slots__ = (
        "rank",
        "incarnation",
        "fence",
        "before",
        "present",
        "staged",
        "closed",
        "next_step",
        "until_step",
        "loaded",
        "observed",
    )

    def __init__(
        self,
        rank,
        incarnation,
        fence=_NO_FENCE,
        before=None,
        present=None,
        staged=None,
        closed=0,
        next_step=0,
        until_step=0,
        loaded=frozenset(),
        observed=False,
    ):
        self.rank = rank
        self.incarnation = incarnation
        self.fence = fence
        self.before = before
        self.present = present
        self.staged = staged
        self.closed = closed
        self.next_step = next_step
        self.until_step = until_step
        self.loaded = frozenset(loaded)
        self.observed = observed

    def receive(self, message):
        """
        Take a driver's message.

        Parameters
        ----------
        message : Hello, Restore, Stage, Promise, Commit, Abort or Retire

        Returns
        -------
        RankMapState
            The state afterwards.
        RankReport
            The answer; ``refused`` tells why nothing changed.
        """
        # A frozen driver that wakes up would change maps behind the back of its
        # successor. Its number is lower, and the successor has shown this agent
        # a higher one before it acted, so the comparison stops all of it,
        # whether or not the engine compares numbers itself.
        if message.fence < self.fence:
            return self, self.report("fence")
        # An agent that lost its memory has forgotten that highest number, and
        # would take an old message. An old message names an earlier life.
        incarnation = getattr(message, "incarnation", self.incarnation)
        if incarnation != self.incarnation:
            return self, self.report("incarnation")
        seen = self.replace(fence=message.fence)
        refusal_or_state = _apply(message, seen)
        if isinstance(refusal_or_state, str):
            return seen, seen.report(refusal_or_state)
        return refusal_or_state, refusal_or_state.report()

    def report(self, refused=None):
        """
        Describe the state to a driver.

        Parameters
        ----------
        refused : str, optional
            Why the message that is answered was refused.

        Returns
        -------
        RankReport
        """
        return RankReport(
            rank=self.rank,
            incarnation=self.incarnation,
            fence=self.fence,
            before=self.before,
            present=self.present,
            staged=self.staged,
            closed=self.closed,
            ready=self.staged is not None and self.staged.digest in self.loaded,
            next_step=self.next_step,
            until_step=self.until_step,
            refused=refused,
        )

    def observe(self, next_step, until_step, loaded):
        """
        Take what the engine says of itself.

        Parameters
        ----------
        next_step : int
            First step that it has not entered.
        until_step : int
            First step that it was not permitted, also by an earlier life of
            this agent.
        loaded : iterable of str
            Digests of the maps whose weights it holds.

        Returns
        -------
        RankMapState
        """
        return self.replace(
            next_step=max(self.next_step, next_step),
            until_step=max(self.until_step, until_step),
            loaded=frozenset(loaded),
            observed=True,
        )

    def permit(self, window_steps, held_step):
        """
        Permit further steps.

        Parameters
        ----------
        window_steps : int
            How far ahead of the next step the permit reaches.
        held_step : int
            First step that the engine holds no permit for, as it says itself.

        Returns
        -------
        RankMapState
            The state afterwards; send the permit only once it is kept.
        Permit
        """
        if self.present is None:
            return self, Permit((), held_step)
        end = max(self.until_step, self._limit(self.next_step + window_steps))
        # The answer to an earlier request may have been lost. Told only what is
        # new, the engine would run the steps in between, and a switch among
        # them, on the last map that it has heard of.
        segments = self._segments(min(held_step, self.until_step), end)
        return self.replace(until_step=end), Permit(segments, end)

    def _limit(self, wanted_step):
        limit = wanted_step
        # Between the promise and the decision nobody here knows whether the
        # steps from hold_step on belong to the old or the new map. Running on
        # would put two maps into one step if the decision was to switch.
        if self.staged is not None and self.staged.hold_step is not None:
            limit = min(limit, self.staged.hold_step)
        if self.present.digest not in self.loaded:
            limit = min(limit, self.present.step)
        if self.before is not None and self.before.digest not in self.loaded:
            limit = limit if self.until_step >= self.present.step else self.until_step
        return limit

    def _segments(self, start, end):
        if start >= end:
            return ()
        if self.before is None or start >= self.present.step:
            return (self.present.replace(step=start),)
        first = self.before.replace(step=start)
        return (first, self.present) if end > self.present.step else (first,)


@singledispatch
def _apply(message, state):
    raise TypeError(f"{message!r}: expected a message of expert.message")


@_apply.register
def _(message: Hello, state):
    return state


@_apply.register
def _(message: Restore, state):
    if state.present is not None:
        return state
    return state.replace(before=message.before, present=message.present)


@_apply.register
def _(message: Stage, state):
    if state.present is None:
        return "unknown"
    if state.present.number != message.base or message.number <= state.closed:
        return "number"
    if state.before is not None:
        return "unretired"
    if state.staged is not None and state.staged.number >= message.number:
        return state if state.staged.number == message.number else "number"
    return state.replace(staged=StagedMap(message.number, message.digest))


@_apply.register
def _(message: Promise, state):
    staged = state.staged
    if staged is None or staged.number != message.number:
        return "number"
    if staged.digest not in state.loaded:
        return "loading"
    # An earlier life may have permitted steps that this one knows nothing of
    # until the engine tells; a promise before that could be for one of them.
    if not state.observed:
        return "unobserved"
    # A step that is already permitted runs on the old map. Promising it away
    # afterwards would be a lie, and the driver must name a later step.
    held_step = staged.hold_step or 0
    if message.hold_step < max(state.until_step, held_step, state.present.step + 1):
        return "late"
    return state.replace(staged=staged.replace(hold_step=message.hold_step))


@_apply.register
def _(message: Commit, state):
    if state.present is None:
        return "unknown"
    if state.present.number == message.number:
        return state
    staged = state.staged
    if staged is None or (staged.number, staged.hold_step) != (
        message.number,
        message.step,
    ):
        return "number"
    return state.replace(
        before=state.present,
        present=MapSegment(staged.number, staged.digest, message.step),
        staged=None,
    )


@_apply.register
def _(message: Abort, state):
    # A late Stage or Promise of the change given up would hold the group at
    # its step for good; the closed number refuses both.
    staged = state.staged
    if staged is not None and staged.number <= message.number:
        staged = None
    return state.replace(staged=staged, closed=max(state.closed, message.number))


@_apply.register
def _(message: Retire, state):
    if state.present is None or state.present.number != message.number:
        return "number"
    if state.next_step <= state.present.step:
        return "late"
    return state.replace(before=None)
