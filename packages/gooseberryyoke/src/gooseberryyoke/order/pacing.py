"""Loads paced under the weight store's rate limit, shared by all who load."""

from gooseberryyoke.record import Record

__all__ = ["LoadPacer", "RateLease", "RateLedger"]


class RateLease(Record):
    """
    A share of the weight store's rate for a limited time.

    Parameters
    ----------
    holder : str
    rate_bytes_s : float
    duration_s : float
        Counted by the holder from before it asked, by the ledger from when it
        answered, so that the holder's use ends first.
    """

    __slots__ = ("holder", "rate_bytes_s", "duration_s")

    def __init__(self, holder, rate_bytes_s, duration_s):
        self.holder = holder
        self.rate_bytes_s = rate_bytes_s
        self.duration_s = duration_s


class RateLedger:
    """
    Give out shares of the weight store's rate, never more than all of it.

    Parameters
    ----------
    limit_bytes_s : float
        Rate limit of the weight store.
    duration_s : float
        Duration of a lease; also how long a new ledger gives nothing, as the
        leases of the one before are unknown to it.
    now : float
        Seconds.

    Notes
    -----
    A lease counts until it has run out, also when its holder has died or asked
    for less: the store would otherwise be asked for more than its limit.
    """

    def __init__(self, limit_bytes_s, duration_s, now):
        self.limit_bytes_s = limit_bytes_s
        self.duration_s = duration_s
        self._opens_at = now + duration_s
        self._leases = {}
        self._demands = {}

    def ask(self, holder, weight, now):
        """
        Ask for a share for the next `duration_s`.

        Parameters
        ----------
        holder : str
        weight : float
            Share against other holders; 0 says that nothing is to be loaded.
        now : float

        Returns
        -------
        RateLease
            Its rate is 0 while nothing is free.
        """
        self._forget(now)
        self._demands[holder] = (weight, now + self.duration_s)
        if weight <= 0:
            self._demands.pop(holder)
        rate_bytes_s = self._rate(holder, weight) if now >= self._opens_at else 0.0
        lease = (rate_bytes_s, now + self.duration_s)
        self._leases.setdefault(holder, []).append(lease)
        return RateLease(holder, rate_bytes_s, self.duration_s)

    def _rate(self, holder, weight):
        total = sum(other for other, _ in self._demands.values())
        fair = self.limit_bytes_s * weight / total if total else 0.0
        # A holder's leases overlap while it renews; it uses the newest alone,
        # but may not have had the answer yet, so the largest counts.
        taken = sum(
            max(rate for rate, _ in leases)
            for other, leases in self._leases.items()
            if other != holder
        )
        return min(fair, max(0.0, self.limit_bytes_s - taken))

    def _forget(self, now):
        for holder, leases in list(self._leases.items()):
            left = [lease for lease in leases if lease[1] > now]
            if left:
                self._leases[holder] = left
            else:
                del self._leases[holder]
        for holder, (_, until) in list(self._demands.items()):
            if until <= now:
                del self._demands[holder]


class LoadPacer:
    """
    Spend a holder's leases, load by load.

    Parameters
    ----------
    burst_bytes : float
        Largest part that is fetched in one go.
    now : float

    Examples
    --------
    >>> pacer = LoadPacer(burst_bytes=100.0, now=0.0)
    >>> pacer.renew(RateLease("rank-0", 50.0, 10.0), asked_at=0.0)
    >>> pacer.take(100.0, now=1.0), pacer.take(50.0, now=1.0)
    (1.0, 0.0)
    """

    def __init__(self, burst_bytes, now):
        self.burst_bytes = burst_bytes
        self._tokens_bytes = 0.0
        self._filled_at = now
        self._rate_bytes_s = 0.0
        self._ends_at = now

    def renew(self, lease, asked_at):
        """
        Use a new lease.

        Parameters
        ----------
        lease : RateLease
        asked_at : float
            When the lease was asked for, in seconds.
        """
        self._fill(asked_at)
        self._rate_bytes_s = lease.rate_bytes_s
        self._ends_at = asked_at + lease.duration_s

    def take(self, size_bytes, now):
        """
        Ask to fetch a part now.

        Parameters
        ----------
        size_bytes : float
            At most `burst_bytes`.
        now : float

        Returns
        -------
        float or None
            Seconds to wait before asking again, 0 if the part may be fetched
            now, None if the lease will have run out by then.
        """
        if size_bytes > self.burst_bytes:
            raise ValueError(f"{size_bytes} bytes: expected at most {self.burst_bytes}")
        self._fill(now)
        if size_bytes <= self._tokens_bytes and now < self._ends_at:
            self._tokens_bytes -= size_bytes
            return 0.0
        if self._rate_bytes_s <= 0:
            return None
        wait_s = max(0.0, size_bytes - self._tokens_bytes) / self._rate_bytes_s
        return wait_s if now + wait_s < self._ends_at else None

    def _fill(self, now):
        spent_s = max(0.0, min(now, self._ends_at) - self._filled_at)
        filled = self._tokens_bytes + spent_s * self._rate_bytes_s
        self._tokens_bytes = min(filled, self.burst_bytes)
        self._filled_at = max(self._filled_at, now)
