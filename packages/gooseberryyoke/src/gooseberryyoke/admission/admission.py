"""Admission control by predicted response times, patience and account shares."""

from itertools import count

from returns.result import Failure, Success

from gooseberryyoke.admission.shares import Shares
from gooseberryyoke.admission.ticket import Ticket
from gooseberryyoke.outcome import Refusal, Verdict

__all__ = ["Admission"]

TOO_MANY_REQUESTS = 429
SERVICE_UNAVAILABLE = 503
CONTENDED_WAIT_S = 1.0
LONGEST_WAIT_S = 3.0
HEADROOM_S = 0.5
MAX_USAGE_ACCOUNTS = 32
BORROW_FRACTION = 0.25
MIN_RETRY_AFTER_S = 0.5


class Admission:
    """
    Admission control at one entry.

    A request is refused immediately if it can't be answered within its patience,
    which is the time left until its deadline, or if its predicted wait is too long.
    It is also refused if its account is over its share while the service is
    contended. While the service is not contended, accounts may use any free
    capacity.

    Parameters
    ----------
    contended_wait_s : float
        Queue length, in seconds, from which a service counts as contended for an
        account slightly over its share. The threshold falls the further the
        account is over its share.
    borrow : float
        Fraction of the other accounts' unused shares that an account may use
        while the service is contended, from 0 to 1.
    longest_wait_s : float
        Maximum predicted wait for a batch slot in seconds. A longer queue does not
        increase the number of requests answered in time; it only delays each of
        them.
    headroom_s : float
        Capacity kept free of accounts far over their share, in seconds of empty
        batch slots, so that other accounts get a slot immediately. It is reduced
        for services with short calls.
    """

    __slots__ = (
        "contended_wait_s",
        "borrow",
        "longest_wait_s",
        "headroom_s",
        "_shares",
        "_tickets",
        "_ticket_numbers",
    )

    def __init__(
        self,
        contended_wait_s=CONTENDED_WAIT_S,
        borrow=BORROW_FRACTION,
        longest_wait_s=LONGEST_WAIT_S,
        headroom_s=HEADROOM_S,
    ):
        self.contended_wait_s = contended_wait_s
        self.borrow = borrow
        self.longest_wait_s = longest_wait_s
        self.headroom_s = headroom_s
        self._shares = {}
        self._tickets = {}
        self._ticket_numbers = count(1)

    def admit(self, account, weight, request_class, demand, predicted, deadline_s, now):
        """
        Admit a request or refuse it immediately.

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
            Server chosen for the request and its predicted response times.
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
        shares.mark_active(account, weight, now)
        cost_s = predicted.predicted_finish_s - predicted.predicted_wait_s
        refusal = (
            _check_deadline(predicted, deadline_s - now)
            or self._check_queue(predicted)
            or self._check_share(shares, account, cost_s, predicted)
        )
        if refusal is not None:
            return Failure(refusal)
        shares.add(account, cost_s)
        ticket = Ticket(
            next(self._ticket_numbers),
            account,
            request_class,
            demand.service,
            cost_s,
            now,
        )
        self._tickets[ticket.number] = ticket
        return Success(ticket)

    def release(self, ticket, now):
        """
        Release the ticket of an admitted request.

        Releasing a ticket more than once has no effect.

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
        Count the admitted requests that have not been released.

        Returns
        -------
        int
        """
        return len(self._tickets)

    def usage(self, limit=MAX_USAGE_ACCOUNTS):
        """
        Return the usage at this entry, to be sent to the other entries.

        Parameters
        ----------
        limit : int
            Maximum number of accounts per service, the largest first.

        Returns
        -------
        dict
            ``{service: {account: (weight, in_flight_s)}}``
        """
        return {service: s.largest(limit) for service, s in self._shares.items()}

    def update_peer_usage(self, entry, usage, now):
        """
        Apply the `usage` of another entry; it expires after a few seconds.

        Parameters
        ----------
        entry : str
            Name of that entry.
        usage : dict
            Result of `usage` at that entry.
        now : float
            Time in seconds.
        """
        for service, largest in usage.items():
            self._shares_of(service).update_peer_usage(entry, largest, now)

    def _shares_of(self, service):
        shares = self._shares.get(service)
        if shares is None:
            shares = self._shares[service] = Shares(self.borrow)
        return shares

    def _check_queue(self, predicted):
        over_s = predicted.predicted_wait_s - self.longest_wait_s
        if over_s <= 0:
            return None
        detail = (
            f"the wait for a slot is predicted as {predicted.predicted_wait_s:.2f} s,"
            f" expected {self.longest_wait_s:.2f} s at most"
        )
        retry_s = max(MIN_RETRY_AFTER_S, over_s)
        return _refusal(SERVICE_UNAVAILABLE, "queue-full", detail, retry_s)

    def _check_share(self, shares, account, cost_s, predicted):
        excess_s = shares.excess_s(account, cost_s)
        if excess_s <= 0:
            return None
        used_s = shares.in_flight_s(account)
        fraction_within_share = 1 - excess_s / (used_s + cost_s)
        # With the same threshold for all accounts, an account that floods the service
        # would fill the queue up to it, and the others would wait behind that queue.
        contended_s = self.contended_wait_s * fraction_within_share**2
        # The headroom is limited to half of the request's own cost. With short calls,
        # all free slots of a service add up to less than the configured headroom, so
        # that the service would refuse accounts while it is idle.
        contended_s -= min(self.headroom_s, cost_s / 2) * (1 - fraction_within_share)
        if predicted.queue_s <= contended_s:
            return None
        detail = (
            f"account {account!r} has {used_s:.1f} s of work in flight,"
            f" {excess_s:.1f} s over its share while the service is contended"
        )
        retry_s = max(MIN_RETRY_AFTER_S, cost_s * (1 - fraction_within_share))
        return _refusal(TOO_MANY_REQUESTS, "over-share", detail, retry_s)


def _check_deadline(predicted, patience_s):
    if patience_s <= 0:
        detail = f"the deadline passed {-patience_s:.3f} s ago"
        return _refusal(SERVICE_UNAVAILABLE, "deadline-passed", detail, None)
    late_s = predicted.predicted_finish_s - patience_s
    if late_s <= 0:
        return None
    detail = (
        f"the answer is predicted in {predicted.predicted_finish_s:.2f} s,"
        f" the patience of this hour is {patience_s:.2f} s"
    )
    if late_s > predicted.predicted_wait_s:
        return _refusal(SERVICE_UNAVAILABLE, "patience-too-short", detail, None)
    # The predicted wait falls by at most one second per second, so an earlier retry
    # would be late as well.
    return _refusal(
        SERVICE_UNAVAILABLE, "too-late", detail, max(MIN_RETRY_AFTER_S, late_s)
    )


def _refusal(status, reason, detail, retry_after_s):
    return Refusal(Verdict.NOT_RUN, status, reason, detail, retry_after_s)
