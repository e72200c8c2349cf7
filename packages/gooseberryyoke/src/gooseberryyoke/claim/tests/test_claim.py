import orjson
import pytest

from gooseberryyoke.claim import (
    AnswerAgain,
    AskAgent,
    AttemptLedger,
    AttemptOutcome,
    AttemptState,
    Claim,
    ClaimState,
    Release,
    Reserve,
    Settle,
    TellMayHaveRun,
    TellMismatch,
    UnreadableClaim,
    Wait,
    decide_on_claim,
    decide_on_outcome,
    decode_claim,
    encode_answer,
    encode_claim,
    is_expired,
    keep_answer,
)

ANSWER = keep_answer(201, [("content-type", "text/plain")], b"\x00number 7", 100)
OPEN = Claim("acc", "k", "d1", "a1", "agent-1", "life-1", ClaimState.OPEN, None, 10.0)
SETTLED = OPEN.replace(state=ClaimState.SETTLED, answer=ANSWER, settled_s=20.0)
BROKEN = SETTLED.replace(answer=None)


@pytest.mark.parametrize("claim", [OPEN, SETTLED, BROKEN])
def test_claim_survives_json(claim):
    assert decode_claim(orjson.loads(orjson.dumps(encode_claim(claim)))) == claim


@pytest.mark.parametrize("value", [None, 7, {"account": "a"}, "", "{}", "[1]", "[]"])
def test_other_values_are_no_claims(value):
    with pytest.raises(UnreadableClaim):
        decode_claim(value)


def test_large_answer_is_kept_as_digest_and_location():
    kept = keep_answer(200, [], b"x" * 101, 100, location="agent-1")
    assert kept.body is None and kept.location == "agent-1" and kept.digest


@pytest.mark.parametrize(
    "claim, digest, expected",
    [
        (None, "d1", Reserve()),
        (OPEN, "d1", AskAgent(OPEN)),
        (SETTLED, "d1", AnswerAgain(ANSWER)),
        (OPEN, "d2", TellMismatch()),
        (SETTLED, "d2", TellMismatch()),
    ],
)
def test_decision_on_claim(claim, digest, expected):
    assert decide_on_claim(claim, digest) == expected


def test_settled_without_an_answer_may_have_run():
    assert isinstance(decide_on_claim(BROKEN, "d1"), TellMayHaveRun)


@pytest.mark.parametrize(
    "outcome, expected",
    [
        (AttemptOutcome(AttemptState.BARRED), Release),
        (AttemptOutcome(AttemptState.RUNNING), Wait),
        (AttemptOutcome(AttemptState.DONE, ANSWER), Settle),
        (AttemptOutcome(AttemptState.UNKNOWN), TellMayHaveRun),
        (AttemptOutcome(AttemptState.OTHER_INCARNATION), TellMayHaveRun),
        (None, TellMayHaveRun),
    ],
)
def test_decision_on_the_agents_word(outcome, expected):
    assert type(decide_on_outcome(OPEN, outcome)) is expected


def test_expiry_counts_from_the_settlement():
    assert not is_expired(SETTLED, 119.0, 100.0)
    assert is_expired(SETTLED, 121.0, 100.0)
    assert is_expired(OPEN, 111.0, 100.0)


def test_attempt_is_taken_once():
    ledger = AttemptLedger("life-1")
    ledger.take("a1", "life-1", 0.0).unwrap()
    refused = ledger.take("a1", "life-1", 0.1).failure()
    assert refused.outcome.state is AttemptState.RUNNING
    ledger.finish("a1", ANSWER, 1.0)
    refused = ledger.take("a1", "life-1", 1.1).failure()
    assert refused.outcome == AttemptOutcome(AttemptState.DONE, ANSWER)


def test_dispatch_that_arrives_after_the_bar_is_refused():
    """
    The second caller runs once, not twice. Its entry barred the first attempt
    and released the claim; the first entry, frozen between claim and dispatch,
    thaws and sends its attempt after all.
    """
    ledger = AttemptLedger("life-1")
    assert ledger.bar("a1", "life-1", 0.0).state is AttemptState.BARRED
    refused = ledger.take("a1", "life-1", 0.1).failure()
    assert refused.outcome.state is AttemptState.BARRED


def test_bar_does_not_stop_what_runs():
    ledger = AttemptLedger("life-1")
    ledger.take("a1", "life-1", 0.0)
    assert ledger.bar("a1", "life-1", 0.1).state is AttemptState.RUNNING


def test_attempt_for_an_earlier_life_is_refused():
    """
    A dispatch delayed across the agent's restart does not run. The earlier life
    may have run a copy of it, and this one has no memory of that.
    """
    ledger = AttemptLedger("life-2")
    refused = ledger.take("a1", "life-1", 0.0).failure()
    assert refused.outcome.state is AttemptState.OTHER_INCARNATION
    bar = ledger.bar("a1", "life-1", 0.0)
    assert bar.state is AttemptState.OTHER_INCARNATION


def test_running_attempts_are_never_forgotten():
    ledger = AttemptLedger("life-1")
    ledger.take("running", "life-1", 0.0)
    ledger.bar("barred", "life-1", 0.0)
    ledger.bar("later", "life-1", 9.0)
    assert ledger.forget(5.0) == 1
    assert ledger.outcome("running", "life-1").state is AttemptState.RUNNING
    assert ledger.outcome("later", "life-1").state is AttemptState.BARRED


def test_only_a_running_attempt_finishes():
    ledger = AttemptLedger("life-1")
    with pytest.raises(KeyError):
        ledger.finish("a1", ANSWER, 0.0)


def test_a_kept_answer_tells_how_it_ended():
    """Given again without it, an answer that may be cut gets a length."""
    kept = keep_answer(201, [], b"some", 100, until_close=True)
    claim = SETTLED.replace(answer=kept)
    assert decode_claim(encode_claim(claim)).answer.until_close
    assert not decode_claim(encode_claim(SETTLED)).answer.until_close


@pytest.mark.parametrize("until_close", [False, True])
def test_earlier_releases_read_kept_answers(until_close):
    """Entries of an earlier release read exactly these five fields."""
    kept = keep_answer(201, [], b"some", 100, until_close=until_close)
    status, _, _, _, _ = encode_answer(kept)
    assert status == 201
