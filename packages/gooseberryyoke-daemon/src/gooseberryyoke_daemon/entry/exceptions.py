"""Errors of the entry."""

from gooseberryyoke_daemon.wire import BodyCut

__all__ = ["AnswerDiffers", "CallerGone", "EndNotTold", "StreamCut"]


class AnswerDiffers(Exception):
    """A second attempt's answer doesn't begin with what the caller has got."""


class CallerGone(Exception):
    """Nobody reads the answer any more."""


class EndNotTold(Exception):
    """The caller was promised a last chunk, but nothing tells that all has come."""


class StreamCut(BodyCut):
    """The answer stops short: the connection is cut so that the caller sees it."""
