"""Orders to model engines: fencing, idempotency, paced loads, rolling updates."""

from gooseberryyoke.order.codec import action_kind, decode_order, encode_order
from gooseberryyoke.order.exceptions import MalformedOrderError
from gooseberryyoke.order.gate import OrderGate
from gooseberryyoke.order.order import (
    ChangeRole,
    LoadAdapter,
    LoadModel,
    Order,
    OrderOutcome,
    OrderReply,
    UnloadAdapter,
    UnloadModel,
    WarmModel,
    order_number,
)
from gooseberryyoke.order.pacing import LoadPacer, RateAllocator, RateLease
from gooseberryyoke.order.swap import (
    EngineVersions,
    SwapStep,
    VersionState,
    VersionSwap,
)

__all__ = [
    "ChangeRole",
    "EngineVersions",
    "LoadAdapter",
    "LoadModel",
    "LoadPacer",
    "MalformedOrderError",
    "Order",
    "OrderGate",
    "OrderOutcome",
    "OrderReply",
    "RateAllocator",
    "RateLease",
    "SwapStep",
    "UnloadAdapter",
    "UnloadModel",
    "VersionState",
    "VersionSwap",
    "WarmModel",
    "action_kind",
    "decode_order",
    "encode_order",
    "order_number",
]
