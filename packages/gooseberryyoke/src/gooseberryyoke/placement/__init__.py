"""Which backend server takes a request, by what is known of each one's load."""

from gooseberryyoke.placement.choose import choose_server
from gooseberryyoke.placement.health import ServerHealth
from gooseberryyoke.placement.load import ServerLoad

__all__ = ["ServerHealth", "ServerLoad", "choose_server"]
