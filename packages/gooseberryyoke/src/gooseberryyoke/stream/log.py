"""The writing side: the frames of an attempt, kept so that a reader can resume."""

from xxhash import xxh3_128

from gooseberryyoke.stream.frame import AbortFrame, DataFrame, EndFrame, HeadFrame

__all__ = ["FrameLog"]


class FrameLog:
    """
    All frames of one attempt, from the head to the end or the abort.

    Parameters
    ----------
    attempt : str
        Number of the attempt.

    Examples
    --------
    >>> log = FrameLog("a1")
    >>> log.head(200, [])
    >>> log.data(b"x")
    >>> log.end()
    >>> [type(frame).__name__ for frame in log.frames_from(1)]
    ['DataFrame', 'EndFrame']
    """

    __slots__ = ("attempt", "size_bytes", "_frames", "_last", "_sum")

    def __init__(self, attempt):
        self.attempt = attempt
        self.size_bytes = 0
        self._frames = []
        self._last = None
        self._sum = xxh3_128()

    @property
    def finished(self):
        """Whether the end or the abort has been written."""
        return self._last is not None

    @property
    def last(self):
        """The end or abort frame, or None."""
        return self._last

    def head(self, status, headers, until_close=False):
        """Write status and headers of the answer; see `HeadFrame`."""
        self._frames.append(HeadFrame(self.attempt, status, headers, until_close))

    def data(self, data):
        """Write a piece of the body, in bytes."""
        self._sum.update(data)
        self.size_bytes += len(data)
        self._frames.append(DataFrame(self.attempt, len(self._frames), data))

    def end(self):
        """Write the end: the answer is whole."""
        self._last = EndFrame(self.attempt, len(self._frames), self._sum.hexdigest())

    def abort(self, verdict, reason, detail):
        """Write that the attempt was given up, with its verdict."""
        self._last = AbortFrame(self.attempt, verdict, reason, detail)

    def frames_from(self, sequence):
        """
        List what a reader still needs.

        Parameters
        ----------
        sequence : int
            First sequence number that the reader lacks.

        Returns
        -------
        list of frames
            With the end or abort last, once it is there.
        """
        frames = self._frames[sequence:]
        return frames + [self._last] if self.finished else frames
