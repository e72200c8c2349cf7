import pytest
import trio
import trio.testing

from gooseberryyoke_daemon.testing.raw_server import receive_request
from gooseberryyoke_daemon.wire import Address, ExchangeBroken, HttpClient
from gooseberryyoke_daemon.wire.memory import MemoryNetwork

SERVER = Address("10.0.0.1", 80)


def json_after(status):
    """Give the reply to a call, such as of a probe or report, with a status line."""
    replies = []

    async def serve(stream):
        async with stream:
            await receive_request(stream)
            line = b"HTTP/1.1 %b X\r\n" % status
            await stream.send_all(line + b"content-length: 2\r\n\r\n{}")

    async def main():
        network = MemoryNetwork(latency_s=0.001)
        listeners = await network.host(SERVER.host).listen(SERVER)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            client = HttpClient(network.host("10.0.0.2"))
            replies.append(await client.json("GET", SERVER, "/report", timeout_s=1.0))
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return replies[0]


@pytest.mark.parametrize("status", [b"000", b"099", b"101", b"600", b"999"])
def test_a_call_with_a_status_that_http_lacks_has_no_reply(status):
    # Guards against a probe or a report that counts as answered by such a status.
    with pytest.raises(ExchangeBroken):
        try:
            json_after(status)
        except* ExchangeBroken as group:
            raise group.exceptions[0] from None


@pytest.mark.parametrize("status", [200, 299, 404, 599])
def test_a_call_gets_the_reply_with_any_other_status(status):
    assert json_after(b"%d" % status).status == status
