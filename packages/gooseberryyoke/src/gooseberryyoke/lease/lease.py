"""One holder at a time of whatever needs one, with a number for each holder."""

from gooseberryyoke.record import Record

__all__ = [
    "Grant",
    "Lease",
    "LeaseView",
    "Renew",
    "Take",
    "Wait",
    "lease_from_value",
    "lease_key",
]

_CLOCK_DRIFT = 1.02


class Lease(Record):
    """
    What a lease's register holds.

    Parameters
    ----------
    holder : str
        Identity of one life of a process; empty if nobody holds it.
    number : int
        Fencing number: grows with each new holder, never goes back.
    ttl_s : float
        How long the holder may act after the start of its last write.
    """

    __slots__ = ("holder", "number", "ttl_s")

    def __init__(self, holder, number, ttl_s):
        self.holder = holder
        self.number = number
        self.ttl_s = ttl_s

    def to_value(self):
        """
        Turn into a register's value.

        Returns
        -------
        list
        """
        return [self.holder, self.number, self.ttl_s]


def lease_from_value(value):
    """
    Undo `Lease.to_value`.

    Parameters
    ----------
    value : list or None

    Returns
    -------
    Lease
    """
    return Lease("", 0, 0.0) if value is None else Lease(*value)


def lease_key(name):
    """
    Name the register of a lease; it is never deleted, or numbers would go back.

    Parameters
    ----------
    name : str

    Returns
    -------
    str
    """
    return f"lease/{name}"


class Grant(Record):
    """
    A lease as its holder has it.

    Parameters
    ----------
    number : int
        To be sent with every order.
    until_s : float
        No order may leave after this, on the holder's own monotonic clock.
    """

    __slots__ = ("number", "until_s")

    def __init__(self, number, until_s):
        self.number = number
        self.until_s = until_s


class Take(Record):
    """Write this lease: it is free or has run out."""

    __slots__ = ("lease",)

    def __init__(self, lease):
        self.lease = lease


class Renew(Record):
    """Write this lease again: it is one's own."""

    __slots__ = ("lease",)

    def __init__(self, lease):
        self.lease = lease


class Wait(Record):
    """Another holds it; it may run out at this time."""

    __slots__ = ("until_s",)

    def __init__(self, until_s):
        self.until_s = until_s


class LeaseView:
    """
    One process's view of a lease.

    Parameters
    ----------
    holder : str
        Identity of this life of the process.
    ttl_s : float
        Length of its own terms.
    lineage : str, optional
        What the holders of this process's earlier lives begin with. A lease that one
        of them holds is free: the process has ended, or this one would not run.

    Notes
    -----
    No clock is shared: a waiting process counts a term from when it first saw
    the register's version, which is later than the start of the holder's write.
    """

    __slots__ = ("_holder", "_ttl_s", "_lineage", "_version", "_seen_s")

    def __init__(self, holder, ttl_s, lineage=None):
        self._lineage = lineage
        self._holder = holder
        self._ttl_s = ttl_s
        self._version = None
        self._seen_s = 0.0

    def decide(self, versioned, now):
        """
        Decide on what was read.

        Parameters
        ----------
        versioned : Versioned
            Content of the lease's register.
        now : float
            Monotonic time after the read, in seconds.

        Returns
        -------
        Take or Renew or Wait
        """
        if versioned.version != self._version:
            self._version = versioned.version
            self._seen_s = now
        lease = lease_from_value(versioned.value)
        if lease.holder == self._holder:
            return Renew(lease.replace(ttl_s=self._ttl_s))
        until_s = self._seen_s + lease.ttl_s * _CLOCK_DRIFT
        if lease.holder and now < until_s and not self._is_own_past(lease):
            return Wait(until_s)
        return Take(Lease(self._holder, lease.number + 1, self._ttl_s))

    def _is_own_past(self, lease):
        return self._lineage is not None and lease.holder.startswith(self._lineage)
