"""Paths of the calls between the system's own processes that two sides name."""

__all__ = ["ATTEMPTS_PATH", "ENTRY_PATH", "SERVER_PATH"]

ATTEMPTS_PATH = "/internal/attempts"
ENTRY_PATH = "/internal/announcements/entry"
SERVER_PATH = "/internal/announcements/server"
