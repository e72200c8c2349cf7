"""Errors of the entry."""

__all__ = ["AnswerDiffers", "CallerGone", "StreamCut"]


class AnswerDiffers(Exception):
    """A second attempt's answer doesn't begin with what the caller has got."""


class CallerGone(Exception):
    """Nobody reads the answer any more."""


class StreamCut(Exception):
    """The answer stops short: the connection is cut so that the caller sees it."""
