"""The control role: backend servers report here, entries learn of them."""

from gooseberryyoke_daemon.control.link import ControlLinks
from gooseberryyoke_daemon.control.node import ControlNode
from gooseberryyoke_daemon.control.presence import EntryPresence, Presences, Roster

__all__ = ["ControlLinks", "ControlNode", "EntryPresence", "Presences", "Roster"]
