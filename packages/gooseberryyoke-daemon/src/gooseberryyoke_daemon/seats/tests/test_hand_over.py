import pytest
import trio
from returns.result import Success

from gooseberryyoke_daemon.testing.control_deployment import run_controls

OVERLAP_S = 10.0
STOP_S = 4.0
"""Half of the time after which the platform ends a process that stops."""
RECOVERY_S = 12.0


async def newest(deployment, number):
    found = await deployment.running[number].store.newest()
    return found.unwrap().text if isinstance(found, Success) else None


async def until_read(deployment, number, text):
    with trio.fail_after(RECOVERY_S):
        while await newest(deployment, number) != text:
            await trio.sleep(0.1)


async def put(deployment, number, version):
    text = str(version).encode()
    with trio.fail_after(RECOVERY_S):
        store = deployment.running[number].store
        while not isinstance(await store.put(version, text), Success):
            await trio.sleep(0.1)
    return text


@pytest.mark.parametrize("after_s", [0.0, 0.2, 1.0, 2.0, 2.6])
@pytest.mark.parametrize("seed", range(3))
def test_a_planned_replacement_and_a_lost_disk_lose_no_table(seed, after_s):
    # Guards against a configuration that is lost as a machine is taken away, long after
    # its successor was started, and another one loses its disk before that successor
    # has noticed.
    async def main(deployment):
        await deployment.found()
        await deployment.running[1].store.put(1, b"1")
        await deployment.start(4)
        await trio.sleep(OVERLAP_S)
        await deployment.stop(1, wipe=True)
        text = await put(deployment, 2, 2)
        await trio.sleep(after_s)
        deployment.kill(2, wipe=True)
        await trio.sleep(0.8)
        await deployment.start(2)
        for number in (2, 3, 4):
            await until_read(deployment, number, text)
        await put(deployment, 3, 3)

    run_controls(main, seed)


def test_two_planned_replacements_in_a_row_lose_no_table():
    async def main(deployment):
        await deployment.found()
        text = await put(deployment, 1, 1)
        for old, new in ((1, 4), (2, 5), (3, 6)):
            await deployment.start(new)
            await trio.sleep(OVERLAP_S)
            await deployment.stop(old, wipe=True)
        for number in (4, 5, 6):
            await until_read(deployment, number, text)

    run_controls(main)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("pause_s", [0.0, 1.0, 3.0])
def test_three_planned_replacements_one_after_the_other_lose_no_table(seed, pause_s):
    # Guards against a process that has just left and still holds a rank among those
    # that may take a seat, so that nobody takes the next one.
    async def main(deployment):
        await deployment.found()
        for number in (4, 5, 6):
            await deployment.start(number)
        await trio.sleep(OVERLAP_S)
        text = await put(deployment, 1, 1)
        for old in (1, 2, 3):
            await deployment.stop(old, wipe=True)
            await trio.sleep(pause_s)
        for number in (4, 5, 6):
            await until_read(deployment, number, text)
        await put(deployment, 4, 2)

    run_controls(main, seed)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("count", [2, 3])
def test_planned_replacements_at_the_same_time_lose_no_table(seed, count):
    # Guards against a hand-over that needs the seats which are handed over as well.
    async def main(deployment):
        await deployment.found()
        for number in (4, 5, 6):
            await deployment.start(number)
        await trio.sleep(OVERLAP_S)
        text = await put(deployment, 1, 1)
        async with trio.open_nursery() as nursery:
            for old in range(1, count + 1):
                nursery.start_soon(deployment.stop, old, True)
        for number in (4, 5, 6):
            await until_read(deployment, number, text)

    run_controls(main, seed)


@pytest.mark.parametrize("dark_s", [1.0, 5.0, 10.0])
@pytest.mark.parametrize("after_s", [0.0, 0.05, 0.3, 1.0])
@pytest.mark.parametrize("seed", range(2))
def test_a_disk_lost_while_a_seat_is_handed_over_loses_no_table(seed, after_s, dark_s):
    # Guards against a process that leaves with the last but one copy of the state,
    # since its successor waits for a seat that is away.
    async def main(deployment):
        await deployment.found()
        await deployment.start(4)
        await trio.sleep(OVERLAP_S)
        text = await put(deployment, 1, 1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(deployment.stop, 1, True)
            await trio.sleep(after_s)
            deployment.kill(2, wipe=True)
        await trio.sleep(dark_s)
        await deployment.start(2)
        for number in (2, 3, 4):
            await until_read(deployment, number, text)
        await put(deployment, 3, 2)

    run_controls(main, seed)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("after_s", [0.0, 0.02, 0.05, 0.1, 0.2])
def test_a_successor_killed_while_it_copies_leaves_the_seat_to_the_next(seed, after_s):
    # Guards against a holder that has stopped voting for a successor that never comes.
    async def main(deployment):
        await deployment.found()
        for number in (4, 5):
            await deployment.start(number)
        await trio.sleep(OVERLAP_S)
        text = await put(deployment, 1, 1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(deployment.stop, 1, True)
            await trio.sleep(after_s)
            deployment.kill(4)
            await trio.sleep(0.8)
            await deployment.start(4)
        for number in (2, 3, 4, 5):
            await until_read(deployment, number, text)
        await trio.sleep(OVERLAP_S)
        assert sum(deployment.is_ready(number) for number in (2, 3, 4, 5)) == 3

    run_controls(main, seed)


def test_a_stop_without_a_spare_process_takes_no_longer():
    async def main(deployment):
        await deployment.found()
        start_s = trio.current_time()
        await deployment.stop(1)
        assert trio.current_time() - start_s < 0.5

    run_controls(main)


def test_a_spare_process_that_cannot_copy_holds_a_stop_up_for_a_bounded_time():
    # Guards against a process that waits for its successor until it is killed, and
    # against one that comes back and does not vote.
    async def main(deployment):
        await deployment.found()
        text = await put(deployment, 1, 1)
        await deployment.start(4)
        await trio.sleep(OVERLAP_S)
        for number in (2, 3):
            deployment.network.cut("10.0.0.4", f"10.0.0.{number}")
        start_s = trio.current_time()
        await deployment.stop(1)
        assert trio.current_time() - start_s < STOP_S + 0.5
        await deployment.start(1)
        await deployment.until_ready(1, limit_s=RECOVERY_S)
        assert await newest(deployment, 1) == text

    run_controls(main)


def test_a_process_that_was_stopped_and_is_back_is_the_spare_one():
    # Guards against two processes for one seat.
    async def main(deployment):
        await deployment.found()
        text = await put(deployment, 1, 1)
        await deployment.start(4)
        await trio.sleep(OVERLAP_S)
        await deployment.stop(1)
        assert deployment.is_ready(4)
        await deployment.start(1)
        await trio.sleep(OVERLAP_S)
        assert deployment.running[1].keeper.replica is None
        await until_read(deployment, 1, text)

    run_controls(main)
