from random import Random

import orjson
import pytest
import trio
import trio.testing

from gooseberryyoke_daemon.groups.group_calls import GroupCalls
from gooseberryyoke_daemon.groups.members import Member
from gooseberryyoke_daemon.groups.packing import pack, unpack
from gooseberryyoke_daemon.wire import Address, ExchangeBroken, JsonReply

LAYERS, EXPERTS = 16, 192
LINK_BYTES_PER_S = 3_000_000 / 8
STATUS = [1, 0, 96, True, 5, 40, 3, 2, [], None, None]


class _SlowLink:
    """A client whose replies come one after the other over the driver's own link."""

    def __init__(self, status):
        self._status = status
        self._link = trio.Lock()

    async def json(self, method, address, path, payload, timeout_s, **options):
        said = {"status": self._status, "progress": None}
        if payload.get("counts"):
            said["counts"] = pack([_row(layer) for layer in range(LAYERS)])
        if payload.get("experts"):
            said["experts"] = [[address.port] for _ in range(LAYERS)]
        with trio.move_on_after(timeout_s):
            async with self._link:
                await trio.sleep(len(orjson.dumps(said)) / LINK_BYTES_PER_S)
            return JsonReply(200, said, [])
        raise ExchangeBroken(address, f"no reply within {timeout_s:g} s")


def _row(layer):
    rng = Random(layer)
    return [rng.randrange(2000) for _ in range(EXPERTS)]


@pytest.mark.parametrize("size", [12, 96, 384])
def test_counts_of_a_large_group_come_within_the_time_of_a_call(size):
    # Guards against a group whose map never changes: the counts of 96 ranks take longer
    # over the driver's link than a call may, so that every look fails.
    async def main():
        members = [
            Member(Address("10.8.0.1", 1 + n), Address("10.8.0.1", 1000 + n))
            for n in range(size)
        ]
        calls = GroupCalls("g", _SlowLink(STATUS), members, 1, lambda: True, None)
        assert await calls.look(counts=["b", "a"]) == STATUS[0]
        rows = [unpack(counts) for counts in calls.counts()]
        assert 12 <= len(rows) <= 24
        assert len(rows[0]) == LAYERS
        assert all(rank.status is not None for rank in calls.ranks)
        await calls.look(experts=True)
        assert all(rank.experts is not None for rank in calls.ranks)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
