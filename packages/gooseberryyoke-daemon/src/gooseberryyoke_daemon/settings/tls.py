"""The TLS context of what listens to callers and operators."""

from ssl import PROTOCOL_TLS_SERVER, SSLContext, SSLError, TLSVersion

from returns.result import Failure, Success

from gooseberryyoke.document import Mistake

__all__ = ["load_tls"]


def load_tls(tls):
    """
    Load the certificate and key that settings name.

    Parameters
    ----------
    tls : Tls

    Returns
    -------
    returns.result.Result
        ``Success`` of an ``ssl.SSLContext`` for a server, or ``Failure`` of a list of
        one `Mistake`.
    """
    context = SSLContext(PROTOCOL_TLS_SERVER)
    context.minimum_version = TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(tls.certificate, tls.key)
    except (OSError, SSLError) as exc:
        detail = f"{tls.certificate}, {tls.key}: {exc.strerror or exc}"
        message = f"{detail}; expected a certificate and its key in PEM"
        return Failure([Mistake("tls", 0, message)])
    return Success(context)
