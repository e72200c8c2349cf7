import orjson
import pytest

from gooseberryyoke.expert import (
    Abort,
    Commit,
    Hello,
    MalformedMessageError,
    MapRecord,
    MapSegment,
    Promise,
    RankMapState,
    Restore,
    Retire,
    Stage,
    StagedMap,
    decode_map_message,
    encode_map_message,
    map_message_kind,
)

FIRST, SECOND = MapSegment(1, "one", 0), MapSegment(2, "two", 40)
STATE = RankMapState(0, "life", present=FIRST, staged=StagedMap(2, "two", 40))


@pytest.mark.parametrize(
    "message",
    [
        Hello(3),
        Restore(3, "life", FIRST, SECOND),
        Restore(3, "life", None, FIRST),
        Stage(3, "life", 1, 2, "two"),
        Promise(3, "life", 2, 40),
        Commit(3, "life", 2, 40),
        Abort(3, "life", 2),
        Retire(3, "life", 2),
        MapRecord(SECOND, FIRST, 3, 2),
        STATE.report("late"),
    ],
)
def test_messages_come_back_from_json(message):
    data = orjson.loads(orjson.dumps(encode_map_message(message)))
    assert decode_map_message(map_message_kind(message), data) == message


@pytest.mark.parametrize(
    "kind, data",
    [
        ("shout", {}),
        ("hello", []),
        ("hello", {"fence": True}),
        ("hello", {"fence": 1, "more": 2}),
        ("promise", {"fence": 1, "incarnation": "x", "number": 2, "hold_step": "9"}),
        ("restore", {"fence": 1, "incarnation": "x", "before": None, "present": {}}),
        ("restore", {"fence": 1, "incarnation": "x", "before": None, "present": None}),
    ],
)
def test_malformed_messages_are_refused(kind, data):
    with pytest.raises(MalformedMessageError):
        decode_map_message(kind, data)
