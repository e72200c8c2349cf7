"""One replica as a process of its own: ``python -m tools.bench.durable_process``."""

import sys
from random import SystemRandom

import trio
from loguru import logger

from gooseberryyoke_daemon.registers import HttpPeer
from gooseberryyoke_daemon.replica import Replica
from gooseberryyoke_daemon.storage import FolderDisk
from gooseberryyoke_daemon.wire import Address, HttpClient, HttpServer, TcpNetwork
from tools.bench.durable_leader_log import LeaderLog

__all__ = ["main"]


def _register(seat, folder, addresses, client):
    peers = {name: HttpPeer(client, item) for name, item in addresses.items()}
    return Replica(seat, FolderDisk(folder), peers, SystemRandom(), may_found=True)


def _leader_log(seat, folder, addresses, client):
    seed = SystemRandom().getrandbits(32)
    return LeaderLog(seat, FolderDisk(folder), addresses, client, seed)


_VARIANTS = {"register": _register, "leader-log": _leader_log}


async def _run(variant, seat, folder, addresses):
    network = TcpNetwork()
    own = addresses.pop(seat)
    replica = _VARIANTS[variant](seat, folder, addresses, HttpClient(network))
    async with trio.open_nursery() as nursery:
        await nursery.start(replica.run)
        listeners = await network.listen(own)
        await nursery.start(HttpServer(replica.handle).run, listeners)


def main(argv):
    """
    Run a replica.

    Parameters
    ----------
    argv : list of str
        Variant, seat, data folder, then ``seat=host:port`` of each.
    """
    logger.remove()
    variant, seat, folder, *pairs = argv
    split = (pair.split("=") for pair in pairs)
    addresses = {name: Address.parse(text) for name, text in split}
    trio.run(_run, variant, seat, folder, addresses)


if __name__ == "__main__":
    main(sys.argv[1:])
