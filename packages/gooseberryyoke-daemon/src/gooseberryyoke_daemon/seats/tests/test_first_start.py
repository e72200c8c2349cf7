"""The first start of a deployment, with processes and disks lost on the way."""

from random import Random

import pytest
import trio
from returns.result import Success

from gooseberryyoke_daemon.testing.control_deployment import run_controls

SEATS = 5
NUMBERS = (1, 2, 3, 4, 5, 6)
CONTACT_NUMBERS = (1, 2, 3)
TOLERANCE = 2
START_S = 5.0
RECOVERY_S = 25.0


async def _start(deployment, *numbers, founding=True):
    for number in numbers:
        await deployment.start(number, founding=founding, seats=SEATS)


async def _put(deployment, number, version=1):
    store = deployment.running[number].store
    return isinstance(await store.put(version, b"%d" % version), Success)


async def _put_until_stored(deployment, numbers, limit_s=START_S):
    with trio.fail_after(limit_s):
        while not await _put(deployment, numbers[0]):
            await trio.sleep(0.05)


def _seats_that_vote(deployment):
    return {
        deployment.running[number].keeper.replica.seat
        for number in deployment.running
        if deployment.is_ready(number)
    }


async def _until_all_seats_vote(deployment, limit_s=RECOVERY_S):
    with trio.fail_after(limit_s):
        while len(_seats_that_vote(deployment)) < SEATS:
            await trio.sleep(0.1)


async def _assert_newest(deployment, text):
    for control in deployment.running.values():
        assert (await control.store.newest()).unwrap().text == text


@pytest.mark.parametrize("missing", CONTACT_NUMBERS)
def test_a_contact_that_is_down_does_not_hold_the_first_table_up(missing):
    # Guards against a first start that waits for as long as one contact is away.
    async def main(deployment):
        others = [number for number in NUMBERS if number != missing]
        await _start(deployment, *others)
        await _put_until_stored(deployment, others)
        await _until_all_seats_vote(deployment)
        await _start(deployment, missing, founding=False)
        await trio.sleep(3.0)
        await _assert_newest(deployment, b"1")

    run_controls(main, missing)


def test_fewer_processes_than_seats_start_after_a_moment():
    async def main(deployment):
        await _start(deployment, 1, 2, 4)
        await _put_until_stored(deployment, (1,))
        await _start(deployment, 5, 6, founding=False)
        await _until_all_seats_vote(deployment)

    run_controls(main)


@pytest.mark.parametrize("lost", [1, 2])
@pytest.mark.parametrize("seed", range(6))
def test_disks_lost_right_after_the_first_table_do_not_lose_it(seed, lost):
    # Guards against an acknowledged table that is gone for good, as it stood on three
    # of five seats while the other two were not held yet.
    async def main(deployment):
        await _start(deployment, *NUMBERS)
        await _put_until_stored(deployment, NUMBERS)
        emptied = Random(seed).sample(
            [number for number in NUMBERS if deployment.is_ready(number)], lost
        )
        for number in emptied:
            deployment.kill(number, wipe=True)
        await trio.sleep(1.0)
        await _start(deployment, *emptied, founding=False)
        await _until_all_seats_vote(deployment)
        await _assert_newest(deployment, b"1")

    run_controls(main, seed)


@pytest.mark.parametrize("seed", range(12))
def test_all_killed_while_they_found_go_on_when_they_are_back(seed):
    # Guards against processes that come back without the permission to found, and
    # never vote: no request is served then.
    async def main(deployment):
        rng = Random(seed)
        await _start(deployment, *NUMBERS)
        await trio.sleep(rng.uniform(0.0, 0.4))
        for number in NUMBERS:
            deployment.kill(number)
        await trio.sleep(1.0)
        await _start(deployment, *NUMBERS, founding=False)
        await _put_until_stored(deployment, NUMBERS, RECOVERY_S)
        await _until_all_seats_vote(deployment)

    run_controls(main, seed)


@pytest.mark.parametrize("damaged", [(1,), (1, 2)])
def test_a_contact_whose_vote_is_damaged_does_not_vote_on_it(damaged):
    # Guards against a contact that has forgotten its vote and settles a second list,
    # and against one that never gets past its damaged folder.
    async def main(deployment):
        await _start(deployment, *damaged)
        await trio.sleep(0.5)
        for number in damaged:
            deployment.kill(number)
            disk = deployment.disks[f"10.0.0.{number}", "data/founding"]
            disk.flip("log-0000000000", 20)
        await _start(deployment, *NUMBERS, founding=False)
        lost = [n for n in damaged if deployment.running[n].keeper.founding is None]
        assert lost == list(damaged)
        await trio.sleep(1.0)
        assert not any(deployment.is_ready(number) for number in NUMBERS)
        await _put_until_stored(deployment, NUMBERS, RECOVERY_S)
        await _until_all_seats_vote(deployment)

    run_controls(main, len(damaged))


def test_two_parts_of_a_network_never_found_twice():
    # Guards against two deployments that each acknowledge tables of their own.
    async def main(deployment):
        for one in (1, 4):
            for other in (2, 3, 5, 6):
                deployment.network.cut(f"10.0.0.{one}", f"10.0.0.{other}")
        await _start(deployment, *NUMBERS)
        await trio.sleep(START_S)
        assert not await _put(deployment, 1)
        assert await _put(deployment, 2, version=2)
        for one in (1, 4):
            for other in (2, 3, 5, 6):
                deployment.network.heal(f"10.0.0.{one}", f"10.0.0.{other}")
        await _until_all_seats_vote(deployment)
        await _assert_newest(deployment, b"2")

    run_controls(main)


class FirstStart:
    """Random losses during a first start, and what operators were told meanwhile."""

    def __init__(self, deployment, seed):
        self._deployment = deployment
        self._rng = Random(seed)
        self._wiped = set()
        self.acked = 0

    async def run(self):
        for number in self._rng.sample(NUMBERS, len(NUMBERS)):
            await _start(self._deployment, number)
            await trio.sleep(self._rng.uniform(0.0, 0.05))
        for version in range(1, 10):
            act = self._rng.choice(
                (self._kill, self._kill, self._wipe, self._start, self._start)
                + (self._cut, self._heal, self._kill_all)
            )
            await act()
            await trio.sleep(self._rng.uniform(0.0, 0.5))
            await self._put(version)
        await self._heal()
        for number in NUMBERS:
            await self._start_one(number)

    async def _start_one(self, number):
        if number not in self._deployment.running:
            await _start(self._deployment, number, founding=False)

    def _some(self):
        running = sorted(self._deployment.running)
        return self._rng.choice(running) if running else None

    async def _kill(self):
        number = self._some()
        if number is not None:
            self._deployment.kill(number)

    async def _kill_all(self):
        for number in list(self._deployment.running):
            self._deployment.kill(number)
        for number in NUMBERS:
            await self._start_one(number)

    async def _wipe(self):
        number = self._some()
        if number is not None and len(self._wiped | {number}) <= TOLERANCE:
            self._wiped.add(number)
            self._deployment.kill(number, wipe=True)

    async def _start(self):
        stopped = sorted(set(NUMBERS) - set(self._deployment.running))
        if stopped:
            await self._start_one(self._rng.choice(stopped))

    async def _cut(self):
        one, other = self._rng.sample(NUMBERS, 2)
        self._deployment.network.cut(f"10.0.0.{one}", f"10.0.0.{other}")

    async def _heal(self):
        for one in NUMBERS:
            for other in NUMBERS:
                self._deployment.network.heal(f"10.0.0.{one}", f"10.0.0.{other}")

    async def _put(self, version):
        number = self._some()
        if number is not None:
            with trio.move_on_after(self._rng.uniform(0.1, 1.5)):
                if await _put(self._deployment, number, version):
                    self.acked = version


@pytest.mark.parametrize("seed", range(24))
def test_whatever_is_lost_at_the_first_start_all_seats_vote_in_the_end(seed):
    # Guards against losses while seats are filled that leave the deployment without
    # a majority for good, or an acknowledged table forgotten.
    async def main(deployment):
        start = FirstStart(deployment, seed)
        await start.run()
        await _put_until_stored(deployment, NUMBERS, RECOVERY_S)
        await _until_all_seats_vote(deployment)
        for control in deployment.running.values():
            newest = (await control.store.newest()).unwrap()
            assert newest.version >= max(1, start.acked)

    run_controls(main, seed)
