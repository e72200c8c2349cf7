"""Filter: what a gateway that is about to end still begins."""

import trio
from returns.result import Failure

from gooseberryyoke.outcome import Refusal, Verdict

__all__ = ["Stopping"]

_RETRY_S = 0.0
"""Another gateway takes the request at once."""


class Stopping:
    """
    Turns away, once a planned stop has begun, what might be cut by its end.

    Callers that keep an address for long come until the last moment. A stream that
    began five seconds into a stop of eight was cut midway, where the caller could have
    had it whole from another gateway. Whatever is begun later than a given time must
    be due before the end, and before that time nothing is begun whose route usually
    takes longer than is left.

    Parameters
    ----------
    times : AnswerTimes
    """

    __slots__ = ("_begin_until_s", "_end_s", "_times")

    def __init__(self, times):
        self._times = times
        self._begin_until_s = self._end_s = float("inf")

    def begin(self, begin_s, end_s):
        """
        Note the beginning of the stop.

        Parameters
        ----------
        begin_s : float
            From now, for which everything is still begun.
        end_s : float
            From now until what is in flight is given up.
        """
        now = trio.current_time()
        self._begin_until_s = now + begin_s
        self._end_s = now + end_s

    async def __call__(self, exchange, proceed):
        """Pass a request that has just come on, or refuse it as not run."""
        now = trio.current_time()
        is_early = now <= self._begin_until_s
        if self._is_due(exchange) or (is_early and self._is_time_left(exchange, now)):
            return await proceed()
        return self._refuse(now)

    async def after_wait(self, exchange, proceed):
        """Pass a request on that has waited for its place, or refuse it as not run."""
        now = trio.current_time()
        if self._is_due(exchange) or self._is_time_left(exchange, now):
            return await proceed()
        return self._refuse(now)

    def _is_due(self, exchange):
        return exchange.deadline_s <= self._end_s

    def _is_time_left(self, exchange, now):
        expected_s = self._times.expected_s(exchange.route.name, now)
        if not expected_s:
            return now <= self._begin_until_s
        return now + expected_s <= self._end_s

    def _refuse(self, now):
        detail = f"this gateway ends in {self._end_s - now:.1f} s"
        return Failure(Refusal(Verdict.NOT_RUN, 503, "stopping", detail, _RETRY_S))
