"""Admission of requests by prediction, patience and shares."""

from itertools import count

from returns.result import Failure, Success

from gooseberryyoke.admission.shares import Shares
from gooseberryyoke.admission.ticket import Ticket
from gooseberryyoke.outcome import Refusal, Verdict

__all__ = ["Admission"]

TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503
CONTENDED_WAIT_S = 1.0
LONGEST_WAIT_S = 3.0
HEADROOM_S = 0.5
USAGE_ACCOUNTS = 32
BORROW = 0.25
RETRY_AT_LEAST_S = 0.5


class Admission:
    """
    Admission of requests at one entry.

    A request that can't be answered within its patience, or would make a queue
    too long, is refused at once. So is one of an account that is over its share
    while the service is contended; as long as it is not, every account may use
    what is there.

    Parameters
    ----------
    contended_wait_s : float
        Queue from which a service is contended for an account that is barely
        over its share. The further it is over, the shorter that queue.
    borrow : float
        Part of the unused share of others that an account may use while the
        service is contended, from 0 to 1.
    longest_wait_s : float
        Longest predicted wait for a batch slot. A longer queue answers no more
        requests in time, it only makes each of them older.
    headroom_s : float
        What is kept free of accounts far over their share, as time of the
        empty batch slots, so that others find a slot at once; less where calls
        are short.
    """

    __slots__ = (
        "contended_wait_s",
        "borrow",
        "longest_wait_s",
        "headroom_s",
        "_shares",
        "_tickets",
        "_numbers",
    )

    def __init__(
        self,
        contended_wait_s=CONTENDED_WAIT_S,
        borrow=BORROW,
        longest_wait_s=LONGEST_WAIT_S,
        headroom_s=HEADROOM_S,
    ):
        self.contended_wait_s = contended_wait_s
        self.borrow = borrow
        self.longest_wait_s = longest_wait_s
        self.headroom_s = headroom_s
        self._shares = {}
        self._tickets = {}
        self._numbers = count(1)

    def admit(self, account, weight, request_class, demand, predicted, deadline_s, now):
        """
        Admit a request or refuse it at once.

        Parameters
        ----------
        account : str
            Client account.
        weight : float
            Weight of the account's share, greater than 0.
        request_class : str
            Class of the request within its account.
        demand : Demand
        predicted : Choice
            Where the request would go and when it would be answered.
        deadline_s : float
            Time by which the whole answer is due, on the clock of ``now``.
        now : float
            Time in seconds.

        Returns
        -------
        Result[Ticket, Refusal]
            Refusals carry `Verdict.NOT_RUN`.
        """
        shares = self._shares_of(demand.service)
        shares.seen(account, weight, now)
        cost_s = predicted.predicted_finish_s - predicted.predicted_wait_s
        refusal = (
            _lateness(predicted, deadline_s - now)
            or self._queue_full(predicted)
            or self._over_share(shares, account, cost_s, predicted)
        )
        if refusal is not None:
            return Failure(refusal)
        shares.add(account, cost_s)
        ticket = Ticket(
            next(self._numbers), account, request_class, demand.service, cost_s, now
        )
        self._tickets[ticket.number] = ticket
        return Success(ticket)

    def release(self, ticket, now):
        """
        Give back what an admitted request held; a second time does nothing.

        Parameters
        ----------
        ticket : Ticket
        now : float
            Time in seconds.
        """
        if self._tickets.pop(ticket.number, None) is not None:
            self._shares[ticket.service].add(ticket.account, -ticket.cost_s)

    def in_flight(self):
        """
        Count the admitted requests that were not released.

        Returns
        -------
        int
        """
        return len(self._tickets)

    def usage(self, limit=USAGE_ACCOUNTS):
        """
        Tell the other entries what accounts use here.

        Parameters
        ----------
        limit : int
            Accounts told for each service, the largest first.

        Returns
        -------
        dict
            ``{service: {account: (weight, in_flight_s)}}``
        """
        return {service: s.largest(limit) for service, s in self._shares.items()}

    def take_usage(self, entry, usage, now):
        """
        Take what another entry's `usage` told; it counts for a few seconds.

        Parameters
        ----------
        entry : str
            Name of that entry.
        usage : dict
        now : float
            Time in seconds.
        """
        for service, largest in usage.items():
            self._shares_of(service).take_peer(entry, largest, now)

    def _shares_of(self, service):
        shares = self._shares.get(service)
        if shares is None:
            shares = self._shares[service] = Shares(self.borrow)
        return shares

    def _queue_full(self, predicted):
        over_s = predicted.predicted_wait_s - self.longest_wait_s
        if over_s <= 0:
            return None
        detail = (
            f"the wait for a slot is predicted as {predicted.predicted_wait_s:.2f} s,"
            f" expected {self.longest_wait_s:.2f} s at most"
        )
        retry_s = max(RETRY_AT_LEAST_S, over_s)
        return _refusal(UNAVAILABLE, "queue-full", detail, retry_s)

    def _over_share(self, shares, account, cost_s, predicted):
        excess_s = shares.excess_s(account, cost_s)
        if excess_s <= 0:
            return None
        used_s = shares.in_flight_s(account)
        allowed = 1 - excess_s / (used_s + cost_s)
        # One threshold for all would let an account that floods the service fill
        # the queue up to it, and the others would wait behind that.
        contended_s = self.contended_wait_s * allowed**2
        # Never more than half of a call's own time: all the slots of a service with
        # short calls, free as they may be, come to less than the headroom, so that
        # it would refuse accounts while it is idle.
        contended_s -= min(self.headroom_s, cost_s / 2) * (1 - allowed)
        if predicted.queue_s <= contended_s:
            return None
        detail = (
            f"account {account!r} has {used_s:.1f} s of work in flight,"
            f" {excess_s:.1f} s over its share while the service is contended"
        )
        retry_s = max(RETRY_AT_LEAST_S, cost_s * (1 - allowed))
        return _refusal(TOO_MANY_REQUESTS, "over-share", detail, retry_s)


def _lateness(predicted, patience_s):
    if patience_s <= 0:
        detail = f"the deadline passed {-patience_s:.3f} s ago"
        return _refusal(UNAVAILABLE, "deadline-passed", detail, None)
    late_s = predicted.predicted_finish_s - patience_s
    if late_s <= 0:
        return None
    detail = (
        f"the answer is predicted in {predicted.predicted_finish_s:.2f} s,"
        f" the patience of this hour is {patience_s:.2f} s"
    )
    if late_s > predicted.predicted_wait_s:
        return _refusal(UNAVAILABLE, "patience-too-short", detail, None)
    # The queue drains one second a second at best.
    return _refusal(UNAVAILABLE, "too-late", detail, max(RETRY_AT_LEAST_S, late_s))


def _refusal(status, reason, detail, retry_after_s):
    return Refusal(Verdict.NOT_RUN, status, reason, detail, retry_after_s)
