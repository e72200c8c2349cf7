"""Distribution of free slots among gateways while requests wait at several of them.

When all slots of a service are taken and requests wait at 13 to 47 gateways, each
gateway learns of requests that others start with a delay of 0.1 to 0.3 s. If all
gateways used every slot that seems free, a slot that becomes free would be assigned
several times, and the second request to arrive would wait for a second in an engine.

A gateway has the first claim to the slot of an own request that has ended. Other free
slots are offered to one gateway after the other, in turns, in an order that depends on
the slot.
"""

from itertools import islice
from math import inf, log

from xxhash import xxh3_64_intdigest

from gooseberryyoke.record import Record

__all__ = [
    "ANNOUNCED_TIMING",
    "REPORTED_TIMING",
    "CLAIM_S",
    "MAX_PASSES",
    "SlotSharing",
    "Timing",
]

CLAIM_S = 0.15
"""Lifetime of a first claim in seconds. If the gateway has not sent a request to the
slot by then, other gateways may use it."""
_CONTENDED_S = 0.5
"""Time in seconds for which slots count as contended after the last time that they were
scarce or requests waited elsewhere; as long as reports of waiting requests are
valid."""
_MAX_TURNS_AHEAD = 3
"""Maximum number of earlier turns that are waited for. This bounds the wait for a slot
that all preceding gateways leave unused."""
_PROPAGATION_S = 0.3
"""Longest time in seconds for which a started request is unknown to other gateways."""
_RATE_HALF_LIFE_S = 0.5
"""Half-life in seconds of the measured rate of starts."""
_FREE_SLOT_WEIGHT = 0.1
"""Weight of one more free slot against the position of a server in this gateway's own
order, which ranges from 0 to 1."""
MAX_PASSES = 2
"""Maximum number of times that a claim is passed on. Reports of waiting requests are up
to 0.3 s old, so that a claim may be passed to a gateway where no request waits any
more; each further pass makes this more likely."""
_START_UP_S = 1.0
"""Time in seconds within which each gateway reports all of its requests at least
once."""
_HASH_RANGE = 2.0**64
"""Number of values of a 64-bit hash."""


class Timing(Record):
    """
    Durations of claims and turns, in seconds.

    Parameters
    ----------
    claim_s : float
        Lifetime of a first claim.
    min_free_s : float
        Time for which a slot has to be seen free before its first turn.
    turn_s : float
        Duration of a turn; if the slot is not used in it, the next gateway has its
        turn.
    """

    __slots__ = ("claim_s", "min_free_s", "turn_s")

    def __init__(self, claim_s, min_free_s, turn_s):
        self.claim_s = claim_s
        self.min_free_s = min_free_s
        self.turn_s = turn_s


ANNOUNCED_TIMING = Timing(CLAIM_S, min_free_s=CLAIM_S, turn_s=0.2)
"""Timing for gateways that announce starts. Turns begin once the first claim has
expired. Starts are announced within a few milliseconds, so that a turn only has to be
long enough for the next report to arrive if an announcement is lost."""
REPORTED_TIMING = Timing(claim_s=0.3, min_free_s=0.3, turn_s=0.4)
"""Timing for gateways without announcements: a start is known to all gateways only
after 0.3 s between data centres, and one report may be late."""


class SlotSharing:
    """
    Selection of the free slots of one service that one gateway may use.

    Parameters
    ----------
    gateway : str
        Name of this gateway.
    has_claims, has_turns, has_order, has_passes : bool
        Switches for the individual methods, for comparisons: first claims to the slots
        of own requests that have ended; turns at slots that all gateways know to be
        free; an own order of servers at each gateway; passing of claims to the gateway
        with the most urgent waiting requests.
    started_s : float
        Time at which the gateway started, in seconds. In the first second after it, the
        gateway knows hardly any requests of other gateways.
    timing : Timing, optional
        Durations of claims and turns; by default those for gateways that announce
        starts.
    """

    __slots__ = (
        "_gateway",
        "_has_claims",
        "_has_turns",
        "_has_order",
        "_has_passes",
        "_claims",
        "_free_since",
        "_passed_claims",
        "_rate",
        "_rate_updated_s",
        "_started_s",
        "_contended_until_s",
        "_timing",
        "_weights",
    )

    def __init__(
        self,
        gateway,
        has_claims=True,
        has_turns=True,
        has_order=True,
        has_passes=False,
        started_s=-inf,
        timing=ANNOUNCED_TIMING,
    ):
        self._contended_until_s = -inf
        self._timing = timing
        self._started_s = started_s
        self._gateway = gateway
        self._has_claims = has_claims
        self._has_turns = has_turns
        self._has_order = has_order
        self._has_passes = has_passes
        self._claims = {}
        self._free_since = {}
        self._passed_claims = []
        self._rate = 0.0
        self._rate_updated_s = -inf
        self._weights = {}

    def record_end(self, server, now):
        """
        Record that a request of this gateway has ended; claim its slot.

        Parameters
        ----------
        server : str
            Id of the server.
        now : float
            Current time in seconds.
        """
        self._remove_expired(now)
        if self._has_claims:
            self._claims.setdefault(server, []).append(
                (now + self._timing.claim_s, 0, False)
            )

    def receive_claim(self, server, passes, now):
        """
        Add a first claim that another gateway has passed on.

        Parameters
        ----------
        server : str
            Id of the server.
        passes : int
            Number of times that the claim has been passed on.
        now : float
            Current time in seconds.
        """
        self._remove_expired(now)
        if self._has_claims:
            self._claims.setdefault(server, []).append(
                (now + self._timing.claim_s, passes, True)
            )

    def pass_claims(self, free, own, elsewhere, now):
        """
        Give up the claims for which more urgent requests wait at other gateways.

        Parameters
        ----------
        free : dict of str to int
            Number of slots by server that are free as far as known.
        own : dict of int to int
            Number of requests that wait at this gateway, by urgency.
        elsewhere : dict of str to dict of int to int
            Number of waiting requests by other gateway and urgency.
        now : float
            Current time in seconds.

        Returns
        -------
        list of tuple
            For each claim to send: the server, the gateway that gets the claim, and the
            number of times that it has been passed on.
        """
        if not (self._has_passes and elsewhere and self._claims):
            return []
        self._passed_claims = [
            p for p in self._passed_claims if now - p[0] < _PROPAGATION_S
        ]
        own_urgency = min(own, default=inf)
        offers = []
        for server, claims in list(self._usable_claims(free, now).items()):
            for claim in claims:
                _, passes, _ = claim
                target = self._most_urgent(elsewhere)
                if target is None or target[0] >= own_urgency:
                    return offers
                if passes < MAX_PASSES:
                    self._claims[server].remove(claim)
                    self._passed_claims.append((now, target[1]))
                    offers.append((server, target[1], passes + 1))
        return offers

    def _remove_expired(self, now):
        for server, claims in list(self._claims.items()):
            claims[:] = [claim for claim in claims if claim[0] > now]
            if not claims:
                del self._claims[server]

    def _usable_claims(self, free, now):
        self._remove_expired(now)
        usable = {}
        for server, claims in self._claims.items():
            left, found = free.get(server, 0), []
            for claim in claims:
                # A claim that was passed on is newer than the report by which the slot
                # may seem taken.
                if claim[2] or left > 0:
                    found.append(claim)
                    left -= 1
            if found:
                usable[server] = found
        return usable

    def _most_urgent(self, elsewhere):
        best = None
        for name, counts in elsewhere.items():
            covered = sum(1 for _, passed in self._passed_claims if passed == name)
            for urgency in sorted(counts):
                if counts[urgency] > covered:
                    key = (
                        urgency,
                        covered - counts[urgency],
                        self._weight(0, 0, name),
                        name,
                    )
                    if best is None or key < best:
                        best = key
                    break
                covered -= counts[urgency]
        return None if best is None else (best[0], best[3])

    def record_start(self, server, now):
        """
        Record that a request of this gateway was sent; use up a claim to its slot.

        Parameters
        ----------
        server : str
            Id of the server.
        now : float
            Current time in seconds.
        """
        claims = self._claims.get(server)
        if claims:
            claims.pop(0)
        self._decay(now)
        self._rate += log(2) / _RATE_HALF_LIFE_S

    def _decay(self, now):
        self._rate *= 0.5 ** (max(0.0, now - self._rate_updated_s) / _RATE_HALF_LIFE_S)
        self._rate_updated_s = now

    def is_scarce(self, free, other_count, now):
        """
        Return whether other gateways may have taken all slots that seem to be free.

        Parameters
        ----------
        free : int
            Number of slots that are free as far as known.
        other_count : int
            Number of other gateways; each is assumed to start as many requests as this
            one.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Always True in the first second after the start of this gateway, if there
            are others, as it does not know their requests yet.
        """
        if not self._has_turns or not other_count:
            return False
        if now < self._started_s + _START_UP_S:
            return True
        self._decay(now)
        return free <= self._rate * other_count * _PROPAGATION_S

    def is_contended(self, now):
        """
        Return whether slots were scarce or requests waited elsewhere in the last 0.5 s.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            If True, starts are announced immediately.
        """
        return now < self._contended_until_s

    def cost(self, server, free):
        """
        Compute the sort key of a server with free slots in this gateway's own order.

        Parameters
        ----------
        server : str
            Id of the server.
        free : int
            Number of free slots.

        Returns
        -------
        float
            Lower values are preferred.
        """
        return self._weight(server, 1, self._gateway) - _FREE_SLOT_WEIGHT * free

    def _weight(self, server, index, gateway):
        key = server, index, gateway
        weight = self._weights.get(key)
        if weight is None:
            name = f"{server} {index} {gateway}".encode()
            weight = self._weights[key] = xxh3_64_intdigest(name) / _HASH_RANGE
        return weight

    def usable_slots(self, free, elsewhere, others, now, own=None):
        """
        List the free slots that this gateway may use now.

        Parameters
        ----------
        free : dict of str to int
            Number of slots by server that are free as far as known.
        elsewhere : dict of str to dict of int to int
            Number of waiting requests by other gateway and urgency.
        others : collection of str
            Names of all other gateways.
        now : float
            Current time in seconds.
        own : dict of int to int, optional
            Number of requests that wait at this gateway, by urgency. Gateways with more
            urgent requests have their turns first. If it is not given, or no request
            waits elsewhere, all gateways count as equally urgent.

        Returns
        -------
        list of str
            Ids of servers, one entry per slot, the best first.
        """
        self._record_free(free, now)
        usable = self._usable_claims(free, now)
        claimed = [server for server, claims in usable.items() for _ in claims]
        left = {
            server: max(0, count - len(usable.get(server, ())))
            for server, count in free.items()
        }
        scarce = self.is_scarce(sum(free.values()), len(others), now)
        if elsewhere or scarce:
            self._contended_until_s = now + _CONTENDED_S
        if not self._has_turns or not (elsewhere or scarce):
            rest = [
                (self.cost(server, index), server)
                for server, count in left.items()
                for index in range(1, count + 1)
            ]
        else:
            rest = self._own_turns(
                left, _relative_urgencies(elsewhere, others, own), now
            )
        if self._has_order:
            rest.sort()
        return claimed + [server for _, server in rest]

    def _own_turns(self, left, relative_urgencies, now):
        turns = []
        for server, count in left.items():
            since = self._free_since.get(server, ())
            for index in range(1, count + 1):
                free_s = now - since[index - 1]
                # Checked first, as most slots in demand are free for a shorter time.
                if free_s < self._timing.min_free_s:
                    continue
                ahead = self._count_ahead(server, index, relative_urgencies)
                if free_s >= self._timing.min_free_s + ahead * self._timing.turn_s:
                    turns.append((self.cost(server, index), server))
        return turns

    def _count_ahead(self, server, index, relative_urgencies):
        """Count the gateways that have an earlier turn at a slot, up to a bound."""
        own_weight = self._weight(server, index, self._gateway)
        earlier = (
            name
            for name, relation in relative_urgencies.items()
            if relation < 0
            or (not relation and self._weight(server, index, name) < own_weight)
        )
        return sum(1 for _ in islice(earlier, _MAX_TURNS_AHEAD))

    def _record_free(self, free, now):
        for server in set(self._free_since) - set(free):
            del self._free_since[server]
        for server, count in free.items():
            since = self._free_since.setdefault(server, [])
            del since[count:]
            since.extend([now] * (count - len(since)))


def _relative_urgencies(elsewhere, others, own):
    """
    Compare the most urgent requests of other gateways with that of this one.

    Returns
    -------
    dict of str to int
        By gateway: -1 if its most urgent request is more urgent than this gateway's, 0
        if both are equally urgent, 1 if it is less urgent.
    """
    if not elsewhere or own is None:
        return dict.fromkeys(elsewhere or others, 0)
    own_urgency = min(own, default=inf)
    urgencies = {name: min(counts) for name, counts in elsewhere.items()}
    return {
        name: (urgency > own_urgency) - (urgency < own_urgency)
        for name, urgency in urgencies.items()
    }
