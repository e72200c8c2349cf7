"""Limit on the requests to a server while it is cold, and the ramp-up afterwards."""

from math import inf

from gooseberryyoke.placement.rate_limit import ramp_up_factor, rendezvous_senders
from gooseberryyoke.record import Record

__all__ = ["ColdLimit", "ColdRate", "SenderMembership"]

_WINDOW_S = 1.2
"""Length of the window that the bound is kept in, in seconds: one second, plus the time
by which connecting may delay one request more than another."""
_DISJOINT_VIEWS = 2
"""Number of disjoint views of the members that the bound allows for. After a partition
or a start, gateways may differ on which members are present. Two views without a common
gateway keep the bound together."""
_PROPAGATION_MARGIN_S = 1.0
"""Time added to the stated cold period, in seconds. It covers the time for
which a change may be in transit: half a second in each of two processes that forward
it."""
_LISTED_FRACTION = 0.5
"""Fraction of its share that a gateway uses while it knows the other gateways from the
durable list only. Two lists without a common name, together with the gateways that have
discovered each other, thus keep the bound."""
_DISCOVERY_S = 2.0
"""Time for discovery in seconds, counted from the first servers that a gateway learns
of. Afterwards the gateway knows the others and they know it: membership updates take
two rounds of 0.2 s, and are requested every 0.8 s."""
_MEMBER_TTL_S = 30.0
"""Time in seconds for which a gateway that is no longer reported keeps its share. It
may be partitioned and still send."""
_MAX_LIST_AGE_S = 2.0
"""Longest time since the confirmation of a list by a majority, in seconds. An older
list may lack gateways that send, as the process that sent it may be partitioned."""


class ColdRate(Record):
    """
    Rate of requests that the servers of a service accept while they are cold.

    Parameters
    ----------
    per_s : float
        Requests per second from all gateways together, over 0.
    start_s : float
        Time after its start, in seconds, for which a server that does not report its
        state is cold.
    overage, slack : float
        At most ``per_s * overage + slack`` requests may arrive in any second.
    """

    __slots__ = ("per_s", "start_s", "overage", "slack")

    def __init__(self, per_s, start_s, overage, slack):
        self.per_s = per_s
        self.start_s = start_s
        self.overage = overage
        self.slack = slack

    @property
    def max_per_second(self):
        """Bound on the requests that arrive in any second."""
        return self.per_s * self.overage + self.slack


class SenderMembership:
    """
    Gateways that share the rate of cold servers, as seen by one of them.

    Parameters
    ----------
    gateway : str
        Name of this gateway.

    Attributes
    ----------
    names : tuple of str
        Names of all gateways, including this one.
    has_sent : bool
        Whether this gateway has sent any request since its start.
    """

    __slots__ = (
        "names",
        "has_sent",
        "_started_s",
        "_gateway",
        "_is_list_decided",
        "_listed_until_s",
        "_opens_s",
        "_last_seen_s",
        "_settled_s",
    )

    def __init__(self, gateway):
        self.names = (gateway,)
        self.has_sent = False
        self._started_s = inf
        self._gateway = gateway
        self._is_list_decided = False
        self._listed_until_s = {}
        self._opens_s = inf
        self._last_seen_s = {}
        self._settled_s = inf

    def start(self, now):
        """Record the time in seconds at which this gateway's process starts."""
        self._started_s = now

    @property
    def idle_since_s(self):
        """Time of the start in seconds; infinite if a request was sent since."""
        return inf if self.has_sent else self._started_s

    @property
    def opens_s(self):
        """Time in seconds from which this gateway may send."""
        return min(self._opens_s, self._settled_s)

    @property
    def settled_s(self):
        """Time in seconds at which discovery of the other gateways is complete."""
        return self._settled_s

    def begin_discovery(self, now):
        """Begin discovery when this gateway first learns of servers, in seconds."""
        if self._settled_s == inf:
            self._settled_s = now + _DISCOVERY_S

    def is_settled(self, now):
        """Return whether discovery is complete at a time in seconds."""
        return now >= self._settled_s

    def wants_list(self, now):
        """Return whether a list of gateways would allow this one to send earlier."""
        return not self._is_list_decided and now < self._settled_s

    def ignore_list(self):
        """Wait for discovery without a list."""
        self._is_list_decided = True

    def apply_list(self, names, age_s, now):
        """
        Apply the durable list of gateways.

        Parameters
        ----------
        names : collection of str
        age_s : float
            Time since a majority confirmed the list, in seconds.
        now : float
            In seconds.

        Notes
        -----
        The first recently confirmed list decides whether this gateway may send before
        discovery is complete. A gateway that is added to a later list has just joined,
        and other gateways may not count it yet.
        """
        self._listed_until_s.update(dict.fromkeys(names, now + _MEMBER_TTL_S))
        self._refresh_names(now)
        if not self.wants_list(now) or age_s > _MAX_LIST_AGE_S:
            return
        self._is_list_decided = True
        if self._gateway in names:
            # By then, requests of this gateway's previous incarnation are outside the
            # window.
            self._opens_s = max(now, self._started_s + _WINDOW_S)

    def update_members(self, names, now):
        """
        Update the gateways that are present.

        Parameters
        ----------
        names : collection of str
        now : float
            In seconds.

        Notes
        -----
        A gateway that is no longer reported is dropped after a while, but only if a
        majority of the known gateways is present. At most one side of a partition thus
        redistributes the shares.
        """
        present = {self._gateway, *names}
        self._last_seen_s.update(dict.fromkeys(present, now))
        if 2 * len(present) > len(self._last_seen_s):
            self._last_seen_s = {
                name: seen_s
                for name, seen_s in self._last_seen_s.items()
                if now - seen_s <= _MEMBER_TTL_S
            }
        self._refresh_names(now)

    def _refresh_names(self, now):
        names = {self._gateway, *self._last_seen_s}
        if self._listed_until_s:
            self._listed_until_s = {
                name: until_s
                for name, until_s in self._listed_until_s.items()
                if until_s > now
            }
            names.update(self._listed_until_s)
        if len(self.names) != len(names) or set(self.names) != names:
            self.names = tuple(sorted(names))


class ColdLimit:
    """
    Share of one gateway in the rate that a server accepts while it is cold.

    Sending a request needs no coordination. Each of a number of gateways has a share
    that limits its requests in any second to a fixed count. All shares add up to half
    of the bound, so that two different views of the members keep it.

    Parameters
    ----------
    server : str
        Id of the server.
    gateway : str
        Name of this gateway.
    membership : SenderMembership
    """

    __slots__ = (
        "_server",
        "_gateway",
        "_membership",
        "_rate",
        "_stated_s",
        "_first_seen_s",
        "_ends_s",
        "_senders",
    )

    def __init__(self, server, gateway, membership):
        self._server = server
        self._gateway = gateway
        self._membership = membership
        self._rate = None
        self._stated_s = -inf
        self._first_seen_s = inf
        self._ends_s = -inf
        self._senders = (None, None, False)

    def configure(self, rate):
        """
        Set the rate that the server's service declares.

        Parameters
        ----------
        rate : ColdRate or None
            None if the service sets no limit for cold servers.
        """
        self._rate = rate

    def update(self, remaining_s, stated_s, first_seen_s):
        """
        Update the cold period from a statement of the server.

        Parameters
        ----------
        remaining_s : float or None
            Remaining cold time in seconds; None if the server has stated none so far.
        stated_s : float
            Time of the statement in seconds; older statements than the last are
            ignored.
        first_seen_s : float
            Time in seconds at which any process first saw this incarnation of the
            server.
        """
        if remaining_s is None:
            self._first_seen_s = min(self._first_seen_s, first_seen_s)
            return
        if stated_s < self._stated_s:
            return
        previous_end_s = self.ends_s
        self._stated_s = stated_s
        if remaining_s > 0:
            self._ends_s = stated_s + remaining_s + _PROPAGATION_MARGIN_S
        else:
            # A server that was not cold before gets its full share at once.
            self._ends_s = min(previous_end_s, stated_s)

    @property
    def ends_s(self):
        """Time in seconds until which the server counts as cold."""
        if self._stated_s != -inf:
            return self._ends_s
        if self._rate is None or self._first_seen_s == inf:
            return -inf
        return self._first_seen_s + self._rate.start_s

    @property
    def is_presumed(self):
        """Whether the server itself has not stated whether it is cold."""
        return self._stated_s == -inf

    def is_cold(self, now):
        """Return whether the server counts as cold at a time in seconds."""
        return self._rate is not None and now < self.ends_s

    @property
    def idle_since_s(self):
        """See `SenderMembership.idle_since_s`."""
        return self._membership.idle_since_s

    def record_sent(self):
        """Record that this gateway has sent a request."""
        self._membership.has_sent = True

    def is_on(self, now):
        """Return whether the server is cold or ramping up at a time in seconds."""
        # The common case comes first, as each choice of a server calls this for every
        # server.
        if self._rate is None:
            return False
        return ramp_up_factor(now - self.ends_s) != inf

    def opens_s(self, now):
        """
        Return the time from which this gateway may send.

        Parameters
        ----------
        now : float
            In seconds.

        Returns
        -------
        float
            In seconds; negative infinity unless this gateway has just started.
        """
        if not self.is_on(now):
            return -inf
        opens_s = self._membership.opens_s
        if not self._membership.is_settled(now) and self._window_allowance(now) < 1:
            opens_s = self._membership.settled_s
        return opens_s if now < opens_s else -inf

    def allowed(self, now):
        """
        Return the rate allowed to all gateways together.

        Parameters
        ----------
        now : float
            In seconds.

        Returns
        -------
        float
            Requests per second; infinite without a limit.
        """
        if not self.is_on(now):
            return inf
        rate, senders = self._plan(now)
        return rate * senders

    def share(self, now):
        """
        Return the rate allowed to this gateway.

        Parameters
        ----------
        now : float
            In seconds.

        Returns
        -------
        float
            Requests per second; infinite without a limit, 0 if other gateways were
            selected as senders or this gateway may not send yet.
        """
        if not self.is_on(now):
            return inf
        if self.opens_s(now) > now:
            return 0.0
        rate, senders = self._plan(now)
        return rate if self._is_sender(senders) else 0.0

    def _plan(self, now):
        """Return the rate of each sender, and the number of senders."""
        allowance = self._window_allowance(now)
        senders = max(1, min(len(self._membership.names), int(allowance)))
        # Requests are 1 / rate apart, so that at most `count` of them fall into a
        # window. Before discovery is complete it is 1, as a wrong list must not enlarge
        # a share.
        count = (
            max(1, int(allowance / senders)) if self._membership.is_settled(now) else 1
        )
        factor = ramp_up_factor(now - self.ends_s)
        rate = min(count / _WINDOW_S, self._rate.per_s * factor / senders)
        return rate, senders

    def _window_allowance(self, now):
        """Return the requests that all gateways of one view may send in a window."""
        fraction = 1.0 if self._membership.is_settled(now) else _LISTED_FRACTION
        allowance = self._rate.max_per_second * ramp_up_factor(now - self.ends_s)
        return fraction * allowance / _DISJOINT_VIEWS

    def _is_sender(self, count):
        # Cached, as each choice of a server calls this for every server.
        names = self._membership.names
        known_names, known_count, is_sender = self._senders
        if known_names is not names or known_count != count:
            is_sender = self._gateway in rendezvous_senders(self._server, names, count)
            self._senders = (names, count, is_sender)
        return is_sender
