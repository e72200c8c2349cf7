"""Expert maps of groups of ranks, and map changes that keep one map per step."""

from gooseberryyoke.expert.change import ChangePhase, MapChange
from gooseberryyoke.expert.codec import (
    decode_map_message,
    encode_map_message,
    map_message_kind,
)
from gooseberryyoke.expert.decision import (
    MapRecord,
    ReadRecord,
    RecordSeen,
    Send,
    WriteRecord,
)
from gooseberryyoke.expert.exceptions import (
    ExpertError,
    InvalidMapError,
    MalformedMessageError,
)
from gooseberryyoke.expert.expert_map import ExpertMap
from gooseberryyoke.expert.load import LoadEstimate, LoadFilter
from gooseberryyoke.expert.message import (
    Abort,
    Commit,
    Hello,
    MapSegment,
    Promise,
    RankReport,
    Restore,
    Retire,
    Stage,
    StagedMap,
)
from gooseberryyoke.expert.placement import place_layer
from gooseberryyoke.expert.rank import Permit, RankMapState
from gooseberryyoke.expert.rebalance import (
    PlacementPolicy,
    Rebalance,
    Rebalancer,
    step_skew,
)

__all__ = [
    "Abort",
    "ChangePhase",
    "Commit",
    "ExpertError",
    "ExpertMap",
    "Hello",
    "InvalidMapError",
    "LoadEstimate",
    "LoadFilter",
    "MalformedMessageError",
    "MapChange",
    "MapRecord",
    "MapSegment",
    "Permit",
    "PlacementPolicy",
    "Promise",
    "RankMapState",
    "RankReport",
    "ReadRecord",
    "Rebalance",
    "Rebalancer",
    "RecordSeen",
    "Restore",
    "Retire",
    "Send",
    "Stage",
    "StagedMap",
    "WriteRecord",
    "decode_map_message",
    "encode_map_message",
    "map_message_kind",
    "place_layer",
    "step_skew",
]
