import trio
import trio.testing
from returns.result import Failure, Success

from gooseberryyoke_daemon.replica.memory import MemoryReplicas
from gooseberryyoke_daemon.tables import PutOutcome, TableStore, TableWatcher


def run(main, **options):
    async def body():
        with trio.fail_after(3600):
            async with trio.open_nursery() as nursery:
                replicas = MemoryReplicas(nursery, **options)
                await replicas.start_all()
                await main(replicas)
                nursery.cancel_scope.cancel()

    trio.run(body, clock=trio.testing.MockClock(autojump_threshold=0))


class Table:
    def __init__(self, version):
        self.version = version
        self.routes = ()


def decode(text):
    number = int(text.split()[0])
    return Failure(["bad"]) if number < 0 else Success(Table(number))


async def store_of(replicas, name):
    return TableStore(await replicas.client(name))


def test_the_highest_version_is_read_back_as_it_was_sent():
    async def main(replicas):
        store = await store_of(replicas, "a")
        assert (await store.newest()).unwrap() is None
        assert (await store.put(3, b"3 x")).unwrap() is PutOutcome.STORED
        assert (await store.put(9, b"9 y")).unwrap() is PutOutcome.STORED
        other = await store_of(replicas, "b")
        assert (await other.newest()).unwrap().text == b"9 y"

    run(main)


def test_a_version_that_is_not_higher_changes_nothing():
    async def main(replicas):
        store = await store_of(replicas, "a")
        await store.put(9, b"9 y")
        for version, text in ((9, b"9 y"), (9, b"9 other"), (4, b"4")):
            outcome = (await store.put(version, text)).unwrap()
            assert outcome is PutOutcome.NOT_NEWER
        assert (await store.newest()).unwrap().text == b"9 y"

    run(main)


def test_of_two_operators_at_once_the_higher_version_stays():
    async def main(replicas):
        one, two = await store_of(replicas, "a"), await store_of(replicas, "b")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(one.put, 5, b"5 one")
            nursery.start_soon(two.put, 6, b"6 two")
        assert (await one.newest()).unwrap().text == b"6 two"

    for seed in range(20):
        run(main, seed=seed, latency_s=0.02)


def test_a_process_cut_off_reads_nothing_rather_than_an_older_table():
    # The operator reads the configuration from a process that a partition keeps
    # from the replicas, just after a newer one was acknowledged by another. What it
    # holds is old by then: it must say that it doesn't know.
    async def main(replicas):
        cut_off, other = await store_of(replicas, "a"), await store_of(replicas, "b")
        await cut_off.put(1, b"1")
        assert (await cut_off.newest()).unwrap().version == 1
        for seat in ("r2", "r3"):
            replicas.cut("a", seat)
        await other.put(2, b"2")
        assert isinstance(await cut_off.newest(), Failure)
        assert isinstance(await cut_off.put(3, b"3"), Failure)
        replicas.heal()
        assert (await cut_off.newest()).unwrap().version in (2, 3)

    run(main)


def test_an_acknowledged_table_outlives_a_lost_disk_and_a_restart_of_all():
    # The replica that was just written loses its disk, and all others lose power
    # before anything else happens: the other replica of the majority has the table.
    async def main(replicas):
        store = await store_of(replicas, "a")
        assert (await store.put(7, b"7")).unwrap() is PutOutcome.STORED
        for seat in replicas.seats:
            replicas.kill(seat)
        replicas.lose_disk("r1")
        replicas.may_found = False
        for seat in replicas.seats:
            await replicas.start(seat)
        await replicas.wait_ready(*replicas.seats)
        fresh = await store_of(replicas, "c")
        assert (await fresh.newest()).unwrap().text == b"7"

    for seed in range(10):
        run(main, seed=seed, sync_s=0.005, latency_s=0.002)


def test_an_entry_installs_each_newer_table_and_never_goes_back():
    async def main(replicas):
        store, installed = await store_of(replicas, "a"), []
        watcher = TableWatcher(
            await store_of(replicas, "e"), decode, lambda t: installed.append(t.version)
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(watcher.run)
            for version in (2, 5, 6):
                await store.put(version, b"%d" % version)
                await trio.sleep(0.9)
                assert watcher.table.version == version
            nursery.cancel_scope.cancel()
        assert installed == [2, 5, 6]

    run(main, latency_s=0.01, sync_s=0.005)


def test_an_entry_without_replicas_goes_on_by_the_table_it_has():
    async def main(replicas):
        store = await store_of(replicas, "a")
        await store.put(2, b"2")
        watcher = TableWatcher(await store_of(replicas, "e"), decode)
        await watcher.check()
        confirmed_s = watcher.confirmed_s
        for seat in replicas.seats:
            replicas.cut("e", seat)
        await watcher.check()
        assert watcher.table.version == 2
        assert watcher.confirmed_s == confirmed_s

    run(main)


def test_an_entry_keeps_its_table_if_a_newer_one_cannot_be_read():
    async def main(replicas):
        store = await store_of(replicas, "a")
        await store.put(2, b"2")
        watcher = TableWatcher(await store_of(replicas, "e"), decode)
        await watcher.check()
        await store.put(3, b"-1 is refused by the decoder")
        await watcher.check()
        assert watcher.table.version == 2

    run(main)
