"""The gateway role: requests go to backend servers directly, by a route table."""

from gooseberryyoke_daemon.gateway.node import GatewayNode

__all__ = ["GatewayNode"]
