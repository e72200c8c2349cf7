"""The small process beside each backend server."""

from gooseberryyoke_daemon.agent.attempt import AttemptOrder
from gooseberryyoke_daemon.agent.node import AgentNode

__all__ = ["AgentNode", "AttemptOrder"]
