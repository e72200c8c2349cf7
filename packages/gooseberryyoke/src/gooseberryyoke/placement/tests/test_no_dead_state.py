"""Limits that only answers lift must let at least one request through."""

from hypothesis import given, settings, strategies as st

from gooseberryyoke.membership.server_registry import ServerEntry, ServerState
from gooseberryyoke.placement import (
    GroupConcurrency,
    GroupHealth,
    GroupSize,
    RateLimit,
    ServerBackoff,
    ServerHealth,
    ServerLatency,
    ServerLoad,
    Waiter,
    WaitingLine,
    free_places,
    free_to_begin,
    kept_places,
    most_kept,
    reservable_slots,
)

PAUSE_S = 1.0
TOKEN_S = 20.0
"""Within which a share of the lowest rate has saved one token."""
CALM_S = 100.0
URGENCIES = [0, 1, 2, 3]


class Server:
    def __init__(self, id, slots, group_health):
        state = ServerState.READY
        self.entry = ServerEntry(id, 0, 1, "s", f"{id}:80", "a", slots, state)
        self.load = ServerLoad()
        self.health = ServerHealth()
        self.limit = RateLimit(id, "g")
        self.backoff = ServerBackoff()
        self.latency = ServerLatency()
        self.group_health = group_health


def _draw_group(draw):
    if draw(st.booleans()):
        return None
    health = GroupHealth()
    if draw(st.booleans()):
        health.concurrency = GroupConcurrency()
        size = GroupSize(draw(st.integers(1, 400)), draw(st.integers(1, 8)))
        health.concurrency.update_peer_limit("h", draw(st.integers(0, 400)), CALM_S)
        health.concurrency.tick(0.0, size, None, CALM_S)
    if draw(st.booleans()):
        health.refused(0.0)
        if draw(st.booleans()):
            # The first answer ends the probing; a ramp is left.
            health.sent(1.0)
            health.event_received(1.1)
            health.ended(1.2)
    return health


@st.composite
def _servers(draw):
    groups = [_draw_group(draw) for _ in range(draw(st.integers(1, 3)))]
    servers = []
    for number in range(draw(st.integers(1, 12))):
        slots = draw(st.integers(1, 48))
        server = Server(f"s{number}", slots, draw(st.sampled_from(groups)))
        if draw(st.booleans()):
            server.backoff.requested(PAUSE_S, 0.0)
        if draw(st.booleans()):
            server.health.failed(0.0)
        if draw(st.integers(0, 3)) == 0:
            server.limit.update(draw(st.sampled_from([0.0, 0.5, 3.0])), CALM_S - 10)
            server.limit.room(CALM_S - 10)
        servers.append(server)
    return servers


def _waiter(urgency, is_late, now):
    on_time_until_s = now - 1.0 if is_late else now + 1.0
    return Waiter(now, on_time_until_s, now + 8.0, False, urgency, 0.1, 0, None, False)


def _may_start(servers, urgency, is_late, now):
    free = free_to_begin(servers, now)
    kept = kept_places(servers, now) if is_late else 0
    line = WaitingLine()
    slots = reservable_slots(servers, now)
    line.configure(
        URGENCIES, slots, 1, {}, lambda wanted: most_kept(wanted, servers, now)
    )
    waiter = _waiter(urgency, is_late, now)
    return free > kept and line.may_start(waiter, now, free, {})


@settings(max_examples=300, deadline=None, derandomize=True)
@given(_servers(), st.sampled_from(URGENCIES), st.booleans())
def test_an_idle_service_with_a_sound_server_starts_any_request(
    servers, urgency, is_late
):
    # Guards against limits that together leave nothing to send, so that no answer
    # comes that would lift them, and a gateway refuses every request for good.
    now = CALM_S + TOKEN_S
    assert free_places(servers, now) >= 1
    assert _may_start(servers, urgency, is_late, now)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(_servers(), st.sampled_from([None, 0.12]))
def test_limits_end_after_enough_answers(servers, tolerated_s):
    # Guards against a restraint that outlasts its cause.
    now = CALM_S + TOKEN_S
    for _ in range(400):
        for server in servers:
            health = server.group_health
            if health is not None:
                health.sent(now)
                health.event_received(now)
                health.observe_gap(0.01, tolerated_s, now)
                health.ended(now)
            server.backoff.sent(now)
            server.backoff.answered(now)
            server.backoff.ended(now)
            server.health.succeeded()
            server.limit.observe_answer(None, now)
        now += 0.1
    for server in servers:
        if server.group_health is not None and server.group_health.concurrency:
            size = GroupSize(400, 8)
            server.group_health.concurrency.tick(0.0, size, None, now)
    assert free_places(servers, now) == sum(s.entry.slots for s in servers)
