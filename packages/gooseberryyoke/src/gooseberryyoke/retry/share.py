"""Share of one gateway in the slack of a retry limit."""

from math import inf

from gooseberryyoke.retry.limit import ARRIVAL_DELAY_S

__all__ = ["RetryShare"]


class RetryShare:
    """
    Share of one gateway in the slack of a retry limit, held as a lease.

    The lease is renewed each time that a control process lists this gateway, as the
    other gateways then count it as well. The slack is divided equally among the
    gateways that were listed recently.

    Parameters
    ----------
    limit : RetryLimit

    Notes
    -----
    All shares in use within one window add up to at most the slack:

    * A lease begins a sending window after the gateway was first listed.
      By then, retries of the previous incarnation are outside the window, and the other
      gateways count this one.
    * It ends a window after the last listing. Gateways that are no longer listed are
      counted for longer than that, together with the delay before a lease, so that one
      that is cut off has lost its share before the others divide it, or before a
      gateway that never heard of it has one.
    """

    __slots__ = (
        "_slack",
        "_lease_s",
        "_wait_s",
        "_listed_from_s",
        "_last_listed_s",
        "_last_seen_s",
    )

    def __init__(self, limit):
        self._slack = limit.slack
        self._lease_s = limit.window_s
        self._wait_s = limit.sending_window_s
        self._listed_from_s = inf
        self._last_listed_s = -inf
        self._last_seen_s = {}

    def record_listed(self, now):
        """
        Record that a control process lists this gateway.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        """
        if now - self._last_listed_s > self._lease_s:
            self._listed_from_s = now
        self._last_listed_s = now

    def update_gateways(self, names, now):
        """
        Update the gateways that are listed.

        Parameters
        ----------
        names : collection of str
            Names of the gateways, including this one.
        now : float
            Current time, in seconds.
        """
        self._last_seen_s.update(dict.fromkeys(names, now))
        oldest_s = now - self._lease_s - self._wait_s - ARRIVAL_DELAY_S
        if min(self._last_seen_s.values(), default=now) < oldest_s:
            self._last_seen_s = {
                name: seen_s
                for name, seen_s in self._last_seen_s.items()
                if seen_s >= oldest_s
            }

    @property
    def gateways(self):
        """Number of gateways that the slack is divided among."""
        return max(1, len(self._last_seen_s))

    def retries(self, now):
        """
        Return the number of retries in each window that the share allows.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        float
            0 without a lease.
        """
        is_listed = now - self._last_listed_s <= self._lease_s
        if not is_listed or now - self._listed_from_s < self._wait_s:
            return 0.0
        return self._slack / self.gateways
