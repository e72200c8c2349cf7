"""Datagrams of counts as one of many gateways receives them, recorded in memory."""

from collections import Counter
from hashlib import sha256
from random import Random

import trio
import trio.testing

from gooseberryyoke.membership.server_registry import (
    RankPlace,
    ServerEntry,
    ServerState,
)
from gooseberryyoke_daemon.control.presence import EntryPresence
from gooseberryyoke_daemon.gateway.servers import Servers
from gooseberryyoke_daemon.gateway.sharing import LoadSharing
from gooseberryyoke_daemon.testing.seeding import seeded_scheduler
from gooseberryyoke_daemon.wire import Address
from gooseberryyoke_daemon.wire.memory import MemoryNetwork

__all__ = [
    "DATA_CENTRES",
    "GATEWAYS",
    "SERVICE",
    "Traffic",
    "presence",
    "record",
    "server_entries",
]

GATEWAYS = 47
SERVERS = 72
SLOTS = 5
SERVICE = "engines"
DATA_CENTRES = "abc"
_GROUP_SIZE = 24
_STREAM_S = (1.4, 2.0)
_RATE = 2.75
"""Requests a second and gateway at normal load."""
_BURST = 3.0
_WAIT_S = 1.3
_SETTLE_S = 3.0
_STEP_S = 0.05
_URGENCIES = (0, 11, 22)


def presence(number):
    """Describe a gateway."""
    host = f"10.7.0.{number}"
    data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
    name = f"g{number:02}"
    return EntryPresence(name, f"{host}:80", f"{host}:71", data_centre, True)


def server_entries():
    """List the engines of the second deployment: three groups of 24 ranks."""
    entries = []
    for number in range(SERVERS):
        group, rank = divmod(number, _GROUP_SIZE)
        place = RankPlace(f"group-{group}", 1, rank, _GROUP_SIZE, True)
        address = f"10.1.0.{number}:80"
        data_centre = DATA_CENTRES[group]
        state = ServerState.READY
        life = (f"engine-{number}", 1, 1)
        entries.append(
            ServerEntry(*life, SERVICE, address, data_centre, SLOTS, state, place)
        )
    return entries


class Traffic:
    """
    What one gateway receives.

    Parameters
    ----------
    duration_s : float

    Attributes
    ----------
    received : list of (float, bytes)
        Seconds from the beginning and datagram.
    sent : int
        Datagrams that it sends.
    digest : str
        Of all datagrams of all gateways, in order.
    """

    __slots__ = ("received", "sent", "digest", "duration_s")

    def __init__(self, duration_s):
        self.duration_s = duration_s
        self.received = []
        self.sent = 0
        self.digest = sha256()

    @property
    def per_s(self):
        """Datagrams received in a second."""
        return len(self.received) / self.duration_s


class _Recorder:
    """An endpoint that writes down what is sent."""

    def __init__(self, endpoint, is_own, traffic, own_address, began_s):
        self._endpoint = endpoint
        self._is_own = is_own
        self._traffic = traffic
        self._own_address = own_address
        self._began_s = began_s
        self.open, self.close = endpoint.open, endpoint.close
        self.receive = endpoint.receive

    async def send(self, address, data):
        after_s = trio.current_time() - self._began_s
        if after_s >= 0:
            self._traffic.digest.update(f"{address} {after_s:.3f} ".encode() + data)
            self._traffic.sent += self._is_own
            if str(address) == self._own_address:
                self._traffic.received.append((after_s, data))
        await self._endpoint.send(address, data)


class _Load:
    """Requests of all gateways but one, which know of each other at once."""

    def __init__(self, own, rate, rng):
        self._own = own
        self._rate = rate
        self._rng = rng
        self._running = []
        self._waiting = []
        self._counts = Counter()

    def waiting(self, number):
        levels = Counter(
            level for _, gateway, level in self._waiting if gateway == number
        )
        return {SERVICE: dict(levels)} if levels else {}

    def step(self, servers, now):
        for end_s, number, id in [one for one in self._running if one[0] <= now]:
            self._running.remove((end_s, number, id))
            self._add(servers[number], id, -1)
        self._waiting = [one for one in self._waiting if one[0] > now]
        for number in range(GATEWAYS):
            if number != self._own and self._rng.random() < self._rate * _STEP_S:
                level = self._rng.choice(_URGENCIES)
                self._waiting.append((now + _WAIT_S, number, level))
        self._waiting.sort(key=lambda one: one[2])
        while self._waiting and (free := self._free()):
            _, number, _ = self._waiting.pop(0)
            id = self._rng.choice(free)
            self._running.append((now + self._rng.uniform(*_STREAM_S), number, id))
            self._add(servers[number], id, 1)

    def _free(self):
        least = min(self._counts[f"engine-{n}"] for n in range(SERVERS))
        if least >= SLOTS:
            return []
        ids = (f"engine-{n}" for n in range(SERVERS))
        return [id for id in ids if self._counts[id] == least]

    def _add(self, servers, id, count):
        self._counts[id] += count
        servers._by_id[id].load.own += count


def record(own, is_busy, duration_s, seed):
    """
    Run the sharing of counts among all gateways.

    Parameters
    ----------
    own : int
        Number of the gateway whose datagrams are kept; it has no requests itself.
    is_busy : bool
        Three times the normal load, so that requests wait at all gateways.
    duration_s : float
    seed : int

    Returns
    -------
    Traffic
    """
    traffic = Traffic(duration_s)
    rate = _RATE * (_BURST if is_busy else 1.0)

    async def run():
        began_s = trio.current_time() + _SETTLE_S
        async with trio.open_nursery() as nursery:
            load = _Load(own, rate, Random(seed))
            servers = await _start(nursery, own, load, traffic, began_s)
            while trio.current_time() < began_s + duration_s:
                load.step(servers, trio.current_time())
                await trio.sleep(_STEP_S)
            nursery.cancel_scope.cancel()

    with seeded_scheduler(seed):
        trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    return traffic


async def _start(nursery, own, load, traffic, began_s):
    network = MemoryNetwork()
    there = {entry.name: entry for entry in map(presence, range(GATEWAYS))}
    known, entries = [], server_entries()
    for number, entry in enumerate(there.values()):
        servers = Servers(entry.data_centre, Random(1), entry.name)
        servers.take(entries)
        servers.peers.own_waiting = lambda number=number: load.waiting(number)
        address = Address.parse(entry.internal)
        endpoint = _Recorder(
            network.host(address.host).datagrams(address),
            number == own,
            traffic,
            presence(own).internal,
            began_s,
        )
        sharing = LoadSharing(
            lambda entry=entry: entry, lambda: there, servers.peers, endpoint
        )
        await nursery.start(sharing.run)
        known.append(servers)
    return known
