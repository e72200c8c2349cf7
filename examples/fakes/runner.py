"""The process around a fake: listens, serves, stops on SIGTERM."""

import signal

import trio

from gooseberryyoke_daemon.wire import Address, HttpServer, TcpNetwork

__all__ = ["run_fake"]


def run_fake(fake, listen, linger_s):
    """
    Serve a fake until SIGTERM, then finish what runs.

    Parameters
    ----------
    fake : FakeEngine or FakeService
        With a handler, a flag ``is_leaving`` and tasks of its own in ``run``.
    listen : str
        Address, ``host:port``.
    linger_s : float
        How long ``/load`` tells of the leaving before new work is refused.
    """
    trio.run(_serve, fake, Address.parse(listen), linger_s)


async def _serve(fake, address, linger_s):
    server = HttpServer(fake.handle)
    listeners = await TcpNetwork().listen(address)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fake.run)
        nursery.start_soon(_stop_on_signal, fake, server, linger_s)
        await server.run(listeners)
        nursery.cancel_scope.cancel()


async def _stop_on_signal(fake, server, linger_s):
    with trio.open_signal_receiver(signal.SIGTERM) as signals:
        async for _ in signals:
            fake.is_leaving = True
            server.drain()
            await trio.sleep(linger_s)
            server.stop_accepting()
