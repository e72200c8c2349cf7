import pytest
from returns.pipeline import is_successful

from gooseberryyoke.admission import Admission
from gooseberryyoke.balance import Choice, Demand
from gooseberryyoke.outcome import Verdict

NOW = 50.0
DEMAND = Demand("drafter", "writer", expected_tokens=100)


def predicted(wait_s=0.0, serve_s=3.0):
    return Choice("s0", wait_s, wait_s + 0.1, wait_s + serve_s)


def admit(admission, account="club", wait_s=0.0, patience_s=10.0, now=NOW, weight=1.0):
    return admission.admit(
        account, weight, "draft", DEMAND, predicted(wait_s), now + patience_s, now
    )


def test_ticket_is_released_once():
    admission = Admission()
    ticket = admit(admission).unwrap()
    other = admit(admission).unwrap()
    admission.release(ticket, NOW)
    admission.release(ticket, NOW)
    assert admission.in_flight() == 1
    admission.release(other, NOW)
    assert admission.in_flight() == 0


@pytest.mark.parametrize(
    "wait_s, patience_s, reason, retry_after_s",
    [
        (9.0, 10.0, "too-late", 2.0),
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
