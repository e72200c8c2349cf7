"""Clients of the registers that the replicas hold."""

from gooseberryyoke_daemon.registers.client import RegisterClient
from gooseberryyoke_daemon.registers.exceptions import PeerFailed
from gooseberryyoke_daemon.registers.peer import REGISTER_PATH, HttpPeer

__all__ = ["REGISTER_PATH", "HttpPeer", "PeerFailed", "RegisterClient"]
