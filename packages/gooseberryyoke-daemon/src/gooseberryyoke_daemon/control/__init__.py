"""The control role: backend servers report here, entries learn of them."""

from gooseberryyoke_daemon.control.link import Links, Listener
from gooseberryyoke_daemon.control.presence import EntryPresence, Presences, Roster

# `ControlNode` is imported from its module: followers need none of what it loads.
__all__ = ["EntryPresence", "Links", "Listener", "Presences", "Roster"]
