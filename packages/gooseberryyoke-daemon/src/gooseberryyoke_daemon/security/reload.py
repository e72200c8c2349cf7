"""Takes new certificates into use without a restart."""

from ssl import PROTOCOL_TLS_SERVER, SSLContext, SSLError

from trio import sleep
from trio.to_thread import run_sync

from gooseberryyoke.record import Record
from gooseberryyoke_daemon.logs import log_event

__all__ = ["TlsFiles", "TlsReloader"]

_INTERVAL_S = 5.0


class TlsFiles(Record):
    """
    A certificate with its key, and the contexts that use them.

    Parameters
    ----------
    port : str
        Label in metrics and logs: ``callers`` or ``internal``.
    certificate, key : pathlib.Path
    contexts : tuple of ssl.SSLContext
    """

    __slots__ = ("port", "certificate", "key", "contexts")

    def __init__(self, port, certificate, key, contexts):
        self.port = port
        self.certificate = certificate
        self.key = key
        self.contexts = tuple(contexts)


class TlsReloader:
    """
    Watches certificate files.

    Parameters
    ----------
    files : list of TlsFiles
    metrics : Metrics
        Shown when each certificate expires.
    clock : Clock
    interval_s : float
        Between two looks at the files, in seconds.

    Notes
    -----
    A context that gets a new certificate uses it from the next handshake on;
    open connections keep theirs.
    """

    def __init__(self, files, metrics, clock, interval_s=_INTERVAL_S):
        self._files = files
        self._metrics = metrics
        self._clock = clock
        self._interval_s = interval_s
        self._seen = {item.port: _stamps(item) for item in files}

    async def run(self):
        """Watch until cancelled."""
        while self._files:
            for item in self._files:
                await self._look(item)
            await sleep(self._interval_s)

    async def _look(self, item):
        stamps = await run_sync(_stamps, item)
        if stamps != self._seen[item.port]:
            self._seen[item.port] = stamps
            self._reload(item)
        expires_s = await run_sync(_expiry_s, item.certificate)
        left_s = expires_s - self._clock.wall()
        self._metrics.set("tls_certificate_left_seconds", left_s, port=item.port)

    def _reload(self, item):
        try:
            # Certificate and key are two files, so that one may be read before the
            # other is written. A context takes the certificate even if the key
            # doesn't fit, and then fails every handshake: so the pair is tried
            # apart, and the old one stays in use until both fit.
            for context in (SSLContext(PROTOCOL_TLS_SERVER), *item.contexts):
                context.load_cert_chain(item.certificate, item.key)
        except (OSError, SSLError) as exc:
            log_event(
                "tls-reload-failed", level="error", port=item.port, error=str(exc)
            )
            self._seen[item.port] = None
            return
        log_event("tls-reloaded", port=item.port)


def _stamps(item):
    try:
        return tuple(path.stat().st_mtime_ns for path in (item.certificate, item.key))
    except OSError:
        return None


def _expiry_s(path):
    # Imported here: it takes 8 MB, which an agent without TLS hasn't got to spare.
    from cryptography.x509 import load_pem_x509_certificate

    try:
        certificate = load_pem_x509_certificate(path.read_bytes())
    except (OSError, ValueError):
        return 0.0
    return certificate.not_valid_after_utc.timestamp()
