"""Refusal of orders from processes that no longer hold a lease."""

from returns.result import Failure, Success

from gooseberryyoke.record import Record

__all__ = ["FencingGate", "StaleNumber"]


class StaleNumber(Record):
    """
    Refusal of an order whose fencing number is lower than one seen before.

    The order was not executed.

    Parameters
    ----------
    name : str
        Name of the lease.
    number : int
        Fencing number of the order.
    highest : int
        Highest fencing number seen for the lease so far.
    """

    __slots__ = ("name", "number", "highest")

    def __init__(self, name, number, highest):
        self.name = name
        self.number = number
        self.highest = highest


class FencingGate:
    """
    Check of orders against the highest fencing number seen for their lease.

    Notes
    -----
    The numbers are kept in memory only. After a restart, pass the numbers read from
    the leases to `learn` before admitting the first order.

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
        Admit an order unless a later holder of the lease is known.

        Parameters
        ----------
        name : str
            Name of the lease under which the order was given.
        number : int
            Fencing number of the sender.

        Returns
        -------
        Result of int, StaleNumber
        """
        # A holder that was suspended until after its lease expired continues to send
        # orders when it resumes. If its successor's higher number has been seen,
        # these orders are refused.
        highest = self._highest.get(name, 0)
        if number < highest:
            return Failure(StaleNumber(name, number, highest))
        self._highest[name] = number
        return Success(number)

    def learn(self, name, number):
        """
        Record a fencing number that was not received with an order.

        Parameters
        ----------
        name : str
            Name of the lease.
        number : int
            Fencing number of a holder; lower than the highest known has no effect.
        """
        self._highest[name] = max(number, self._highest.get(name, 0))
