import pytest
import trio
from returns.result import Success

from gooseberryyoke_daemon.tables import PutOutcome
from gooseberryyoke_daemon.testing.control_deployment import run_controls
from gooseberryyoke_daemon.testing.routed import sample_table

IN_FORCE_S = 2.0


def decode(text):
    return Success(sample_table(int(text)))


@pytest.mark.parametrize("wipe", [False, True])
@pytest.mark.parametrize("number", [1, 2, 3])
def test_a_process_killed_right_after_the_ack_loses_no_table(number, wipe):
    # Guards against a table that is acknowledged and never in force, as its process is
    # killed before it tells of it.
    async def main(deployment):
        await deployment.found()
        await deployment.running[1].store.put(1, b"1")
        gateways = [deployment.start_gateway(n, decode) for n in range(3)]
        while any(gateway.watcher.table is None for gateway in gateways):
            await trio.sleep(0.1)
        put = await deployment.running[number].node.put_table(2, b"2")
        assert put == Success(PutOutcome.STORED)
        deployment.kill(number, wipe)
        with trio.fail_after(IN_FORCE_S):
            while any(gateway.watcher.table.version < 2 for gateway in gateways):
                await trio.sleep(0.01)

    run_controls(main, number)
