"""Smoothed step time of a backend server."""

__all__ = ["StepTime"]

SLOW_MEAN_WEIGHT = 0.05
FAST_MEAN_WEIGHT = 0.3
STRAGGLER_FACTOR = 1.5


class StepTime:
    """
    Smoothed step time of one backend server.

    The duration of a step grows with the number of requests in the batch and
    about doubles from an empty batch to a full one. The time is therefore kept
    per slot: divided by the number of slots plus the number of requests in the
    batch.

    Notes
    -----
    The step time in a single report is noisy because a step with prefill takes
    twice as long as one without. Multiplied by the length of an answer, this
    noise would outweigh the differences between the queues, and all entries would
    send to the same server.
    The estimate is therefore a slow moving average. A fast moving average
    replaces it when it exceeds the slow one by `STRAGGLER_FACTOR`, so that a
    server that has become a straggler is detected within a few reports.
    """

    __slots__ = ("_slow_s", "_fast_s", "_reports")

    def __init__(self):
        self._slow_s = 0.0
        self._fast_s = 0.0
        self._reports = 0

    def observe(self, report):
        """
        Update the moving averages with one report.

        Parameters
        ----------
        report : LoadReport
        """
        if self._reports and not report.running:
            # An idle server repeats the step time of its last batch. Taken as the
            # step time of an empty batch, it would make the server look like a
            # straggler.
            return
        self._reports += 1
        min_weight = 1 / self._reports
        slot_step_s = _slot_step_s(report)
        self._slow_s += max(SLOW_MEAN_WEIGHT, min_weight) * (slot_step_s - self._slow_s)
        self._fast_s += max(FAST_MEAN_WEIGHT, min_weight) * (slot_step_s - self._fast_s)

    def slot_step_s(self, report):
        """
        Return the step time per slot.

        Parameters
        ----------
        report : LoadReport
            Report to use if none has been observed yet.

        Returns
        -------
        float
            Time in seconds.
        """
        if not self._reports:
            return _slot_step_s(report)
        if self._fast_s > STRAGGLER_FACTOR * self._slow_s:
            return self._fast_s
        return self._slow_s


def _slot_step_s(report):
    return report.step_s / (report.batch_slots + report.running)
