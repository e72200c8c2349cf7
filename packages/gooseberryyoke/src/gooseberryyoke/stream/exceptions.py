"""Errors of framed answers."""

__all__ = ["FrameError", "StreamBroken"]


class FrameError(ValueError):
    """A line that is no frame."""


class StreamBroken(Exception):
    """
    Frames that can't belong to one whole answer.

    Parameters
    ----------
    reason : str
        Short code: ``gap``, ``count`` or ``digest``.
    detail : str
        What was found and what was expected.
    """

    def __init__(self, reason, detail):
        super().__init__(f"{reason}: {detail}")
        self.reason = reason
