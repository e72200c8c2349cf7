"""The settings of each role as records."""

from gooseberryyoke.record import Record

__all__ = ["AgentSettings", "EntrySettings", "ReplicaSettings", "Server"]


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
