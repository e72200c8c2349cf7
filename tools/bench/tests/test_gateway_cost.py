import trio
import trio.testing

from gooseberryyoke_daemon.testing.seeding import seeded_scheduler
from tools.bench.gateway_cost import GatewayRun
from tools.bench.gateway_traffic import record
from tools.bench.gateway_units import measure


def test_a_gateway_serves_while_it_is_measured():
    # Guards against figures of a gateway that refuses everything, or hears nobody.
    traffic = record(10, False, 1.0, seed=1)
    assert traffic.per_s > 50
    run = GatewayRun(10, "normal", float("inf"), traffic, seed=1)
    with seeded_scheduler(1):
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(run.run, 2.0, clock=clock)
    assert run.answered > 0
    assert run.refused == 0
    assert run.cpu_ms_per_s > 0.0


def test_each_unit_is_measured():
    costs = measure(10, float("inf"), record(10, False, 1.0, seed=1), seed=1)
    assert set(costs) >= {"datagram", "poll", "admission", "choice"}
    assert all(cost > 0.0 for cost in costs.values())
