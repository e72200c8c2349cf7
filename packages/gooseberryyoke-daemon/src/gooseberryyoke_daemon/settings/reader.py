"""Reading of settings."""

from pathlib import Path

from gooseberryyoke.document import check_document
from gooseberryyoke_daemon.settings.consistency import CONSISTENCY_CHECKS
from gooseberryyoke_daemon.settings.file import read_text
from gooseberryyoke_daemon.settings.schema import SETTINGS

__all__ = ["load_settings", "parse_settings"]


def load_settings(path):
    """
    Read the settings of a process.

    Parameters
    ----------
    path : str or pathlib.Path

    Returns
    -------
    returns.result.Result
        ``Success`` of `Settings`, or ``Failure`` of a list with every `Mistake`.
    """
    path = Path(path)
    return read_text(path).bind(lambda text: parse_settings(text, path.parent))


def parse_settings(text, folder=Path()):
    """
    Check the text of settings.

    Parameters
    ----------
    text : str
        The YAML document.
    folder : pathlib.Path
        Where its paths start.

    Returns
    -------
    returns.result.Result
        As of `load_settings`.
    """
    checked = check_document(text, SETTINGS, *CONSISTENCY_CHECKS)
    return checked.map(lambda settings: _with_paths(settings, folder))


def _with_paths(settings, folder):
    changes = {"internal_keys": folder / settings.internal_keys}
    if settings.data_folder is not None:
        changes["data_folder"] = folder / settings.data_folder
    if settings.sign_off is not None:
        keys = {name: folder / path for name, path in settings.sign_off.keys.items()}
        changes["sign_off"] = settings.sign_off.replace(keys=keys)
    if settings.tls is not None:
        changes["tls"] = settings.tls.replace(
            certificate=folder / settings.tls.certificate,
            key=folder / settings.tls.key,
        )
    if settings.internal_tls is not None:
        internal = settings.internal_tls
        paths = {name: folder / getattr(internal, name) for name in internal.fields()}
        changes["internal_tls"] = internal.replace(**paths)
    return settings.replace(**changes)
