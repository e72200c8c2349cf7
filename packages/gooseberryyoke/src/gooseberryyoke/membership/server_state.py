"""States that backend servers announce."""

from enum import Enum

__all__ = ["ServerState"]


class ServerState(Enum):
    """State that a backend server announces."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
