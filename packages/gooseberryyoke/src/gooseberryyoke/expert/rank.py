"""State of the expert maps in the agent beside a rank, and its decisions on them."""

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
    Permission for a rank to run further steps.

    Parameters
    ----------
    segments : tuple of MapSegment
        Maps by first step, for the steps that the engine had no permit for. They
        replace the engine's segments from the first of these steps on.
    until_step : int
        First step that is not permitted.
    """

    __slots__ = ("segments", "until_step")

    def __init__(self, segments, until_step):
        self.segments = tuple(segments)
        self.until_step = until_step


class RankMapState(Record):
    """
    Immutable state of the maps of one rank.

    Parameters
    ----------
    rank : int
    incarnation : object
        Identifier of this incarnation of the agent, different from all earlier ones.
    fence : int
        Highest fencing number received in this incarnation.
    before, present : MapSegment or None
        Maps in force; ``present`` is None until the agent is restored.
    staged : StagedMap or None
        Map that is loading or loaded and not in use.
    closed : int
        Highest number of an aborted change.
    next_step : int
        First step that the rank has not begun.
    until_step : int
        First step that the rank was not permitted to run.
    loaded : frozenset of str
        Digests of the maps whose weights the engine has loaded.
    observed : bool
        Whether the engine has reported its state in this incarnation.

    Notes
    -----
    The rank requests permits (`permit`) some seconds ahead and runs no step without
    one. An agent that knows no map permits nothing, which holds the whole group, as no
    other rank can finish a step without this one.
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
        Process a message of a driver.

        Parameters
        ----------
        message : Hello, Restore, Stage, Promise, Commit, Abort or Retire

        Returns
        -------
        RankMapState
            The state afterwards.
        RankReport
            The answer; ``refused`` gives the reason if the message was refused.
        """
        # A driver that resumes after a pause could change maps without its successor
        # knowing. The successor has sent this agent a higher fencing number before
        # it acted, so this comparison refuses all messages of the old driver,
        # whether or not the engine compares fencing numbers itself.
        if message.fence < self.fence:
            return self, self.report("fence")
        # An agent that has lost its state doesn't know the highest fencing number
        # and would accept an old message. An old message has the incarnation of an
        # earlier agent.
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
        Create a report of the state for a driver.

        Parameters
        ----------
        refused : str, optional
            Reason for which the answered message was refused.

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
        Update the state from a report of the engine.

        Parameters
        ----------
        next_step : int
            First step that the engine has not begun.
        until_step : int
            First step that the engine was not permitted to run, also by earlier
            incarnations of this agent.
        loaded : iterable of str
            Digests of the maps whose weights the engine has loaded.

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

    def permit(self, window_steps, engine_until_step):
        """
        Permit further steps.

        Parameters
        ----------
        window_steps : int
            Number of steps from the next step on that are to be permitted.
        engine_until_step : int
            First step for which the engine has no permit, as it reports itself.

        Returns
        -------
        RankMapState
            The state afterwards; must be stored before the permit is sent.
        Permit
            Permit for the engine.
        """
        if self.present is None:
            return self, Permit((), engine_until_step)
        end = max(self.until_step, self._cap_end_step(self.next_step + window_steps))
        # The answer to an earlier request may have been lost. If only the newest steps
        # were sent, the engine would run the steps in between on the last map that it
        # has received, even if there is a switch among them.
        segments = self._segments(min(engine_until_step, self.until_step), end)
        return self.replace(until_step=end), Permit(segments, end)

    def _cap_end_step(self, wanted_step):
        limit = wanted_step
        # Between the promise and the decision this agent doesn't know whether the
        # steps from hold_step on run on the old or the new map. Running them on the
        # old map would mix two maps in one step if the decision is to switch.
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
    # An earlier incarnation may have permitted steps that are unknown here until the
    # engine reports them. A promise before that report could cover one of these steps.
    if not state.observed:
        return "unobserved"
    # A step that is already permitted runs on the old map, so the promise can't be
    # kept for it. The driver must request a later step.
    promised_step = staged.hold_step or 0
    if message.hold_step < max(state.until_step, promised_step, state.present.step + 1):
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
    # A late Stage or Promise of the aborted change would hold the group at its step
    # for ever. Both are refused because of the closed number.
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
