"""Pacing of loads under the shared rate limit of the weight store."""

from gooseberryyoke.record import Record

__all__ = ["LoadPacer", "RateAllocator", "RateLease"]


class RateLease(Record):
    """
    A share of the weight store's rate limit, granted for a limited time.

    Parameters
    ----------
    holder : str
        Name of the process that holds the lease.
    rate_bytes_s : float
        Granted rate, in bytes per second.
    duration_s : float
        Duration in seconds. The holder counts it from a time before it sends the
        request, the allocator from its later reply, so that the lease ends at the
        holder first.
    """

    __slots__ = ("holder", "rate_bytes_s", "duration_s")

    def __init__(self, holder, rate_bytes_s, duration_s):
        self.holder = holder
        self.rate_bytes_s = rate_bytes_s
        self.duration_s = duration_s


class RateAllocator:
    """
    An allocator of leases whose rates never exceed the weight store's limit in total.

    Parameters
    ----------
    limit_bytes_s : float
        Rate limit of the weight store, in bytes per second.
    duration_s : float
        Duration of a lease, in seconds. A new allocator grants nothing for the same
        time, as it doesn't know the leases of its predecessor.
    now : float
        Present time in seconds.

    Notes
    -----
    A lease counts towards the limit until it expires, even if its holder has died or
    has requested less since. Otherwise the load on the store could exceed its limit.
    """

    def __init__(self, limit_bytes_s, duration_s, now):
        self.limit_bytes_s = limit_bytes_s
        self.duration_s = duration_s
        self._grants_from = now + duration_s
        self._leases = {}
        self._demands = {}

    def request(self, holder, weight, now):
        """
        Grant a lease for the next `duration_s` seconds.

        Parameters
        ----------
        holder : str
            Name of the requesting process.
        weight : float
            Weight relative to the other holders; 0 if there is nothing to load.
        now : float
            Present time in seconds.

        Returns
        -------
        RateLease
            Lease with a rate of 0 if no rate is available.
        """
        self._remove_expired(now)
        self._demands[holder] = (weight, now + self.duration_s)
        if weight <= 0:
            self._demands.pop(holder)
        rate_bytes_s = (
            self._available_rate(holder, weight) if now >= self._grants_from else 0.0
        )
        lease = (rate_bytes_s, now + self.duration_s)
        self._leases.setdefault(holder, []).append(lease)
        return RateLease(holder, rate_bytes_s, self.duration_s)

    def _available_rate(self, holder, weight):
        total = sum(other for other, _ in self._demands.values())
        fair_share = self.limit_bytes_s * weight / total if total else 0.0
        # A holder's leases overlap during a renewal. It uses only the newest one,
        # but may not have received it yet, so the largest one counts.
        allocated = sum(
            max(rate for rate, _ in leases)
            for other, leases in self._leases.items()
            if other != holder
        )
        return min(fair_share, max(0.0, self.limit_bytes_s - allocated))

    def _remove_expired(self, now):
        for holder, leases in list(self._leases.items()):
            unexpired = [lease for lease in leases if lease[1] > now]
            if unexpired:
                self._leases[holder] = unexpired
            else:
                del self._leases[holder]
        for holder, (_, until) in list(self._demands.items()):
            if until <= now:
                del self._demands[holder]


class LoadPacer:
    """
    A token bucket that paces a holder's fetches to the rate of its lease.

    Parameters
    ----------
    burst_bytes : float
        Capacity of the bucket, in bytes; a single fetch can't be larger.
    now : float
        Present time in seconds.

    Examples
    --------
    >>> pacer = LoadPacer(burst_bytes=100.0, now=0.0)
    >>> pacer.renew(RateLease("rank-0", 50.0, 10.0), requested_at=0.0)
    >>> pacer.take(100.0, now=1.0), pacer.take(50.0, now=1.0)
    (1.0, 0.0)
    """

    def __init__(self, burst_bytes, now):
        self.burst_bytes = burst_bytes
        self._tokens_bytes = 0.0
        self._refilled_at = now
        self._rate_bytes_s = 0.0
        self._expires_at = now

    def renew(self, lease, requested_at):
        """
        Replace the current lease.

        Parameters
        ----------
        lease : RateLease
            The new lease.
        requested_at : float
            Time at which the lease was requested, in seconds.
        """
        self._refill(requested_at)
        self._rate_bytes_s = lease.rate_bytes_s
        self._expires_at = requested_at + lease.duration_s

    def take(self, size_bytes, now):
        """
        Take the tokens for a fetch, if they are available.

        Parameters
        ----------
        size_bytes : float
            Size of the fetch; at most `burst_bytes`.
        now : float
            Present time in seconds.

        Returns
        -------
        float or None
            0 if the fetch may start now; otherwise the seconds to wait before the
            next call, or None if the lease expires before then or its rate is 0.

        Raises
        ------
        ValueError
            If the size exceeds `burst_bytes`.
        """
        if size_bytes > self.burst_bytes:
            raise ValueError(f"{size_bytes} bytes: expected at most {self.burst_bytes}")
        self._refill(now)
        if size_bytes <= self._tokens_bytes and now < self._expires_at:
            self._tokens_bytes -= size_bytes
            return 0.0
        if self._rate_bytes_s <= 0:
            return None
        wait_s = max(0.0, size_bytes - self._tokens_bytes) / self._rate_bytes_s
        return wait_s if now + wait_s < self._expires_at else None

    def _refill(self, now):
        elapsed_s = max(0.0, min(now, self._expires_at) - self._refilled_at)
        tokens_bytes = self._tokens_bytes + elapsed_s * self._rate_bytes_s
        self._tokens_bytes = min(tokens_bytes, self.burst_bytes)
        self._refilled_at = max(self._refilled_at, now)
