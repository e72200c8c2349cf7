"""Exceptions of the registers' clients."""

__all__ = ["PeerFailed"]


class PeerFailed(Exception):
    """A replica gave no usable reply; it may have carried out the message."""
