"""Which requests were late, refused or failed, summed up from gateways' logs."""

from collections import Counter

from gooseberryyoke.record import Record
from gooseberryyoke_client.story import ahead_of

__all__ = ["Losses", "sum_losses"]

ON_TIME = "on time"


class Losses(Record):
    """
    Requests by cause and span of time.

    Parameters
    ----------
    spans : list of Counter
        Of each span, how many requests by cause; `ON_TIME` is one of them.
    span_s : float
    start_s : float
        Of the first span, as the logs' clocks tell it.
    """

    __slots__ = ("spans", "span_s", "start_s")

    def __init__(self, spans, span_s, start_s):
        self.spans = spans
        self.span_s = span_s
        self.start_s = start_s

    @property
    def total(self):
        """
        Sum up all spans.

        Returns
        -------
        Counter
            By cause.
        """
        return sum(self.spans, Counter())


def sum_losses(lines, span_s):
    """
    Put each request of the logs into one row.

    Parameters
    ----------
    lines : list of LogLine
        Of all gateways.
    span_s : float
        Length of a span in seconds.

    Returns
    -------
    Losses

    Notes
    -----
    A caller's return is a request of its own. What a gateway's log leaves out under
    load is missing here; it says so in lines ``lines-left-out``.
    """
    causes = [(line.at_s, cause) for line in lines if (cause := _cause(line.fields))]
    if not causes:
        return Losses([], span_s, 0.0)
    start_s = min(at_s for at_s, _ in causes)
    last_s = max(at_s for at_s, _ in causes)
    spans = [Counter() for _ in range(int((last_s - start_s) / span_s) + 1)]
    for at_s, cause in causes:
        spans[int((at_s - start_s) / span_s)][cause] += 1
    return Losses(spans, span_s, start_s)


def _behind(fields):
    """Name the urgencies of those that were served before a refused request."""
    ahead = ahead_of(fields)
    if not ahead:
        return ""
    others = ", ".join(str(level) for level in ahead)
    return f", urgency {fields.get('urgency')} behind {others}"


def _cause(fields):
    match fields["event"]:
        case "request-answered":
            late_by = fields.get("late_by")
            return ON_TIME if late_by is None else f"late: {late_by}"
        case "request-refused":
            again = ", again" if fields.get("again") else ""
            behind = _behind(fields)
            reason = fields.get("reason")
            return f"refused {fields.get('status')}: {reason}{again}{behind}"
        case "stream-cut":
            return f"cut: {fields.get('reason')}"
    return None
