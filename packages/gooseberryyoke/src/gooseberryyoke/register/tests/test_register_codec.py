import orjson
import pytest

from gooseberryyoke.register import (
    Ballot,
    Cell,
    Incarnation,
    SenderView,
    Slot,
    UndecodableRecord,
    changes,
    decode,
    encode,
    messages,
)

BALLOT = Ballot(7, "p-1")
CELL = Cell(7, {"list": [["Prepare", "x", 1]], "text": "ä"}, "p-1", 3)
SLOT = Slot(BALLOT, BALLOT, CELL, True)
INCARNATION = Incarnation(2, "ab")
SENDER = SenderView("r1", INCARNATION, {"r1": INCARNATION})
SAMPLES = {
    "key": "k",
    "ballot": BALLOT,
    "promised": BALLOT,
    "accepted": BALLOT,
    "cell": CELL,
    "slot": SLOT,
    "slots": [messages.KeyedSlot("k", SLOT)],
    "sender": SENDER,
    "incarnation": INCARNATION,
    "founders": {"r1": INCARNATION},
    "former": INCARNATION,
    "address": "127.0.0.1:7",
    "successor": INCARNATION,
    "joined": {"r1": [INCARNATION]},
    "seat": "r1",
    "nonce": "n",
    "prefix": "k",
    "after": "k1",
    "copied": True,
    "fresh": False,
}
TYPES = [
    getattr(module, name)
    for module in (changes, messages)
    for name in module.__all__
    if name != "KeyedSlot"
]


@pytest.mark.parametrize("cls", TYPES, ids=lambda cls: cls.__name__)
def test_record_survives_json(cls):
    record = cls(**{name: SAMPLES.get(name, 5) for name in cls.__slots__})
    assert decode(orjson.loads(orjson.dumps(encode(record)))) == record


@pytest.mark.parametrize(
    "packed",
    [
        *(None, [], ["Nothing"], ["Prepare", "k"], ["Prepare", "k", 3], {}),
        *(["Prepare", 5, [1, "p"]], ["Prepare", "k", [True, "p"]]),
        *(["Prepare", "k", [-1, "p"]], ["Prepare", "k", [1.5, "p"]]),
        *(["Scan", "", "", -1], ["Hello", "r1", [1, 2], 0, False]),
        ["Accept", "k", [1, "p"], ["1", None, "o", 0]],
        ["Hello", "r1", [1, "n"], 0, 1],
    ],
)
def test_undecodable_values_are_refused(packed):
    with pytest.raises(UndecodableRecord):
        decode(packed)
