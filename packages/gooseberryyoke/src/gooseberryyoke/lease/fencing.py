"""Refusal of orders from those who no longer hold a lease."""

from returns.result import Failure, Success

from gooseberryyoke.record import Record

__all__ = ["FencingGate", "StaleNumber"]


class StaleNumber(Record):
    """
    An order's fencing number is lower than one seen before; it was not run.

    Parameters
    ----------
    name : str
        The lease.
    number : int
        Of the order.
    highest : int
        Seen before.
    """

    __slots__ = ("name", "number", "highest")

    def __init__(self, name, number, highest):
        self.name = name
        self.number = number
        self.highest = highest


class FencingGate:
    """
    Admits orders by fencing number.

    Notes
    -----
    The numbers live in memory: after a restart, `learn` them from whoever reads
    the leases before the first order is admitted.

    Examples
    --------
    >>> gate = FencingGate()
    >>> gate.admit("group-1", 4)
    <Success: 4>
    >>> gate.admit("group-1", 3).failure()
    StaleNumber(name='group-1', number=3, highest=4)
    """

    __slots__ = ("_highest",)

    def __init__(self):
        self._highest = {}

    def admit(self, name, number):
        """
        Let an order through unless its sender has been replaced.

        Parameters
        ----------
        name : str
            The lease under which it was given.
        number : int
            The sender's fencing number.

        Returns
        -------
        Result of int, StaleNumber
        """
        # A holder frozen past its lease wakes up and goes on giving orders as if
        # nothing had happened. Its successor's number has been seen here.
        highest = self._highest.get(name, 0)
        if number < highest:
            return Failure(StaleNumber(name, number, highest))
        self._highest[name] = number
        return Success(number)

    def learn(self, name, number):
        """
        Take note of a number without an order.

        Parameters
        ----------
        name : str
        number : int
        """
        self._highest[name] = max(number, self._highest.get(name, 0))
