from trio import sleep

from gooseberryyoke_daemon.testing import run_session

LEASE_S = 60.0


def test_one_entry_sweeps_and_another_takes_over():
    """
    Claims are swept by one entry at a time, and go on being swept.

    The entry that holds the lease of the sweep dies. When its lease has run out,
    another one has it, with a higher fencing number.
    """

    async def body(session):
        await session.start(entries=4)
        await sleep(2.0)
        holders = await who_sweeps(session)
        assert len(holders) == 1
        session.kill(holders[0])
        await sleep(1.5 * LEASE_S)
        successors = await who_sweeps(session)
        assert len(successors) == 1
        assert successors != holders

    async def who_sweeps(session):
        return [
            name
            for name, daemon in session.daemons.items()
            if name not in session.killed and daemon.sweep_lease.grant() is not None
        ]

    run_session(body)
