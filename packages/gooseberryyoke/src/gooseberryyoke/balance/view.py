"""What one entry knows of one backend server."""

from collections import deque

from gooseberryyoke.balance.crowd import Crowd
from gooseberryyoke.balance.pace import Pace

__all__ = ["ServerView"]

FINISHES_KEPT = 256
SHUN_FIRST_S = 0.5
SHUN_MAX_S = 8.0
STALE_AFTER_S = 5.0


class ServerView:
    """
    What one entry knows of one backend server.

    Parameters
    ----------
    server_id : str
    incarnation : str or int
        Changes whenever the server or its agent starts anew.
    data_centre : str
    service : str
    models : frozenset of str
        Models that are loaded; empty for a plain service.
    leaving : bool
        The server takes no new work.
    cold : bool
        The server is still loading or warming up.
    crowd : Crowd, optional
        Shared by the servers of a service.

    Attributes
    ----------
    report : LoadReport or None
        Newest report.
    taken_at_s : float
        When the newest report was read at the server, on the entry's clock.
    in_flight : dict
        Own attempts without an end, as ``{attempt_id: Sent}``.
    pace : Pace
        Step time, which tells a straggler.
    awaited_tokens : int
        Prompt tokens of own attempts that wait for their first token.
    shunned_until_s : float
        Servers that failed lately are used only if no other is left.
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
        "taken_at_s",
        "in_flight",
        "sent_since",
        "finished_since",
        "pace",
        "awaited_tokens",
        "shunned_until_s",
        "paused_until_s",
        "_failures",
        "_finishes",
        "_crowd",
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
        crowd=None,
    ):
        self.server_id = server_id
        self.incarnation = incarnation
        self.data_centre = data_centre
        self.service = service
        self.models = frozenset(models)
        self.leaving = leaving
        self.cold = cold
        self.report = None
        self.taken_at_s = float("-inf")
        self.in_flight = {}
        self.sent_since = 0
        self.finished_since = 0
        self.pace = Pace()
        self.awaited_tokens = 0
        self.shunned_until_s = float("-inf")
        self.paused_until_s = float("-inf")
        self._failures = 0
        self._finishes = deque(maxlen=FINISHES_KEPT)
        self._crowd = Crowd() if crowd is None else crowd

    def take_report(self, report, now):
        """
        Take a report, unless a newer one has come already.

        Parameters
        ----------
        report : LoadReport
        now : float
            Time in seconds.

        Returns
        -------
        bool
            Whether the report was taken.
        """
        if self.report is not None and report.sequence <= self.report.sequence:
            return False
        self.report = report
        self.taken_at_s = now - report.age_s
        self._count_since_report()
        self.pace.learn(report)
        self._crowd.learn(report.running + report.queued, len(self.in_flight))
        return True

    def sent(self, attempt_id, sent):
        """
        Note an own attempt.

        Parameters
        ----------
        attempt_id : hashable
        sent : Sent
        """
        self.in_flight[attempt_id] = sent
        self.awaited_tokens += sent.awaited_tokens
        self.sent_since += 1

    def started(self, attempt_id):
        """
        Note the first token of an own attempt.

        Parameters
        ----------
        attempt_id : hashable

        Returns
        -------
        Sent or None
            The attempt; None if it is unknown.
        """
        sent = self.in_flight.get(attempt_id)
        if sent is not None:
            self.awaited_tokens -= sent.awaited_tokens
            sent.awaited_tokens = 0
            self.succeeded()
        return sent

    def ended(self, attempt_id, now):
        """
        Note the end of an own attempt.

        Parameters
        ----------
        attempt_id : hashable
        now : float
            Time in seconds.

        Returns
        -------
        Sent or None
            The attempt; None if it is unknown.
        """
        sent = self.in_flight.pop(attempt_id, None)
        if sent is None:
            return None
        self.awaited_tokens -= sent.awaited_tokens
        if sent.at_s > self.taken_at_s:
            self.sent_since -= 1
        else:
            self.finished_since += 1
            self._finishes.append((sent.at_s, now))
        return sent

    def succeeded(self):
        """Use the server like any other again."""
        self._failures = 0
        self.shunned_until_s = float("-inf")

    def failed(self, now):
        """
        Shun the server for a time that doubles with each failure in a row.

        Parameters
        ----------
        now : float
            Time in seconds.
        """
        # A server that fails at once has no work in flight and looks like the
        # least loaded one: it would draw all requests and fail them.
        pause_s = min(SHUN_MAX_S, SHUN_FIRST_S * 2**self._failures)
        self._failures = min(self._failures + 1, 8)
        self.shunned_until_s = now + pause_s

    def pending(self, now, own_weight=1):
        """
        Estimate the requests at the server now.

        Parameters
        ----------
        now : float
            Time in seconds.
        own_weight : float
            Weight of own attempts sent or ended since the report.

        Returns
        -------
        float
            The report's count, corrected by own attempts since it was read. If
            the report is stale, own attempts in flight, scaled by the part that
            they used to be of all.
        """
        own = len(self.in_flight)
        if now - self.taken_at_s > STALE_AFTER_S:
            return own * self._crowd.factor()
        reported = self.report.running + self.report.queued
        since = self.sent_since - self.finished_since
        return max(reported + own_weight * since, own)

    def _count_since_report(self):
        taken_at_s = self.taken_at_s
        self.sent_since = sum(
            sent.at_s > taken_at_s for sent in self.in_flight.values()
        )
        while self._finishes and self._finishes[0][1] <= taken_at_s:
            self._finishes.popleft()
        self.finished_since = sum(
            sent_at_s <= taken_at_s for sent_at_s, _ in self._finishes
        )
