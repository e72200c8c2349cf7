import trio
import trio.testing

from gooseberryyoke_daemon.agent.reporter import Reporter
from gooseberryyoke_daemon.clock import Clock
from gooseberryyoke_daemon.wire import (
    Address,
    HttpClient,
    HttpServer,
    json_response,
)
from gooseberryyoke_daemon.wire.memory import MemoryNetwork

SERVER = Address("10.1.0.1", 80)
INTERVAL_S = 0.5
LOAD = {"running": 0, "queued": 0, "batch_slots": 8, "step_ms": 10}


async def _serve(network, task_status):
    async def handle(request):
        return json_response(200, {**LOAD, "leaving": False})

    with trio.CancelScope() as scope:
        listeners = await network.host(SERVER.host).listen(SERVER)
        task_status.started(scope)
        await HttpServer(handle).run(listeners)


def test_a_server_that_said_it_leaves_is_used_again_in_its_next_life_alone():
    # Guards against a report on its way that brings a leaving server back, and against
    # a server that is left out for good after it has started again.
    async def main():
        network = MemoryNetwork()
        client = HttpClient(network.host("10.1.0.2"))
        reporter = Reporter(client, SERVER, "/load", INTERVAL_S, Clock())
        async with trio.open_nursery() as nursery:

            async def begin_life():
                return await nursery.start(
                    lambda task_status: _serve(network, task_status)
                )

            life = await begin_life()
            nursery.start_soon(reporter.run, lambda: None)
            await trio.sleep(1.0)
            assert not reporter.leaving
            reporter.heard_leaving()
            await trio.sleep(3 * INTERVAL_S)
            assert reporter.leaving
            life.cancel()
            await trio.sleep(6 * INTERVAL_S)
            await begin_life()
            await trio.sleep(3 * INTERVAL_S)
            assert reporter.reachable
            assert not reporter.leaving
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
