"""TLS of a process: contexts from files, reloaded while it runs."""

from gooseberryyoke_daemon.security.networks import Networks
from gooseberryyoke_daemon.security.reload import TlsReloader
from gooseberryyoke_daemon.security.tls import TlsContexts, load_tls_contexts

__all__ = ["Networks", "TlsContexts", "TlsReloader", "load_tls_contexts"]
