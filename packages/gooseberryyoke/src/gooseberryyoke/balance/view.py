"""State of a backend server as seen by one entry."""

from collections import deque

from gooseberryyoke.balance.load_ratio import LoadRatio
from gooseberryyoke.balance.step_time import StepTime

__all__ = ["ServerView"]

MAX_FINISHES = 256
COOLDOWN_INITIAL_S = 0.5
COOLDOWN_MAX_S = 8.0
STALE_AFTER_S = 5.0


class ServerView:
    """
    State of one backend server as seen by one entry.

    Own attempts are the attempts that this entry has sent to the server.

    Parameters
    ----------
    server_id : str
    incarnation : str or int
        Changes whenever the server or its agent restarts.
    data_centre : str
    service : str
    models : frozenset of str
        Loaded models; empty for a plain service.
    leaving : bool
        Whether the server is leaving and accepts no new work.
    cold : bool
        Whether the server is still loading or warming up.
    load_ratio : LoadRatio, optional
        Estimate shared by the servers of a service.

    Attributes
    ----------
    report : LoadReport or None
        Latest report.
    load_measured_at_s : float
        Time at which the server measured the load in the latest report, on the
        entry's clock.
    in_flight : dict
        Own attempts that have not ended, as ``{attempt_id: SentAttempt}``.
    sent_since : int
        Own attempts in flight that were sent after the latest report.
    finished_since : int
        Own attempts that were sent before the latest report and ended after it.
    step_time : StepTime
        Smoothed step time, by which stragglers are detected.
    pending_prefill_tokens : int
        Prompt tokens of own attempts that have not produced their first token.
    cooldown_until_s : float
        End of the cool-down after a failure. Until then the server is used only
        if no other is available.
    paused_until_s : float
        End of the pause that the server asked for. Until then it is not used.
    """

    __slots__ = (
        "server_id",
        "incarnation",
        "data_centre",
        "service",
        "models",
        "leaving",
        "cold",
        "report",
        "load_measured_at_s",
        "in_flight",
        "sent_since",
        "finished_since",
        "step_time",
        "pending_prefill_tokens",
        "cooldown_until_s",
        "paused_until_s",
        "_consecutive_failures",
        "_recent_finishes",
        "_load_ratio",
    )

    def __init__(
        self,
        server_id,
        incarnation,
        data_centre,
        service,
        models=(),
        leaving=False,
        cold=False,
        load_ratio=None,
    ):
        self.server_id = server_id
        self.incarnation = incarnation
        self.data_centre = data_centre
        self.service = service
        self.models = frozenset(models)
        self.leaving = leaving
        self.cold = cold
        self.report = None
        self.load_measured_at_s = float("-inf")
        self.in_flight = {}
        self.sent_since = 0
        self.finished_since = 0
        self.step_time = StepTime()
        self.pending_prefill_tokens = 0
        self.cooldown_until_s = float("-inf")
        self.paused_until_s = float("-inf")
        self._consecutive_failures = 0
        self._recent_finishes = deque(maxlen=MAX_FINISHES)
        self._load_ratio = LoadRatio() if load_ratio is None else load_ratio

    def take_report(self, report, now):
        """
        Apply a report unless this one or a newer one has been applied already.

        Parameters
        ----------
        report : LoadReport
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether the report was applied.
        """
        if self.report is not None and report.sequence <= self.report.sequence:
            return False
        self.report = report
        self.load_measured_at_s = now - report.age_s
        self._count_since_report()
        self.step_time.observe(report)
        self._load_ratio.observe(report.running + report.queued, len(self.in_flight))
        return True

    def sent(self, attempt_id, attempt):
        """
        Record that an own attempt was sent.

        Parameters
        ----------
        attempt_id : hashable
        attempt : SentAttempt
        """
        self.in_flight[attempt_id] = attempt
        self.pending_prefill_tokens += attempt.pending_prefill_tokens
        self.sent_since += 1

    def started(self, attempt_id):
        """
        Record the first token of an own attempt.

        Parameters
        ----------
        attempt_id : hashable

        Returns
        -------
        SentAttempt or None
            The attempt; None if it is unknown.
        """
        attempt = self.in_flight.get(attempt_id)
        if attempt is not None:
            self.pending_prefill_tokens -= attempt.pending_prefill_tokens
            attempt.pending_prefill_tokens = 0
            self.succeeded()
        return attempt

    def ended(self, attempt_id, now):
        """
        Record the end of an own attempt.

        Parameters
        ----------
        attempt_id : hashable
        now : float
            Time in seconds.

        Returns
        -------
        SentAttempt or None
            The attempt; None if it is unknown.
        """
        attempt = self.in_flight.pop(attempt_id, None)
        if attempt is None:
            return None
        self.pending_prefill_tokens -= attempt.pending_prefill_tokens
        if attempt.at_s > self.load_measured_at_s:
            self.sent_since -= 1
        else:
            self.finished_since += 1
            self._recent_finishes.append((attempt.at_s, now))
        return attempt

    def succeeded(self):
        """Reset the failure count and end the cool-down."""
        self._consecutive_failures = 0
        self.cooldown_until_s = float("-inf")

    def failed(self, now):
        """
        Start a cool-down that doubles with each consecutive failure.

        Parameters
        ----------
        now : float
            Time in seconds.
        """
        # A server that fails immediately has no work in flight and looks like the
        # least loaded one. Without a cool-down it would get all requests and fail
        # them.
        cooldown_s = min(
            COOLDOWN_MAX_S, COOLDOWN_INITIAL_S * 2**self._consecutive_failures
        )
        self._consecutive_failures = min(self._consecutive_failures + 1, 8)
        self.cooldown_until_s = now + cooldown_s

    def pending(self, now, own_weight=1):
        """
        Estimate the number of requests at the server.

        Parameters
        ----------
        now : float
            Time in seconds.
        own_weight : float
            Weight of own attempts sent or ended since the latest report.

        Returns
        -------
        float
            Number of requests in the latest report, corrected for the own attempts
            sent or ended since, but at least the number of own attempts in flight.
            If the report is older than `STALE_AFTER_S`, the number of own attempts
            in flight times the `LoadRatio` of the service.
        """
        own = len(self.in_flight)
        if now - self.load_measured_at_s > STALE_AFTER_S:
            return own * self._load_ratio.ratio()
        reported = self.report.running + self.report.queued
        since = self.sent_since - self.finished_since
        return max(reported + own_weight * since, own)

    def _count_since_report(self):
        load_measured_at_s = self.load_measured_at_s
        self.sent_since = sum(
            attempt.at_s > load_measured_at_s for attempt in self.in_flight.values()
        )
        while (
            self._recent_finishes and self._recent_finishes[0][1] <= load_measured_at_s
        ):
            self._recent_finishes.popleft()
        self.finished_since = sum(
            sent_at_s <= load_measured_at_s for sent_at_s, _ in self._recent_finishes
        )
