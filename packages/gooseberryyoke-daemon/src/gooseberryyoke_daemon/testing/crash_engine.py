"""An engine on a network in memory that crashes on harmful requests."""

import trio

from gooseberryyoke.crash import shared_parts
from gooseberryyoke_daemon.testing.routed import NAMES
from gooseberryyoke_daemon.wire import Address, HttpServer, Limits, Response

__all__ = ["HARMFUL", "HARMFUL_BODY", "CrashEngine"]

HARMFUL = "dead"
"""The part of a prompt on which engines crash."""
HARMFUL_BODY = b"crash"
"""The body of a request on which engines crash, whatever its prompt holds."""
_READ_S = 0.1
_EVENT_S = 0.03


class CrashEngine:
    """
    One life of an engine, which a harmful request ends.

    Parameters
    ----------
    fleet : CrashFleet
    number : int
        Of the engine.
    life : int
        How many it has had before.

    Attributes
    ----------
    id : str
    address : Address
    scope : trio.CancelScope
        Of this life.
    """

    def __init__(self, fleet, number, life):
        self.id = f"e{number}-{life}"
        self.number = number
        self.life = life
        self.address = Address(f"10.1.0.{number}", 80)
        self.scope = trio.CancelScope()
        self._fleet = fleet

    async def run(self, task_status):
        """Answer requests until the end of this life."""
        host = self._fleet.network.host(self.address.host)
        listeners = await host.listen(self.address)
        server = HttpServer(self.answer, Limits())
        with self.scope:
            await server.run(listeners, task_status=task_status)

    async def answer(self, request):
        """Answer a request, or crash on it."""
        is_harmful = _is_harmful(request)
        number = request.header(NAMES.attempt_id)
        self._fleet.note_arrival(number, is_harmful, self)
        headers = [(NAMES.signature, "sig"), ("content-type", "text/event-stream")]
        if not request.target.startswith("/draw/"):
            await trio.sleep(_READ_S)
            if is_harmful:
                await self._crash()
            return Response(200, headers[:1], b"plain")
        after = int(request.header("last-event-id", 0))
        return Response(200, headers, self._events(is_harmful, after))

    async def _events(self, is_harmful, after):
        await trio.sleep(_READ_S)
        for number in range(after + 1, self._fleet.events + 1):
            if is_harmful and number > after + self._fleet.harmful_after:
                await self._crash()
            yield b"id: %d\ndata: x\n\n" % number
            await trio.sleep(_EVENT_S)

    async def _crash(self):
        self._fleet.crash(self)
        await trio.sleep_forever()


def _is_harmful(request):
    parts = shared_parts(request.header(NAMES.prompt_parts))
    return HARMFUL in parts or request.body == HARMFUL_BODY
