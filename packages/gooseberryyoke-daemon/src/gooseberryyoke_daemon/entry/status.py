"""What operators see of the system from one entry."""

__all__ = ["Status"]


class Status:
    """
    Builds the status page.

    Parameters
    ----------
    process : Process
    addresses : AddressBook
    entries, servers : Directory
    """

    __slots__ = ("_addresses", "_entries", "_process", "_servers")

    def __init__(self, process, addresses, entries, servers):
        self._process = process
        self._addresses = addresses
        self._entries = entries
        self._servers = servers

    def show(self, bundle):
        """
        Show entries, agents and replicas.

        Parameters
        ----------
        bundle : Bundle or None
            In force at this entry.

        Returns
        -------
        dict
        """
        now = self._process.clock.now()
        own = None
        if bundle is not None:
            own = {"version": bundle.version, "digest": bundle.digest}
        peers = [_peer(peer) for peer in self._entries.live(now)]
        return {
            "entry": self._process.name,
            "bundle": own,
            "entries": [self._own(bundle), *peers],
            "agents": [_agent(server) for server in self._servers.live(now)],
            "replicas": [_replica(seat) for seat in _seats(bundle)],
        }

    def _own(self, bundle):
        reason = self._addresses.unready_reason()
        state = "serving" if reason is None else "not-serving"
        return {
            "name": self._process.name,
            "data_centre": self._process.data_centre,
            "state": "leaving" if self._addresses.leaving else state,
            "version": 0 if bundle is None else bundle.version,
        }


def _peer(peer):
    serving = "serving" if peer.bundle_version else "not-serving"
    return {
        "name": peer.name,
        "data_centre": peer.data_centre,
        "state": "leaving" if peer.leaving else serving,
        "version": peer.bundle_version,
    }


def _agent(server):
    return {
        "name": server.name,
        "data_centre": server.data_centre,
        "service": server.service,
        "address": server.address,
        "state": "leaving" if server.leaving else "serving",
    }


def _seats(bundle):
    return () if bundle is None else bundle.durable.replicas


def _replica(seat):
    return {"name": seat.id, "address": str(seat.address), "state": "configured"}
