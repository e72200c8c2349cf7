"""
Membership: the processes that announce themselves.

These are the backend servers and the entries. An entry is a process that callers
connect to, such as a gateway.
"""

from gooseberryyoke.membership.announcement import (
    EntryAnnouncement,
    ServerAnnouncement,
    new_incarnation,
)
from gooseberryyoke.membership.checks import find_report_error
from gooseberryyoke.membership.directory import Directory
from gooseberryyoke.membership.exceptions import AnnouncementError

__all__ = [
    "AnnouncementError",
    "Directory",
    "EntryAnnouncement",
    "ServerAnnouncement",
    "find_report_error",
    "new_incarnation",
]
