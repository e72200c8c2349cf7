"""An engine of this process that real control processes and gateways take for one."""

from time import time

import trio

from gooseberryyoke_daemon.wire import HttpServer, Response, TcpNetwork
from gooseberryyoke_platform.names import HEADERS

__all__ = ["SIGNATURE", "Engine"]

SIGNATURE = (HEADERS.signature, "soak")
"""Of all engines."""
_COLD_MS = 2000
_ANSWER_S = (0.01, 0.1)
_OK = 200


class Engine:
    """
    A server that notes what arrives, and announces itself.

    Parameters
    ----------
    id, zone : str
    address : Address
    rng : random.Random

    Attributes
    ----------
    arrivals : list of float
        On trio's clock.
    is_up : bool
        Whether it listens and announces itself.
    service : str
    """

    service = "s"

    def __init__(self, id, zone, address, rng):
        self.id = id
        self.zone = zone
        self.address = address
        self.arrivals = []
        self.is_up = True
        self._rng = rng
        self._sequence = 0
        self.return_cold(0)

    def return_cold(self, cold_ms=_COLD_MS):
        """Begin a new life that is cold for some time."""
        self._born_ms = round(time() * 1000)
        self._warm_s = trio.current_time() + cold_ms / 1000

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled."""
        listeners = await TcpNetwork().listen(self.address)
        await HttpServer(self.serve).run(listeners, task_status=task_status)

    async def serve(self, request):
        """Note a request and answer it."""
        self.arrivals.append(trio.current_time())
        await trio.sleep(self._rng.uniform(*_ANSWER_S))
        return Response(_OK, [SIGNATURE], b"done")

    def announcement(self):
        """Make the next heartbeat."""
        self._sequence += 1
        cold_s = max(0.0, self._warm_s - trio.current_time())
        return {
            "service": self.service,
            "address": str(self.address),
            "zone": self.zone,
            "slot_count": 8,
            "state": "ready",
            "sequence": self._sequence,
            "born": self._born_ms,
            "cold_remaining_ms": round(cold_s * 1000),
        }
