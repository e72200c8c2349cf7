"""Exceptions for framed answers."""

__all__ = ["FrameError", "StreamBroken"]


class FrameError(ValueError):
    """A line that cannot be decoded as a frame."""


class StreamBroken(Exception):
    """
    Inconsistent frames that cannot form a complete answer.

    Parameters
    ----------
    reason : str
        Short code: ``gap``, ``count`` or ``digest``.
    detail : str
        The received and the expected value.
    """

    def __init__(self, reason, detail):
        super().__init__(f"{reason}: {detail}")
        self.reason = reason
