"""The step time of one server, smoothed."""

__all__ = ["Pace"]

SLOW_WEIGHT = 0.05
FAST_WEIGHT = 0.3
STRAGGLER_FACTOR = 1.5


class Pace:
    """
    The step time of one server, smoothed.

    A step grows with the requests in the batch, by about twice from an empty
    to a full one, so that the time is kept per slot: divided by the slots plus
    the requests in the batch.

    Notes
    -----
    One report's step time is noisy, as a step with prefill takes twice as long
    as one without; times the length of an answer, that noise outweighs the
    queue, and all entries follow it to the same server. So the mean is slow,
    but for a rise beyond noise: that is a straggler and counts soon.
    """

    __slots__ = ("_slow_s", "_fast_s", "_reports")

    def __init__(self):
        self._slow_s = 0.0
        self._fast_s = 0.0
        self._reports = 0

    def learn(self, report):
        """
        Take in one report.

        Parameters
        ----------
        report : LoadReport
        """
        if self._reports and not report.running:
            # An idle server repeats the step time of its last batch, which would
            # count as that of an empty one and look like a straggler's.
            return
        self._reports += 1
        early = 1 / self._reports
        slot_step_s = _slot_step_s(report)
        self._slow_s += max(SLOW_WEIGHT, early) * (slot_step_s - self._slow_s)
        self._fast_s += max(FAST_WEIGHT, early) * (slot_step_s - self._fast_s)

    def slot_step_s(self, report):
        """
        Tell the step time per slot.

        Parameters
        ----------
        report : LoadReport
            Taken if none was learnt.

        Returns
        -------
        float
            Seconds.
        """
        if not self._reports:
            return _slot_step_s(report)
        if self._fast_s > STRAGGLER_FACTOR * self._slow_s:
            return self._fast_s
        return self._slow_s


def _slot_step_s(report):
    return report.step_s / (report.batch_slots + report.running)
