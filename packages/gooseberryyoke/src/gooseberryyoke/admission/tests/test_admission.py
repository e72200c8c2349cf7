import pytest
from returns.pipeline import is_successful

from gooseberryyoke.admission import Admission
from gooseberryyoke.balance import Choice, Demand
from gooseberryyoke.outcome import Verdict

NOW = 50.0
DEMAND = Demand("drafter", "writer", expected_tokens=100)


def predicted(wait_s=0.0, serve_s=3.0, queue_s=None):
    queue_s = wait_s or -1.0 if queue_s is None else queue_s
    return Choice("s0", wait_s, wait_s + 0.1, wait_s + serve_s, queue_s)


def admit(
    admission,
    account="club",
    wait_s=0.0,
    patience_s=10.0,
    now=NOW,
    weight=1.0,
    queue_s=None,
):
    choice = predicted(wait_s, queue_s=queue_s)
    return admission.admit(
        account, weight, "draft", DEMAND, choice, now + patience_s, now
    )


def test_ticket_is_released_once():
    admission = Admission()
    ticket = admit(admission).unwrap()
    other = admit(admission).unwrap()
    admission.release(ticket, NOW)
    admission.release(ticket, NOW)
    assert admission.in_flight() == 1
    assert admission.usage() == {"drafter": {"club": (1.0, 3.0)}}
    admission.release(other, NOW)
    assert admission.in_flight() == 0


@pytest.mark.parametrize(
    "wait_s, patience_s, reason, retry_after_s",
    [
        (9.0, 10.0, "too-late", 2.0),
        (4.0, 10.0, "queue-full", 1.0),
        (0.0, 2.0, "patience-too-short", None),
        (0.0, -1.0, "deadline-passed", None),
    ],
)
def test_what_cannot_be_in_time_is_refused_at_once(
    wait_s, patience_s, reason, retry_after_s
):
    refusal = admit(Admission(), wait_s=wait_s, patience_s=patience_s).failure()
    assert refusal.verdict is Verdict.NOT_RUN
    assert (refusal.status, refusal.reason) == (503, reason)
    assert refusal.retry_after_s == retry_after_s


def test_idle_service_is_lent_whole():
    admission = Admission()
    assert all(is_successful(admit(admission, "large")) for _ in range(200))


def test_flood_of_one_account():
    """
    One account floods a contended service; the others are still admitted.

    The flood fills the queue up to the contended wait. From then on its
    requests are refused with 429 and a time to come back, while accounts
    below their share go on.
    """
    admission = Admission(contended_wait_s=0.25, borrow=0.0)
    admit(admission, "small")
    for _ in range(50):
        admit(admission, "large")
    refusal = admit(admission, "large", wait_s=0.3).failure()
    assert (refusal.status, refusal.reason) == (429, "over-share")
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.retry_after_s > 0
    assert all(is_successful(admit(admission, "small", wait_s=0.3)) for _ in range(20))


def test_weight_widens_the_share():
    admission = Admission(contended_wait_s=0.25, borrow=0.0)
    for _ in range(10):
        admit(admission, "small")
    for _ in range(25):
        admit(admission, "large", weight=3.0)
    assert is_successful(admit(admission, "large", wait_s=0.3, weight=3.0))
    assert not is_successful(admit(admission, "small", wait_s=0.3))


def test_silent_account_leaves_its_share():
    admission = Admission(contended_wait_s=0.25, borrow=0.0)
    small = admit(admission, "small").unwrap()
    admission.release(small, NOW)
    admit(admission, "large")
    assert not is_successful(admit(admission, "large", wait_s=0.3))
    assert is_successful(admit(admission, "large", wait_s=0.3, now=NOW + 31))


def test_overtaken_queue_counts_for_the_shares_of_all():
    """
    A large account sends urgent requests, which overtake the queue.

    Each of them waits for next to nothing itself, while the queue of the others
    gets longer. It is that queue which tells that the service is contended.
    """
    admission = Admission(borrow=0.0)
    admit(admission, "small")
    for _ in range(50):
        admit(admission, "large")
    refusal = admit(admission, "large", wait_s=0.0, queue_s=2.0).failure()
    assert refusal.reason == "over-share"
    assert is_successful(admit(admission, "small", wait_s=0.0, queue_s=2.0))


def test_the_further_over_its_share_the_earlier_an_account_is_refused():
    admission = Admission(contended_wait_s=1.0, borrow=0.0, headroom_s=0.5)
    for _ in range(10):
        admit(admission, "small")
    for _ in range(12):
        admit(admission, "medium")
    for _ in range(80):
        admit(admission, "large")
    assert not is_successful(admit(admission, "large", wait_s=0.2))
    assert is_successful(admit(admission, "medium", wait_s=0.2))


def test_flood_through_one_entry():
    """
    One account floods a service through one entry, others use another.

    Each entry alone sees no account over its share: the first knows only the
    flood, the second takes its own middling accounts for the large ones and
    refuses them. They tell each other what accounts use.
    """
    flooded, other = Admission(borrow=0.0), Admission(borrow=0.0)
    for _ in range(100):
        admit(flooded, "large")
    admit(other, "small")
    for _ in range(4):
        admit(other, "medium")
    assert is_successful(admit(flooded, "large", wait_s=2.0))
    assert not is_successful(admit(other, "medium", wait_s=2.0))
    flooded.take_usage("e2", other.usage(), NOW)
    other.take_usage("e1", flooded.usage(), NOW)
    assert not is_successful(admit(flooded, "large", wait_s=2.0))
    assert is_successful(admit(other, "medium", wait_s=2.0))


def test_account_over_its_share_elsewhere_is_over_it_here():
    admission = Admission(borrow=0.0)
    for account in ("small", "medium", "medium"):
        admit(admission, account)
    usage = {"drafter": {"large": (1.0, 300.0)}}
    admission.take_usage("e2", usage, NOW)
    assert not is_successful(admit(admission, "large", wait_s=2.0))


def test_word_of_a_silent_entry_is_dropped():
    admission = Admission(borrow=0.0)
    admission.take_usage("e2", {"drafter": {"large": (1.0, 500.0)}}, NOW)
    admit(admission, "small")
    assert is_successful(admit(admission, "small", wait_s=2.0, now=NOW + 1))
    admit(admission, "large", now=NOW + 6)
    assert not is_successful(admit(admission, "small", wait_s=2.0, now=NOW + 6))


def test_usage_tells_the_largest_accounts_only():
    admission = Admission()
    for account, requests in (("a", 1), ("b", 3), ("c", 2)):
        for _ in range(requests):
            admit(admission, account)
    assert list(admission.usage(limit=2)["drafter"]) == ["b", "c"]


def test_idle_service_with_short_calls_refuses_nobody_for_its_share():
    """
    Confirmations are admitted while the service has nearly all slots free.

    A call takes 15 ms and 16 of them fit at once, so that the time of all free
    slots is 14 ms. Kept free was half a second, which the service never had: the
    only account that asked was refused for good.
    """
    admission = Admission()
    idle = Choice("app1", 0.0, 0.015, 0.015, queue_s=-0.014)
    demand = Demand("meet-app")
    for account in (*"abcdefghi", *["club"] * 8):
        admitted = admission.admit(account, 1, "confirm", demand, idle, 5.0, 0.0)
        assert is_successful(admitted)
        if account != "club":
            admission.release(admitted.unwrap(), 0.0)
