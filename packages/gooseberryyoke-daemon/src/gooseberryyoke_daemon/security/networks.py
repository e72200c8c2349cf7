"""The networks of one process: who is met with which kind of TLS."""

from gooseberryyoke.record import Record
from gooseberryyoke_daemon.wire import TcpNetwork

__all__ = ["Networks"]


class Networks(Record):
    """
    One network for each kind of peer.

    Parameters
    ----------
    callers : TcpNetwork or MemoryHost
        Where callers and operators connect.
    internal : TcpNetwork or MemoryHost
        Between the system's own processes.
    servers : TcpNetwork or MemoryHost
        Towards the backend server beside an agent.
    """

    __slots__ = ("callers", "internal", "servers")

    def __init__(self, callers, internal, servers):
        self.callers = callers
        self.internal = internal
        self.servers = servers

    @classmethod
    def over_tcp(cls, contexts):
        """
        Make the networks of a process on this machine.

        Parameters
        ----------
        contexts : TlsContexts

        Returns
        -------
        Networks
        """
        internal = TcpNetwork(contexts.internal_server, contexts.internal_client)
        return cls(TcpNetwork(contexts.callers), internal, TcpNetwork())
