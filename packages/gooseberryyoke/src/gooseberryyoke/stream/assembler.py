"""The reading side: what of an answer has arrived, and whether it is whole."""

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
    Puts the frames of one attempt in order and tells when the answer is whole.

    Parameters
    ----------
    attempt : str
        Number of the attempt; frames of any other are dropped and counted.

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
        "whole",
        "_sum",
    )

    def __init__(self, attempt):
        self.attempt = attempt
        self.head = None
        self.abort = None
        self.whole = False
        self.next_sequence = 0
        self.dropped = 0
        self._sum = xxh3_128()

    def accept(self, frame):
        """
        Take a frame.

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
            On a gap, or an end that doesn't match what has arrived.
        """
        if frame.attempt != self.attempt or self.whole:
            self.dropped += 1
            return b""
        return self._take(frame)

    @singledispatchmethod
    def _take(self, frame):
        raise TypeError(f"{frame!r} is not a frame")

    @_take.register
    def _(self, frame: HeadFrame):
        if self._is_next(frame):
            self.head = frame
        return b""

    @_take.register
    def _(self, frame: DataFrame):
        if not self._is_next(frame):
            return b""
        self._sum.update(frame.data)
        return frame.data

    @_take.register
    def _(self, frame: EndFrame):
        if frame.count != self.next_sequence:
            raise StreamBroken("count", f"{self.next_sequence} of {frame.count} frames")
        if frame.digest != self._sum.hexdigest():
            raise StreamBroken("digest", f"{self._sum.hexdigest()} for {frame.digest}")
        self.whole = True
        return b""

    @_take.register
    def _(self, frame: AbortFrame):
        self.abort = frame
        return b""

    @_take.register
    def _(self, frame: HeartbeatFrame):
        return b""

    def _is_next(self, frame):
        # After a resume the agent may send frames again that had arrived.
        if frame.sequence < self.next_sequence:
            self.dropped += 1
            return False
        if frame.sequence > self.next_sequence:
            raise StreamBroken("gap", f"{frame.sequence} after {self.next_sequence}")
        self.next_sequence += 1
        return True
