from random import Random

import pytest
import trio

from gooseberryyoke.register.messages import Read
from gooseberryyoke.seat import SeatMap
from gooseberryyoke_daemon.control import Links, Listener
from gooseberryyoke_daemon.registers import PeerFailed
from gooseberryyoke_daemon.testing.control_deployment import (
    CONTACTS as SEEDS,
    PORT,
    run_controls as run,
)
from gooseberryyoke_daemon.wire import HttpClient


def test_the_first_processes_found_the_replicas_in_any_order_of_start():
    async def main(deployment):
        for number in (3, 1, 2):
            await deployment.start(number, founding=True)
            await trio.sleep(0.1)
        await deployment.until_ready(1, 2, 3, limit_s=2.0)
        store = deployment.running[2].store
        assert (await store.put(4, b"4")).unwrap()
        assert (await deployment.running[3].store.newest()).unwrap().text == b"4"

    run(main)


def test_all_killed_at_once_find_their_seats_and_the_table_again():
    async def main(deployment):
        await deployment.found()
        await deployment.running[1].store.put(4, b"4")
        await trio.sleep(1.0)
        for number in (1, 2, 3):
            deployment.kill(number)
        # The settings name other contacts by now, one of them wrong.
        contacts = (f"10.0.0.9:{PORT}", SEEDS[2])
        for number in (1, 2, 3):
            await deployment.start(number, contacts=contacts)
        await deployment.until_ready(1, 2, 3, limit_s=3.0)
        assert (await deployment.running[1].store.newest()).unwrap().text == b"4"

    for seed in range(5):
        run(main, seed)


def test_an_emptied_disk_votes_again_only_with_a_majority_s_state():
    async def main(deployment):
        await deployment.found()
        await deployment.running[1].store.put(4, b"4")
        await trio.sleep(1.0)
        deployment.kill(2, wipe=True)
        deployment.kill(3)
        await deployment.start(2)
        await trio.sleep(2.0)
        assert not deployment.is_ready(2)
        await deployment.start(3)
        await deployment.until_ready(2, 3)
        deployment.kill(1)
        assert (await deployment.running[2].store.newest()).unwrap().text == b"4"

    run(main)


def test_a_new_process_takes_the_seat_of_one_that_is_gone():
    # A machine is replaced by an empty one at another address, and after it a second
    # one: each time the newcomer copies the state and votes in the seat of the old.
    async def main(deployment):
        await deployment.found()
        await deployment.running[1].store.put(4, b"4")
        await trio.sleep(1.0)
        deployment.kill(3, wipe=True)
        await deployment.start(4)
        await deployment.until_ready(4)
        assert deployment.running[4].keeper.replica.seat == "3"
        await trio.sleep(1.0)
        deployment.kill(1, wipe=True)
        await deployment.start(5)
        await deployment.until_ready(5)
        assert (await deployment.running[5].store.newest()).unwrap().text == b"4"
        assert (await deployment.running[2].store.put(9, b"9")).unwrap()
        assert (await deployment.running[4].store.newest()).unwrap().text == b"9"

    run(main)


def test_a_spare_process_leaves_a_seat_alone_whose_holder_restarts():
    async def main(deployment):
        await deployment.found()
        await deployment.start(4)
        await trio.sleep(5.0)
        deployment.kill(2)
        await trio.sleep(1.0)
        await deployment.start(2)
        await deployment.until_ready(2)
        await trio.sleep(5.0)
        assert deployment.running[4].keeper.replica is None

    run(main)


def test_a_disk_that_fails_for_a_moment_costs_neither_process_nor_seat():
    # The disk of one control process is full for a moment, and its log can't be
    # written. The process goes on; its replica comes back with what it had synced.
    async def main(deployment):
        await deployment.found()
        await deployment.running[1].store.put(4, b"4")
        await trio.sleep(1.0)
        deployment.disks["10.0.0.2", "data/registers"].fail_next = True
        await deployment.running[1].store.put(5, b"5")
        await trio.sleep(0.5)
        assert not deployment.is_ready(2)
        await deployment.until_ready(2, limit_s=3.0)
        assert deployment.running[2].keeper.replica.seat == "2"
        deployment.kill(3)
        newest = await deployment.running[2].store.newest()
        assert newest.unwrap().text == b"5"

    run(main)


def test_a_process_that_hears_nobody_takes_no_seat():
    # The network of a newcomer is down: all seats look silent to it.
    async def main(deployment):
        await deployment.found()
        spare = await deployment.start(4)
        await trio.sleep(1.0)
        for number in (1, 2, 3):
            deployment.network.cut("10.0.0.4", f"10.0.0.{number}")
        await trio.sleep(10.0)
        assert spare.keeper.replica is None

    run(main)


@pytest.mark.parametrize("seed", range(3))
def test_entries_learn_of_the_new_holder_of_a_seat(seed):
    async def main(deployment):
        await deployment.found()
        seats, changes = SeatMap(), []
        listener = Listener()
        listener.seats = lambda: changes.append(1)
        links = Links(
            HttpClient(deployment.network.host("10.7.0.1")),
            lambda: SEEDS,
            seats,
            listener,
            Random(seed),
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(links.run)
            await trio.sleep(1.5)
            assert {h.address for h in seats.holders.values()} == set(SEEDS)
            deployment.kill(2, wipe=True)
            await deployment.start(4)
            await deployment.until_ready(4)
            await trio.sleep(2.0)
            assert seats.holders["2"].address == f"10.0.0.4:{PORT}"
            assert changes
            nursery.cancel_scope.cancel()

    run(main, seed)


def _seats_held(deployment):
    return {
        number: control.keeper.replica.seat
        for number, control in deployment.running.items()
        if deployment.is_ready(number)
    }


async def _found_five(deployment):
    for number in (4, 2, 5, 1, 3):
        await deployment.start(number, founding=True, seats=5)
    await deployment.until_ready(1, 2, 3, 4, 5)


@pytest.mark.parametrize("seed", range(5))
def test_two_disks_lost_at_once_lose_no_acknowledged_table(seed):
    # The operator's change is acknowledged; at once two control processes lose their
    # disks, and the operator reads the change back. The contacts name three processes
    # only. With their three seats, two lost disks would leave no majority that knows
    # the change; with five, three of the five that were asked still hold it.
    async def main(deployment):
        await _found_five(deployment)
        await deployment.running[4].store.put(4, b"4")
        for number in (1, 2):
            deployment.kill(number, wipe=True)
        for number in (1, 2):
            await deployment.start(number, seats=5)
        await deployment.until_ready(1, 2)
        for number in (1, 2, 5):
            found = await deployment.running[number].store.newest()
            assert found.unwrap().text == b"4"
        deployment.kill(3)
        deployment.kill(4)
        assert (await deployment.running[1].store.put(6, b"6")).unwrap()

    run(main, seed)


def test_processes_without_a_seat_share_the_vacant_ones():
    # All start at once, three of them named as contacts. The others fill the two
    # vacant seats, one each, and the sixth stays without.
    async def main(deployment):
        await deployment.start(6, seats=5, founding=True)
        await _found_five(deployment)
        await trio.sleep(5.0)
        assert sorted(_seats_held(deployment).values()) == ["1", "2", "3", "4", "5"]

    run(main)


def test_a_process_whose_seat_was_taken_is_there_for_the_next_vacant_one():
    # A control process is cut off for longer than a seat waits for its holder, and a
    # spare one takes its seat. Later another machine is gone for good. Without the
    # first process's coming back for that seat, the next loss would leave no majority
    # and no change would be accepted any more.
    async def main(deployment):
        await deployment.found()
        await deployment.start(4)
        await deployment.running[1].store.put(4, b"4")
        await trio.sleep(1.0)
        for number in (1, 2, 4):
            deployment.network.cut("10.0.0.3", f"10.0.0.{number}")
        await deployment.until_ready(4)
        for number in (1, 2, 4):
            deployment.network.heal("10.0.0.3", f"10.0.0.{number}")
        await trio.sleep(5.0)
        assert not deployment.is_ready(3)
        assert _seats_held(deployment) == {1: "1", 2: "2", 4: "3"}
        deployment.kill(1, wipe=True)
        await deployment.until_ready(3)
        assert _seats_held(deployment) == {2: "2", 3: "1", 4: "3"}
        deployment.kill(2)
        assert (await deployment.running[3].store.newest()).unwrap().text == b"4"

    run(main)


async def _until_named(deployment, witness, seat):
    """Wait until a replica names another holder of a seat than the founder."""
    state = deployment.running[witness].keeper.replica.acceptor.state
    founder = state.roster[seat]
    with trio.fail_after(10.0):
        while state.roster[seat] == founder:
            await trio.sleep(0.0005)


@pytest.mark.parametrize("seed", range(5))
def test_a_takeover_that_ends_half_way_costs_no_seat(seed):
    # Guards against a holder that has lost nothing and never votes again, since another
    # process had begun to take its seat. With two lost disks no majority is left then.
    async def main(deployment):
        await _found_five(deployment)
        await deployment.start(6, seats=5)
        await deployment.running[1].store.put(4, b"4")
        await trio.sleep(1.0)
        seat = deployment.running[4].keeper.replica.seat
        deployment.kill(4)
        await _until_named(deployment, 1, seat)
        assert not deployment.is_ready(6)
        deployment.kill(6)
        for number in (1, 2):
            deployment.kill(number, wipe=True)
        for number in (1, 2, 4):
            await deployment.start(number, seats=5)
        await deployment.until_ready(1, 2, 4)
        assert deployment.running[4].keeper.replica.seat == seat
        for number in (1, 2, 3, 4, 5):
            found = await deployment.running[number].store.newest()
            assert found.unwrap().text == b"4"

    run(main, seed)


@pytest.mark.parametrize("seed", range(5))
def test_a_holder_that_is_back_before_its_successor_has_joined_keeps_its_seat(seed):
    # Guards against a live holder that empties its folder for a process that has only
    # begun to copy, and may never end.
    async def main(deployment):
        await _found_five(deployment)
        await deployment.start(6, seats=5)
        await deployment.running[4].store.put(4, b"4")
        await trio.sleep(1.0)
        seat = deployment.running[4].keeper.replica.seat
        for number in (1, 2, 3, 5, 6):
            deployment.network.cut("10.0.0.4", f"10.0.0.{number}")
        await _until_named(deployment, 1, seat)
        deployment.kill(6)
        for number in (1, 2, 3, 5, 6):
            deployment.network.heal("10.0.0.4", f"10.0.0.{number}")
        await trio.sleep(5.0)
        assert _seats_held(deployment)[4] == seat
        # Its votes are its own, not copied from others.
        slots = deployment.running[4].keeper.replica.acceptor.state.slots
        assert slots
        assert not any(slot.copied for slot in slots.values())

    run(main, seed)


def test_a_process_that_has_moved_to_another_seat_votes_for_one_only():
    # Guards against a vote that counts twice: an older map names a process for the
    # seat that it has left, and it answers for the one that it holds.
    async def main(deployment):
        await deployment.found()
        control = deployment.running[1]
        holders = control.seats.holders
        holders["2"] = holders["3"]
        peer = control.peers.by_seat()["2"]
        with pytest.raises(PeerFailed, match="holds seat 3"):
            await peer.call(Read("k", "n"))

    run(main)


@pytest.mark.parametrize("is_restarted", [False, True])
def test_a_takeover_that_can_not_end_makes_room_for_the_former_holder(is_restarted):
    # Guards against two seats that never vote again: a process is held up between its
    # two confirmations, the third seat's disk is lost, and the former holder is back.
    async def main(deployment):
        await deployment.found()
        await deployment.running[1].store.put(4, b"4")
        await trio.sleep(1.0)
        deployment.kill(1)
        await deployment.start(4)
        with trio.fail_after(10.0):
            while not _is_confirmed(deployment.running[2], "1"):
                await trio.sleep(0.0005)
        assert not deployment.is_ready(4)
        if is_restarted:
            deployment.kill(4)
        deployment.kill(3, wipe=True)
        await deployment.start(3)
        await deployment.start(1)
        if is_restarted:
            await deployment.start(4)
        await deployment.until_ready(1, 2, 3, limit_s=20.0)
        assert (await deployment.running[3].store.newest()).unwrap().text == b"4"

    run(main)


def _is_confirmed(control, seat):
    """Tell whether a replica has confirmed another holder than the founder."""
    return len(control.keeper.replica.acceptor.state.joined[seat]) > 1
