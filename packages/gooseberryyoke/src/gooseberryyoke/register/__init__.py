"""Compare-and-set registers, replicated by majority votes without a leader."""

from gooseberryyoke.register.acceptor import Acceptor, Answer
from gooseberryyoke.register.ballot import NO_BALLOT, Ballot
from gooseberryyoke.register.cell import Cell, Slot, Versioned
from gooseberryyoke.register.codec import decode, encode
from gooseberryyoke.register.errors import Conflict, RegisterError, Unavailable
from gooseberryyoke.register.exceptions import UndecodableRecord
from gooseberryyoke.register.identity import Incarnation, SenderView, majority
from gooseberryyoke.register.operations import (
    CollectOperation,
    ReadOperation,
    WriteOperation,
)
from gooseberryyoke.register.proposer import Outbound, Proposer, ProposerTimes
from gooseberryyoke.register.state import ReplicaState

__all__ = [
    "NO_BALLOT",
    "Acceptor",
    "Answer",
    "Ballot",
    "Cell",
    "CollectOperation",
    "Conflict",
    "Incarnation",
    "Outbound",
    "Proposer",
    "ProposerTimes",
    "ReadOperation",
    "RegisterError",
    "ReplicaState",
    "SenderView",
    "Slot",
    "Unavailable",
    "UndecodableRecord",
    "Versioned",
    "WriteOperation",
    "decode",
    "encode",
    "majority",
]
