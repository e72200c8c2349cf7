"""The settings as records."""

from gooseberryyoke.record import Record

__all__ = [
    "AgentSettings",
    "EntrySettings",
    "Listen",
    "ReplicaSettings",
    "Server",
    "Settings",
    "SignOff",
    "Tls",
]


class Listen(Record):
    """
    Where a process listens.

    Parameters
    ----------
    internal : Address
        For the system's own processes.
    callers, operators : Address, optional
        Of an entry.
    """

    __slots__ = ("internal", "callers", "operators")

    def __init__(self, internal, callers=None, operators=None):
        self.internal = internal
        self.callers = callers
        self.operators = operators


class Tls(Record):
    """
    TLS towards callers and operators.

    Parameters
    ----------
    certificate, key : pathlib.Path
        PEM files.
    """

    __slots__ = ("certificate", "key")

    def __init__(self, certificate, key):
        self.certificate = certificate
        self.key = key


class SignOff(Record):
    """
    Who signs bundles off.

    Parameters
    ----------
    keys : dict of str to pathlib.Path
        Public key files in PEM, by name of the signer.
    needed : int
        Different signers that a bundle needs.
    """

    __slots__ = ("keys", "needed")

    def __init__(self, keys, needed=1):
        self.keys = keys
        self.needed = needed


class Server(Record):
    """
    The backend server beside an agent.

    Parameters
    ----------
    name : str
    address : Address
    kind : str
        ``engine`` or ``plain``.
    service : str
    models : tuple of str
    load_path : str or None
        Where the server reports its load.
    """

    __slots__ = ("name", "address", "kind", "service", "models", "load_path")

    def __init__(self, name, address, kind, service, models=(), load_path=None):
        self.name = name
        self.address = address
        self.kind = kind
        self.service = service
        self.models = models
        self.load_path = load_path


class AgentSettings(Record):
    """
    The role ``agent``.

    Parameters
    ----------
    server : Server
    announce_interval_s : float
        Between announcements to each entry.
    report_interval_s : float
        Between reads of the server's load.
    heartbeat_interval_s : float
        Between heartbeats on an open stream.
    linger_s : float
        How long the agent answers for past attempts once it has stopped.
    """

    __slots__ = (
        "server",
        "announce_interval_s",
        "report_interval_s",
        "heartbeat_interval_s",
        "linger_s",
    )

    def __init__(
        self,
        server,
        announce_interval_s,
        report_interval_s,
        heartbeat_interval_s,
        linger_s,
    ):
        self.server = server
        self.announce_interval_s = announce_interval_s
        self.report_interval_s = report_interval_s
        self.heartbeat_interval_s = heartbeat_interval_s
        self.linger_s = linger_s


class EntrySettings(Record):
    """
    The role ``entry``.

    Parameters
    ----------
    deployment : str
        Bundles of another deployment are refused.
    public_url : str or None
        What callers are told; made from the callers' address if None.
    announce_interval_s : float
        Between announcements to the other entries.
    silence_s : float
        After which a server or entry that has not announced itself is left out.
    stream_silence_s : float
        After which an open stream without a heartbeat is taken for broken.
    bundle_check_interval_s : float
        Between reads of the newest bundle; well below the bundle's lease.
    """

    __slots__ = (
        "deployment",
        "public_url",
        "announce_interval_s",
        "silence_s",
        "stream_silence_s",
        "bundle_check_interval_s",
    )

    def __init__(
        self,
        deployment,
        public_url,
        announce_interval_s,
        silence_s,
        stream_silence_s,
        bundle_check_interval_s,
    ):
        self.deployment = deployment
        self.public_url = public_url
        self.announce_interval_s = announce_interval_s
        self.silence_s = silence_s
        self.stream_silence_s = stream_silence_s
        self.bundle_check_interval_s = bundle_check_interval_s


class ReplicaSettings(Record):
    """
    The role ``replica``.

    Parameters
    ----------
    id : str
        As in the bundle's list of replicas.
    may_found : bool
        Whether it may found the durable state if all replicas are empty.
    """

    __slots__ = ("id", "may_found")

    def __init__(self, id, may_found=False):
        self.id = id
        self.may_found = may_found


class Settings(Record):
    """
    All settings of one process.

    Parameters
    ----------
    name : str
        Unique in the deployment.
    data_centre : str
    roles : tuple of str
        ``entry``, ``agent``, ``replica``.
    listen : Listen
    entries : tuple of Address
        Internal addresses of entries to announce to.
    replicas : tuple of gooseberryyoke.bundle.Replica
        Where the durable state is found before a first bundle is known; each with an
        `Address`.
    data_folder : pathlib.Path or None
    internal_keys : pathlib.Path
        File with the keys that sign messages between the system's processes.
    sign_off : SignOff or None
    tls : Tls or None
    limits : Limits
    log_level : str
    entry : EntrySettings or None
    agent : AgentSettings or None
    replica : ReplicaSettings or None
    """

    __slots__ = (
        "name",
        "data_centre",
        "roles",
        "listen",
        "entries",
        "replicas",
        "data_folder",
        "internal_keys",
        "sign_off",
        "tls",
        "limits",
        "log_level",
        "entry",
        "agent",
        "replica",
    )

    def __init__(
        self,
        name,
        data_centre,
        roles,
        listen,
        entries,
        replicas,
        data_folder,
        internal_keys,
        sign_off,
        tls,
        limits,
        log_level,
        entry,
        agent,
        replica,
    ):
        self.name = name
        self.data_centre = data_centre
        self.roles = roles
        self.listen = listen
        self.entries = entries
        self.replicas = replicas
        self.data_folder = data_folder
        self.internal_keys = internal_keys
        self.sign_off = sign_off
        self.tls = tls
        self.limits = limits
        self.log_level = log_level
        self.entry = entry
        self.agent = agent
        self.replica = replica
