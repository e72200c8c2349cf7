import pytest
import trio

from gooseberryyoke_daemon.wire import Address
from gooseberryyoke_daemon.wire.datagram import UdpEndpoint


@pytest.mark.parametrize("host", ["127.0.0.1", "localhost"])
def test_datagrams_arrive_whole_and_in_order(host):
    # Guards against datagrams that are lost on the way around trio's look-up of names,
    # and against a blocking look-up of those that are no IP number.
    async def main():
        sender = UdpEndpoint(Address("127.0.0.1", 0))
        receiver = UdpEndpoint(Address("127.0.0.1", 0))
        await sender.open()
        await receiver.open()
        port = receiver._socket.getsockname()[1]
        sent = [bytes([number]) * (number + 1) for number in range(20)]
        with trio.fail_after(10):
            for data in sent:
                await sender.send(Address(host, port), data)
            assert [await receiver.receive() for _ in sent] == sent
        sender.close()
        receiver.close()

    trio.run(main)


def test_an_endpoint_tells_what_is_unread_before_during_and_after_its_use():
    # Guards against requests that fail at a gateway which takes callers before it has
    # bound the address for news, or after it has given it up.
    async def main():
        sender = UdpEndpoint(Address("127.0.0.1", 0))
        receiver = UdpEndpoint(Address("127.0.0.1", 0))
        assert not receiver.has_unread()
        await sender.open()
        await receiver.open()
        assert not receiver.has_unread()
        port = receiver._socket.getsockname()[1]
        with trio.fail_after(10):
            await sender.send(Address("127.0.0.1", port), b"news")
            assert receiver.has_unread()
            assert await receiver.receive() == b"news"
        assert not receiver.has_unread()
        sender.close()
        receiver.close()
        assert not receiver.has_unread()

    trio.run(main)
