"""Leases held by one process at a time, with a fencing number for each holder."""

from gooseberryyoke.record import Record

__all__ = [
    "Acquire",
    "Grant",
    "Lease",
    "LeaseView",
    "Renew",
    "Wait",
    "lease_from_value",
    "lease_key",
]

_CLOCK_DRIFT_FACTOR = 1.02
"""Factor by which a waiting process extends the time to live of another holder's lease,
for clocks that run at different rates."""


class Lease(Record):
    """
    Content of a lease's register.

    Parameters
    ----------
    holder : str
        Identity of one run of a process; empty if the lease is free.
    number : int
        Fencing number; it grows with each new holder and never decreases.
    ttl_s : float
        Time in seconds for which the holder may act, from the start of its last write.
    """

    __slots__ = ("holder", "number", "ttl_s")

    def __init__(self, holder, number, ttl_s):
        self.holder = holder
        self.number = number
        self.ttl_s = ttl_s

    def to_value(self):
        """
        Convert the lease to a value of a register.

        Returns
        -------
        list
            Holder, number and time to live.
        """
        return [self.holder, self.number, self.ttl_s]


def lease_from_value(value):
    """
    Convert a value of a register to a lease; the inverse of `Lease.to_value`.

    Parameters
    ----------
    value : list or None
        None for a register that was never written.

    Returns
    -------
    Lease
    """
    return Lease("", 0, 0.0) if value is None else Lease(*value)


def lease_key(name):
    """
    Return the key of a lease's register.

    The register is never deleted, since its fencing numbers would start again from 1.

    Parameters
    ----------
    name : str
        Name of the lease.

    Returns
    -------
    str
    """
    return f"lease/{name}"


class Grant(Record):
    """
    Proof of a held lease, for use by its holder.

    Parameters
    ----------
    number : int
        Fencing number to send with every order.
    until_s : float
        Time in seconds on the holder's own monotonic clock after which no order may
        be sent.
    """

    __slots__ = ("number", "until_s")

    def __init__(self, number, until_s):
        self.number = number
        self.until_s = until_s


class Acquire(Record):
    """Decision to write a lease that is free or has expired."""

    __slots__ = ("lease",)

    def __init__(self, lease):
        self.lease = lease


class Renew(Record):
    """Decision to write the process's own lease again."""

    __slots__ = ("lease",)

    def __init__(self, lease):
        self.lease = lease


class Wait(Record):
    """Decision to wait until the lease of another holder may have expired."""

    __slots__ = ("until_s",)

    def __init__(self, until_s):
        self.until_s = until_s


class LeaseView:
    """
    View of a lease by one process.

    Parameters
    ----------
    holder : str
        Identity of this run of the process.
    ttl_s : float
        Time to live of the leases that this process writes, in seconds.
    holder_prefix : str, optional
        Prefix of the holder identities of all runs of this process. A lease held by an
        earlier run is free: that run has ended, as this one could not have started
        otherwise.

    Notes
    -----
    The processes share no clock. A waiting process measures the time to live from the
    time at which it first read the register's version, which is later than the start of
    the holder's write.
    """

    __slots__ = ("_holder", "_ttl_s", "_holder_prefix", "_version", "_seen_s")

    def __init__(self, holder, ttl_s, holder_prefix=None):
        self._holder_prefix = holder_prefix
        self._holder = holder
        self._ttl_s = ttl_s
        self._version = None
        self._seen_s = 0.0

    def decide(self, versioned, now):
        """
        Decide how to proceed with the lease that was read.

        Parameters
        ----------
        versioned : Versioned
            Content of the lease's register.
        now : float
            Monotonic time after the read, in seconds.

        Returns
        -------
        Acquire or Renew or Wait
        """
        if versioned.version != self._version:
            self._version = versioned.version
            self._seen_s = now
        lease = lease_from_value(versioned.value)
        if lease.holder == self._holder:
            return Renew(lease.replace(ttl_s=self._ttl_s))
        until_s = self._seen_s + lease.ttl_s * _CLOCK_DRIFT_FACTOR
        if lease.holder and now < until_s and not self._is_held_by_earlier_run(lease):
            return Wait(until_s)
        return Acquire(Lease(self._holder, lease.number + 1, self._ttl_s))

    def _is_held_by_earlier_run(self, lease):
        return self._holder_prefix is not None and lease.holder.startswith(
            self._holder_prefix
        )
