import random

from gooseberryyoke.order import LoadPacer, RateLease, RateLedger

LIMIT = 100.0
DURATION_S = 10.0


def test_leases_in_force_never_exceed_the_limit():
    """
    The weight store turns loads away, for all groups at once.

    Holders come, die without a word and change what they want. A share handed
    on before the dead holder's lease has run out would exceed the store's rate.
    """
    rng = random.Random(7)
    ledger = RateLedger(LIMIT, DURATION_S, now=-DURATION_S)
    held, now = {}, 0.0
    for _ in range(2000):
        now += rng.expovariate(2.0)
        holder = f"rank-{rng.randrange(8)}"
        lease = ledger.ask(holder, rng.choice([0, 1, 1, 3]), now)
        held[holder] = (lease.rate_bytes_s, now + DURATION_S)
        rates = [rate for rate, until in held.values() if until > now]
        assert sum(rates) <= LIMIT * (1 + 1e-9)


def test_renewed_lower_share_counts_until_the_larger_has_run_out():
    ledger = RateLedger(LIMIT, DURATION_S, now=-DURATION_S)
    ledger.ask("a", 1, 0.0)
    ledger.ask("a", 0, 1.0)
    assert ledger.ask("b", 1, 2.0).rate_bytes_s == 0.0
    assert ledger.ask("b", 1, DURATION_S + 1.5).rate_bytes_s == LIMIT


def test_shares_settle_by_weight():
    ledger = RateLedger(LIMIT, DURATION_S, now=-DURATION_S)
    for now in range(0, 60, 5):
        rates = [
            ledger.ask(holder, weight, float(now)).rate_bytes_s
            for holder, weight in (("a", 1), ("b", 3))
        ]
    assert rates == [25.0, 75.0]


def test_new_ledger_gives_nothing_while_old_leases_may_live():
    ledger = RateLedger(LIMIT, DURATION_S, now=0.0)
    assert ledger.ask("a", 1, DURATION_S - 1).rate_bytes_s == 0.0


def test_pacer_fetches_no_faster_than_its_lease_and_stops_with_it():
    pacer = LoadPacer(burst_bytes=20.0, now=0.0)
    pacer.renew(RateLease("a", 10.0, DURATION_S), asked_at=0.0)
    fetched, now, wait_s = 0.0, 0.0, 0.0
    for _ in range(100):
        wait_s = pacer.take(20.0, now)
        if wait_s is None:
            break
        fetched += 20.0 if wait_s == 0.0 else 0.0
        now += wait_s
    assert wait_s is None
    assert 60.0 <= fetched <= 10.0 * DURATION_S
