"""Expert maps: one map in every step of a group, and how maps change."""

from gooseberryyoke.expert.change import ChangePhase, MapChange
from gooseberryyoke.expert.decision import (
    MapRecord,
    ReadRecord,
    RecordSeen,
    Send,
    WriteRecord,
)
from gooseberryyoke.expert.exceptions import ExpertError, InvalidMapError
from gooseberryyoke.expert.expert_map import ExpertMap
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
from gooseberryyoke.expert.rank import Permit, RankMapState

__all__ = [
    "Abort",
    "ChangePhase",
    "Commit",
    "ExpertError",
    "ExpertMap",
    "Hello",
    "InvalidMapError",
    "MapChange",
    "MapRecord",
    "MapSegment",
    "Permit",
    "Promise",
    "RankMapState",
    "RankReport",
    "ReadRecord",
    "RecordSeen",
    "Restore",
    "Retire",
    "Send",
    "Stage",
    "StagedMap",
    "WriteRecord",
]
