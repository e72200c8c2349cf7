from random import Random

import pytest
import trio
from returns.result import Success

from gooseberryyoke.routing.table_view import TableIndex
from gooseberryyoke.routing.text_retention import TextRetention, text_key, text_prefix
from gooseberryyoke_daemon.testing.control_deployment import run_controls
from gooseberryyoke_daemon.testing.control_walk import RECOVERY_S, ControlWalk
from gooseberryyoke_daemon.testing.routed import sample_table

VERSIONS = 60
CATCH_UP_S = 4.0


def decode(text):
    return Success(sample_table(int(text[:8])))


def text_of(version):
    return b"%08d" % version + Random(version).randbytes(20_000)


def texts(deployment, number):
    """List the texts that a process's replica holds."""
    slots = deployment.running[number].keeper.replica.acceptor.state.slots
    return [
        key
        for key, slot in slots.items()
        if key.startswith(text_prefix()) and slot.cell.value is not None
    ]


async def change_often(deployment, number, pause_s=0.05):
    for version in range(1, VERSIONS + 1):
        await deployment.running[number].node.put_table(version, text_of(version))
        await trio.sleep(pause_s)


def test_texts_of_replaced_tables_do_not_pile_up():
    # Guards against disks and memory that fill with each change, and a replica that
    # has lost its disk and copies all changes there ever were before it votes.
    async def main(deployment):
        await deployment.found()
        gateway = deployment.start_gateway(1, decode)
        await change_often(deployment, 2)
        await trio.sleep(15.0)
        for number in (1, 2, 3):
            assert len(texts(deployment, number)) == 1
            newest = (await deployment.running[number].store.newest()).unwrap()
            assert newest.text == text_of(VERSIONS)
        assert gateway.watcher.table.version == VERSIONS
        deployment.kill(3, wipe=True)
        await deployment.start(3)
        await deployment.until_ready(3, limit_s=CATCH_UP_S)

    run_controls(main)


def test_removed_texts_cost_nothing_while_a_machine_is_away():
    # Guards against texts that are removed again and again, on the disks of all that
    # are left, for as long as one replica can't be told.
    async def main(deployment):
        await deployment.found()
        deployment.kill(3)
        await change_often(deployment, 1)
        await trio.sleep(20.0)
        before = written(deployment)
        await trio.sleep(60.0)
        assert written(deployment) == before
        await deployment.start(3)
        await trio.sleep(60.0)
        # The third was away when the newest text was stored.
        assert [stored(deployment, number) for number in (1, 2, 3)] == [1, 1, 0]

    run_controls(main)


def stored(deployment, number):
    """Count the texts of a process's replica, and what is left of removed ones."""
    return len(deployment.running[number].keeper.stored_cells(text_prefix()))


def written(deployment):
    """Count the records that the first two processes have written."""
    return sum(
        deployment.running[number].keeper.replica.journal.position for number in (1, 2)
    )


def test_a_late_start_gets_the_newest_text_while_older_ones_are_removed():
    # Guards against a text that is removed under a process which has just been told of
    # it, or of the one before.
    async def main(deployment):
        await deployment.found()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(change_often, deployment, 1, 0.5)
            for number in range(8):
                await trio.sleep(3.0)
                gateway = deployment.start_gateway(number, decode)
                with trio.fail_after(2.0):
                    while gateway.watcher.table is None:
                        await trio.sleep(0.05)

    run_controls(main)


def test_a_text_is_kept_for_those_that_may_still_load_it():
    retention = TextRetention()
    old, new, later = (TableIndex(v, f"d{v}") for v in (1, 2, 3))
    other = TableIndex(2, "other")
    keys = [text_key(each) for each in (old, new, later, other)]
    assert retention.due(keys, old, 0.0) == []
    assert retention.due(keys, new, 100.0) == []
    assert retention.due(keys, new, 104.0) == []
    assert retention.due(keys, new, 105.0) == [text_key(old), text_key(other)]
    assert retention.due([f"{text_prefix()}x-1"], later, 200.0) == []


class Walk(ControlWalk):
    """Changes of the table while processes are lost, some with their disks."""

    longest_pause_s = 6.0

    def __init__(self, deployment, seed, tolerance, spares):
        super().__init__(deployment, seed, tolerance, spares)
        self.version = 0
        self.acked = 0

    def _acts(self):
        return (
            *3 * (self._put,),
            *2 * (self._start,),
            self._kill,
            self._wipe,
            self._stop,
        )

    async def _put(self):
        number = self._some(self._deployment.running)
        if number is None:
            return
        self.version += 1
        store = self._deployment.running[number].node
        put = await store.put_table(self.version, text_of(self.version))
        if isinstance(put, Success):
            self.acked = self.version

    async def _stop(self):
        number = self._some(self._voting())
        if number is not None and len(self._deployment.running) == len(self._numbers):
            await self._deployment.stop(number)

    async def end(self):
        await self._start_all()
        with trio.fail_after(RECOVERY_S):
            while not await self._is_read_everywhere():
                await trio.sleep(0.1)

    async def _is_read_everywhere(self):
        for control in self._deployment.running.values():
            newest = await control.store.newest()
            if not isinstance(newest, Success) or newest.unwrap() is None:
                return self.acked == 0
            if newest.unwrap().version < self.acked:
                return False
        return True


@pytest.mark.parametrize("seed", range(6))
def test_no_losses_and_hand_overs_lose_the_newest_text(seed):
    # Guards against a removal that takes what a majority still needs.
    async def main(deployment):
        walk = Walk(deployment, seed, tolerance=1, spares=1)
        await walk.begin()
        for _ in range(40):
            await walk.step()
        await walk.end()
        assert walk.acked

    run_controls(main, seed)
