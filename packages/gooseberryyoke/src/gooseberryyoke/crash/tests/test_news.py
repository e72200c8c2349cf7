"""The load: records in any order, repeated, late, odd and hostile."""

from math import inf

import orjson
import pytest
from hypothesis import given, strategies as st

from gooseberryyoke.crash import Suspects, pack_record, take_record

NOW = 1000.0


def known(suspects, part="a"):
    suspicion = suspects.get(part)
    ends_s = {} if suspicion is None else suspicion.ends_s
    return sorted((life, round(at, 3)) for life, at in ends_s.items())


def pack(suspects, name, now=NOW, part="a"):
    return orjson.loads(orjson.dumps(pack_record(suspects, part, name, now)))


def test_a_record_tells_all_that_is_known():
    teller, hearer = Suspects("g0"), Suspects("g1")
    teller.prove(["a"], 980.0)
    for number in range(5):
        teller.end(f"s{number}", ["a"], 990.0 + number)
    teller.begin_trial(["a"], 999.0)
    # The hearer's clock shows another time: ages are told.
    changed, is_behind = take_record(hearer, pack(teller, "g0"), "g0", 50.0)
    assert (changed, is_behind) == (True, False)
    assert known(hearer) == [(f"s{n}", 40.0 + n) for n in range(5)]
    assert hearer.proof_s("a") == 30.0
    assert hearer.get("a").trials_s == {"g0": 52.0}
    assert take_record(hearer, pack(teller, "g0"), "g0", 50.0) == (False, False)


records = st.tuples(
    st.dictionaries(st.sampled_from("uvwxyz"), st.just(None), max_size=6),
    st.none() | st.integers(0, 60).map(lambda n: 1000 * n),
)


@given(st.lists(records, min_size=1, max_size=5), st.randoms())
def test_the_order_of_records_and_repeats_do_not_matter(told, rng):
    """Datagrams overtake each other, are lost, and are repeated each second."""
    # The age of a server's end is the same for all who tell of it.
    ages = {life: 2000 * number + 500 for number, life in enumerate("uvwxyz")}
    packed = [["a", {e: ages[e] for e in ends}, proof, None] for ends, proof in told]
    mixed = packed + rng.choices(packed, k=5)
    rng.shuffle(mixed)
    outcomes = []
    for order in (packed, mixed):
        suspects = Suspects("g0")
        for record in order:
            take_record(suspects, record, "g1", NOW)
        proofs = [proof for _, proof in told if proof is not None]
        latest_s = NOW - min(proofs) / 1000 if proofs else -inf
        assert all(at > latest_s for _, at in known(suspects))
        outcomes.append((known(suspects), suspects.proof_s("a")))
    assert outcomes[0] == outcomes[1]


HOSTILE = [
    None,
    7,
    "abcd",
    [],
    ["a", {}, None],
    ["a", {}, None, None, None],
    [7, {"s": 1}, None, None],
    ["", {"s": 1}, None, None],
    ["x" * 65, {"s": 1}, None, None],
    [["a"], {"s": 1}, None, None],
    ["a", None, None, None],
    ["a", ["s"], None, None],
    ["a", "s", None, None],
    ["a", {"s": -1}, None, None],
    ["a", {"s": 1.5}, None, None],
    ["a", {"s": True}, None, None],
    ["a", {"s": "1"}, None, None],
    ["a", {"s": 10**30}, None, None],
    ["a", {"": 1}, None, None],
    ["a", {"s" * 129: 1}, None, None],
    ["a", {str(n): 1 for n in range(9)}, None, None],
    ["a", {"s": 1}, -1, None],
    ["a", {"s": 1}, "1", None],
    ["a", {"s": 1}, [], None],
    ["a", {"s": 1}, None, 3001],
    ["a", {"s": 1}, None, -1],
    ["a", {"s": 1}, None, {}],
]


@pytest.mark.parametrize("record", HOSTILE, ids=lambda record: str(record)[:40])
def test_a_record_of_another_form_is_refused_and_changes_nothing(record):
    suspects = Suspects("g0")
    suspects.end("s0", ["a"], 990.0)
    with pytest.raises((TypeError, ValueError, AttributeError)):
        take_record(suspects, record, "g1", NOW)
    assert suspects.parts() == ["a"]
    assert known(suspects) == [("s0", 990.0)]
    assert suspects.proof_s("a") == -inf
    assert not suspects.get("a").trials_s


@given(
    st.floats(0, 0.2),
    st.floats(0, 0.2),
    st.floats(-0.2, 0.2),
    st.lists(st.floats(0, 0.02), min_size=20, max_size=20),
)
def test_two_gateways_stop_correcting_each_other(proof_a, proof_b, end, delays_s):
    """Ages are rounded and grow on the way: two tables answered each other for ever."""
    tables = [Suspects("g0"), Suspects("g1")]
    now = NOW
    for table, at in zip(tables, (proof_a, proof_b), strict=True):
        table.end("s0", ["a"], now - 1.0 + end)
        table.prove(["a"], now - 1.0 + at)
    sent, teller = 0, 0
    for delay_s in delays_s:
        record = pack(tables[teller], f"g{teller}", now)
        now += delay_s
        teller = 1 - teller
        sent += 1
        _, is_behind = take_record(tables[teller], record, f"g{1 - teller}", now)
        if not is_behind:
            break
    assert sent <= 3
