"""Log lines on requests under which servers end, at gateways and entries."""

from gooseberryyoke_daemon.logs import log_event

__all__ = ["log_ended_server", "log_kept_back"]


def log_ended_server(request, fingerprint, server, history):
    """
    Log that a server ended under a request.

    Parameters
    ----------
    request : str
        Number of the request.
    fingerprint : str
    server : str
        Name of the server.
    history : RequestHistory
        Of the request, this end included.
    """
    log_event(
        "request-ended-server",
        level="warning",
        request=request,
        fingerprint=fingerprint,
        server=server,
        ends=history.crash_count(),
    )


def log_kept_back(request, fingerprint, history, now):
    """
    Log that a request is refused for the servers that ended under it.

    Parameters
    ----------
    request : str
        Number of the request.
    fingerprint : str
    history : RequestHistory
    now : float
        On the clock of the history.
    """
    ages_ms = [round(1000 * (now - at_s)) for at_s in history.crashes_s.values()]
    log_event(
        "request-kept-back",
        level="warning",
        request=request,
        fingerprint=fingerprint,
        servers=",".join(history.crashes_s),
        ages_ms=",".join(map(str, ages_ms)),
    )
