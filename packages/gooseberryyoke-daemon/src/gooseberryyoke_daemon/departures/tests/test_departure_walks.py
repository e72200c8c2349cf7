import pytest
import trio
from returns.result import Success

from gooseberryyoke.membership.server_registry import ServerEntry, ServerState
from gooseberryyoke_daemon.testing.control_deployment import run_controls
from gooseberryyoke_daemon.testing.control_walk import ControlWalk
from gooseberryyoke_daemon.testing.routed import sample_table

READY, DRAINING = ServerState.READY, ServerState.DRAINING
STEPS = 40
ACK_S = 1.0
CONTACT_S = 3.0
"""Of calm, after which acknowledged departures are in force at every gateway."""
GATEWAYS = range(3)
IDS = tuple(f"i-{number}" for number in range(1, 7))
DATA_CENTRE = "a"


def decode(text):
    return Success(sample_table(int(text)))


class Walk(ControlWalk):
    """Servers that come and leave while control processes and gateways are lost."""

    def __init__(self, deployment, seed, tolerance, spares):
        super().__init__(deployment, seed, tolerance, spares)
        self._gateways = {}
        self._born_ms = dict.fromkeys(IDS, 0)
        self._sequence = 0
        self._leaving = set()
        self.acked = set()

    async def begin(self):
        await super().begin()
        while not isinstance(await self._put_table(), Success):
            await trio.sleep(0.1)
        for number in GATEWAYS:
            self._gateways[number] = self._deployment.start_gateway(number, decode)
        for id in IDS:
            await self._reincarnate(id)

    async def _put_table(self):
        return await self._deployment.running[1].store.put(1, b"1")

    def _acts(self):
        return (
            *4 * (self._leave,),
            *3 * (self._late_heartbeat,),
            *2 * (self._begin_anew,),
            *5 * (self._start,),
            self._leave_and_kill,
            self._leave_and_kill,
            self._kill,
            self._wipe,
            self._cut,
            self._heal,
            self._kill_all,
            self._restart_gateway,
            *2 * (self._check_in_calm,),
        )

    def _entry(self, id, state=READY):
        self._sequence += 1
        address = f"10.9.0.{id.rpartition('-')[2]}:80"
        fields = (
            self._born_ms[id],
            self._sequence,
            "s",
            address,
            DATA_CENTRE,
            6,
            state,
        )
        return ServerEntry(id, *fields)

    def _some_node(self):
        number = self._some(self._deployment.running)
        return None if number is None else self._deployment.running[number].node

    async def _reincarnate(self, id):
        self._born_ms[id] += 100
        node = self._some_node()
        if node is not None:
            node.announce(self._entry(id))

    async def _begin_anew(self):
        await self._reincarnate(self._rng.choice(IDS))

    async def _late_heartbeat(self):
        node = self._some_node()
        if node is not None:
            node.announce(self._entry(self._rng.choice(IDS)))

    async def _leave(self):
        node = self._some_node()
        if node is not None:
            await self._say_leaving(node, self._rng.choice(IDS))

    async def _say_leaving(self, node, id):
        born_ms = self._born_ms[id]
        self._leaving.add((id, born_ms))
        if self._rng.random() < 0.5:
            departure = node.end(id, born_ms)
        else:
            departure = node.announce(self._entry(id, DRAINING))
        with trio.move_on_after(ACK_S):
            if await node.settle(departure):
                self.acked.add((id, born_ms))

    async def _leave_and_kill(self):
        number = self._some(self._deployment.running)
        if number is None:
            return
        await self._say_leaving(
            self._deployment.running[number].node, self._rng.choice(IDS)
        )
        await trio.sleep(self._rng.choice((0.0, 0.0, 0.03, 0.3)))
        self._deployment.kill(number)

    async def _cut(self):
        ends = [f"10.0.0.{number}" for number in self._numbers]
        ends += [f"10.7.0.{number}" for number in self._gateways]
        self._cut_between(*self._rng.sample(ends, 2))

    async def _kill_all(self):
        numbers = list(self._deployment.running)
        for number in numbers:
            self._deployment.kill(number)
        await trio.sleep(self._rng.uniform(0, 1))
        for number in numbers:
            await self._deployment.start(number, seats=self.seats)

    async def _restart_gateway(self):
        number = self._rng.choice(list(self._gateways))
        del self._gateways[number]
        self._deployment.kill_gateway(number)
        number += 10
        self._gateways[number] = self._deployment.start_gateway(number, decode)

    async def _check_in_calm(self):
        await self._start_all()
        await trio.sleep(CONTACT_S)
        for gateway in self._gateways.values():
            assert not self.acked & _used(gateway)

    async def end(self):
        """Assert what holds once nothing is lost: also that new servers are used."""
        await self._check_in_calm()
        expected = set()
        for id in IDS:
            if (id, self._born_ms[id]) in self._leaving:
                await self._reincarnate(id)
            else:
                self._some_node().announce(self._entry(id))
            expected.add((id, self._born_ms[id]))
        await trio.sleep(CONTACT_S)
        for gateway in self._gateways.values():
            assert _used(gateway) == expected


def _used(gateway):
    servers = gateway.servers.of_service("s")
    return {(server.entry.id, server.entry.born_ms) for server in servers}


@pytest.mark.parametrize("seed", range(10))
def test_no_kill_cut_or_restart_brings_an_acknowledged_departure_back(seed):
    # Guards against requests to a server whose departure was acknowledged, after any
    # losses between the acknowledgement and the telling; and against a server that
    # began anew and is left out for its former incarnation's departure.
    async def main(deployment):
        walk = Walk(deployment, seed, tolerance=1, spares=1)
        await walk.begin()
        for _ in range(STEPS):
            await walk.step()
        await walk.end()
        assert walk.acked

    run_controls(main, seed)
