import socket

import orjson
import pytest
import trio
import trio.testing

from gooseberryyoke.crash import (
    ClearanceKind,
    RequestCrashes,
    Suspects,
    TrialServers,
    pack_record,
)
from gooseberryyoke_daemon.control.presence import EntryPresence
from gooseberryyoke_daemon.gateway.awake import AwakeCheck
from gooseberryyoke_daemon.gateway.crash_news import CrashNews
from gooseberryyoke_daemon.gateway.group_limits import GroupLimits
from gooseberryyoke_daemon.gateway.peers import Peers
from gooseberryyoke_daemon.gateway.sharing import LoadSharing
from gooseberryyoke_daemon.wire import Address
from gooseberryyoke_daemon.wire.datagram import UdpEndpoint

CRASHES_HOP = 4
REQUEST = "request:0123456789abcdef01234567"


def run(main):
    trio.run(main, clock=trio.testing.MockClock())


async def _settle():
    await trio.testing.wait_all_tasks_blocked()


def test_after_a_stop_requests_wait_for_an_answer_made_after_it():
    # Guards against a gateway that was frozen while a data centre was evacuated, and
    # sends it what has gathered before it hears of that.
    async def main():
        clock, asked, passed = trio.lowlevel.current_clock(), [], []
        check = AwakeCheck(lambda: asked.append(trio.current_time()))

        async def request():
            await check.until_heard()
            passed.append(trio.current_time())

        async with trio.open_nursery() as nursery:
            clock.jump(10.0)
            nursery.start_soon(request)
            await _settle()
            assert asked == [trio.current_time()]
            # An answer that was on its way during the stop tells nothing.
            check.heard(trio.current_time() - 3.0)
            await _settle()
            assert passed == []
            check.heard(trio.current_time())
            await _settle()
            assert passed == [trio.current_time()]

    run(main)


def test_a_process_that_nobody_answers_goes_on_soon():
    # Guards against a gateway cut off from all control processes that serves nobody.
    async def main():
        check = AwakeCheck(lambda: None)
        trio.lowlevel.current_clock().jump(10.0)
        trio.lowlevel.current_clock().autojump_threshold = 0
        start_s = trio.current_time()
        await check.until_heard()
        assert trio.current_time() - start_s <= 0.5
        start_s = trio.current_time()
        await check.until_heard()
        assert trio.current_time() == start_s

    run(main)


def test_a_process_that_runs_holds_nothing():
    async def main():
        trio.lowlevel.current_clock().autojump_threshold = 0
        asked = []
        check = AwakeCheck(lambda: asked.append(1))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(check.run)
            await trio.sleep(60.0)
            start_s = trio.current_time()
            await check.until_heard()
            assert trio.current_time() == start_s
            nursery.cancel_scope.cancel()
        assert asked == []

    run(main)


def crash_datagram(gateway, crashes):
    """Pack what a gateway tells of a request under which servers have crashed."""
    table = RequestCrashes(gateway)
    for number in range(crashes):
        table.record_crash(f"s{number}/1", REQUEST, float(number))
    record = pack_record(table, REQUEST, gateway, float(crashes))
    return orjson.dumps([CRASHES_HOP, gateway, [record]])


class StoppedGateway:
    """What a gateway knows of crashes, with a real socket for news of another one."""

    def __init__(self):
        self.endpoint = UdpEndpoint(Address("127.0.0.1", 0))
        self.requests = RequestCrashes("g0")
        suspects, servers = Suspects("g0"), TrialServers("g0")
        news = CrashNews(suspects, self.requests, servers, "g0", lambda: None)
        there = {
            name: EntryPresence(name, "127.0.0.1:1", "127.0.0.1:2", "a", True)
            for name in ("g0", "g1")
        }
        peers = Peers({}, GroupLimits({}, lambda service: False))
        self.sharing = LoadSharing(
            lambda: there["g0"],
            lambda: there,
            peers,
            self.endpoint,
            crash_news=news,
        )

    def deliver(self, datagrams):
        """Have datagrams wait in the socket, as after a stop of the process."""
        port = self.endpoint._socket.getsockname()[1]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for data in datagrams:
                sender.sendto(data, ("127.0.0.1", port))


@pytest.mark.parametrize("stopped_s", [0.6, 3.0])
def test_a_request_after_a_stop_is_not_sent_before_news_of_its_crashes_is_read(
    stopped_s,
):
    # Guards against a gateway that was stopped and sends a request on under which other
    # gateways' servers have ended three times meanwhile.
    outcome = []

    async def main():
        gateway = StoppedGateway()
        check = AwakeCheck(lambda: None, gateway.endpoint.has_unread)
        async with trio.open_nursery() as nursery:
            await nursery.start(gateway.sharing.run)
            await trio.testing.wait_all_tasks_blocked()
            trio.lowlevel.current_clock().jump(stopped_s)
            gateway.deliver([crash_datagram("g1", n % 3 + 1) for n in range(30)])
            check.heard(trio.current_time())
            await check.until_heard()
            now = trio.current_time()
            outcome.append(gateway.requests.clearance(REQUEST, now).kind)
            nursery.cancel_scope.cancel()

    run(main)
    assert outcome == [ClearanceKind.REFUSED]
