"""The agent's last word on which orders reach its engine."""

from collections import OrderedDict

from gooseberryyoke.order.order import OrderOutcome, OrderReply

__all__ = ["OrderGate"]

_REMEMBERED_ORDERS = 256
_NO_NUMBER = -1


class OrderGate:
    """
    Let each order through once, one at a time, from the newest sender only.

    Parameters
    ----------
    incarnation : object
        Name of this life of the agent, unlike that of every earlier life.
    remembered : int
        Finished orders whose replies are kept.

    Notes
    -----
    The gate does not lean on the engine: engines that ignore fencing numbers
    see only orders that passed it. Which orders of an earlier life ran is
    forgotten; the sender reads from the engine what it holds before it orders
    anything under the new incarnation.

    Examples
    --------
    >>> from gooseberryyoke.order import ChangeRole, Order
    >>> gate = OrderGate("life-1")
    >>> order = Order(3, "life-1", 7, ChangeRole("decode"))
    >>> gate.submit(order).outcome
    <OrderOutcome.ACCEPTED: 'accepted'>
    >>> gate.finish(7, None).outcome
    <OrderOutcome.DONE: 'done'>
    >>> gate.submit(order).outcome
    <OrderOutcome.DONE: 'done'>
    """

    def __init__(self, incarnation, remembered=_REMEMBERED_ORDERS):
        self.incarnation = incarnation
        self.fence = _NO_NUMBER
        self.running = None
        self._remembered = remembered
        self._finished = OrderedDict()
        self._forgotten = _NO_NUMBER

    def submit(self, order):
        """
        Take an order; run it on the engine if, and only if, it is ACCEPTED.

        Parameters
        ----------
        order : Order

        Returns
        -------
        OrderReply
        """
        refusal = self._check_sender(order)
        if refusal is not None:
            return refusal
        self.fence = order.fence
        known = self._known(order)
        if known is not None:
            return known
        # Orders of one engine run one after the other: an order of a former
        # sender that is still running would otherwise cross with the next.
        if self.running is not None:
            detail = f"order {self.running.number} is running"
            return OrderReply(order.number, OrderOutcome.BUSY, detail)
        self.running = order
        return OrderReply(order.number, OrderOutcome.ACCEPTED)

    def finish(self, number, failure):
        """
        Note that the engine has ended the running order.

        Parameters
        ----------
        number : int
        failure : str or None
            What the engine said; None if it did what it was told.

        Returns
        -------
        OrderReply
            The reply that every repeat gets from now on.
        """
        if self.running is None or self.running.number != number:
            raise ValueError(f"order {number}: expected the one running")
        outcome = OrderOutcome.DONE if failure is None else OrderOutcome.FAILED
        reply = OrderReply(number, outcome, failure or "")
        self._finished[number] = (self.running.action, reply)
        self.running = None
        while len(self._finished) > self._remembered:
            forgotten, _ = self._finished.popitem(last=False)
            self._forgotten = max(self._forgotten, forgotten)
        return reply

    def _check_sender(self, order):
        # A restarted agent has forgotten the highest fencing number; only the
        # name of its life tells an order sent to the life before.
        if order.incarnation != self.incarnation:
            detail = f"expected incarnation {self.incarnation}"
            return OrderReply(order.number, OrderOutcome.OLD_INCARNATION, detail)
        if order.fence < self.fence:
            detail = f"fence {order.fence}: expected {self.fence} or higher"
            return OrderReply(order.number, OrderOutcome.OLD_FENCE, detail)
        return None

    def _known(self, order):
        if self.running is not None and self.running.number == order.number:
            reply = OrderReply(order.number, OrderOutcome.RUNNING)
            return self._same(order, self.running.action, reply)
        if order.number in self._finished:
            return self._same(order, *self._finished[order.number])
        # Whether it ran is no longer known, so it must not run again.
        if order.number <= self._forgotten:
            detail = f"expected a number above {self._forgotten}"
            return OrderReply(order.number, OrderOutcome.OLD_NUMBER, detail)
        return None

    def _same(self, order, action, reply):
        if order.action == action:
            return reply
        detail = f"{order.action}: the number belongs to {action}"
        return OrderReply(order.number, OrderOutcome.CONFLICT, detail)
