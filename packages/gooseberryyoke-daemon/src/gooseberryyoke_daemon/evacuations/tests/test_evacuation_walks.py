import pytest
import trio
from returns.result import Success

from gooseberryyoke.evacuation import EvacuationOrder, OrderKind
from gooseberryyoke_daemon.testing.control_deployment import run_controls
from gooseberryyoke_daemon.testing.control_walk import RECOVERY_S, ControlWalk
from gooseberryyoke_daemon.testing.routed import sample_table

STEPS = 20
EVACUATE_S = 5.0
DATA_CENTRES = ("a", "b", "c")
GATEWAYS = range(3)
LOOK_S = 0.05


def decode(text):
    return Success(sample_table(int(text)))


class Walk(ControlWalk):
    """Random orders and losses, and what was acknowledged and in force meanwhile."""

    def __init__(self, deployment, seed, tolerance, spares):
        super().__init__(deployment, seed, tolerance, spares)
        self._gateways = {}
        self._contents = {}
        self._revisions = {}
        self.acked = []

    async def begin(self):
        await super().begin()
        await self._deployment.running[1].store.put(1, b"1")
        for number in GATEWAYS:
            self._start_gateway(number)

    def _start_gateway(self, number):
        gateway = self._deployment.start_gateway(number, decode)
        self._gateways[number] = gateway
        self._revisions[number] = 0
        install = gateway.watcher._on_install

        def note(table):
            # Not older than two seconds, and as long again to read the table.
            now = trio.current_time()
            self._check(gateway.servers.evacuation, self._acked_before(now - 4.0))
            install(table)

        gateway.watcher._on_install = note

    def _acked_before(self, at_s):
        return max((state.revision for s, state in self.acked if s <= at_s), default=0)

    def _check(self, state, least_revision):
        """Assert that a state is not older than another, nor ever of two contents."""
        assert state.revision >= least_revision
        assert self._contents.setdefault(state.revision, state) == state

    async def watch(self):
        """Assert all the time that what gateways go by never goes back."""
        while True:
            for number, gateway in self._gateways.items():
                state = gateway.servers.evacuation
                self._check(state, self._revisions[number])
                self._revisions[number] = state.revision
            await trio.sleep(LOOK_S)

    def _acts(self):
        return (
            self._order,
            self._order,
            self._order,
            self._race,
            self._read,
            self._kill,
            self._wipe,
            self._start,
            self._start,
            self._start,
            self._cut,
            self._heal,
            self._kill_all,
            self._restart_gateway,
        )

    async def _order(self):
        """Send an order until it is acknowledged, as the operator's client does."""
        kind = self._rng.choice(list(OrderKind))
        order = EvacuationOrder(kind, self._rng.choice(DATA_CENTRES))
        may_kill = self._rng.random() < 0.3
        with trio.move_on_after(5.0):
            while not await self._send(order, may_kill):
                await trio.sleep(0.1)

    async def _send(self, order, may_kill):
        number = self._some(self._deployment.running)
        if number is None:
            return False
        node = self._deployment.running[number].node
        # Without word to the followers, as if it were killed at this moment.
        carry_out = node.order_evacuation
        if may_kill:
            carry_out = node.evacuation_store.carry_out
        expected = self._acked_before(trio.current_time())
        with trio.move_on_after(1.0):
            settled = await carry_out(order)
            if not isinstance(settled, Success):
                return False
            state = settled.unwrap()
            assert state.satisfies(order)
            self._check(state, expected)
            self.acked.append((trio.current_time(), state))
            if may_kill and number in self._deployment.running:
                self._deployment.kill(number)
            return True
        return False

    async def _race(self):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._order)
            nursery.start_soon(self._order)

    async def _read(self):
        number = self._some(self._deployment.running)
        if number is None:
            return
        expected = self._acked_before(trio.current_time())
        store = self._deployment.running[number].node.evacuation_store
        with trio.move_on_after(2.0):
            found = await store.newest()
            if isinstance(found, Success):
                self._check(found.unwrap(), expected)

    async def _kill_all(self):
        for number in list(self._deployment.running):
            self._deployment.kill(number)
        for number in list(self._gateways):
            await self._restart_gateway(number)
        for number in self._numbers:
            await self._deployment.start(number, seats=self.seats)

    async def _restart_gateway(self, number=None):
        number = self._some(self._gateways) if number is None else number
        self._deployment.kill_gateway(number)
        # Its port is free a moment later.
        await trio.sleep(0.05)
        self._start_gateway(number)

    async def _cut(self):
        a = self._rng.choice(self._numbers)
        hosts = [f"10.0.0.{n}" for n in self._numbers if n != a]
        hosts += [f"10.7.0.{n}" for n in GATEWAYS]
        self._cut_between(f"10.0.0.{a}", self._rng.choice(hosts))

    async def end(self):
        await self._start_all()
        order = EvacuationOrder(OrderKind.START, DATA_CENTRES[0])
        with trio.fail_after(RECOVERY_S):
            while not await self._send(order, may_kill=False):
                await trio.sleep(0.1)
        await trio.sleep(EVACUATE_S)
        for gateway in self._gateways.values():
            assert gateway.watcher.table is not None
            self._check(gateway.servers.evacuation, self.acked[-1][1].revision)


@pytest.mark.parametrize(
    ("seed", "tolerance", "spares"),
    [(seed, *sizes) for seed in range(5) for sizes in ((1, 0), (1, 2), (2, 1))],
)
def test_whatever_is_lost_an_acknowledged_state_is_never_lost_or_reverted(
    seed, tolerance, spares
):
    # Orders start and end evacuations, also two at once, while control processes are
    # killed (some right after they have stored an order), cut off, emptied as far as
    # the deployment bears it, and all lost at once, and gateways start anew. No read,
    # gateway or new acknowledgement may be older than what was acknowledged before.
    async def main(deployment):
        walk = Walk(deployment, seed, tolerance, spares)
        await walk.begin()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(walk.watch)
            for _ in range(STEPS):
                await walk.step()
            await walk.end()
            nursery.cancel_scope.cancel()
        assert len(walk.acked) > 2

    run_controls(main, seed)
