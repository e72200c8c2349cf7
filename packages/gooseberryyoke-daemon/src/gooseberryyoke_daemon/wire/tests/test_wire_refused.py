import trio

from gooseberryyoke_daemon.wire import (
    Address,
    HttpClient,
    TcpNetwork,
    listener_address,
)


def test_a_port_where_nobody_listens_is_refused_on_real_sockets():
    """An end that is not recognized leaves the requests under it unsuspected."""

    async def main():
        network = TcpNetwork()
        client = HttpClient(network, connect_timeout_s=1.0)
        (listener,) = await network.listen(Address("127.0.0.1", 0))
        address = listener_address(listener)
        assert not await client.is_refused(address)
        await listener.aclose()
        assert await client.is_refused(address)

    trio.run(main)
