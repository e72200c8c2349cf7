"""Driver of one change of a group's expert map."""

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
    """Phase of a map change."""

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
        """Whether the change has ended and nothing more will be sent."""
        return self in _FINAL_PHASES


_FINAL_PHASES = (ChangePhase.DONE, ChangePhase.ABORTED, ChangePhase.SUPERSEDED)
_UNDECIDED_PHASES = (
    ChangePhase.CLAIMING,
    ChangePhase.STAGING,
    ChangePhase.PROMISING,
)


class MapChange(Record):
    """
    Immutable state of the driver that changes a group's map to another one.

    Parameters
    ----------
    fence : int
        Fencing number under which this driver holds the group's lease.
    rank_count : int
    target : str or None
        Digest of the new map. None only brings the ranks to the map that was decided
        last, which a new holder of the lease does first.
    margin_steps : int
        Number of steps from the last permitted step to the switch.
    phase : ChangePhase
    version : int
        Version of the register when it was last read.
    record : MapRecord or None
        Content of the register when it was last read.
    number : int
        Number of this change, from the register.
    hold_step : int or None
        Step of the requested promise.
    reports : tuple of (RankReport or None)
        Latest report of the present incarnation of each rank's agent.
    past_incarnations : frozenset
        Incarnations of agents that have ended.
    verified_incarnations : frozenset
        Incarnations for which the register was read after their first report and still
        named this driver. Only these are restored.
    unconfirmed_ranks : frozenset of int
        Ranks whose agents may have begun another incarnation and are to be asked.

    Notes
    -----
    The change is level-triggered: after every event and on every `poll` the next
    message to each rank is derived from its last report alone, so that lost, duplicate
    and reordered messages need no special cases. docs/design/expert-maps.md gives the
    argument why no step can run on two maps.
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
        "past_incarnations",
        "verified_incarnations",
        "unconfirmed_ranks",
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
        past_incarnations=frozenset(),
        verified_incarnations=frozenset(),
        unconfirmed_ranks=frozenset(),
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
        self.past_incarnations = past_incarnations
        self.verified_incarnations = verified_incarnations
        self.unconfirmed_ranks = unconfirmed_ranks

    # Events

    def poll(self):
        """
        List the effects to carry out now, at the start and when answers are missing.

        Returns
        -------
        tuple of (ReadRecord, WriteRecord or Send)
        """
        if self.phase.final:
            return ()
        if self.phase is ChangePhase.CLAIMING:
            return self._claim()
        if self.phase is ChangePhase.DECIDING:
            # The answer to the write may have been lost. Writing again under the
            # same version changes nothing if the first write succeeded. No message
            # is sent before the outcome is known: the decision may still be on its
            # way to the register and would contradict an abort.
            return (WriteRecord(self.version, self._decision_record()),)
        effects = [
            self._next_effect(rank, report) for rank, report in enumerate(self.reports)
        ]
        return tuple(effect for effect in effects if effect is not None)

    def record_seen(self, event):
        """
        Process the content of the register.

        Parameters
        ----------
        event : RecordSeen

        Returns
        -------
        MapChange
            State after the event.
        """
        if self.phase.final or event.version < self.version:
            return self
        if event.record.fence > self.fence:
            return self.replace(phase=ChangePhase.SUPERSEDED)
        advanced = event.version > self.version
        change = self.replace(version=event.version, record=event.record)
        if event.record.fence == self.fence and event.tag is not None:
            change = change.replace(
                verified_incarnations=self.verified_incarnations | {event.tag}
            )
        if advanced and self.phase is ChangePhase.CLAIMING:
            change = change._after_claim(self)
        deciding = self.phase is ChangePhase.DECIDING
        if deciding and event.record == self._decision_record():
            change = change.replace(phase=ChangePhase.SETTLING)
        return change._advance()

    def report_seen(self, report):
        """
        Process the report of a rank.

        Parameters
        ----------
        report : RankReport

        Returns
        -------
        MapChange
            State after the report.
        """
        if self.phase.final or report.incarnation in self.past_incarnations:
            return self
        if report.fence > self.fence:
            return self.replace(phase=ChangePhase.SUPERSEDED)
        if report.fence < self.fence:
            # A new incarnation refused a message to the one before. The driver sends it
            # a Hello. This refusal may be outdated itself, so it doesn't count as the
            # end of an incarnation.
            return self.replace(
                unconfirmed_ranks=self.unconfirmed_ranks | {report.rank}
            )
        known = self.reports[report.rank]
        change = self.replace(unconfirmed_ranks=self.unconfirmed_ranks - {report.rank})
        if known is not None and known.incarnation != report.incarnation:
            # The new incarnation doesn't know the promise of the old one. A late
            # report of the old incarnation must not count as that promise.
            ended = self.past_incarnations | {known.incarnation}
            change = change.replace(past_incarnations=ended)
        elif known is not None and _report_order(report) < _report_order(known):
            return change
        reports = list(change.reports)
        reports[report.rank] = report
        return change.replace(reports=tuple(reports))._advance()

    def cancel(self):
        """
        Abort the change, unless its decision may have been written.

        Returns
        -------
        MapChange
            State afterwards, unchanged if it is too late to cancel.
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
        # The fencing number is written into the register before anything else. A
        # decision of an earlier driver that is still on its way then fails on the
        # version; without this it could be stored after an abort.
        return self.record.replace(fence=self.fence, opened=self.record.opened + 1)

    def _after_claim(self, earlier):
        if earlier.record is None or self.record != earlier._claim_record():
            return self
        phase = ChangePhase.STAGING if self.target else ChangePhase.SETTLING
        return self.replace(phase=phase, number=self.record.opened)

    def _decision_record(self):
        return MapRecord(
            present=MapSegment(self.number, self.target, self.hold_step),
            before=self.record.present,
            fence=self.fence,
            opened=self.number,
        )

    # Phases

    def _advance(self):
        if self.phase is ChangePhase.STAGING and self._every_report(self._is_staged):
            change = self.replace(phase=ChangePhase.PROMISING)
            return change.replace(hold_step=change._choose_hold_step())
        if self.phase is ChangePhase.PROMISING:
            return self._advance_promises()
        if self.phase is ChangePhase.SETTLING and self._every_report(self._is_settled):
            return self.replace(phase=ChangePhase.DONE)
        if self.phase is ChangePhase.ABORTING and self._every_report(
            self._has_nothing_staged
        ):
            return self.replace(phase=ChangePhase.ABORTED)
        return self

    def _advance_promises(self):
        # The switch is written only when all ranks have promised. If one promise is
        # missing, all ranks stay on the old map.
        if self._every_report(self._has_promised):
            return self.replace(phase=ChangePhase.DECIDING)
        if any(self._is_late(report) for report in self.reports):
            return self.replace(hold_step=self._choose_hold_step())
        return self

    def _choose_hold_step(self):
        ends = [report.until_step for report in self.reports]
        return max([*ends, self.hold_step or 0]) + self.margin_steps

    def _every_report(self, condition):
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

    def _has_nothing_staged(self, report):
        return self._is_present(report) and report.staged is None

    def _is_settled(self, report):
        return self._has_nothing_staged(report) and report.before is None

    # Messages

    def _next_effect(self, rank, report):
        if report is None or rank in self.unconfirmed_ranks:
            return Send(rank, Hello(self.fence))
        if report.present is None:
            return self._restore_effect(rank, report)
        message = self._next_message(report)
        return Send(rank, message or Hello(self.fence))

    def _restore_effect(self, rank, report):
        # The record in this driver may be out of date, as a successor may have
        # switched the group since. The register is read after this incarnation of
        # the agent began. If it still names this driver, no successor had a promise
        # from an earlier incarnation of this agent.
        if report.incarnation not in self.verified_incarnations:
            return ReadRecord(tag=report.incarnation)
        record = self.record
        message = Restore(self.fence, report.incarnation, record.before, record.present)
        return Send(rank, message)

    def _next_message(self, report):
        fence, incarnation = self.fence, report.incarnation
        if not self._is_present(report):
            present = self.record.present
            return Commit(fence, incarnation, present.number, present.step)
        if report.before is not None:
            return Retire(fence, incarnation, report.present.number)
        if self.phase in (ChangePhase.SETTLING, ChangePhase.ABORTING):
            return Abort(fence, incarnation, self.number) if report.staged else None
        if report.staged is None or report.staged.number != self.number:
            base = self.record.present.number
            return Stage(fence, incarnation, base, self.number, self.target)
        if self.phase is ChangePhase.PROMISING and not self._has_promised(report):
            return Promise(fence, incarnation, self.number, self.hold_step)
        return None


def _report_order(report):
    """
    Return a sort key that orders the reports of one incarnation by time.

    Each entry decreases only if an earlier entry increases.
    """
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
