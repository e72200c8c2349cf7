import trio

from gooseberryyoke_daemon.testing.retry_fleet import BUSY, SMALL, run_retry_fleet

SMALL_A_SECOND = 10
BUSY_A_SECOND = 60
SHARED_S = 15.0
"""From a start until the gateway has its share."""
CUT_OFF_S = 12.5
"""From a cut until the gateway has lost its share."""
FORGOTTEN_S = 20.0
"""From then until the others divide it."""


async def ask_both(fleet, for_s):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.ask_often, SMALL, SMALL_A_SECOND, for_s)
        nursery.start_soon(fleet.ask_often, BUSY, BUSY_A_SECOND, for_s)


def test_what_a_busy_service_earns_is_not_spent_at_a_small_one():
    # Guards against a small service that fails and gets the retries which requests to
    # another one have earned.
    async def main(fleet):
        fleet.failing.add(SMALL)
        await ask_both(fleet, 15.0)
        assert fleet.checks[SMALL].retries
        assert not fleet.checks[SMALL].violations()

    run_retry_fleet(main)


def test_starts_of_gateways_restore_no_spent_retries():
    # Guards against gateways that are killed one after the other, and have their
    # reserve anew each time, while all servers of a service fail.
    async def main(fleet):
        fleet.failing.add(SMALL)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.ask_often, SMALL, 2 * SMALL_A_SECOND, 12.0)
            for _ in range(5):
                await trio.sleep(2.0)
                await fleet.restart_gateways(sorted(fleet.running))
        assert not fleet.checks[SMALL].violations()

    run_retry_fleet(main, slack=40)


def test_many_gateways_share_the_slack_while_few_requests_come():
    # Guards against reserves that add up to more than the slack: what requests earn
    # can't make up for it where few are sent.
    async def main(fleet):
        fleet.failing.add(SMALL)
        await fleet.ask_often(SMALL, 4 * SMALL_A_SECOND, 3.0)
        assert not fleet.checks[SMALL].violations()

    run_retry_fleet(main, gateways=13, slack=100)


def shares(fleet):
    now = trio.current_time()
    return [g.retry_share.retries(now) for _, g in sorted(fleet.running.items())]


def test_gateways_divide_the_slack_once_they_have_been_listed_for_a_while():
    # Guards against gateways that never get a share, or keep it while they are cut off
    # from all that count them.
    async def main(fleet):
        await trio.sleep(SHARED_S)
        assert shares(fleet) == [5.0] * 4
        await fleet.restart_gateways([0])
        await trio.sleep(2.0)
        assert shares(fleet) == [0, 5.0, 5.0, 5.0]
        await trio.sleep(SHARED_S)
        assert shares(fleet) == [5.0] * 4
        fleet.cut_off(3)
        await trio.sleep(CUT_OFF_S)
        assert shares(fleet) == [5.0, 5.0, 5.0, 0]
        await trio.sleep(FORGOTTEN_S)
        assert shares(fleet) == [20 / 3] * 3 + [0]

    run_retry_fleet(main)
