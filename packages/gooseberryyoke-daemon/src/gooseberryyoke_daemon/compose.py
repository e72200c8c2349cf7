"""The composition root: wires the parts of one process."""

from functools import partial

from returns.result import Failure, Success
from trio import TASK_STATUS_IGNORED, move_on_after, open_nursery

from gooseberryyoke.record import Record
from gooseberryyoke_daemon.agent import AgentNode
from gooseberryyoke_daemon.bundles import BundleKeeper
from gooseberryyoke_daemon.claims import ClaimKeeper, ClaimSweeper
from gooseberryyoke_daemon.entry import EntryNode, Observer
from gooseberryyoke_daemon.guard import Guard
from gooseberryyoke_daemon.leases import LeaseKeeper
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.operators import Approval, OperatorRoutes
from gooseberryyoke_daemon.process import Process
from gooseberryyoke_daemon.registers import HttpPeer, RegisterClient
from gooseberryyoke_daemon.replica import Replica
from gooseberryyoke_daemon.security import TlsReloader, load_tls_contexts
from gooseberryyoke_daemon.security.reload import TlsFiles
from gooseberryyoke_daemon.settings import load_internal_keys, load_sign_off_keys
from gooseberryyoke_daemon.storage import DiskFailed, FolderDisk
from gooseberryyoke_daemon.wire import Address, HttpServer

__all__ = ["Credentials", "Daemon", "load_credentials"]

# Well below the time for an operation on a register, so that a connection that
# has gone silent is given up and the call made again within it.
_REPLICA_TIMEOUT_S = 0.5
_SWEEP_LEASE = "claim-sweep"
_SWEEP_LEASE_S = 60.0
_RELEASE_S = 2.0
_IDENTITY_BITS = 64


class Credentials(Record):
    """
    Keys that a process reads from files.

    Parameters
    ----------
    internal_keys : dict of str to bytes
        Keys between the system's processes; the first one signs.
    sign_off_keys : dict of str to str
        Public keys in PEM of those who sign bundles off.
    tls : TlsContexts
    """

    __slots__ = ("internal_keys", "sign_off_keys", "tls")

    def __init__(self, internal_keys, sign_off_keys, tls):
        self.internal_keys = internal_keys
        self.sign_off_keys = sign_off_keys
        self.tls = tls


def load_credentials(settings):
    """
    Read the key files that settings name.

    Parameters
    ----------
    settings : Settings

    Returns
    -------
    Result of Credentials, list of Mistake
    """
    internal = load_internal_keys(settings.internal_keys)
    sign_off = Success({})
    if settings.sign_off is not None:
        sign_off = load_sign_off_keys(settings.sign_off)
    tls = load_tls_contexts(settings)
    mistakes = [
        mistake
        for result in (internal, sign_off, tls)
        if isinstance(result, Failure)
        for mistake in result.failure()
    ]
    if mistakes:
        return Failure(mistakes)
    return Success(Credentials(internal.unwrap(), sign_off.unwrap(), tls.unwrap()))


class Daemon:
    """
    One process with its roles.

    Parameters
    ----------
    settings : Settings
    credentials : Credentials
    networks : Networks
    clock : Clock
    rng : random.Random
    open_disk : callable, optional
        Opens the data folder; tests pass one in memory.

    Attributes
    ----------
    nodes : dict of str to EntryNode or AgentNode
        By role.
    registers : RegisterClient or None
        Of an entry.
    sweep_lease : LeaseKeeper or None
        Of an entry: who holds it deletes old claims.
    """

    def __init__(
        self, settings, credentials, networks, clock, rng, open_disk=FolderDisk
    ):
        self._settings = settings
        self._credentials = credentials
        self._open_disk = open_disk
        self._process = Process(
            settings.name,
            settings.data_centre,
            settings.listen.internal,
            credentials.internal_keys,
            networks,
            clock,
            rng,
            settings.limits,
        )
        self.nodes = {}
        self.registers = None
        self.sweep_lease = None
        self._leavers = []
        self._routes = []

    async def run(self, task_status=TASK_STATUS_IGNORED):
        """
        Run all roles until cancelled.

        Parameters
        ----------
        task_status : trio.TaskStatus
            Told when every port is served.
        """
        process = self._process
        async with open_nursery() as nursery:
            # Before the roles: a replica joins only once its peers reach it.
            guard = Guard(process.verifier, self._routes, process.metrics)
            server = HttpServer(guard, process.limits)
            listeners = await process.networks.internal.listen(process.internal_address)
            await nursery.start(server.run, listeners)
            nursery.start_soon(self._tls_reloader().run)
            replica = await self._start_replica(nursery)
            await self._start_entry(nursery, replica)
            await self._start_agent(nursery)
            task_status.started(self)

    async def stop(self):
        """Stop all roles without cutting work; the caller then cancels `run`."""
        async with open_nursery() as nursery:
            for leave in self._leavers:
                nursery.start_soon(leave)

    def _tls_reloader(self):
        tls, settings = self._credentials.tls, self._settings
        files = []
        if settings.tls is not None:
            pair = (settings.tls.certificate, settings.tls.key)
            files.append(TlsFiles("callers", *pair, [tls.callers]))
        if settings.internal_tls is not None:
            pair = (settings.internal_tls.certificate, settings.internal_tls.key)
            contexts = [tls.internal_server, tls.internal_client]
            files.append(TlsFiles("internal", *pair, contexts))
        return TlsReloader(files, self._process.metrics, self._process.clock)

    async def _start_replica(self, nursery):
        settings = self._settings
        if "replica" not in settings.roles:
            return None
        peers = self._peers(settings.replicas)
        peers.pop(settings.replica.id)
        replica = Replica(
            settings.replica.id,
            self._open_disk(settings.data_folder),
            peers,
            self._process.rng,
            may_found=settings.replica.may_found,
        )
        self._routes.append(replica.handle)
        await nursery.start(self._run_replica, replica)
        return replica

    async def _run_replica(self, replica, task_status=TASK_STATUS_IGNORED):
        try:
            await replica.run(task_status)
        except* DiskFailed as group:
            # The entry in this process goes on with the other replicas; to end it
            # too would cut its callers' answers for a disk that they don't need.
            reasons = "; ".join(str(exc) for exc in group.exceptions)
            log_event("replica-ended", level="error", seat=replica.seat, why=reasons)

    async def _start_entry(self, nursery, replica):
        settings, process = self._settings, self._process
        if "entry" not in settings.roles:
            return
        peers = self._peers(settings.replicas)
        if replica is not None:
            peers[replica.seat] = replica
        registers = RegisterClient(peers, process.rng, process.clock.now)
        self.registers = registers
        await nursery.start(registers.run)
        bundles = BundleKeeper(
            registers,
            process.clock,
            settings.entry.bundle_check_interval_s,
            settings.replicas,
            partial(self._use_replicas, registers, replica),
        )
        await nursery.start(bundles.run)
        claims = ClaimKeeper(registers, process.clock.wall)
        await self._start_sweeper(nursery, registers, bundles)
        observer = Observer(process.metrics)
        entry = EntryNode(settings, process, bundles, claims, observer)
        self.nodes["entry"] = entry
        self._routes.extend(await nursery.start(entry.run))
        self._leavers.append(entry.leave)
        await self._start_operators(nursery, bundles, entry)

    async def _start_sweeper(self, nursery, registers, bundles):
        process = self._process
        self.sweep_lease = LeaseKeeper(
            registers,
            _SWEEP_LEASE,
            f"{process.name}-{process.rng.getrandbits(_IDENTITY_BITS):x}",
            process.clock.now,
            process.rng,
            _SWEEP_LEASE_S,
        )
        await nursery.start(self.sweep_lease.run)
        self._leavers.append(self._release_sweep)
        retention_s = partial(_claim_retention_s, bundles, self.sweep_lease)
        sweeper = ClaimSweeper(registers, process.clock.wall, retention_s)
        nursery.start_soon(sweeper.run)

    async def _release_sweep(self):
        # Without a majority it can't be given up, and then runs out by itself: a
        # stop of all processes at once must not wait for that.
        with move_on_after(_RELEASE_S):
            await self.sweep_lease.release()

    async def _start_operators(self, nursery, bundles, entry):
        settings, process = self._settings, self._process
        approval = Approval(
            settings.entry.deployment,
            self._credentials.sign_off_keys,
            settings.sign_off.needed,
        )
        routes = OperatorRoutes(bundles, approval, entry.status)
        self._leavers.append(_stopper(routes))
        server = HttpServer(routes, process.limits)
        listeners = await process.networks.callers.listen(settings.listen.operators)
        await nursery.start(server.run, listeners)

    async def _start_agent(self, nursery):
        if "agent" not in self._settings.roles:
            return
        agent = self.nodes["agent"] = AgentNode(self._settings, self._process)
        self._routes.extend(await nursery.start(agent.run))
        self._leavers.append(agent.leave)

    def _use_replicas(self, registers, own, bundle):
        peers = self._peers(bundle.durable.replicas)
        if own is not None:
            seat = peers.get(own.seat)
            own.peers = {id: peer for id, peer in peers.items() if id != own.seat}
            # If the bundle has moved the seat to another instance, the holder there
            # votes, and this one would stand in its way for its own entry.
            if seat is not None and seat.address == self._process.internal_address:
                peers[own.seat] = own
        registers.set_peers(peers)

    def _peers(self, replicas):
        return {
            replica.id: HttpPeer(
                self._process.signed_client,
                Address.parse(str(replica.address)),
                _REPLICA_TIMEOUT_S,
            )
            for replica in replicas
        }


def _claim_retention_s(bundles, lease):
    # One entry sweeps for all. Two that do after a change of holder do no harm,
    # but each of hundreds would read all claims every minute.
    bundle = bundles.current() if lease.grant() is not None else None
    return None if bundle is None else bundle.durable.claim_retention_s


def _stopper(routes):
    async def leave():
        routes.stop()

    return leave
