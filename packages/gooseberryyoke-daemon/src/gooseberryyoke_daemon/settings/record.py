"""The settings of a process as records."""

from gooseberryyoke.record import Record

__all__ = ["InternalTls", "Listen", "Settings", "SignOff", "Tls"]


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


class InternalTls(Record):
    """
    TLS between the system's own processes.

    Parameters
    ----------
    certificate, key : pathlib.Path
        PEM files; the certificate names the IP number of the instance.
    authority : pathlib.Path
        Certificate that has signed those of all processes, in PEM.
    """

    __slots__ = ("certificate", "key", "authority")

    def __init__(self, certificate, key, authority):
        self.certificate = certificate
        self.key = key
        self.authority = authority


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
    internal_tls : InternalTls or None
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
        "internal_tls",
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
        internal_tls,
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
        self.internal_tls = internal_tls
        self.limits = limits
        self.log_level = log_level
        self.entry = entry
        self.agent = agent
        self.replica = replica
