"""Back-off periods that servers request with Retry-After."""

from math import inf, isfinite

__all__ = ["MAX_BACKOFF_S", "ServerBackoff", "parse_retry_after"]

MAX_BACKOFF_S = 600.0
"""Upper bound on a back-off period, in seconds. A period longer than the lifetime of
most servers would exclude a server for good."""


def parse_retry_after(text):
    """
    Parse the back-off period that a server requests.

    Parameters
    ----------
    text : str
        Value of Retry-After in seconds. Of several values separated by commas, the
        longest counts.

    Returns
    -------
    float or None
        In seconds, at most `MAX_BACKOFF_S`; None if no value is a non-negative number.
        Dates are ignored, as clocks differ by more than such periods last.
    """
    periods_s = []
    for part in text.split(","):
        try:
            seconds = float(part)
        except ValueError:
            continue
        if isfinite(seconds) and seconds >= 0:
            periods_s.append(min(seconds, MAX_BACKOFF_S))
    return max(periods_s, default=None)


class ServerBackoff:
    """
    Back-off state of one server, with a single half-open probe after the period.

    Attributes
    ----------
    until_s : float
        End of the back-off period, in seconds.
    """

    __slots__ = (
        "until_s",
        "_peer_until_s",
        "_peer_reported_s",
        "_awaits_probe",
        "_probe_sent_s",
    )

    def __init__(self):
        self.until_s = -inf
        self._peer_until_s = -inf
        self._peer_reported_s = -inf
        self._awaits_probe = False
        self._probe_sent_s = None

    def requested(self, backoff_s, now):
        """
        Begin or extend the back-off period that the server requests.

        Parameters
        ----------
        pause_s : float
            In seconds. A period that ends before the current one does not shorten it.
        now : float
            In seconds.
        """
        if backoff_s <= 0:
            return
        self.until_s = max(self.until_s, now + backoff_s)
        self._awaits_probe = True
        self._probe_sent_s = None

    def record_peer_backoff(self, backoff_s, now):
        """
        Record a back-off period that the server has requested from another gateway.

        Parameters
        ----------
        pause_s, now : float
            In seconds.
        """
        self._peer_until_s = max(self._peer_until_s, now + backoff_s)
        self._peer_reported_s = now

    def is_on_at_peer(self, now):
        """
        Return whether another gateway is backing off.

        An answer to this gateway that requests no back-off overrides the report of the
        other gateway.

        Parameters
        ----------
        now : float
            In seconds.

        Returns
        -------
        bool
        """
        return now < self._peer_until_s

    def answered(self, sent_s):
        """
        Record an answer that requests no back-off.

        Parameters
        ----------
        sent_s : float
            Time at which the request was sent, in seconds. An answer to a request sent
            before the end of the back-off period is no evidence that it is over.

        Returns
        -------
        bool
            Whether the answer ends the back-off state.
        """
        if sent_s >= self._peer_reported_s:
            self._peer_until_s = -inf
        if not self._awaits_probe or sent_s < self.until_s:
            return False
        self._awaits_probe = False
        self._probe_sent_s = None
        return True

    def sent(self, now):
        """Record a request that is sent to the server at a time in seconds."""
        if self._awaits_probe:
            self._probe_sent_s = now

    def ended(self, sent_s):
        """Record the end of the request that was sent at a time in seconds."""
        if self._probe_sent_s == sent_s:
            self._probe_sent_s = None

    def is_on(self, now):
        """Return whether the back-off period is in force at a time in seconds."""
        return now < self.until_s

    @property
    def awaits_probe(self):
        """Whether no answer has confirmed yet that the back-off period is over."""
        return self._awaits_probe

    def room(self, now):
        """
        Count the requests that may be sent immediately.

        Parameters
        ----------
        now : float
            In seconds.

        Returns
        -------
        float
            0 during the back-off period. Afterwards 1 until a request has been
            answered, so that the waiting requests do not all reach a server that is
            still overloaded. Infinite otherwise.
        """
        # The common case comes first, as each choice of a server calls this for every
        # server.
        if not self._awaits_probe:
            return inf
        return 0 if self.is_on(now) or self._probe_sent_s is not None else 1
