"""Gateways of earlier releases exchange counts and limits in these forms."""

from pathlib import Path

import orjson

from gooseberryyoke_daemon.gateway import load_news

GOLDEN = orjson.loads(
    Path(__file__).with_name("sharing_forms.golden.json").read_bytes()
)

COUNTS, LIMITS = {"s1": 3}, {"s1": [16, 2.5]}
RECORDS = {
    "counts": load_news.LoadNews("g1", COUNTS, True, {}, {}),
    "limits": load_news.LoadNews("g1", COUNTS, False, LIMITS, {"s2": 1.5}),
    "waiting": load_news.LoadNews("g1", COUNTS, True, {}, {}, {"chat": [[0, 4]]}),
    "groups": load_news.LoadNews("g1", {}, False, {}, {}, None, {"group": [8, 1]}),
}


def _encoded(record):
    return orjson.loads(orjson.dumps(record.packed()))


def _decoded(packed):
    return load_news.LoadNews.from_json(packed)


def test_hops_are_numbers_in_datagrams():
    assert {hop.name: hop.value for hop in load_news.Hop} == {
        "OWN": 0,
        "BETWEEN": 1,
        "PASSED_ON": 2,
        "ANNOUNCED": 3,
        "CRASHES": 4,
    }


def test_encoded_forms_are_those_of_the_golden_file():
    assert {name: _encoded(record) for name, record in RECORDS.items()} == GOLDEN


def test_forms_of_the_golden_file_are_decoded():
    again = {name: _encoded(_decoded(packed)) for name, packed in GOLDEN.items()}
    assert again == GOLDEN
