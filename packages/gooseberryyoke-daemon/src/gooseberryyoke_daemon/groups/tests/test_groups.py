import orjson
import pytest
import trio
import trio.testing

from gooseberryyoke.expert import (
    Abort,
    ChangePhase,
    Hello,
    MapSegment,
    Stage,
    encode_map_message,
)
from gooseberryyoke.lease import Grant
from gooseberryyoke.order import LoadModel, Order, UnloadModel, encode_order
from gooseberryyoke_daemon.groups import GroupRoutes, MapDriver, RankAgent
from gooseberryyoke_daemon.replica.memory import MemoryReplicas
from gooseberryyoke_daemon.wire import Address, HttpClient, HttpServer, Request
from gooseberryyoke_daemon.wire.memory import MemoryNetwork

FIRST = MapSegment(1, "first", 0)
RANKS, STEP_S, WINDOW_STEPS, MARGIN_STEPS = 3, 0.04, 100, 25
STAGE_TIMEOUT_S, LONGEST_S = 60.0, 600.0


class FakeEngine:
    """Obeys its agent, loads in two seconds, and says what it ran."""

    def __init__(self):
        self.loaded = {"first"}
        self.segments, self.until_step, self.ran = [], 0, []
        self.did = []

    async def load_map(self, digest):
        await trio.sleep(2.0)
        self.loaded.add(digest)

    async def drop_map(self, digest):
        self.loaded.discard(digest)

    async def run_order(self, action):
        await trio.sleep(1.0)
        self.did.append(action)

    def step(self):
        step = len(self.ran)
        part = [part for part in self.segments if part.step <= step][-1]
        assert part.digest in self.loaded
        self.ran.append(part.number)


class Group:
    """Ranks in lock-step, each with an agent behind HTTP."""

    def __init__(self, network):
        self.network = network
        self.engines = [FakeEngine() for _ in range(RANKS)]
        self.agents = [None] * RANKS
        self.addresses = [Address(f"10.0.1.{rank}", 80) for rank in range(RANKS)]
        self.lives = 0

    async def serve(self, rank, task_status):
        self.start_agent(rank)

        async def handle(request):
            return await GroupRoutes(self.agents[rank])(request)

        listeners = await self.network.listen(self.addresses[rank])
        await HttpServer(handle).run(listeners, task_status=task_status)

    def start_agent(self, rank):
        self.lives += 1
        life = f"life-{self.lives}"
        self.agents[rank] = RankAgent(rank, life, self.engines[rank], WINDOW_STEPS)

    async def run_agent(self, rank):
        while True:
            agent = self.agents[rank]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(agent.run)
                while self.agents[rank] is agent:
                    await trio.sleep(0.1)
                nursery.cancel_scope.cancel()

    async def run_steps(self):
        while True:
            await trio.sleep(STEP_S)
            for rank, engine in enumerate(self.engines):
                if len(engine.ran) + WINDOW_STEPS / 2 > engine.until_step:
                    self.ask_permit(rank, engine)
            if all(len(engine.ran) < engine.until_step for engine in self.engines):
                for engine in self.engines:
                    engine.step()
                assert len({engine.ran[-1] for engine in self.engines}) == 1

    def ask_permit(self, rank, engine):
        permit = self.agents[rank].permit(
            len(engine.ran), engine.until_step, engine.loaded
        )
        engine.segments += permit.segments
        engine.until_step = permit.until_step


class HeldLease:
    def __init__(self, number):
        self.number = number

    def grant(self):
        return Grant(self.number, float("inf")) if self.number else None


def run(main):
    async def within():
        with trio.fail_after(LONGEST_S):
            await serve()

    async def serve():
        async with trio.open_nursery() as nursery:
            replicas = MemoryReplicas(nursery)
            await replicas.start_all()
            network = MemoryNetwork()
            group = Group(network)
            for rank in range(RANKS):
                await nursery.start(group.serve, rank)
                nursery.start_soon(group.run_agent, rank)
            nursery.start_soon(group.run_steps)

            async def driver(number):
                registers = await replicas.client(f"entry-{number}")
                host = network.host(f"10.0.0.{number}")
                return MapDriver(
                    "group",
                    FIRST,
                    group.addresses,
                    registers,
                    HttpClient(host),
                    HeldLease(number),
                    MARGIN_STEPS,
                )

            await main(group, driver)
            nursery.cancel_scope.cancel()

    trio.run(within, clock=trio.testing.MockClock(autojump_threshold=0))


def test_map_changes_over_http_and_registers():
    async def main(group, driver):
        first = await driver(1)
        assert await first.change(None, STAGE_TIMEOUT_S) is ChangePhase.DONE
        assert await first.change("second", STAGE_TIMEOUT_S) is ChangePhase.DONE
        await trio.sleep(1.0)
        assert [engine.loaded for engine in group.engines] == [{"second"}] * RANKS
        assert group.engines[0].ran[-1] > group.engines[0].ran[0] == 1

    run(main)


def test_successor_takes_over_while_the_first_driver_is_cut_off():
    """
    Streams pause for moments and go on, on one map.

    The first driver is cut off from the ranks while they load. Its successor
    changes the map; the link heals, and the first driver finds itself replaced.
    """

    async def main(group, driver):
        first, second = await driver(1), await driver(2)
        await first.change(None, STAGE_TIMEOUT_S)
        phases = []

        async def change():
            phases.append(await first.change("second", STAGE_TIMEOUT_S))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(change)
            await trio.sleep(1.0)
            for address in group.addresses:
                group.network.cut("10.0.0.1", address)
            done = await second.change("third", STAGE_TIMEOUT_S)
            assert done is ChangePhase.DONE
            for address in group.addresses:
                group.network.heal("10.0.0.1", address)
        assert phases == [ChangePhase.SUPERSEDED]
        ran = len(group.engines[0].ran)
        await trio.sleep(2.0)
        assert len(group.engines[0].ran) > ran
        assert group.engines[0].loaded == {"third"}

    run(main)


def test_restarted_agent_is_restored_before_its_rank_goes_on():
    """
    A pause of all ranks, until the driver has told the agent its map.

    The agent restarts without memory. Its engine uses up its permit; the new
    life gives none before it has been restored from the register.
    """

    async def main(group, driver):
        first = await driver(1)
        await first.change(None, STAGE_TIMEOUT_S)
        await first.change("second", STAGE_TIMEOUT_S)
        group.start_agent(0)
        await trio.sleep(10.0)
        stopped = len(group.engines[0].ran)
        await trio.sleep(1.0)
        assert len(group.engines[0].ran) == stopped
        assert await first.change(None, STAGE_TIMEOUT_S) is ChangePhase.DONE
        await trio.sleep(1.0)
        assert len(group.engines[0].ran) > stopped

    run(main)


def test_change_that_cannot_load_is_given_up():
    async def main(group, driver):
        first = await driver(1)
        await first.change(None, STAGE_TIMEOUT_S)

        async def fail(digest):
            return "weight store: 429"

        group.engines[2].load_map = fail
        assert await first.change("second", 10.0) is ChangePhase.ABORTED
        ran = len(group.engines[0].ran)
        await trio.sleep(2.0)
        assert len(group.engines[0].ran) > ran

    run(main)


def test_weights_about_to_be_dropped_are_not_promised():
    """
    A rank switches to a map whose weights are gone.

    While the engine drops a given-up map it still says that it holds it, and the
    same map is staged again. A promise on these words would end at a step that
    the rank can't run; it has to load the map first.
    """

    async def main(group, driver):
        agent, engine = group.agents[0], group.engines[0]
        await (await driver(1)).change(None, STAGE_TIMEOUT_S)
        engine.loaded.add("second")
        gone = trio.Event()

        async def drop(digest):
            await gone.wait()
            engine.loaded.discard(digest)

        engine.drop_map = drop
        group.ask_permit(0, engine)
        life = agent.state.incarnation
        agent.receive(Abort(1, life, 2))
        await trio.sleep(0.1)
        agent.receive(Stage(1, life, 1, 3, "second"))
        group.ask_permit(0, engine)
        assert not agent.state.report().ready
        gone.set()
        await trio.sleep(5.0)
        assert agent.state.report().ready
        assert engine.loaded == {"first", "second"}

    run(main)


def test_driver_without_the_lease_does_nothing():
    async def main(group, driver):
        first = await driver(0)
        assert await first.change("second", STAGE_TIMEOUT_S) is None
        assert group.agents[0].state.fence == -1

    run(main)


async def post(routes, path, payload):
    body = payload if isinstance(payload, bytes) else orjson.dumps(payload)
    response = await routes(Request("POST", path, (), body))
    return None if response is None else (response.status, orjson.loads(response.body))


def test_orders_run_once_and_old_senders_are_refused():
    """
    An engine that ignores fencing numbers runs each order once.

    The order is repeated while it runs and afterwards; then one of a replaced
    sender arrives, which the engine would carry out.
    """

    async def main(group, driver):
        agent, engine = group.agents[0], group.engines[0]
        routes = GroupRoutes(agent)
        load = Order(2, agent.state.incarnation, 20, LoadModel("draw-llm", "v2"))
        told = []
        for pause_s in (0.5, 1.0, 0.0):
            told.append(await post(routes, "/internal/orders", encode_order(load)))
            await trio.sleep(pause_s)
        outcomes = [(status, reply["outcome"]) for status, reply in told]
        assert outcomes == [(202, "accepted"), (202, "running"), (200, "done")]
        old = load.replace(fence=1, number=10, action=UnloadModel("draw-llm", "v1"))
        status, reply = await post(routes, "/internal/orders", encode_order(old))
        assert (status, reply["outcome"]) == (409, "old-fence")
        await trio.sleep(5.0)
        assert engine.did == [load.action]

    run(main)


@pytest.mark.parametrize(
    "path, payload, status",
    [
        ("/internal/map/hello", {"fence": "1"}, 400),
        ("/internal/map/hello", b"{", 400),
        ("/internal/orders", {"fence": 1}, 400),
        ("/internal/permits", {"next_step": 1}, 400),
        ("/internal/map/hello", encode_map_message(Hello(1)), 200),
        ("/internal/permits", {"next_step": 0, "until_step": 0, "loaded": []}, 200),
    ],
)
def test_bodies_are_checked(path, payload, status):
    async def main(group, driver):
        found, _ = await post(GroupRoutes(group.agents[0]), path, payload)
        assert found == status

    run(main)


def test_other_paths_are_left_to_others():
    async def main(group, driver):
        routes = GroupRoutes(group.agents[0])
        assert await post(routes, "/internal/map/rankreport", {}) is None
        assert await post(routes, "/internal/attempts", {}) is None
        state = await routes(Request("GET", "/internal/map/state"))
        assert orjson.loads(state.body)["present"] is None

    run(main)
