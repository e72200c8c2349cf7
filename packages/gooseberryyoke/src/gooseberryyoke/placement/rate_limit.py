"""Limit on the rate of requests to one server, shared by all gateways."""

from math import inf, isfinite

from xxhash import xxh3_64_intdigest

__all__ = [
    "RateLimit",
    "rendezvous_senders",
    "ramp_up_factor",
    "parse_rate_limit",
    "choose_senders",
]

_MIN_RATE = 0.25
"""Lowest rate in requests per second, which also applies to a server with a limit of 0.
Without any request, no gateway would learn that the server accepts requests again."""
_SENDERS_PER_RATE = 2
_MIN_SENDERS = 3
"""Number of gateways that send to a server with a limit of 0; `_SENDERS_PER_RATE` more
for each request per second of the limit. Each sender may hold one token. All tokens
together are fewer than the excess that a server tolerates within some seconds: half of
its limit, and a few requests more."""
_LIMIT_TTL_S = 30.0
"""Time in seconds after the last statement of a limit, after which it counts as ended:
a server that receives no requests states nothing. It is several times as long as the
senders wait between two requests."""
_DOUBLING_S = 1.0
_RAMP_UP_S = 4.0
"""Duration of the ramp-up in seconds. After its end a limit doubles every second, and
is lifted after four seconds."""


def parse_rate_limit(text):
    """
    Parse the limit that a server states.

    Parameters
    ----------
    text : str
        A decimal number, or several separated by commas, of which the lowest counts.

    Returns
    -------
    float or None
        Requests per second; None if no value is a non-negative number.
    """
    rates = []
    for part in text.split(","):
        try:
            rate = float(part)
        except ValueError:
            continue
        if isfinite(rate) and rate >= 0:
            rates.append(rate)
    return min(rates, default=None)


def choose_senders(server, gateways, rate):
    """
    Choose the gateways that may send to a server with a limit.

    Shares of all gateways would be too small to hold one token each: every idle gateway
    would have saved one by the time that all gateways have a request to send.

    Parameters
    ----------
    server : str
        Id of the server.
    gateways : collection of str
        Names of the present gateways.
    rate : float
        Requests per second.

    Returns
    -------
    set of str
        Chosen by rendezvous hashing, so that gateways with slightly different views of
        the members choose nearly the same senders.
    """
    return rendezvous_senders(server, gateways, _sender_count(rate))


def rendezvous_senders(server, gateways, count):
    """
    Choose a number of gateways for a server by rendezvous hashing.

    Parameters
    ----------
    server : str
        Id of the server.
    gateways : collection of str
    count : int

    Returns
    -------
    set of str
        See `choose_senders`.
    """

    def weight(gateway):
        return xxh3_64_intdigest(f"{server} {gateway}".encode())

    return set(sorted(gateways, key=weight)[:count])


def ramp_up_factor(since_s):
    """
    Compute the factor by which a limit has grown after its end.

    Parameters
    ----------
    since_s : float
        Time since the end of the limit, in seconds; negative before it.

    Returns
    -------
    float
        At least 1; infinite once the limit is lifted.
    """
    if since_s <= 0:
        return 1.0
    if since_s >= _RAMP_UP_S:
        return inf
    return 2 ** (since_s / _DOUBLING_S)


def _sender_count(rate):
    return int(_SENDERS_PER_RATE * rate) + _MIN_SENDERS


class RateLimit:
    """
    Share of one gateway in a server's rate limit, as a token bucket of one token.

    There is no limit until the server states one.

    Parameters
    ----------
    server : str
        Id of the server.
    gateway : str
        Name of this gateway.
    cold : ColdLimit, optional
        Limit while the server is cold; the lower of both shares applies.

    Attributes
    ----------
    reported_s : float
        Time in seconds at which this gateway received the server's last statement of
        its limit.
    cold : ColdLimit or None
    """

    __slots__ = (
        "reported_s",
        "cold",
        "_server",
        "_gateway",
        "_gateways",
        "_senders",
        "_rate",
        "_stated_s",
        "_ended_s",
        "_tokens",
        "_refilled_s",
    )

    def __init__(self, server, gateway, cold=None):
        self.reported_s = -inf
        self.cold = cold
        self._server = server
        self._gateway = gateway
        self._gateways = (gateway,)
        self._senders = {}
        self._rate = None
        self._stated_s = -inf
        self._ended_s = None
        self._tokens = 0.0
        self._refilled_s = -inf

    @property
    def stated_rate(self):
        """Rate that the server states, in requests per second; None without one."""
        return None if self._ended_s is not None else self._rate

    def observe_answer(self, rate, now):
        """
        Record the limit that an answer of the server states.

        Parameters
        ----------
        rate : float or None
            Requests per second; None if the answer states no limit.
        now : float
            In seconds.
        """
        if rate is not None or self._rate is not None:
            self.reported_s = now
        self.update(rate, now)

    def update(self, rate, stated_s):
        """
        Update the limit from a statement to any gateway.

        Parameters
        ----------
        rate : float or None
            Requests per second; None if the server stated no limit.
        stated_s : float
            Time of the statement in seconds; older statements than the last are
            ignored.
        """
        if stated_s < self._stated_s:
            return
        if rate is None:
            if self.stated_rate is not None:
                self._ended_s = stated_s
                self._stated_s = stated_s
            return
        if self._rate is None:
            # The bucket starts empty: a gateway that has just learned of a limit starts
            # low.
            self._tokens, self._refilled_s = 0.0, stated_s
        self._rate, self._stated_s, self._ended_s = rate, stated_s, None

    def update_cold(self, remaining_s, stated_s, first_seen_s, now):
        """
        Update the cold period of the server; see `ColdLimit.update`.

        Parameters
        ----------
        remaining_s : float or None
        stated_s, first_seen_s, now : float
            In seconds.
        """
        is_unlimited = self.share(now) == inf
        self.cold.update(remaining_s, stated_s, first_seen_s)
        self._empty_bucket(is_unlimited, now)

    def configure_cold(self, rate, now):
        """
        Set the cold rate that the service declares; see `ColdLimit.configure`.

        Parameters
        ----------
        rate : ColdRate or None
        now : float
            In seconds.
        """
        is_unlimited = self.share(now) == inf
        self.cold.configure(rate)
        self._empty_bucket(is_unlimited, now)

    def _empty_bucket(self, was_unlimited, now):
        if was_unlimited:
            # Requests that this gateway or its previous incarnation sent immediately
            # before are assumed to have used up the share. A gateway that has sent
            # nothing yet has saved tokens since its start, so that queued requests do
            # not wait for as long again.
            self._tokens, self._refilled_s = 0.0, min(now, self.cold.idle_since_s)

    def use_gateways(self, gateways):
        """
        Set the gateways that share the limit.

        Parameters
        ----------
        gateways : collection of str
            Names, including this gateway's own.
        """
        gateways = tuple(sorted(gateways))
        if gateways != self._gateways:
            self._gateways = gateways
            self._senders.clear()

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
        stated = self._stated_total(now)
        return stated if self.cold is None else min(stated, self.cold.allowed(now))

    def _stated_total(self, now):
        if self._rate is None:
            return inf
        rate = max(self._rate, _MIN_RATE)
        ended_s = self._ended_s
        if ended_s is None:
            ended_s = self._stated_s + _LIMIT_TTL_S
        factor = ramp_up_factor(now - ended_s)
        if factor == inf:
            self._rate = self._ended_s = None
        return rate * factor

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
            selected as senders.
        """
        stated = self._stated_share(now)
        return stated if self.cold is None else min(stated, self.cold.share(now))

    def _stated_share(self, now):
        allowed = self._stated_total(now)
        if allowed == inf:
            return inf
        # Cached, as each request calls this for every server.
        sender_count = _sender_count(allowed)
        if sender_count not in self._senders:
            senders = choose_senders(self._server, self._gateways, allowed)
            is_sender = self._gateway in senders
            self._senders[sender_count] = 1 / len(senders) if is_sender else 0.0
        return allowed * self._senders[sender_count]

    def room(self, now):
        """
        Count the requests that may be sent immediately.

        Parameters
        ----------
        now : float
            In seconds.

        Returns
        -------
        float
            0 or 1; infinite without a limit.
        """
        # The common case comes first, as each choice of a server calls this for every
        # server.
        if self._rate is None and (self.cold is None or not self.cold.is_on(now)):
            return inf
        if self._refill(now) == inf:
            return inf
        return 1 if self._tokens >= 1 else 0

    def sent(self, now):
        """
        Record a request that is sent to the server.

        Parameters
        ----------
        now : float
            In seconds.
        """
        if self._refill(now) != inf:
            self._tokens -= 1
        if self.cold is not None:
            self.cold.record_sent()

    def opens_s(self, now):
        """
        Return the time from which this gateway may send; see `ColdLimit.opens_s`.

        Parameters
        ----------
        now : float
            In seconds.

        Returns
        -------
        float
            In seconds; negative infinity if it may send now.
        """
        return -inf if self.cold is None else self.cold.opens_s(now)

    def _refill(self, now):
        share = self.share(now)
        if self.opens_s(now) > now:
            # Nothing is sent yet; the waiting time counts toward the first token.
            return share
        if share != inf:
            tokens = self._tokens + share * max(0.0, now - self._refilled_s)
            self._tokens = min(1.0, tokens)
        self._refilled_s = now
        return share
