"""The driver of one change of a group's expert map."""

from enum import Enum

from gooseberryyoke.expert.decision import MapRecord, ReadRecord, Send, WriteRecord
from gooseberryyoke.expert.message import (
    Abort,
    Commit,
    Hello,
    MapSegment,
    Promise,
    Restore,
    Retire,
    Stage,
)
from gooseberryyoke.record import Record

__all__ = ["ChangePhase", "MapChange"]


class ChangePhase(Enum):
    """How far a change has come."""

    CLAIMING = "claiming"
    STAGING = "staging"
    PROMISING = "promising"
    DECIDING = "deciding"
    SETTLING = "settling"
    ABORTING = "aborting"
    DONE = "done"
    ABORTED = "aborted"
    SUPERSEDED = "superseded"

    @property
    def final(self):
        """Whether nothing more will be sent."""
        return self in _FINAL_PHASES


_FINAL_PHASES = (ChangePhase.DONE, ChangePhase.ABORTED, ChangePhase.SUPERSEDED)
_UNDECIDED_PHASES = (
    ChangePhase.CLAIMING,
    ChangePhase.STAGING,
    ChangePhase.PROMISING,
)


class MapChange(Record):
    """
    Drive a group from the map in its register to another, an immutable value.

    Parameters
    ----------
    fence : int
        Fencing number under which this driver holds the group's lease.
    rank_count : int
    target : str or None
        Digest of the map to change to; None only brings the ranks to the map
        that was decided last, which is what a new holder of the lease does first.
    margin_steps : int
        How far past the last permitted step the switch is put.
    phase : ChangePhase
    version : int
        Version of the register seen last.
    record : MapRecord or None
        Content seen last.
    number : int
        Number of this change, from the register.
    hold_step : int or None
        Step of the promise asked for.
    reports : tuple of (RankReport or None)
        Newest report of each rank's present life.
    past_lives : frozenset
        Incarnations that ended.
    checked : frozenset
        Incarnations after whose first report the register was read.
    doubted : frozenset of int
        Ranks that are to be asked whether their life is still the one known.

    Notes
    -----
    The change is level-triggered: after every event and on every `poll` the
    next message of each rank follows from its last report alone, so that lost,
    doubled and crossed messages need no cases of their own. The argument why
    no step can run on two maps is in docs/design/expert-maps.md.
    """

    __slots__ = (
        "fence",
        "rank_count",
        "target",
        "margin_steps",
        "phase",
        "version",
        "record",
        "number",
        "hold_step",
        "reports",
        "past_lives",
        "checked",
        "doubted",
    )

    def __init__(
        self,
        fence,
        rank_count,
        target,
        margin_steps,
        phase=ChangePhase.CLAIMING,
        version=-1,
        record=None,
        number=0,
        hold_step=None,
        reports=None,
        past_lives=frozenset(),
        checked=frozenset(),
        doubted=frozenset(),
    ):
        self.fence = fence
        self.rank_count = rank_count
        self.target = target
        self.margin_steps = margin_steps
        self.phase = phase
        self.version = version
        self.record = record
        self.number = number
        self.hold_step = hold_step
        self.reports = (None,) * rank_count if reports is None else reports
        self.past_lives = past_lives
        self.checked = checked
        self.doubted = doubted

    # Events

    def poll(self):
        """
        List what is due now; call it at the start and whenever answers fail to come.

        Returns
        -------
        tuple of (ReadRecord, WriteRecord or Send)
        """
        if self.phase.final:
            return ()
        if self.phase is ChangePhase.CLAIMING:
            return self._claim()
        if self.phase is ChangePhase.DECIDING:
            # The answer to the write may have been lost. Writing again under
            # the same version changes nothing if it has landed, and no message
            # leaves before it is known which: an abort now could meet a
            # decision that is still on its way to the register.
            return (WriteRecord(self.version, self._decided_record()),)
        effects = [self._due(rank, report) for rank, report in enumerate(self.reports)]
        return tuple(effect for effect in effects if effect is not None)

    def record_seen(self, event):
        """
        Take the register's content.

        Parameters
        ----------
        event : RecordSeen

        Returns
        -------
        MapChange
        """
        if self.phase.final or event.version < self.version:
            return self
        if event.record.fence > self.fence:
            return self.replace(phase=ChangePhase.SUPERSEDED)
        advanced = event.version > self.version
        change = self.replace(version=event.version, record=event.record)
        if event.record.fence == self.fence and event.tag is not None:
            change = change.replace(checked=self.checked | {event.tag})
        if advanced and self.phase is ChangePhase.CLAIMING:
            change = change._claimed(self)
        deciding = self.phase is ChangePhase.DECIDING
        if deciding and event.record == self._decided_record():
            change = change.replace(phase=ChangePhase.SETTLING)
        return change._advance()

    def report_seen(self, report):
        """
        Take a rank's report.

        Parameters
        ----------
        report : RankReport

        Returns
        -------
        MapChange
        """
        if self.phase.final or report.incarnation in self.past_lives:
            return self
        if report.fence > self.fence:
            return self.replace(phase=ChangePhase.SUPERSEDED)
        if report.fence < self.fence:
            # A new life refused a message to the one before. It is asked by
            # Hello; this answer may be old itself, so it ends no life.
            return self.replace(doubted=self.doubted | {report.rank})
        known = self.reports[report.rank]
        change = self.replace(doubted=self.doubted - {report.rank})
        if known is not None and known.incarnation != report.incarnation:
            # The new life has forgotten the promise of the old one; a late
            # report of the old life must not count as that promise.
            ended = self.past_lives | {known.incarnation}
            change = change.replace(past_lives=ended)
        elif known is not None and _age(report) < _age(known):
            return change
        reports = list(change.reports)
        reports[report.rank] = report
        return change.replace(reports=tuple(reports))._advance()

    def cancel(self):
        """
        Give the change up, unless its decision may have been written.

        Returns
        -------
        MapChange
        """
        if self.phase not in _UNDECIDED_PHASES:
            return self
        if self.phase is ChangePhase.CLAIMING:
            return self.replace(target=None)
        return self.replace(phase=ChangePhase.ABORTING)._advance()

    # The register

    def _claim(self):
        if self.record is None:
            return (ReadRecord(),)
        return (WriteRecord(self.version, self._claim_record()),)

    def _claim_record(self):
        # Writing the fencing number into the register before anything else
        # makes a decision of an earlier driver, still on its way, miss its
        # version. Without it that decision could land after an abort.
        return self.record.replace(fence=self.fence, opened=self.record.opened + 1)

    def _claimed(self, earlier):
        if earlier.record is None or self.record != earlier._claim_record():
            return self
        phase = ChangePhase.STAGING if self.target else ChangePhase.SETTLING
        return self.replace(phase=phase, number=self.record.opened)

    def _decided_record(self):
        return MapRecord(
            present=MapSegment(self.number, self.target, self.hold_step),
            before=self.record.present,
            fence=self.fence,
            opened=self.number,
        )

    # Phases

    def _advance(self):
        if self.phase is ChangePhase.STAGING and self._all(self._is_staged):
            change = self.replace(phase=ChangePhase.PROMISING)
            return change.replace(hold_step=change._pick_hold_step())
        if self.phase is ChangePhase.PROMISING:
            return self._advance_promises()
        if self.phase is ChangePhase.SETTLING and self._all(self._is_settled):
            return self.replace(phase=ChangePhase.DONE)
        if self.phase is ChangePhase.ABORTING and self._all(self._is_clear):
            return self.replace(phase=ChangePhase.ABORTED)
        return self

    def _advance_promises(self):
        # One rank without a promise keeps all ranks on the old map: the switch
        # is written only when none is missing.
        if self._all(self._has_promised):
            return self.replace(phase=ChangePhase.DECIDING)
        if any(self._is_late(report) for report in self.reports):
            return self.replace(hold_step=self._pick_hold_step())
        return self

    def _pick_hold_step(self):
        ends = [report.until_step for report in self.reports]
        return max([*ends, self.hold_step or 0]) + self.margin_steps

    def _all(self, condition):
        return all(report is not None and condition(report) for report in self.reports)

    def _is_staged(self, report):
        staged = report.staged
        return staged is not None and staged.number == self.number and report.ready

    def _has_promised(self, report):
        return self._is_staged(report) and report.staged.hold_step == self.hold_step

    def _is_late(self, report):
        if not self._is_staged(report):
            return False
        return max(report.until_step, report.staged.hold_step or 0) > self.hold_step

    def _is_present(self, report):
        return (
            report.present is not None
            and report.present.number == self.record.present.number
        )

    def _is_clear(self, report):
        return self._is_present(report) and report.staged is None

    def _is_settled(self, report):
        return self._is_clear(report) and report.before is None

    # Messages

    def _due(self, rank, report):
        if report is None or rank in self.doubted:
            return Send(rank, Hello(self.fence))
        if report.present is None:
            return self._restoration(rank, report)
        message = self._next_message(report)
        return Send(rank, message or Hello(self.fence))

    def _restoration(self, rank, report):
        # What this driver believes may be out of date: a successor may have
        # switched the group since. The register is asked after this life of
        # the agent began; an answer that still names this driver proves that
        # no successor had a promise from an earlier life of this agent.
        if report.incarnation not in self.checked:
            return ReadRecord(tag=report.incarnation)
        record = self.record
        message = Restore(self.fence, report.incarnation, record.before, record.present)
        return Send(rank, message)

    def _next_message(self, report):
        fence, life = self.fence, report.incarnation
        if not self._is_present(report):
            present = self.record.present
            return Commit(fence, life, present.number, present.step)
        if report.before is not None:
            return Retire(fence, life, report.present.number)
        if self.phase in (ChangePhase.SETTLING, ChangePhase.ABORTING):
            return Abort(fence, life, self.number) if report.staged else None
        if report.staged is None or report.staged.number != self.number:
            base = self.record.present.number
            return Stage(fence, life, base, self.number, self.target)
        if self.phase is ChangePhase.PROMISING and not self._has_promised(report):
            return Promise(fence, life, self.number, self.hold_step)
        return None


def _age(report):
    """Order the reports of one life: each entry falls only if an earlier rises."""
    staged = report.staged
    return (
        report.fence,
        0 if report.present is None else report.present.number,
        report.before is None,
        report.closed,
        0 if staged is None else staged.number,
        report.ready,
        0 if staged is None else staged.hold_step or 0,
        report.next_step,
        report.until_step,
    )
