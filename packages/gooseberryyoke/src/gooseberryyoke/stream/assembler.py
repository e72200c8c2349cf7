"""Assemble a received answer from its frames and verify that it is complete."""

from functools import singledispatchmethod

from xxhash import xxh3_128

from gooseberryyoke.stream.exceptions import StreamBroken
from gooseberryyoke.stream.frame import (
    AbortFrame,
    DataFrame,
    EndFrame,
    HeadFrame,
    HeartbeatFrame,
)

__all__ = ["Assembler"]


class Assembler:
    """
    Checks the sequence of an attempt's frames and the completeness of its answer.

    Parameters
    ----------
    attempt : str
        Number of the attempt; frames of other attempts are dropped and counted.

    Attributes
    ----------
    head : HeadFrame or None
    abort : AbortFrame or None
    is_complete : bool
        Whether a valid end frame was received.
    next_sequence : int
        Sequence number of the next new frame, from which a reader resumes.
    dropped : int
        Number of frames that were ignored, including repeated ones.

    Notes
    -----
    A late frame of an earlier attempt on the same server would otherwise end up
    in another caller's answer. The attempt's number is unique for each dispatch,
    so comparing it is enough, on whichever connection the frame came.
    """

    __slots__ = (
        "abort",
        "attempt",
        "dropped",
        "head",
        "next_sequence",
        "is_complete",
        "_digest",
    )

    def __init__(self, attempt):
        self.attempt = attempt
        self.head = None
        self.abort = None
        self.is_complete = False
        self.next_sequence = 0
        self.dropped = 0
        self._digest = xxh3_128()

    def accept(self, frame):
        """
        Process a received frame.

        Parameters
        ----------
        frame : HeadFrame, DataFrame, EndFrame, AbortFrame or HeartbeatFrame

        Returns
        -------
        bytes
            New bytes of the body; empty for other frames and for repeats.

        Raises
        ------
        StreamBroken
            On a gap, or an end frame that doesn't match the received frames.
        """
        if frame.attempt != self.attempt or self.is_complete:
            self.dropped += 1
            return b""
        return self._process(frame)

    @singledispatchmethod
    def _process(self, frame):
        raise TypeError(f"{frame!r} is not a frame")

    @_process.register
    def _(self, frame: HeadFrame):
        if self._advance(frame):
            self.head = frame
        return b""

    @_process.register
    def _(self, frame: DataFrame):
        if not self._advance(frame):
            return b""
        self._digest.update(frame.data)
        return frame.data

    @_process.register
    def _(self, frame: EndFrame):
        if frame.count != self.next_sequence:
            raise StreamBroken("count", f"{self.next_sequence} of {frame.count} frames")
        if frame.digest != self._digest.hexdigest():
            raise StreamBroken(
                "digest", f"{self._digest.hexdigest()} for {frame.digest}"
            )
        self.is_complete = True
        return b""

    @_process.register
    def _(self, frame: AbortFrame):
        self.abort = frame
        return b""

    @_process.register
    def _(self, frame: HeartbeatFrame):
        return b""

    def _advance(self, frame):
        # After a resume the agent may repeat frames that were already received.
        if frame.sequence < self.next_sequence:
            self.dropped += 1
            return False
        if frame.sequence > self.next_sequence:
            raise StreamBroken("gap", f"{frame.sequence} after {self.next_sequence}")
        self.next_sequence += 1
        return True
