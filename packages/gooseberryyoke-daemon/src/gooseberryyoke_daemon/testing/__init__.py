"""Small fakes at the interfaces, for sessions in memory under a mock clock."""

from gooseberryyoke_daemon.testing.fakes import FakeEngine, FakeService
from gooseberryyoke_daemon.testing.session import Session, run_session

__all__ = ["FakeEngine", "FakeService", "Session", "run_session"]
