"""Record the frames of an attempt so that a reader can resume."""

from xxhash import xxh3_128

from gooseberryyoke.stream.frame import AbortFrame, DataFrame, EndFrame, HeadFrame

__all__ = ["FrameLog"]


class FrameLog:
    """
    Log of the frames of one attempt, from the head to the end or abort frame.

    Parameters
    ----------
    attempt : str
        Number of the attempt.

    Attributes
    ----------
    size_bytes : int
        Length of the body so far.

    Examples
    --------
    >>> log = FrameLog("a1")
    >>> log.head(200, [])
    >>> log.data(b"x")
    >>> log.end()
    >>> [type(frame).__name__ for frame in log.frames_from(1)]
    ['DataFrame', 'EndFrame']
    """

    __slots__ = ("attempt", "size_bytes", "_frames", "_final", "_digest")

    def __init__(self, attempt):
        self.attempt = attempt
        self.size_bytes = 0
        self._frames = []
        self._final = None
        self._digest = xxh3_128()

    @property
    def finished(self):
        """Whether the end or abort frame has been written."""
        return self._final is not None

    @property
    def last(self):
        """The end or abort frame, or None."""
        return self._final

    def head(self, status, headers, until_close=False):
        """Append the status and headers of the answer; see `HeadFrame`."""
        self._frames.append(HeadFrame(self.attempt, status, headers, until_close))

    def data(self, data):
        """Append a piece of the body."""
        self._digest.update(data)
        self.size_bytes += len(data)
        self._frames.append(DataFrame(self.attempt, len(self._frames), data))

    def end(self):
        """Write the end frame of a complete answer."""
        self._final = EndFrame(
            self.attempt, len(self._frames), self._digest.hexdigest()
        )

    def abort(self, verdict, reason, detail):
        """Write the abort frame of an abandoned attempt; see `AbortFrame`."""
        self._final = AbortFrame(self.attempt, verdict, reason, detail)

    def frames_from(self, sequence):
        """
        List the frames that a reader lacks.

        Parameters
        ----------
        sequence : int
            First sequence number that the reader lacks.

        Returns
        -------
        list of frames
            The end or abort frame comes last, once it has been written.
        """
        frames = self._frames[sequence:]
        return frames + [self._final] if self.finished else frames
