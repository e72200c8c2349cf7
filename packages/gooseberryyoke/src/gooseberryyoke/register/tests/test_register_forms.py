"""Encoded records keep the class names and field orders of earlier releases.

Stored logs and peers of earlier releases use them.
"""

from pathlib import Path

import orjson

from gooseberryyoke.register import (
    Ballot,
    Cell,
    Incarnation,
    SenderView,
    Slot,
    changes,
    decode,
    encode,
    messages,
)

GOLDEN = orjson.loads(
    Path(__file__).with_name("register_forms.golden.json").read_bytes()
)

BALLOT, HIGHER = Ballot(7, "p-1"), Ballot(9, "p-2")
CELL = Cell(7, {"text": "ä", "list": [1, None]}, "p-1/3", 6)
SLOT = Slot(HIGHER, BALLOT, CELL, True)
FIRST, SECOND = Incarnation(2, "ab"), Incarnation(3, "cd")
SENDER = SenderView("r1", FIRST, {"r1": FIRST, "r2": SECOND})
RECORDS = {
    "FloorRaised": changes.FloorRaised(5),
    "Founded": changes.Founded({"r1": FIRST, "r2": SECOND}),
    "HandedOver": changes.HandedOver(SECOND),
    "Identified": changes.Identified("r1", FIRST),
    "Joined": changes.Joined(),
    "PeerSeen": changes.PeerSeen("r2", SECOND, 11),
    "Reclaimed": changes.Reclaimed(SECOND, FIRST),
    "Resumed": changes.Resumed(),
    "SeatNamed": changes.SeatNamed("r2", SECOND),
    "SeatTaken": changes.SeatTaken("r1", FIRST),
    "SlotDropped": changes.SlotDropped("k", 4),
    "SlotPromised": changes.SlotPromised("k", HIGHER),
    "SlotStored": changes.SlotStored("k", SLOT),
    "Accept": messages.Accept("k", BALLOT, CELL),
    "Accepted": messages.Accepted(SENDER, BALLOT),
    "Confirm": messages.Confirm("r1", FIRST),
    "Confirmed": messages.Confirmed(SENDER, FIRST),
    "Copy": messages.Copy("r1", FIRST, "k", 100),
    "CopyPage": messages.CopyPage(SENDER, [messages.KeyedSlot("k", SLOT)], True, 4),
    "Forget": messages.Forget("k", BALLOT),
    "Forgotten": messages.Forgotten(SENDER, BALLOT, False),
    "HandOver": messages.HandOver("r1", "127.0.0.1:7", "x"),
    "HandingOver": messages.HandingOver(SENDER, SECOND),
    "Hello": messages.Hello("r1", FIRST, 12, True),
    "HelloReply": messages.HelloReply(SENDER, "ready", 3, {"r1": FIRST}),
    "NotReady": messages.NotReady(SENDER),
    "Prepare": messages.Prepare("k", HIGHER),
    "Promise": messages.Promise(SENDER, HIGHER, BALLOT, CELL, False, 4),
    "Read": messages.Read("k", "n"),
    "ReadReply": messages.ReadReply(SENDER, "n", BALLOT, CELL, True),
    "Rejected": messages.Rejected(SENDER, BALLOT, HIGHER),
    "Release": messages.Release("r1", SECOND),
    "Released": messages.Released(SENDER, {"r1": [FIRST, SECOND]}),
    "Scan": messages.Scan("claim/", "claim/7", 50),
    "ScanPage": messages.ScanPage(SENDER, [messages.KeyedSlot("k", SLOT)], False),
    "SeatQuery": messages.SeatQuery(),
    "SeatReport": messages.SeatReport(SENDER, {"r1": [FIRST, SECOND]}),
}


def test_encoded_forms_are_those_of_the_golden_file():
    assert {name: encode(record) for name, record in RECORDS.items()} == GOLDEN


def test_forms_of_the_golden_file_are_decoded():
    assert {name: decode(packed) for name, packed in GOLDEN.items()} == RECORDS
