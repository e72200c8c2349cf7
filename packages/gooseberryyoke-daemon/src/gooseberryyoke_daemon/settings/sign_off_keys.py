"""The public keys of those who sign bundles off."""

from returns.result import Failure, Success

from gooseberryyoke_daemon.settings.file import read_text

__all__ = ["load_sign_off_keys"]


def load_sign_off_keys(sign_off):
    """
    Read the public keys that settings name.

    Parameters
    ----------
    sign_off : SignOff

    Returns
    -------
    returns.result.Result
        ``Success`` of a dict from signer to PEM text, or ``Failure`` of a list with a
        `Mistake` for each file that can't be read.
    """
    texts = {name: read_text(path) for name, path in sign_off.keys.items()}
    mistakes = [
        mistake
        for result in texts.values()
        if isinstance(result, Failure)
        for mistake in result.failure()
    ]
    if mistakes:
        return Failure(mistakes)
    return Success({name: result.unwrap() for name, result in texts.items()})
