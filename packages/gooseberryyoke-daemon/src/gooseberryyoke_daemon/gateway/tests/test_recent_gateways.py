import trio
import trio.testing

from gooseberryyoke_daemon.control import EntryPresence
from gooseberryyoke_daemon.gateway.recent_gateways import RecentGateways

OWN, OTHER = (
    EntryPresence(name, f"{name}:80", f"{name}:71", "a", True) for name in ("g1", "g2")
)
KEPT_S = 30.0
UNTOLD_S = 3.0


def run(main):
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_gateway_that_is_not_named_for_a_while_is_still_told():
    # Guards against a gateway that is cut off for some seconds, not from servers, and
    # goes on without the news of the others.
    there = {"g1": OWN, "g2": OTHER}

    async def main():
        recent = RecentGateways(lambda: OWN, lambda: there)
        assert recent.others() == [OTHER]
        del there["g2"]
        await trio.sleep(KEPT_S)
        assert recent.find("g2") == OTHER
        await trio.sleep(0.1)
        assert recent.find("g2") is None

    run(main)


def test_strangers_are_only_heard_until_a_gateway_that_starts_is_told_of_others():
    # Guards against whoever reaches the port and has any prompt refused.
    there = {"g1": OWN}

    async def main():
        recent = RecentGateways(lambda: OWN, lambda: there)
        assert recent.may_be_new("g2")
        assert not recent.may_be_new("g1")
        assert not recent.may_be_new(["g2"])
        await trio.sleep(UNTOLD_S)
        assert not recent.may_be_new("g2")
        recent = RecentGateways(lambda: OWN, lambda: there)
        there["g2"] = OTHER
        assert not recent.may_be_new("g3")

    run(main)
