import pytest
import trio
from trio.testing import MockClock

from gooseberryyoke_daemon.wire import (
    Address,
    ExchangeBroken,
    HttpClient,
    HttpServer,
    json_response,
)
from gooseberryyoke_daemon.wire.memory import MemoryNetwork

SERVER = Address("10.0.0.1", 80)


async def slow(request):
    await trio.sleep(0.1)
    return json_response(200, {})


def test_one_timeout_gives_up_all_silent_connections():
    """
    The caller meets one timeout, not one for each kept connection.

    Three connections are kept when the network loses the state of them all. The
    first exchange times out; the next one opens a new connection at once.
    """

    async def main():
        network = MemoryNetwork()
        async with trio.open_nursery() as nursery:
            listeners = await network.listen(SERVER)
            await nursery.start(HttpServer(slow).run, listeners)
            client = HttpClient(network.host("10.0.0.2"))

            async def ask():
                await client.json("GET", SERVER, "/", timeout_s=1.0)

            async with trio.open_nursery() as three:
                for _ in range(3):
                    three.start_soon(ask)
            network.silence("10.0.0.1", "10.0.0.2")
            with pytest.raises(ExchangeBroken):
                await ask()
            await ask()
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
