from itertools import pairwise
from random import Random

from gooseberryyoke.membership.server_registry import ServerEntry, ServerState
from gooseberryyoke.placement import (
    GroupHealth,
    RateLimit,
    ServerBackoff,
    ServerHealth,
    ServerLatency,
    ServerLoad,
    choose_server,
    free_places,
    free_to_begin,
    kept_places,
)


class Candidate:
    def __init__(self, id, own=0, slots=6, data_centre="a"):
        state = ServerState.READY
        self.entry = ServerEntry(id, 0, 1, "s", f"{id}:80", data_centre, slots, state)
        self.load = ServerLoad()
        self.load.own = own
        self.health = ServerHealth()
        self.limit = RateLimit(id, "g")
        self.backoff = ServerBackoff()
        self.latency = ServerLatency()
        self.group_health = None


def choose(*candidates, now=0.0):
    return choose_server(list(candidates), "a", now, Random(1)).entry.id


def test_server_with_the_most_free_slots_is_chosen():
    assert choose(Candidate("x", own=3), Candidate("y", own=1)) == "y"
    assert choose(Candidate("x", own=3, slots=12), Candidate("y", own=2)) == "x"


def test_local_server_is_preferred_among_equals():
    remote, local = Candidate("x", data_centre="b"), Candidate("y")
    assert choose(remote, local) == "y"


def test_failed_server_is_excluded_for_a_while():
    failed, healthy = Candidate("x"), Candidate("y", own=5)
    failed.health.failed(0.0)
    assert choose(failed, healthy, now=0.1) == "y"
    assert choose(failed, healthy, now=0.6) == "x"


def test_consecutive_failures_prolong_the_exclusion_up_to_a_bound():
    health, now, exclusions_s = ServerHealth(), 0.0, []
    for _ in range(2000):
        health.failed(now)
        exclusions_s.append(health.excluded_until_s - now)
        now = health.excluded_until_s
    assert exclusions_s[:4] == [0.5, 1.0, 2.0, 4.0]
    assert max(exclusions_s) == 30.0
    health.succeeded()
    health.failed(now)
    assert not health.is_excluded(now + 0.6)


def test_requests_that_fail_together_count_as_one_failure():
    # All connections to a server are reset at the same time. If its six requests
    # counted as separate failures, it would be excluded for half a minute.
    health = ServerHealth()
    for _ in range(6):
        health.failed(10.0)
    assert health.is_excluded(10.4)
    assert not health.is_excluded(10.6)


def test_repeated_refusals_prolong_the_exclusion():
    # Guards against a server that refuses all requests and, as it is idle, gets more of
    # them than any other.
    health, now, exclusions_s = ServerHealth(), 0.0, []
    for _ in range(8):
        health.refused(now)
        health.refused(now)
        exclusions_s.append(round(health.excluded_until_s - now, 6))
        now = health.excluded_until_s
    assert all(later >= earlier for earlier, later in pairwise(exclusions_s))
    assert exclusions_s[0] < 0.2
    assert 1.0 < exclusions_s[-1] < 3.0
    health.succeeded()
    health.refused(now)
    assert not health.is_excluded(now + 0.2)


def test_server_backing_off_at_another_gateway_is_chosen_once_the_others_are_full():
    # Guards against a second gateway that sends requests to a failing server first, and
    # against free slots that are left unused because of it.
    backing_off = Candidate("x")
    backing_off.backoff.record_peer_backoff(3.0, 0.0)
    busy, full = ([Candidate(id, own) for id in "yz"] for own in (5, 6))
    assert choose(backing_off, *busy) != "x"
    assert choose(backing_off, *full) == "x"
    assert choose(backing_off, *busy, now=3.0) == "x"


def test_back_off_periods_of_many_servers_elsewhere_are_ignored():
    # Guards against overloading the few other servers while all servers refuse a part
    # of their requests.
    servers = [Candidate(id, own) for id, own in (("w", 0), ("x", 1), ("y", 2))]
    for server in servers[:2]:
        server.backoff.record_peer_backoff(3.0, 0.0)
    assert choose(*servers, Candidate("z", 2)) == "w"


def test_excluded_server_is_chosen_if_there_is_no_other():
    failed = Candidate("x")
    failed.health.failed(0.0)
    assert choose(failed, now=0.1) == "x"
    assert choose_server([], "a", 0.0, Random(1)) is None


def test_reported_load_of_other_gateways_decays():
    load = ServerLoad()
    load.own = 2
    load.observe_report(running=5, waiting=1, now=10.0)
    assert load.expected(10.0) == 6.0
    assert load.expected(10.5) == 4.0
    assert load.expected(100.0) < 2.01


def test_counts_of_other_gateways_apply_until_their_reports_stop():
    load = ServerLoad()
    load.own = 1
    load.update_peer_count("e-2", 3, 10.0)
    load.update_peer_count("e-3", 2, 10.0)
    assert load.expected(10.5) == 6
    load.update_peer_count("e-3", 0, 11.0)
    assert load.expected(11.5) == 4
    assert load.expected(60.0) < 1.01


def test_slow_server_is_chosen_less_often():
    slow, usual, other = Candidate("x"), Candidate("y", own=2), Candidate("z", own=2)
    for server, latency_s in ((slow, 1.2), (usual, 0.2), (other, 0.2)):
        server.latency.observe(latency_s, 0.0)
    assert choose(slow, usual, other, now=0.1) in ("y", "z")
    assert choose(slow, usual, other, now=9.0) == "x"


def test_small_differences_of_latency_are_ignored():
    one, other = Candidate("x"), Candidate("y", own=1)
    one.latency.observe(0.3, 0.0)
    other.latency.observe(0.2, 0.0)
    assert choose(one, other, now=0.1) == "x"


def test_free_places_exclude_failed_servers():
    full, half, failed = Candidate("x", own=6), Candidate("y", own=2), Candidate("z")
    failed.health.failed(0.0)
    assert free_places([full, half, failed], 0.1) == 4
    assert free_places([], 0.0) == 0


def test_unknown_gateways_are_assumed_to_have_the_same_load():
    # All four gateways start at the same time after a loss of power, each with the
    # requests of one second and without reports of the others for the first 0.1 s.
    load = ServerLoad()
    load.unknown_peers = 3
    load.own = 2
    assert load.expected(0.0) == 8
    load.unknown_peers = 0
    assert load.expected(0.0) == 2


def group(group_health, *members):
    for member in members:
        member.group_health = group_health
    return list(members)


def test_group_that_refuses_offers_one_place_for_a_probe():
    # Two groups serve one service, and one of them is being formed again: when a probe
    # is due, it gets a single request, late or not, while the other group continues.
    refusing, accepting = GroupHealth(), GroupHealth()
    refusing.refused(0.0)
    probed = group(refusing, Candidate("w"), Candidate("x"))
    servers = probed + group(accepting, Candidate("y", own=2), Candidate("z"))
    assert free_places(servers, 0.1) == 10
    assert free_places(servers, 0.2) == 11
    assert kept_places(probed, 0.2) == 0
    assert free_to_begin(probed, 0.2) > kept_places(probed, 0.2)
    assert choose(*servers, now=0.1) == "z"


def test_late_requests_leave_some_places_free():
    servers = [Candidate("x", own=5), Candidate("y", own=6)]
    assert kept_places(servers, 0.0) == 1
    assert free_to_begin(servers, 0.0) == 1
