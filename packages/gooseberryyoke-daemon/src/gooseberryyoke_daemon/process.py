"""What all roles of one process share."""

from gooseberryyoke_daemon.metrics import Metrics
from gooseberryyoke_daemon.wire import HttpClient, Signer, Verifier

__all__ = ["Process"]


class Process:
    """
    Identity, clocks, random numbers and clients of one process.

    Parameters
    ----------
    name, data_centre : str
    internal_address : Address
        Where the other processes reach this one.
    keys : dict of str to bytes
        Internal keys by id; the first one signs.
    networks : Networks
    clock : Clock
    rng : random.Random
    limits : Limits

    Attributes
    ----------
    plain_client : HttpClient
        For backend servers.
    signed_client : HttpClient
        For the system's own processes.
    verifier : Verifier
        Checks what they send.
    metrics : Metrics
    """

    def __init__(
        self,
        name,
        data_centre,
        internal_address,
        keys,
        networks,
        clock,
        rng,
        limits,
    ):
        self.name = name
        self.data_centre = data_centre
        self.internal_address = internal_address
        self.networks = networks
        self.clock = clock
        self.rng = rng
        self.limits = limits
        self.metrics = Metrics()
        key_id = next(iter(keys))
        signer = Signer(key_id, keys[key_id], clock.wall, rng)
        self.plain_client = HttpClient(networks.servers, limits)
        self.signed_client = HttpClient(networks.internal, limits, signer)
        self.verifier = Verifier(keys, clock.wall, hosts={str(internal_address)})
