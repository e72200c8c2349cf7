"""Who is there: backend servers and entries, as they announce themselves."""

from gooseberryyoke.membership.announcement import (
    EntryAnnouncement,
    ServerAnnouncement,
    new_incarnation,
)
from gooseberryyoke.membership.checks import mistake_in_report
from gooseberryyoke.membership.directory import Directory
from gooseberryyoke.membership.exceptions import AnnouncementError

__all__ = [
    "AnnouncementError",
    "Directory",
    "EntryAnnouncement",
    "ServerAnnouncement",
    "mistake_in_report",
    "new_incarnation",
]
