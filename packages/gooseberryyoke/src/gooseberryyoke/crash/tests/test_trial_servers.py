import pytest

from gooseberryyoke.crash import (
    RequestCrashes,
    Suspects,
    TrialServers,
    is_trial_server,
    merge_record,
    pack_record,
)

SERVER = "10.1.0.1:80"


def told(servers, subject, other, now):
    record = pack_record(servers, subject, "g1", now)
    return merge_record(other, record, "g1", now)


def test_a_server_is_on_trial_until_all_its_trials_have_ended():
    servers = TrialServers("g1")
    first, second = servers.begin(SERVER, 10.0), servers.begin(SERVER, 10.5)
    assert first == second
    servers.end(first, 10.6)
    assert servers.trial_until_s(SERVER, 11.0) == pytest.approx(13.5)
    servers.end(second, 10.7)
    assert servers.trial_until_s(SERVER, 11.0) is None


def test_other_gateways_learn_where_a_trial_runs_and_that_it_has_ended():
    first, second = TrialServers("g1"), TrialServers("g2")
    subject = first.begin(SERVER, 10.0)
    assert told(first, subject, second, 10.0) == (False, False)
    assert second.trial_until_s(SERVER, 10.5) == pytest.approx(13.0)
    first.end(subject, 11.0)
    assert told(first, subject, second, 11.0) == (True, False)
    assert second.trial_until_s(SERVER, 11.0) is None


def test_a_trial_of_a_gateway_that_is_killed_lapses():
    first, second = TrialServers("g1"), TrialServers("g2")
    told(first, first.begin(SERVER, 10.0), second, 10.0)
    assert second.trial_until_s(SERVER, 13.1) is None


def test_addresses_of_any_length_fit_into_a_record():
    servers = TrialServers("g1")
    subject = servers.begin("x" * 128, 10.0)
    assert is_trial_server(subject)
    assert told(servers, subject, TrialServers("g2"), 10.0) == (False, False)


def test_servers_whose_trials_have_ended_are_forgotten_first():
    servers = TrialServers("g1")
    servers.begin(SERVER, 10.0)
    for number in range(1000):
        servers.end(servers.begin(f"10.1.0.{number}:80", 10.0), 10.0)
    assert servers.trial_until_s("10.1.0.999:80", 11.0) is None
    assert servers.trial_until_s(SERVER, 11.0) == pytest.approx(13.0)


@pytest.mark.parametrize("other", [Suspects("g2"), RequestCrashes("g2")])
def test_a_release_without_trial_servers_ignores_them(other):
    """Gateways of both releases run together while a deployment is updated."""
    servers = TrialServers("g1")
    subject = servers.begin(SERVER, 10.0)
    assert told(servers, subject, other, 10.0) == (False, False)
    assert len(other) == 0


def test_gateways_do_not_begin_their_next_trials_at_once():
    """All learn at once that a trial has ended, and would choose the same server."""
    first, second = TrialServers("g1"), TrialServers("g2")
    subject = first.begin(SERVER, 10.0)
    told(first, subject, second, 10.0)
    first.end(subject, 11.0)
    told(first, subject, second, 11.0)
    tables = (first, second)
    times_s = {table.next_trial_s(part) for table in tables for part in ("a", "b")}
    assert len(times_s) == 4
    assert all(11.0 < at_s <= 11.1 for at_s in times_s)
