from contextlib import suppress

import pytest
import trio

from gooseberryyoke.buffering import HeldBytes
from gooseberryyoke_daemon.header_names import HeaderNames
from gooseberryyoke_daemon.testing.raw_server import receive_request
from gooseberryyoke_daemon.testing.routed import GATEWAY, NAMES, run_routed
from gooseberryyoke_daemon.wire import Response

MIB = 1024 * 1024
SIGNATURE = (NAMES.signature, "sig")
SIGNED = f"{NAMES.signature}: sig\r\n".encode()
LENGTHLESS, CHUNKED = b"connection: close\r\n", b"transfer-encoding: chunked\r\n"
PIECE = b"x" * 16 * 1024
CHUNK = b"%x\r\n%s\r\n" % (len(PIECE), PIECE)
PACE_S = 0.0002
ENDLESS = {
    "without a length": (b"200 OK", LENGTHLESS, PIECE),
    "in chunks": (b"200 OK", CHUNKED, CHUNK),
    "failed": (b"500 Failed", LENGTHLESS, PIECE),
    "turned down": (b"404 Not Found", CHUNKED, CHUNK),
}
SIX_MB = b"y" * 6 * 1000 * 1000


class EndlessServer:
    """Answers each request with a head and a body that does not end."""

    def __init__(self, status, headers, piece, signed=SIGNED):
        self._head = b"HTTP/1.1 " + status + b"\r\n" + signed + headers + b"\r\n"
        self._piece = piece
        self.requests = 0
        self.open = 0

    async def __call__(self, stream):
        if not await receive_request(stream):
            return
        self.requests += 1
        self.open += 1
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await stream.send_all(self._head)
            while True:
                await stream.send_all(self._piece)
                await trio.sleep(PACE_S)
        self.open -= 1


async def sound(request):
    return Response(200, [SIGNATURE], b"sound")


class Most:
    """The most bytes that a gateway held."""

    def __init__(self, held):
        self._held = held
        self.bytes = 0

    async def watch(self):
        while True:
            self.bytes = max(self.bytes, self._held.total)
            await trio.sleep(0.001)


@pytest.mark.parametrize("form", ENDLESS)
def test_an_answer_without_end_costs_no_memory_of_others(form):
    # Guards against a gateway that holds all that comes until the caller's time is
    # over, and is killed by its memory limit with all that it serves.
    held = HeldBytes(limit=60 * MIB)

    async def main(session):
        endless = EndlessServer(*ENDLESS[form])
        await session.add("s1", None, handler=endless)
        most = Most(held)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(most.watch)
            replies = await session.ask_often("/read/x", 10.0, 4.0)
            nursery.cancel_scope.cancel()
        assert endless.requests > 5
        assert all(reply.status in (502, 503, 504) for reply in replies)
        assert most.bytes <= held.limit
        assert held.total == endless.open == 0

    run_routed(main, held=held)


@pytest.mark.parametrize("form", ["without a length", "in chunks", "turned down"])
def test_requests_go_to_another_server_and_the_endless_one_is_avoided(form):
    # Guards against callers who wait until their time is over, and against a server
    # that gets as many requests as the sound ones beside it.
    async def main(session):
        endless = EndlessServer(*ENDLESS[form])
        await session.add("s1", None, handler=endless)
        await session.add("s2", sound)
        replies = await session.ask_often("/read/x", 10.0, 6.0)
        assert [reply.status for reply in replies if reply.status != 200] == []
        assert endless.requests < 20
        assert endless.open == 0

    run_routed(main, held=HeldBytes(limit=60 * MIB))


def test_many_endless_answers_at_once_leave_room_for_a_long_sound_one():
    # Guards against endless answers that fill what may be held together, so that a
    # long answer that does end is given up.
    held = HeldBytes(limit=60 * MIB)

    async def main(session):
        endless = EndlessServer(*ENDLESS["in chunks"])
        await session.add("s1", None, handler=endless, slots=60)
        most = Most(held)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(most.watch)
            for number in range(40):
                nursery.start_soon(_ask, session, f"e{number}")
            await trio.sleep(0.1)
            assert held.total > 30 * MIB
            holding = held.open()
            while holding.size < len(SIX_MB):
                assert holding.may_grow(len(PIECE))
                holding.acquire(len(PIECE))
                await trio.sleep(PACE_S)
            holding.close()
            nursery.cancel_scope.cancel()
        assert most.bytes <= held.limit

    run_routed(main, held=held)


async def _ask(session, attempt):
    await session.ask("/read/x", attempt=attempt)


def test_a_long_answer_that_ends_is_passed_on():
    # Guards against a bound that cuts sound answers off.
    async def long(request):
        return Response(200, [SIGNATURE], SIX_MB)

    async def main(session):
        await session.add("s1", long)
        request = session.request("/read/x")
        async with session.caller.open(GATEWAY, request) as reply:
            received = 0
            async for chunk in reply.chunks():
                received += len(chunk)
        assert received == len(SIX_MB)

    run_routed(main, held=HeldBytes(limit=60 * MIB))


def test_a_success_without_a_signature_is_no_answer():
    # Guards against bytes that are no answer of a server, held and passed on as one.
    async def unsigned(request):
        return Response(200, [], b"who knows")

    async def main(session):
        endless = EndlessServer(b"200 OK", LENGTHLESS, PIECE, signed=b"")
        await session.add("s1", unsigned)
        await session.add("s2", None, handler=endless)
        replies = await session.ask_often("/read/x", 10.0, 2.0)
        assert {reply.status for reply in replies} <= {502, 503}
        assert endless.open == 0

    run_routed(main, names=HeaderNames(requires_signature=True))
