"""The keys of ``limits``: one for each limit of the wire, with its default."""

from inspect import signature

from gooseberryyoke.document import Integer, Key, Number, Section
from gooseberryyoke_daemon.wire import Limits

__all__ = ["LIMITS"]

_HELP = {
    "head_bytes": "Request line and headers together; beyond it 431.",
    "header_count": "Headers of one message; beyond it 431.",
    "body_bytes": "Body of one request, or of a reply read whole; beyond it 413.",
    "slow_sender_s": "From the first byte of a request to its last; beyond it 408.",
    "slow_reader_s": "A peer that takes no byte of its answer for so long is cut off.",
    "connections": "Open connections; one more is answered with 503.",
    "refused_connections": "Connections being told so at one time.",
    "connection_retry_s": "Retry-After when there are too many connections.",
    "idle_s": "How long a kept connection waits for its next request.",
    "grace_s": "How long an idle connection may still bring a request at a stop.",
    "pool_idle_s": "How long an unused connection to a peer is kept; below `idle_s`.",
    "pool_connections": "Unused connections kept for each address.",
}
_MOST_BYTES = 1 << 30
_MOST_COUNT = 100_000
_MOST_S = 86_400


def _key(name, default):
    if name.endswith("_s"):
        field = Number(0.01, _MOST_S)
    else:
        most = _MOST_BYTES if name.endswith("_bytes") else _MOST_COUNT
        field = Integer(1, most)
    return Key(name, field, default=default, help=_HELP.get(name, ""))


LIMITS = Section(
    Limits,
    *(
        _key(name, parameter.default)
        for name, parameter in signature(Limits).parameters.items()
    ),
)
