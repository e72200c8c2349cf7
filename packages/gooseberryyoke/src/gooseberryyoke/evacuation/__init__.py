"""Evacuation: operators order that a data centre receives no requests."""

from gooseberryyoke.evacuation.state import (
    EvacuationOrder,
    EvacuationState,
    OrderKind,
    is_data_centre_name,
)
from gooseberryyoke.evacuation.view import EvacuationView

__all__ = [
    "EvacuationView",
    "EvacuationOrder",
    "EvacuationState",
    "OrderKind",
    "is_data_centre_name",
]
