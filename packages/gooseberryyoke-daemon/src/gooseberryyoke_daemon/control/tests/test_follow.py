from random import Random

import pytest
import trio
import trio.testing

from gooseberryyoke.membership.cold_report import ColdReport
from gooseberryyoke.membership.server_registry import ServerEntry, ServerState
from gooseberryyoke.seat import Candidate, SeatMap, choose_founders
from gooseberryyoke_daemon.control.link import Links, Listener
from gooseberryyoke_daemon.control.node import ControlNode
from gooseberryyoke_daemon.control.presence import EntryPresence
from gooseberryyoke_daemon.departures import DepartureStore
from gooseberryyoke_daemon.evacuations import EvacuationStore
from gooseberryyoke_daemon.paths import FOLLOW_PATH
from gooseberryyoke_daemon.registers import RegisterClient
from gooseberryyoke_daemon.tables import TableStore
from gooseberryyoke_daemon.wire import (
    Address,
    HttpClient,
    HttpServer,
    Limits,
    json_response,
)
from gooseberryyoke_daemon.wire.memory import MemoryNetwork

CONTROL = Address("10.0.0.1", 70)


class Keeper:
    """Stands in for a `SeatKeeper`."""

    def __init__(self):
        self.seats = choose_founders((), [Candidate(str(CONTROL), "a")], 1)

    def say(self):
        return {"seats": self.seats.to_json(), "controls": [str(CONTROL)]}


class Followed:
    """A control process, with the length of each of its replies to followers."""

    def __init__(self, network):
        registers = RegisterClient({}, Random(1))
        store, evacuations = TableStore(registers), EvacuationStore(registers)
        departures = DepartureStore(registers, "10.0.0.1:70", lambda: None)
        self.node = ControlNode(Keeper(), store, evacuations, departures, Random(1))
        self.reply_bytes = []
        self._host = network.host(CONTROL.host)

    async def run(self, task_status):
        server = HttpServer(self._handle, Limits())
        listeners = await self._host.listen(CONTROL)
        async with trio.open_nursery() as nursery:
            await nursery.start(self.node.run)
            await nursery.start(server.run, listeners)
            task_status.started()

    async def _handle(self, request):
        response = await self.node.handle(request)
        if request.path == FOLLOW_PATH:
            self.reply_bytes.append(len(response.body))
        return response

    def report(self, name, is_open=True):
        presence = EntryPresence(
            name, f"10.7.0.{name}:80", f"10.7.0.{name}:71", "a", is_open
        )
        self.node.entries.hear(presence, trio.current_time())


def run(main):
    async def body():
        network = MemoryNetwork(latency_s=0.001)
        followed, told, servers = Followed(network), [], []
        listener = Listener()
        listener.servers = servers.extend
        listener.entries = lambda control, entries, heard: told.append(entries)
        links = Links(
            HttpClient(network.host("10.7.0.1")),
            lambda: [str(CONTROL)],
            SeatMap(),
            listener,
            Random(1),
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(followed.run)
            await nursery.start(links.run)
            await main(followed, told, servers)
            nursery.cancel_scope.cancel()

    trio.run(body, clock=trio.testing.MockClock(autojump_threshold=0))


def _keep_reporting(followed, names, is_open=True):
    for name in names:
        followed.report(name, is_open)


def test_what_has_not_changed_is_not_sent_again():
    # A control process names 14 entries, its seats and its peers to each follower. With
    # 64 ranks and 14 entries following six of them, the calls that carried these
    # were 40 of 65 MB between the system's processes in 35 s.
    async def main(followed, told, servers):
        names = [str(number) for number in range(1, 15)]
        for _ in range(10):
            _keep_reporting(followed, names)
            await trio.sleep(1.0)
        first, *later = followed.reply_bytes
        assert len(later) >= 5
        assert max(later[1:]) < 0.2 * max(followed.reply_bytes)
        # Each reply still confirms the whole list: it is as fresh as the reply.
        assert [len(entries) for entries in told[-5:]] == [14] * 5

    run(main)


def test_an_entry_that_closes_is_told_at_once():
    # An entry that is about to stop says so; callers must not be named it any more.
    async def main(followed, told, servers):
        _keep_reporting(followed, ["1", "2"])
        await trio.sleep(1.5)
        _keep_reporting(followed, ["1"])
        _keep_reporting(followed, ["2"], is_open=False)
        await trio.sleep(1.0)
        assert [entry[-1] for entry in told[-1]] == [True, False]

    run(main)


def test_a_changed_server_is_told_without_the_rest():
    async def main(followed, told, servers):
        names = [str(number) for number in range(1, 15)]
        _keep_reporting(followed, names)
        await trio.sleep(1.0)
        _keep_reporting(followed, names)
        before = len(followed.reply_bytes)
        entry = ServerEntry("s1", 1, 1, "m", "10.9.0.1:1", "a", 6, ServerState.READY)
        followed.node.announce(entry)
        await trio.sleep(0.1)
        assert [server.id for server in servers] == ["s1"]
        assert followed.reply_bytes[before] < 0.5 * max(followed.reply_bytes)

    run(main)


@pytest.mark.parametrize("answer", [[], {}, {"servers": [], "view": None}, 3, None])
def test_a_malformed_answer_ends_neither_the_follower_nor_its_calls(answer):
    # Guards against a process that ends since another's answer lacks a field.
    async def main():
        network, calls = MemoryNetwork(latency_s=0.001), []

        async def handle(request):
            calls.append(request)
            return json_response(200, answer)

        listeners = await network.host(CONTROL.host).listen(CONTROL)
        links = Links(
            HttpClient(network.host("10.7.0.1")),
            lambda: [str(CONTROL)],
            SeatMap(),
            Listener(),
            Random(1),
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(HttpServer(handle, Limits()).run, listeners)
            await nursery.start(links.run)
            await trio.sleep(5.0)
            assert len(calls) > 5
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def _announce_cold(followed, sequence, left_ms, id="s1"):
    state, word = ServerState.READY, ColdReport(left_ms)
    entry = ServerEntry(
        id, 1, sequence, "s", f"10.1.0.{id[1:]}:80", "a", 6, state, None, word
    )
    followed.node.announce(entry)


def test_followers_hear_of_a_cold_server_once_and_of_a_second_time():
    # Guards against each heartbeat of each cold server being told to each follower,
    # and against a server that becomes cold again unheard.
    async def main(followed, told, servers):
        for number in range(10):
            _announce_cold(followed, number, 9000 - 1000 * number)
            await trio.sleep(1.0)
        assert [entry.cold.left_ms for entry in servers] == [9000]
        _announce_cold(followed, 10, 4000)
        await trio.sleep(1.0)
        assert [entry.cold.left_ms for entry in servers] == [9000, 4000]
        assert all(entry.cold.age_ms <= 500 for entry in servers)

    run(main)


def test_a_follower_that_comes_later_hears_the_age_of_a_word():
    # Guards against a server that is cold anew for each process that hears of it.
    async def main(followed, told, servers):
        _announce_cold(followed, 1, 9000)
        await trio.sleep(5.0)
        found = followed.node.servers
        packed = found.cold_reports(found.changed_since(0), trio.current_time())["s1"]
        assert packed == [9000, 5000, 5000]

    run(main)


@pytest.mark.parametrize("words", [None, 7, {"s1": 3}, {"s1": [-1, 0, 0]}, {}])
def test_a_malformed_cold_word_hides_no_server(monkeypatch, words):
    # Guards against a follower that hears of no server since one word is damaged, or
    # since the process that it follows is of an earlier release.
    async def main(followed, told, servers):
        book = type(followed.node.servers)
        monkeypatch.setattr(book, "cold_reports", lambda self, entries, now: words)
        _announce_cold(followed, 1, 9000)
        await trio.sleep(1.0)
        assert [(entry.id, entry.cold) for entry in servers] == [("s1", None)]

    run(main)
