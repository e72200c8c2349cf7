from gooseberryyoke.retry import RetryLimit, RetryShare

LIMIT = RetryLimit(slack=20.0, window_s=10.0)
WAIT_S = 12.0
LEASE_S = 10.0
FORGET_S = 24.0


def listed(share, start_s, end_s, names=("g1", "g2")):
    for tenth in range(round(10 * start_s), round(10 * end_s) + 1):
        share.update_gateways(names, tenth / 10)
        share.record_listed(tenth / 10)


def test_a_gateway_that_has_just_started_has_no_share():
    # Guards against starts that restore a share which the previous incarnation spent.
    share = RetryShare(LIMIT)
    listed(share, 0.0, WAIT_S - 0.1)
    assert share.retries(WAIT_S - 0.1) == 0
    listed(share, WAIT_S, WAIT_S)
    assert share.retries(WAIT_S) == 10.0


def test_a_gateway_that_was_never_listed_has_no_share():
    # Guards against a gateway that is cut off from its start and takes all the slack.
    share = RetryShare(LIMIT)
    share.update_gateways(["g1"], 0.0)
    assert share.retries(1000.0) == 0


def test_a_gateway_that_is_cut_off_loses_its_share_before_others_divide_it():
    # Guards against gateways that are cut off and still spend, while the others no
    # longer count them.
    cut_off, other = RetryShare(LIMIT), RetryShare(LIMIT)
    listed(cut_off, 0.0, 20.0)
    listed(other, 0.0, 20.0)
    assert cut_off.retries(20.0 + LEASE_S) == 10.0
    assert cut_off.retries(20.1 + LEASE_S) == 0
    listed(other, 20.1, 20.0 + FORGET_S, ["g1"])
    assert other.retries(20.0 + FORGET_S) == 10.0
    listed(other, 20.1 + FORGET_S, 20.2 + FORGET_S, ["g1"])
    assert other.retries(20.2 + FORGET_S) == 20.0


def test_a_gateway_that_returns_waits_for_its_share_again():
    # Guards against a share that is used at once by a gateway which the others may not
    # count any more.
    share = RetryShare(LIMIT)
    listed(share, 0.0, 20.0)
    listed(share, 50.0, 55.0)
    assert share.retries(55.0) == 0
    listed(share, 55.1, 50.0 + WAIT_S)
    assert share.retries(50.0 + WAIT_S) == 10.0


def test_an_empty_list_does_not_raise_a_share():
    # Guards against a malformed or early list that has a gateway take all of the slack.
    share = RetryShare(LIMIT)
    listed(share, 0.0, 20.0)
    listed(share, 20.1, 22.0, [])
    assert share.retries(22.0) == 10.0
    listed(share, 22.1, 100.0, [])
    assert share.retries(100.0) <= LIMIT.slack


def test_a_new_gateway_lowers_the_shares_of_the_others_at_once():
    share = RetryShare(LIMIT)
    listed(share, 0.0, 20.0)
    share.update_gateways(["g1", "g2", "g3", "g4"], 20.1)
    assert share.retries(20.1) == 5.0
