"""The table of a run and the points that are checked."""

from collections import Counter

from gooseberryyoke.outcome import Verdict
from gooseberryyoke.record import Record

__all__ = ["Point", "check_outcomes", "class_table"]

_FAULTS_SHOWN = 5
_NOTES_SHOWN = 3
_HEADINGS = (
    "class",
    "sent",
    "whole",
    "ran",
    "not-run",
    "may-have-run",
    "sent again",
    "p50 ms",
    "p95 ms",
    "p99 ms",
)


class Point(Record):
    """
    A point that is checked.

    Parameters
    ----------
    text : str
        What must hold.
    faults : list of str
        Where it did not.
    """

    __slots__ = ("text", "faults")

    def __init__(self, text, faults):
        self.text = text
        self.faults = faults

    def __str__(self):
        lines = [f"{'FAILED' if self.faults else 'ok':8}{self.text}"]
        lines += [f"{'':12}{fault}" for fault in self.faults[:_FAULTS_SHOWN]]
        left = len(self.faults) - _FAULTS_SHOWN
        return "\n".join([*lines, f"{'':12}and {left} more"] if left > 0 else lines)


def class_table(outcomes):
    """
    Show what became of the jobs, by class.

    Parameters
    ----------
    outcomes : list of Outcome
        Of a whole run.

    Returns
    -------
    str
        One line for each class; verdicts are those of single sendings.
    """
    names = dict.fromkeys(outcome.job.class_name for outcome in outcomes)
    rows = [_HEADINGS]
    for name in sorted(names):
        rows.append(_row(name, [o for o in outcomes if o.job.class_name == name]))
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) if index == 0 else cell.rjust(width)
            for index, (cell, width) in enumerate(zip(row, widths, strict=True))
        )
        for row in rows
    )


def _row(name, outcomes):
    verdicts = Counter(verdict for o in outcomes for verdict in o.verdicts)
    latencies_s = sorted(o.latency_s for o in outcomes if o.latency_s is not None)
    cells = (
        len(outcomes),
        sum(o.is_whole for o in outcomes),
        verdicts[Verdict.RAN],
        verdicts[Verdict.NOT_RUN],
        verdicts[Verdict.MAY_HAVE_RUN],
        sum(len(o.verdicts) - 1 for o in outcomes),
        *(_percentile_ms(latencies_s, share) for share in (0.5, 0.95, 0.99)),
    )
    return (name, *map(str, cells))


def _percentile_ms(latencies_s, share):
    if not latencies_s:
        return "-"
    return round(latencies_s[int(share * (len(latencies_s) - 1))] * 1000)


def check_outcomes(outcomes, executions):
    """
    Check what callers were told against what ran.

    Parameters
    ----------
    outcomes : list of Outcome
        Of a whole run.
    executions : dict of str to dict of str to int
        Counts by fake and business key.

    Returns
    -------
    list of Point
    """
    ran = Counter()
    for counts in executions.values():
        ran.update(counts)
    once = [o for o in outcomes if not o.job.repeatable]
    again = [o for o in outcomes if o.job.repeatable]
    posted = [o for o in outcomes if o.job.request.method == "POST"]
    return [
        Point("each answer is whole and its own request's", _find(outcomes, _is_wrong)),
        Point("each repeatable request is answered", _find(again, _is_unanswered)),
        Point(
            "each call that may not be repeated is answered",
            _find(once, _is_unanswered),
        ),
        Point(
            "none of these ran twice",
            _find(once, lambda o: ran[o.job.name] > 1),
        ),
        Point(
            "what was told to have run did run",
            _find(posted, lambda o: o.verdict is Verdict.RAN and ran[o.job.name] == 0),
        ),
        Point(
            "what was told not to have run did not run",
            _find(
                posted, lambda o: o.verdict is Verdict.NOT_RUN and ran[o.job.name] > 0
            ),
        ),
    ]


def _is_wrong(outcome):
    return outcome.is_whole and not outcome.is_right


def _is_unanswered(outcome):
    return not outcome.is_whole


def _find(outcomes, is_fault):
    return [
        f"{o.job.name} ({o.job.account}): {_last_notes(o)}"
        for o in outcomes
        if is_fault(o)
    ]


def _last_notes(outcome):
    notes = [note for _, note in outcome.failures]
    earlier = f"{len(notes) - _NOTES_SHOWN} earlier, " * (len(notes) > _NOTES_SHOWN)
    return earlier + ", ".join(notes[-_NOTES_SHOWN:])
