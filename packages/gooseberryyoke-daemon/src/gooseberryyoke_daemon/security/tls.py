"""TLS contexts made from the files that settings name."""

from ssl import (
    CERT_REQUIRED,
    PROTOCOL_TLS_CLIENT,
    PROTOCOL_TLS_SERVER,
    SSLContext,
    SSLError,
    TLSVersion,
)

from returns.result import Failure, Success

from gooseberryyoke.document import Mistake
from gooseberryyoke.record import Record
from gooseberryyoke_daemon.settings import load_tls

__all__ = ["TlsContexts", "load_tls_contexts"]


class TlsContexts(Record):
    """
    Contexts of one process; None where it speaks plain HTTP.

    Parameters
    ----------
    callers : ssl.SSLContext or None
        Server side towards callers and operators.
    internal_server, internal_client : ssl.SSLContext or None
        Both sides between the system's own processes. Each side shows a
        certificate of the authority that the settings name.
    """

    __slots__ = ("callers", "internal_server", "internal_client")

    def __init__(self, callers=None, internal_server=None, internal_client=None):
        self.callers = callers
        self.internal_server = internal_server
        self.internal_client = internal_client


def load_tls_contexts(settings):
    """
    Load the certificates and keys of a process.

    Parameters
    ----------
    settings : Settings

    Returns
    -------
    Result of TlsContexts, list of Mistake
    """
    callers = Success(None) if settings.tls is None else load_tls(settings.tls)
    if isinstance(callers, Failure):
        return callers
    internal = settings.internal_tls
    if internal is None:
        return Success(TlsContexts(callers.unwrap()))
    try:
        server = _internal_context(PROTOCOL_TLS_SERVER, internal)
        client = _internal_context(PROTOCOL_TLS_CLIENT, internal)
    except (OSError, SSLError) as exc:
        names = f"{internal.certificate}, {internal.key}, {internal.authority}"
        detail = f"{names}: {exc.strerror or exc}; expected PEM files"
        return Failure([Mistake("internal_tls", 0, detail)])
    return Success(TlsContexts(callers.unwrap(), server, client))


def _internal_context(protocol, internal):
    context = SSLContext(protocol)
    context.minimum_version = TLSVersion.TLSv1_3
    # A server that asks for no certificate would let anybody open connections and
    # fill them, signed messages or not.
    context.verify_mode = CERT_REQUIRED
    context.load_verify_locations(internal.authority)
    context.load_cert_chain(internal.certificate, internal.key)
    return context
