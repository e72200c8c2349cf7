"""Admission of orders by the agent before they reach its engine."""

from collections import OrderedDict

from gooseberryyoke.order.order import OrderOutcome, OrderReply

__all__ = ["OrderGate"]

_MAX_FINISHED_ORDERS = 256
_NO_NUMBER = -1


class OrderGate:
    """
    A gate that admits each order once, one at a time, from the newest sender only.

    Parameters
    ----------
    incarnation : object
        Identifier of this incarnation of the agent; differs from all earlier ones.
    max_finished : int
        Number of finished orders whose replies are kept.

    Notes
    -----
    The gate does not rely on the engine: even an engine that ignores fencing numbers
    receives only admitted orders. A new incarnation has no record of the orders to
    earlier ones, so a sender reads the engine's state before it sends orders to it.

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

    def __init__(self, incarnation, max_finished=_MAX_FINISHED_ORDERS):
        self.incarnation = incarnation
        self.fence = _NO_NUMBER
        self.running = None
        self._max_finished = max_finished
        self._finished = OrderedDict()
        self._highest_evicted = _NO_NUMBER

    def submit(self, order):
        """
        Admit or refuse an order.

        Parameters
        ----------
        order : Order
            Order as received.

        Returns
        -------
        OrderReply
            The caller must run the order on the engine if, and only if, the outcome
            is ``ACCEPTED``.
        """
        refusal = self._check_sender(order)
        if refusal is not None:
            return refusal
        self.fence = order.fence
        reply = self._find_reply(order)
        if reply is not None:
            return reply
        # The orders of one engine run one at a time. Otherwise an order of a former
        # sender could still be running while the next one starts.
        if self.running is not None:
            detail = f"order {self.running.number} is running"
            return OrderReply(order.number, OrderOutcome.BUSY, detail)
        self.running = order
        return OrderReply(order.number, OrderOutcome.ACCEPTED)

    def finish(self, number, failure):
        """
        Record the result of the running order.

        Parameters
        ----------
        number : int
            Number of the running order.
        failure : str or None
            Error message of the engine, or None if the order succeeded.

        Returns
        -------
        OrderReply
            The reply to every repeat of the order from now on.

        Raises
        ------
        ValueError
            If the order is not the running one.
        """
        if self.running is None or self.running.number != number:
            raise ValueError(f"order {number} is not the running order")
        outcome = OrderOutcome.DONE if failure is None else OrderOutcome.FAILED
        reply = OrderReply(number, outcome, failure or "")
        self._finished[number] = (self.running.action, reply)
        self.running = None
        while len(self._finished) > self._max_finished:
            evicted, _ = self._finished.popitem(last=False)
            self._highest_evicted = max(self._highest_evicted, evicted)
        return reply

    def _check_sender(self, order):
        # A restarted agent has lost the highest fencing number; only the incarnation
        # identifies an order that was sent to the agent before its restart.
        if order.incarnation != self.incarnation:
            detail = f"expected incarnation {self.incarnation}"
            return OrderReply(order.number, OrderOutcome.OLD_INCARNATION, detail)
        if order.fence < self.fence:
            detail = f"fence {order.fence}: expected {self.fence} or higher"
            return OrderReply(order.number, OrderOutcome.OLD_FENCE, detail)
        return None

    def _find_reply(self, order):
        if self.running is not None and self.running.number == order.number:
            reply = OrderReply(order.number, OrderOutcome.RUNNING)
            return self._check_action(order, self.running.action, reply)
        if order.number in self._finished:
            return self._check_action(order, *self._finished[order.number])
        # It is no longer known whether the order ran, so it must not run again.
        if order.number <= self._highest_evicted:
            detail = f"expected a number above {self._highest_evicted}"
            return OrderReply(order.number, OrderOutcome.OLD_NUMBER, detail)
        return None

    def _check_action(self, order, recorded_action, reply):
        if order.action == recorded_action:
            return reply
        detail = f"{order.action}: the number belongs to {recorded_action}"
        return OrderReply(order.number, OrderOutcome.CONFLICT, detail)
