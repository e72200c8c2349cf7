import trio
from trio.testing import MockClock

from gooseberryyoke.stream.frame import EndFrame
from gooseberryyoke_daemon.agent.attempt import Attempt, AttemptOrder
from gooseberryyoke_daemon.agent.runner import Runner
from gooseberryyoke_daemon.header_names import HeaderNames
from gooseberryyoke_daemon.wire import Address, HttpClient
from gooseberryyoke_daemon.wire.memory import MemoryNetwork

SERVER = Address("10.0.0.1", 80)
ORDER = AttemptOrder("a1", "e1", 7, 0.0, 3, False, 5.0, "GET", "/", [], b"")
HEAD = b"HTTP/1.1 200 X\r\ncontent-type: text/event-stream\r\n\r\n"


def test_an_answer_that_only_its_connection_ends_gets_no_end_frame():
    """The entry makes a last chunk of an end frame; here the server broke off."""

    async def break_off(stream):
        async with stream:
            await stream.receive_some()
            await stream.send_all(HEAD + b"id: 1\ndata: half of an ev")

    async def main():
        network = MemoryNetwork()
        listeners = await network.listen(SERVER)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, break_off, listeners)
            runner = Runner(
                HttpClient(network),
                SERVER,
                head_timeout_s=5.0,
                answer_bytes=1000,
                hear=lambda report, attempt: None,
                names=HeaderNames(),
            )
            attempt = Attempt(ORDER, started_s=0.0)
            await runner.run(attempt)
            assert attempt.log.finished
            assert not isinstance(attempt.log.last, EndFrame)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
