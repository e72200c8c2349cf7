"""HTTP/1.1 between callers, entries, agents and backend servers."""

from gooseberryyoke_daemon.wire.address import Address
from gooseberryyoke_daemon.wire.auth import Signer, Verifier
from gooseberryyoke_daemon.wire.client import HttpClient, JsonReply, Reply
from gooseberryyoke_daemon.wire.exceptions import (
    BodyCut,
    ConnectFailed,
    ExchangeBroken,
    UnsendableRequest,
    WireError,
)
from gooseberryyoke_daemon.wire.framing import Framing
from gooseberryyoke_daemon.wire.limits import Limits
from gooseberryyoke_daemon.wire.message import (
    VERDICT_HEADER,
    Request,
    Response,
    answer_json_call,
    bad_message_response,
    json_response,
    problem_response,
)
from gooseberryyoke_daemon.wire.network import TcpNetwork, listener_address
from gooseberryyoke_daemon.wire.server import HttpServer

__all__ = [
    "VERDICT_HEADER",
    "Address",
    "BodyCut",
    "ConnectFailed",
    "ExchangeBroken",
    "Framing",
    "HttpClient",
    "HttpServer",
    "JsonReply",
    "Limits",
    "Reply",
    "Request",
    "Response",
    "Signer",
    "TcpNetwork",
    "UnsendableRequest",
    "Verifier",
    "WireError",
    "answer_json_call",
    "bad_message_response",
    "json_response",
    "listener_address",
    "problem_response",
]
