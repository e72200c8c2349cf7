"""Counts and times of a gateway's requests, for its metrics."""

from gooseberryyoke.routing.answer_times import AnswerTimes
from gooseberryyoke_daemon.lazy_metrics import LazyMetrics

__all__ = ["GatewayObserver"]


class GatewayObserver(LazyMetrics):
    """
    Puts each answer and refusal into the metrics of the process.

    Attributes
    ----------
    answer_times : AnswerTimes
    """

    def __init__(self):
        super().__init__()
        self.answer_times = AnswerTimes()

    def answered(self, exchange, first_s, sent_s, now, cause=None):
        """
        Note a whole answer.

        Parameters
        ----------
        exchange : Exchange
        first_s : float or None
            From sending to the first of the answer.
        sent_s, now : float
            On trio's clock.
        cause : str or None
            Of its lateness; None if it is on time.
        """
        self.answer_times.observe(exchange.route.name, now - sent_s, now)
        labels = _labels(exchange)
        wait_s = sent_s - exchange.received_s
        self._put("observe", "queue_wait_seconds", labels, wait_s)
        if first_s is not None:
            self._put("observe", "first_token_seconds", labels, wait_s + first_s)
        self._put("observe", "answer_seconds", labels, now - exchange.received_s)
        if exchange.longest_gap_s:
            gap_s = exchange.longest_gap_s
            self._put("observe", "longest_gap_seconds", labels, gap_s)
        margin_s = exchange.deadline_s - now
        self._put("observe", "deadline_margin_seconds", labels, margin_s)
        self._put("count", "verdicts_total", {**labels, "verdict": "ran"})
        if cause is not None:
            self._put("count", "late_answers_total", {**labels, "cause": cause})
        for _ in range(exchange.sends - 1):
            self._put("count", "retries_total", labels)

    def refused(self, exchange, refusal):
        """
        Note a refusal.

        Parameters
        ----------
        exchange : Exchange
        refusal : Refusal
        """
        labels = _labels(exchange)
        verdict = {**labels, "verdict": refusal.verdict.value}
        self._put("count", "verdicts_total", verdict)
        self._put("count", "refusals_total", {**labels, "reason": refusal.reason})

    def retry_decided(self, service, cause, outcome):
        """
        Note a decision on a further attempt.

        Parameters
        ----------
        service, cause : str
            Of the request, and why its last attempt failed.
        outcome : str
            Value of the `RetryDecision`.
        """
        labels = {"service": service, "cause": cause, "outcome": outcome}
        self._put("count", "retry_decisions_total", labels)

    def server_backoff(self, service):
        """
        Note a refusal by which a server asked for a pause.

        Parameters
        ----------
        service : str
        """
        self._put("count", "server_backoffs_total", {"service": service})

    def end_not_told(self, service):
        """
        Note an answer whose end was told by the end of its connection only.

        Parameters
        ----------
        service : str
        """
        self._put("count", "ends_not_told_total", {"service": service})

    def server_ended_under(self, service):
        """
        Note that a server ended under a request whose answer had hardly begun.

        Parameters
        ----------
        service : str
        """
        self._put("count", "ends_under_requests_total", {"service": service})

    def parts_cleared(self, service, count):
        """
        Note that parts of a prompt which ends were held against are sound.

        Parameters
        ----------
        service : str
        count : int
        """
        for _ in range(count):
            self._put("count", "prompt_parts_cleared_total", {"service": service})

    def slot_assigned_twice(self, service):
        """
        Note that all slots of an engine were taken when a request came to it.

        Parameters
        ----------
        service : str
        """
        self._put("count", "slots_assigned_twice_total", {"service": service})

    def start_announced(self, service):
        """
        Note that other gateways were told at once of a request at an engine.

        Parameters
        ----------
        service : str
        """
        self._put("count", "starts_announced_total", {"service": service})


def _labels(exchange):
    account, route = exchange.account, exchange.route
    return {
        "account": None if account is None else account.name,
        "request_class": None if route is None else route.name,
    }
