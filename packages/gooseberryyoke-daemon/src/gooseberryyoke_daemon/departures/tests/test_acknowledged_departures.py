import pytest
import trio
from returns.result import Success

from gooseberryyoke.membership.server_registry import ServerEntry, ServerState
from gooseberryyoke_daemon.testing.control_deployment import run_controls
from gooseberryyoke_daemon.testing.routed import sample_table

READY, DRAINING = ServerState.READY, ServerState.DRAINING
ACK_S = 1.0
"""A server takes an answer that comes later for none."""
DRAIN_S = 2.0
"""From the acknowledgement until no gateway may send anything more."""
LOST_S = 3.0
"""The same if control processes were lost meanwhile, from when they are back."""
SERVERS = ("i-1", "i-2", "i-3")


def decode(text):
    return Success(sample_table(int(text)))


def entry(id, sequence=5, state=READY, born_ms=100):
    address = f"10.9.0.{id.rpartition('-')[2]}:80"
    return ServerEntry(id, born_ms, sequence, "s", address, "a", 6, state)


async def until(is_there, limit_s):
    with trio.fail_after(limit_s):
        while not is_there():
            await trio.sleep(0.01)


async def begin(deployment, gateways=3, ids=SERVERS):
    await deployment.found()
    while not isinstance(await deployment.running[1].store.put(1, b"1"), Success):
        await trio.sleep(0.1)
    started = [deployment.start_gateway(n, decode) for n in range(gateways)]
    await until(lambda: all(g.watcher.table is not None for g in started), 10.0)
    for id in ids:
        deployment.running[1].node.announce(entry(id))
    await until(lambda: all(used(g) == set(ids) for g in started), 3.0)
    return started


def used(gateway):
    """Name the servers to which a gateway sends requests."""
    return {server.entry.id for server in gateway.servers.of_service("s")}


async def leave(deployment, number, id, kind="farewell", born_ms=100):
    """Give whether a control process acknowledges in time that a server leaves."""
    node = deployment.running[number].node
    start_s = trio.current_time()
    if kind == "farewell":
        departure = node.end(id, born_ms)
    else:
        departure = node.announce(entry(id, 9, DRAINING, born_ms))
    is_acked = departure is not None and await node.settle(departure)
    assert trio.current_time() - start_s < ACK_S
    return is_acked


@pytest.mark.parametrize("kind", ["farewell", "draining"])
@pytest.mark.parametrize("wipe", [False, True])
@pytest.mark.parametrize("number", [1, 2, 3])
def test_a_process_killed_right_after_the_ack_loses_no_departure(number, wipe, kind):
    # Guards against requests that are sent on to a server which was acknowledged to
    # leave, as the only process that knew was killed before its next round of telling.
    async def main(deployment):
        gateways = await begin(deployment)
        for id in ("i-1", "i-2"):
            assert await leave(deployment, number, id, kind)
        deployment.kill(number, wipe)
        await until(lambda: all(used(g) == {"i-3"} for g in gateways), DRAIN_S)
        await deployment.start(number)
        for _ in range(50):
            await trio.sleep(0.1)
            assert all(used(g) == {"i-3"} for g in gateways)

    run_controls(main, number)


@pytest.mark.parametrize("kind", ["farewell", "draining"])
@pytest.mark.parametrize("seed", range(3))
def test_after_the_loss_of_everything_no_late_heartbeat_brings_a_server_back(
    seed, kind
):
    # Guards against a heartbeat of the departed incarnation that arrives at a process
    # which knows of nothing else, and is told to gateways that have just started.
    async def main(deployment):
        await begin(deployment)
        assert await leave(deployment, 2, "i-1", kind)
        for number in range(3):
            deployment.kill_gateway(number)
        for number in (1, 2, 3):
            deployment.kill(number)
        await trio.sleep(1.0)
        gateways = [deployment.start_gateway(n, decode) for n in range(10, 13)]
        for number in (1, 2, 3):
            control = await deployment.start(number)
            control.node.announce(entry("i-1", 6))
            control.node.announce(entry("i-2", 6))
        await until(lambda: all(used(g) == {"i-2"} for g in gateways), LOST_S)
        for _ in range(30):
            deployment.running[3].node.announce(entry("i-1", 7))
            await trio.sleep(0.1)
            assert all(used(g) == {"i-2"} for g in gateways)
        deployment.running[3].node.announce(entry("i-1", 1, born_ms=200))
        await until(lambda: all(used(g) == {"i-1", "i-2"} for g in gateways), 1.0)

    run_controls(main, seed)


def test_a_process_without_a_majority_acknowledges_no_departure():
    # Guards against an acknowledgement that nobody else can know of: the server is to
    # ask the next control process, which does acknowledge.
    async def main(deployment):
        gateways = await begin(deployment)
        for number in (2, 3):
            deployment.network.cut("10.0.0.1", f"10.0.0.{number}")
        assert not await leave(deployment, 1, "i-1")
        assert await leave(deployment, 2, "i-1")
        deployment.kill(2)
        await until(lambda: all("i-1" not in used(g) for g in gateways), DRAIN_S)

    run_controls(main)


def test_a_farewell_at_a_process_that_does_not_know_the_server_is_kept():
    # Guards against a farewell that is acknowledged and ignored, as the process has
    # just started, or as all heartbeats went to another one.
    async def main(deployment):
        gateways = await begin(deployment)
        for number in (1, 2, 3):
            deployment.kill(number)
        for number in (1, 2, 3):
            await deployment.start(number)
        await deployment.until_ready(1, 2, 3)
        assert "i-1" not in deployment.running[2].node.servers.entries
        assert await leave(deployment, 2, "i-1")
        deployment.kill(2)
        await until(lambda: all(used(g) == {"i-2", "i-3"} for g in gateways), LOST_S)

    run_controls(main)


def test_a_farewell_without_its_incarnation_at_a_process_that_knows_none_is_refused():
    async def main(deployment):
        await begin(deployment, ids=())
        assert not await leave(deployment, 1, "i-1", born_ms=None)

    run_controls(main)


def test_a_hundred_servers_that_leave_at_once_are_acknowledged_in_a_few_rounds():
    # Guards against a write for each of the servers of a group or a service that is
    # taken away, which would leave the control processes no time for anything else.
    ids = [f"i-{number}" for number in range(1, 121)]

    async def main(deployment):
        gateways = await begin(deployment, ids=ids)
        calls = sum(control.calls for control in deployment.running.values())
        acked = []

        async def say(number, id):
            acked.append(await leave(deployment, number, id))

        async with trio.open_nursery() as nursery:
            for at, id in enumerate(ids[20:]):
                nursery.start_soon(say, 1 + at % 3, id)
        assert acked == [True] * 100
        after = sum(control.calls for control in deployment.running.values())
        assert after - calls < 100
        await until(lambda: all(used(g) == set(ids[:20]) for g in gateways), DRAIN_S)

    run_controls(main, call_s=0.002)


def test_another_s_word_does_not_make_a_running_server_leave():
    # Guards against a server that is left out as somebody else announces under its id
    # that it drains.
    async def main(deployment):
        gateways = await begin(deployment)
        forged = entry("i-1", 900, DRAINING).replace(service="other")
        assert deployment.running[2].node.announce(forged) is None
        await trio.sleep(1.0)
        assert all(used(g) == set(SERVERS) for g in gateways)

    run_controls(main)


def test_a_departure_is_written_once_however_often_a_server_says_so():
    # Guards against a write to the disks of a majority with each heartbeat of each
    # server that drains.
    async def main(deployment):
        await begin(deployment)
        assert await leave(deployment, 1, "i-1", "draining")
        replica = deployment.running[2].keeper.replica
        before = replica.journal.position
        for _ in range(20):
            assert await leave(deployment, 1, "i-1", "draining")
        assert replica.journal.position == before

    run_controls(main)


def test_a_server_that_drains_for_long_is_still_known_after_the_loss_of_everything():
    # Guards against heartbeats that are acknowledged from memory while the departure
    # that was settled first is too old to be read back.
    async def main(deployment):
        await begin(deployment, gateways=1)
        for sequence in range(10, 210):
            node = deployment.running[1].node
            assert await node.settle(node.announce(entry("i-1", sequence, DRAINING)))
            await trio.sleep(1.0)
        for number in (1, 2, 3):
            deployment.kill(number)
        for number in (1, 2, 3):
            await deployment.start(number)
        await deployment.until_ready(1, 2, 3)
        for number in (1, 2, 3):
            assert deployment.running[number].node.servers.departures.covers("i-1", 100)

    run_controls(main)


def test_departures_are_dropped_once_nobody_can_need_them():
    # Guards against lists that grow with each server that ever left.
    async def main(deployment):
        await begin(deployment, gateways=1)
        for number in range(10, 24):
            assert await leave(deployment, 1, f"i-{number}")
            await trio.sleep(30.0)
        assert len(deployment.running[2].node.servers.departures.since(0)) <= 9
        slots = deployment.running[2].keeper.replica.acceptor.state.slots
        (listed,) = (v.cell.value for k, v in slots.items() if "departures" in k)
        assert len(listed) <= 5

    run_controls(main)
