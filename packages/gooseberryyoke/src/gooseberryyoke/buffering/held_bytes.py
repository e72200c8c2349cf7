"""Account for the bytes that a process buffers for peers that send or read slowly.

This guards against hundreds of callers that stop reading in the middle of their answers
or send large bodies one byte at a time. Each occupies little memory, but together they
exhaust the memory of the process, which then terminates and loses the requests of all
other callers.
"""

from math import inf

__all__ = ["HeldBytes", "Holding"]

_READ_AHEAD_LIMIT_BYTES = 256 * 1024
_ANSWER_LIMIT_BYTES = 16 * 1024 * 1024
_FREE_PART = 0.5
"""Part of the free memory up to which one answer may grow. The rest is left to others,
so that answers without an end do not take the memory of those that have one."""


class HeldBytes:
    """
    Account of the bytes that a process holds in buffers.

    Parameters
    ----------
    limit : float
        Maximum number of bytes held for all peers together; must be positive.
    read_ahead_limit : int
        Maximum number of bytes of one answer that are read ahead of its reader; must be
        positive.
    answer_limit : int
        Maximum length of an answer that is held until it is complete, in bytes.

    Attributes
    ----------
    total : int
        Bytes held now. It may exceed ``limit``, because short answers are delivered
        whatever is held.
    """

    __slots__ = ("answer_limit", "limit", "read_ahead_limit", "total")

    def __init__(
        self,
        limit=inf,
        read_ahead_limit=_READ_AHEAD_LIMIT_BYTES,
        answer_limit=_ANSWER_LIMIT_BYTES,
    ):
        if not (limit > 0 and read_ahead_limit > 0):
            raise ValueError(
                f"limits of {limit} and {read_ahead_limit} bytes, expected more than 0"
            )
        self.limit = limit
        self.read_ahead_limit = read_ahead_limit
        self.answer_limit = answer_limit
        self.total = 0

    def open(self):
        """
        Open a holding for one peer.

        Returns
        -------
        Holding
        """
        return Holding(self)

    def fits(self, count):
        """
        Check whether a number of additional bytes may be held.

        Parameters
        ----------
        count : int

        Returns
        -------
        bool
        """
        return self.total + count <= self.limit

    def may_grow(self, size, count):
        """
        Check whether an answer that is held until it is complete may grow.

        Parameters
        ----------
        size : int
            Number of bytes of it that are held.
        count : int
            Number of bytes to be added.

        Returns
        -------
        bool
        """
        after = size + count
        if after > self.answer_limit:
            return False
        free = self.limit - self.total
        return after <= max(self.read_ahead_limit, _FREE_PART * free)


class Holding:
    """
    Bytes held for one peer until the holding is closed.

    Parameters
    ----------
    account : HeldBytes

    Attributes
    ----------
    size : int
        Number of bytes held.
    """

    __slots__ = ("size", "_account")

    def __init__(self, account):
        self.size = 0
        self._account = account

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.close()

    def fits(self, count):
        """See `HeldBytes.fits`."""
        return self._account.fits(count)

    def may_grow(self, count):
        """See `HeldBytes.may_grow`."""
        return self._account.may_grow(self.size, count)

    def acquire(self, count):
        """Add bytes to the holding without checking the limit."""
        self.size += count
        self._account.total += count

    def release(self, count):
        """Subtract bytes that are no longer held."""
        self.size -= count
        self._account.total -= count

    def close(self):
        """Release all bytes held."""
        self.release(self.size)
