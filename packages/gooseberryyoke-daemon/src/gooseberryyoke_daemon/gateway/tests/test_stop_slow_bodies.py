import pytest
import trio

from gooseberryyoke_daemon.gateway.node import GatewayStop
from gooseberryyoke_daemon.testing.routed import GATEWAY, NAMES, run_routed
from gooseberryyoke_daemon.wire import Response

STOP = GatewayStop(4.0, 7.4, 3.0)
ANSWERED, TOLD_NOT_RUN = b"HTTP/1.1 200", b"HTTP/1.1 503"


async def answer(request):
    await trio.sleep(0.1)
    echo = (NAMES.attempt_id, request.header(NAMES.attempt_id))
    return Response(200, [(NAMES.signature, "sig"), echo], b"done")


async def send_slowly(session, number, body_s):
    """Send a request whose body comes in two parts; return what came back."""
    request = session.request("/book/x", attempt=f"a{number}", deadline_ms=9000)
    head = ["POST /book/x HTTP/1.1", "content-length: 4"]
    head += [f"{name}: {value}" for name, value in request.headers]
    stream = await session.network.host(f"10.9.1.{number}").connect(GATEWAY)
    async with stream:
        await stream.send_all("\r\n".join([*head, "", "bo"]).encode())
        await trio.sleep(body_s)
        await stream.send_all(b"dy")
        return await stream.receive_some()


@pytest.mark.parametrize(
    ("at_s", "body_s", "expected"),
    [
        pytest.param(-1.0, 3.0, ANSWERED, id="whole-early"),
        pytest.param(-1.0, 6.0, ANSWERED, id="whole-late"),
        pytest.param(1.0, 5.5, TOLD_NOT_RUN, id="whole-too-late"),
    ],
)
def test_a_body_that_comes_slowly_into_a_planned_stop_is_waited_for(
    at_s, body_s, expected
):
    # Guards against callers that are cut without a word, by a process that ends before
    # its time as no request is whole.
    async def main(session):
        server = await session.add("i-1", answer)
        replies = []

        async def ask(number):
            await trio.sleep(1.0 + at_s)
            replies.append(await send_slowly(session, number, body_s))

        async with trio.open_nursery() as nursery:
            for number in range(1, 4):
                nursery.start_soon(ask, number)
            await trio.sleep(1.0)
            await session.node.stop(STOP)
            # The process ends with this.
            nursery.cancel_scope.cancel()
        assert [reply[: len(expected)] for reply in replies] == [expected] * 3
        assert len(server.requests) == (3 if expected is ANSWERED else 0)

    run_routed(main)
