"""Paths of the calls between the system's own processes that two sides name."""

__all__ = [
    "ATTEMPTS_PATH",
    "ENTRY_PATH",
    "FOLLOW_PATH",
    "FOUNDING_PATH",
    "SEATS_PATH",
    "SERVER_PATH",
    "TABLE_PATH",
]

ATTEMPTS_PATH = "/internal/attempts"
ENTRY_PATH = "/internal/announcements/entry"
FOLLOW_PATH = "/internal/follow"
FOUNDING_PATH = "/internal/founding"
SEATS_PATH = "/internal/seats"
SERVER_PATH = "/internal/announcements/server"
TABLE_PATH = "/internal/table"
