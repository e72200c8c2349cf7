"""Agents and drivers with one safeguard taken out, to show that it is needed."""

from gooseberryyoke.expert import (
    ChangePhase,
    MapChange,
    Permit,
    Promise,
    RankMapState,
    Restore,
    Send,
)
from gooseberryyoke.expert.tests.rank_group import FIRST

__all__ = ["CARELESS"]


class NoFenceAgent(RankMapState):
    """Takes messages of old drivers."""

    __slots__ = ()

    def receive(self, message):
        return super().receive(message.replace(fence=max(message.fence, self.fence)))


class NoLifeAgent(RankMapState):
    """Takes messages meant for its earlier life."""

    __slots__ = ()

    def receive(self, message):
        if hasattr(message, "incarnation"):
            message = message.replace(incarnation=self.incarnation)
        return super().receive(message)


class NoHoldAgent(RankMapState):
    """Runs on past the step of its promise."""

    __slots__ = ()

    def _limit(self, wanted_step):
        staged = self.staged and self.staged.replace(hold_step=None)
        return RankMapState._limit(self.replace(staged=staged), wanted_step)


class LateAgent(RankMapState):
    """Promises steps away that it has permitted."""

    __slots__ = ()

    def receive(self, message):
        if isinstance(message, Promise):
            unaware = self.replace(until_step=0)
            state, report = RankMapState.receive(unaware, message)
            state = state.replace(until_step=self.until_step)
            return state, report.replace(until_step=self.until_step)
        return super().receive(message)


class ForgettingAgent(RankMapState):
    """Starts again from the first map when it has lost its memory."""

    __slots__ = ()

    def permit(self, window_steps, held_step):
        if self.present is None:
            segments = (FIRST.replace(step=held_step),)
            return self, Permit(segments, self.next_step + window_steps)
        return super().permit(window_steps, held_step)


class NewStepsAgent(RankMapState):
    """Tells only what it has permitted since the last request."""

    __slots__ = ()

    def permit(self, window_steps, held_step):
        return super().permit(window_steps, self.until_step)


class DeafAgent(RankMapState):
    """Promises before it has heard its engine."""

    __slots__ = ()

    def receive(self, message):
        state, report = RankMapState.receive(self.replace(observed=True), message)
        return state.replace(observed=self.observed), report


class NoClaimDriver(MapChange):
    """Leaves the register as it is until its decision."""

    __slots__ = ()

    def record_seen(self, event):
        change = super().record_seen(event)
        if self.phase is ChangePhase.CLAIMING and not change.phase.final:
            phase = ChangePhase.STAGING if self.target else ChangePhase.SETTLING
            number = event.record.opened + 1
            return change.replace(phase=phase, number=number)._advance()
        return change


class HastyAbortDriver(MapChange):
    """Gives up although its decision may be on the way."""

    __slots__ = ()

    def cancel(self):
        if self.phase is ChangePhase.DECIDING:
            return self.replace(phase=ChangePhase.ABORTING)
        return super().cancel()


class HastyRestoreDriver(MapChange):
    """Restores an agent from what it remembers of the register."""

    __slots__ = ()

    def _restoration(self, rank, report):
        record = self.record
        message = Restore(self.fence, report.incarnation, record.before, record.present)
        return Send(rank, message)


class MajorityDriver(MapChange):
    """Decides although a rank has not promised."""

    __slots__ = ()

    def _advance_promises(self):
        if any(map(self._has_promised, self.reports)):
            return self.replace(phase=ChangePhase.DECIDING)
        return super()._advance_promises()


class OldLifeDriver(MapChange):
    """Counts reports of lives that have ended."""

    __slots__ = ()

    def report_seen(self, report):
        return MapChange.report_seen(self.replace(past_lives=frozenset()), report)


CARELESS = {
    "agent takes old fencing numbers": {"agent_class": NoFenceAgent},
    "agent takes messages to an earlier life": {"agent_class": NoLifeAgent},
    "agent breaks its promise": {"agent_class": NoHoldAgent},
    "agent promises permitted steps": {"agent_class": LateAgent},
    "agent tells new steps only": {"agent_class": NewStepsAgent},
    "agent promises unheard": {"agent_class": DeafAgent},
    "agent guesses its map": {"agent_class": ForgettingAgent},
    "driver claims nothing": {"driver_class": NoClaimDriver},
    "driver aborts in doubt": {"driver_class": HastyAbortDriver},
    "driver restores from memory": {"driver_class": HastyRestoreDriver},
    "driver decides without a rank": {"driver_class": MajorityDriver},
    "driver counts ended lives": {"driver_class": OldLifeDriver},
}
