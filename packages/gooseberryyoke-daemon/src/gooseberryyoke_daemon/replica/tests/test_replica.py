import contextlib
from unittest.mock import patch

import pytest
import trio
import trio.testing

from gooseberryyoke.register import Ballot, Cell, Conflict, Unavailable, Versioned
from gooseberryyoke.register.messages import Accept, CopyPage, Read
from gooseberryyoke_daemon.registers import HttpPeer, PeerFailed, RegisterClient
from gooseberryyoke_daemon.registers.peer import _Call
from gooseberryyoke_daemon.replica import Replica, joining as joining_module
from gooseberryyoke_daemon.replica.memory import MemoryReplicas, _Link
from gooseberryyoke_daemon.storage.memory import MemoryDisk
from gooseberryyoke_daemon.wire import Address, HttpClient, HttpServer, Request
from gooseberryyoke_daemon.wire.memory import MemoryNetwork

T = 5.0


def run(main, **options):
    async def body():
        with trio.fail_after(600):
            async with trio.open_nursery() as nursery:
                replicas = MemoryReplicas(nursery, **options)
                await replicas.start_all()
                await main(replicas, await replicas.client("c1"))
                nursery.cancel_scope.cancel()

    trio.run(body, clock=trio.testing.MockClock(autojump_threshold=0))


def test_write_survives_the_restart_of_all_replicas():
    async def main(replicas, client):
        written = (await client.write("k", 0, {"a": 1}, T)).unwrap()
        for seat in replicas.seats:
            replicas.kill(seat)
        replicas.may_found = False
        await replicas.start_all()
        assert (await client.read("k", T)).unwrap() == written

    run(main)


def test_minority_serves_nothing():
    async def main(replicas, client):
        replicas.kill("r1")
        replicas.kill("r2")
        failure = (await client.write("k", 0, "a", T)).failure()
        assert isinstance(failure, Unavailable) and not failure.may_have_written
        assert isinstance((await client.read("k", T)).failure(), Unavailable)

    run(main)


@pytest.mark.parametrize("one_way", [True, False])
@pytest.mark.parametrize("direction", [("c1", "r1"), ("r1", "c1")])
def test_cut_of_one_replica_stops_nothing(direction, one_way):
    async def main(replicas, client):
        replicas.cut(*direction, one_way=one_way)
        version = 0
        for number in range(10):
            result = await client.write("k", version, number, T)
            version = result.unwrap().version
        assert (await client.read("k", T)).unwrap() == Versioned(version, 9)

    run(main)


def test_writers_at_the_same_instant_have_one_winner():
    async def main(replicas, first):
        second = await replicas.client("c2")
        results = {}

        async def write(client, value):
            results[value] = await client.write("k", 0, value, T)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(write, first, "a")
            nursery.start_soon(write, second, "b")
        winner = (await first.read("k", T)).unwrap().value
        loser = {"a": "b", "b": "a"}[winner]
        assert results[winner].unwrap().value == winner
        assert results[loser].failure() == Conflict(results[winner].unwrap())

    for seed in range(20):
        run(main, seed=seed, latency_s=0.005)


def test_second_loss_right_after_the_first_repair_loses_nothing():
    """
    No acknowledged write is lost. r3 misses a write and r1 loses its disk; as
    soon as r1 votes again r2 loses its disk too. Only r1's copy has the write.
    """

    async def main(replicas, client):
        replicas.kill("r3")
        written = (await client.write("k", 0, "a", T)).unwrap()
        await replicas.start("r3")
        for seat in ("r1", "r2"):
            replicas.kill(seat)
            replicas.lose_disk(seat)
            await replicas.start(seat)
            await replicas.wait_ready(seat)
        replicas.kill("r3")
        assert (await client.read("k", T)).unwrap() == written

    run(main)


def test_empty_replica_does_not_vote_before_it_has_copied_a_majority():
    """
    No acknowledged write is lost. r1 and r2 hold a write that r3 missed; r2
    comes back with an empty disk while r1 is cut off. With r3 it would be a
    majority that never saw the write.
    """

    async def main(replicas, client):
        replicas.cut("c1", "r3")
        written = (await client.write("k", 0, "a", T)).unwrap()
        replicas.heal()
        replicas.kill("r2")
        replicas.lose_disk("r2")
        for host in ("r2", "r3", "c1"):
            replicas.cut("r1", host)
        await replicas.start("r2")
        assert isinstance((await client.read("k", T)).failure(), Unavailable)
        assert not replicas.running["r2"].is_ready
        replicas.heal()
        await replicas.wait_ready("r2")
        replicas.kill("r1")
        assert (await client.read("k", T)).unwrap() == written

    run(main)


def test_older_folder_takes_a_new_identity():
    """
    No acknowledged write is lost. r2's folder is put back from a copy made
    before a write that only r1 and r2 hold; its peers remember that it had
    synced more.
    """

    async def main(replicas, client):
        await client.write("other", 0, "x", T)
        replicas.cut("c1", "r3")
        old = replicas.disks["r2"].copy()
        written = (await client.write("k", 0, "a", T)).unwrap()
        await trio.sleep(3)
        replicas.heal()
        identity = replicas.running["r2"].acceptor.state.incarnation
        replicas.kill("r2")
        replicas.disks["r2"] = old
        await replicas.start("r2")
        await replicas.wait_ready("r2")
        assert replicas.running["r2"].acceptor.state.incarnation > identity
        replicas.kill("r1")
        assert (await client.read("k", T)).unwrap() == written

    run(main)


def test_damaged_folder_is_set_aside_and_copied_anew():
    async def main(replicas, client):
        replicas.cut("c1", "r3")
        written = (await client.write("k", 0, "a", T)).unwrap()
        replicas.heal()
        replicas.kill("r2")
        replicas.disks["r2"].flip("log-0000000000", -3)
        await replicas.start("r2")
        await replicas.wait_ready("r2")
        replicas.kill("r1")
        assert (await client.read("k", T)).unwrap() == written

    run(main)


def test_all_folders_empty_is_refused_unless_the_deployment_is_new():
    async def main(replicas, client):
        for seat in replicas.seats:
            replicas.kill(seat)
            replicas.lose_disk(seat)
        replicas.may_found = False
        for seat in replicas.seats:
            await replicas.start(seat)
        await trio.sleep(30)
        assert not any(replica.is_ready for replica in replicas.running.values())
        assert isinstance((await client.read("k", T)).failure(), Unavailable)

    run(main)


def test_reader_is_not_shown_what_a_crash_takes_back():
    """
    A value once read is never unread. An accept waits for its sync; a read of
    the same replica sees the cell in memory and must not answer before it.
    """

    async def main(replicas, client):
        await client.write("k", 0, "a", T)
        replica = replicas.running["r1"]
        done = []

        async def write():
            await client.write("k", 1, "b", T)

        async def read():
            reply = await replica.call(Read("k", "n"))
            done.append(reply.cell.value)
            assert replica.journal.synced >= position

        async with trio.open_nursery() as nursery:
            nursery.start_soon(write)
            while replica.acceptor.state.slots["k"].cell.value != "b":
                await trio.sleep(0.001)
            position = replica.journal.position
            assert replica.journal.synced < position
            nursery.start_soon(read)
        assert done == ["b"]

    run(main, sync_s=0.01)


def test_replaced_process_stops_voting():
    """
    The old holder of a seat does no harm. It hangs while another process takes
    its seat with an empty disk, and wakes up believing that it still votes.
    """

    async def main(replicas, client):
        old = replicas.running.pop("r2")
        replicas.disks["r2"] = MemoryDisk()
        await replicas.start("r2")
        await replicas.wait_ready("r2")
        await trio.sleep(3)
        assert not old.is_ready
        assert replicas.running["r2"].is_ready

    run(main)


def test_restart_of_an_old_holder_does_not_take_the_seat_back():
    """
    The bundle's holder of a seat goes on voting. The seat moved to another
    instance, and the old one restarts on its old folder and settings; it used to
    take a new identity and replace the new holder.
    """

    async def main(replicas, client):
        await client.write("k", 0, "a", T)
        old = replicas.disks["r2"].copy()
        replicas.kill("r2")
        replicas.lose_disk("r2")
        await replicas.start("r2")
        await replicas.wait_ready("r2")
        peers = {seat: replicas.peer("old", seat) for seat in ("r1", "r3")}
        restarted = Replica("r2", old, peers, replicas.rng)
        with trio.move_on_after(30):
            await restarted.run()
        assert not restarted.is_ready
        assert replicas.running["r2"].is_ready

    run(main)


def test_a_folder_of_another_seat_never_votes():
    """
    A process lost its seat and takes a vacant one, on a folder that it could not set
    aside then. Voting on it, the process would count in one seat with promises and
    values that it gave in another, and two seats would hold one folder's word.
    """

    async def main(replicas, client):
        await client.write("k", 0, "a", T)
        folder = replicas.disks["r2"].copy()
        own = replicas.running["r3"].acceptor.state.incarnation
        replicas.kill("r3")
        replicas.lose_disk("r3")
        replicas.disks["r3"] = folder
        await replicas.start("r3")
        await replicas.wait_ready("r3")
        state = replicas.running["r3"].acceptor.state
        assert state.seat == "r3"
        assert state.incarnation > own
        replicas.kill("r1")
        assert (await client.read("k", T)).unwrap().value == "a"

    run(main)


def test_key_collected_everywhere_leaves_no_trace():
    async def main(replicas, client):
        written = (await client.write("k", 0, "a", T)).unwrap()
        await client.collect("k", written.version, T)
        assert all(not r.acceptor.state.slots for r in replicas.running.values())
        again = (await client.write("k", 0, "b", T)).unwrap()
        assert again.version > written.version
        page = (await client.scan("", "", 10, T)).unwrap()
        assert [keyed.key for keyed in page.slots] == ["k"]

    run(main)


def test_repair_stores_a_slot_that_all_agree_on_once():
    async def main(replicas, client):
        for number in range(100):
            await client.write(f"k{number}", 0, "a", T)
        replicas.kill("r1")
        replicas.lose_disk("r1")
        await replicas.start("r1")
        await replicas.wait_ready("r1")
        assert len(replicas.running["r1"].acceptor.state.slots) == 100
        assert replicas.running["r1"].journal.position < 120

    run(main)


def test_repair_gets_by_replies_that_are_too_long():
    """
    A replica is repaired although a page of bundles is longer than a reply may
    be. The same page was asked for again and again, and failed each time.
    """

    async def main(replicas, client):
        for number in range(20):
            await client.write(f"k{number}", 0, "a", T)
        replicas.kill("r1")
        replicas.lose_disk("r1")
        call = _Link.call

        async def limited(link, message):
            reply = await call(link, message)
            if isinstance(reply, CopyPage) and len(reply.slots) > 3:
                raise PeerFailed("reply too long")
            return reply

        with patch.object(_Link, "call", limited):
            await replicas.start("r1")
            await replicas.wait_ready("r1")
        assert len(replicas.running["r1"].acceptor.state.slots) == 20

    run(main)


def test_large_messages_travel_alone():
    peer = HttpPeer(None, Address("10.0.0.1", 80))
    large = Cell(1, "x" * 2**20, "p", 0)
    accept = Accept("k", Ballot(1, "p"), large)
    peer._queue = [_Call(accept), _Call(accept), _Call(Read("a", "a"))]
    sizes = []
    while peer._queue:
        sizes.append(len(peer._take_batch()))
    assert sizes == [1, 1, 1]


def test_exchange_over_http():
    async def body():
        async with trio.open_nursery() as nursery:
            replicas = MemoryReplicas(nursery)
            await replicas.start_all()
            network = MemoryNetwork()
            peers = {}
            for number, seat in enumerate(replicas.seats, start=1):
                address = Address(f"10.0.0.{number}", 80)
                server = HttpServer(replicas.running[seat].handle)
                await nursery.start(server.run, await network.listen(address))
                peers[seat] = HttpPeer(HttpClient(network), address)
            client = RegisterClient(peers, replicas.rng)
            await nursery.start(client.run)
            written = (await client.write("k", 0, {"a": [1]}, T)).unwrap()
            assert (await client.read("k", T)).unwrap() == written
            nursery.cancel_scope.cancel()

    trio.run(body, clock=trio.testing.MockClock(autojump_threshold=0))


def test_route_refuses_what_is_no_message():
    async def main(replicas, client):
        replica = replicas.running["r1"]
        assert await replica.handle(Request("POST", "/other")) is None
        for method, body, status in [
            ("POST", b"{", 400),
            ("POST", b"7", 400),
            ("POST", b'["Prepare"]', 400),
            ("POST", b'[["Prepare"]]', 400),
            ("POST", b'[["Joined"]]', 400),
            ("GET", b"", 405),
        ]:
            request = Request(method, "/internal/register", (), body)
            assert (await replica.handle(request)).status == status

    run(main)


def test_failed_disk_ends_the_role():
    async def body():
        async with trio.open_nursery() as nursery:
            replicas = MemoryReplicas(nursery)
            await replicas.start_all()
            client = await replicas.client("c1")
            replicas.disks["r1"].fail_next = True
            await client.write("k", 0, "a", T)
            with pytest.raises(PeerFailed):
                await replicas.running["r1"].call(Read("k", "n"))

    with pytest.raises(ExceptionGroup):
        trio.run(body, clock=trio.testing.MockClock(autojump_threshold=0))


def test_operation_outlives_its_client_without_a_crash():
    """
    A process that stops ends quietly. The task that carries the client's calls
    was cancelled first, and an operation that had not heard of it yet died of
    "Nursery is closed to new arrivals"; it must end as unavailable instead.
    """

    async def main(replicas, client):
        ended = RegisterClient(client._peers, replicas.rng)
        with trio.move_on_after(1):
            await ended.run()
        failure = (await ended.write("k", 0, "a", T)).failure()
        assert isinstance(failure, Unavailable) and not failure.may_have_written

    run(main)


def test_messages_that_wait_travel_together():
    async def body():
        async with trio.open_nursery() as nursery:
            replicas = MemoryReplicas(nursery)
            await replicas.start_all()
            requests = []

            async def handle(request):
                requests.append(request)
                await trio.sleep(0.1)
                return await replicas.running["r1"].handle(request)

            network, address = MemoryNetwork(), Address("10.0.0.1", 80)
            server = HttpServer(handle)
            await nursery.start(server.run, await network.listen(address))
            peer = HttpPeer(HttpClient(network), address)
            replies = []

            async def read(key):
                replies.append((await peer.call(Read(key, key))).nonce == key)

            async with trio.open_nursery() as calls:
                for number in range(40):
                    calls.start_soon(read, f"k{number}")
            assert replies == [True] * 40
            assert len(requests) == 3
            nursery.cancel_scope.cancel()

    trio.run(body, clock=trio.testing.MockClock(autojump_threshold=0))


def test_cancelled_sender_fails_the_calls_that_travel_with_it():
    """
    A caller whose message travels in another's request gets a failure, not an
    endless wait, when that other caller gives up.
    """

    async def body():
        network, address = MemoryNetwork(), Address("10.0.0.1", 80)
        network.cut("outside", "10.0.0.1")
        peer = HttpPeer(HttpClient(network), address, timeout_s=60.0)
        rider = _Call(Read("b", "b"))
        async with trio.open_nursery() as nursery:
            for _ in range(2):
                nursery.start_soon(_ended, peer.call, Read("a", "a"))
            await trio.sleep(1)
            peer._queue.append(rider)
            nursery.start_soon(_ended, peer._wait_for, rider)
            with trio.move_on_after(1):
                await peer._send_batch()
            assert "cancelled" in rider.failure

    trio.run(body, clock=trio.testing.MockClock(autojump_threshold=0))


async def _ended(function, *args):
    with contextlib.suppress(PeerFailed):
        await function(*args)


def test_a_replica_that_cannot_vote_says_whom_it_waits_for(monkeypatch):
    # Guards against a deployment that doesn't start, with no line that says why.
    lines = []

    def log(event, **fields):
        if event == "replica-waiting":
            lines.append(fields)

    monkeypatch.setattr(joining_module, "log_event", log)

    async def main():
        async with trio.open_nursery() as nursery:
            replicas = MemoryReplicas(nursery)
            await replicas.start("r1")
            await replicas.start("r2")
            await trio.sleep(10)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    last = [fields for fields in lines if fields["seat"] == "r1"][-1]
    assert last["unheard"] == ["r3"]
    assert last["heard"] == {"r2": "fresh"}
    assert last["may"] == "wait"
    assert 2 <= len([fields for fields in lines if fields["seat"] == "r1"]) <= 5
