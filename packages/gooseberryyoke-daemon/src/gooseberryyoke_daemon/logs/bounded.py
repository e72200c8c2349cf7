"""Lines a second for each event, and a standard output that never blocks."""

import os
import select

__all__ = ["LineBudget", "PipeWriter"]

_USUAL_LINES = 50
"""A gateway ends some ten requests a second today; five times as much is told in full.
At 300 bytes a line this bounds one event at 15 KB/s."""
_CHUNK_BYTES = 4096
"""What a pipe that is ready takes without blocking, by POSIX."""
_HELD_BYTES = 256 * 1024


class LineBudget:
    """
    Bounds the lines that one event may write in a second.

    Each event has its own budget, so that a flood of one, answered requests under
    load say, never hides the lines of another, such as failed requests.

    Parameters
    ----------
    lines : int
        A second and event.
    """

    __slots__ = ("_lines", "_second", "_written", "_left_out")

    def __init__(self, lines=_USUAL_LINES):
        self._lines = lines
        self._second = None
        self._written = {}
        self._left_out = {}

    def admit(self, event, now):
        """
        Decide on a line.

        Parameters
        ----------
        event : str
        now : float
            In seconds.

        Returns
        -------
        bool
            Whether it is written.
        """
        second = int(now)
        if second != self._second:
            self._second, self._written = second, {}
        count = self._written.get(event, 0) + 1
        self._written[event] = count
        if count <= self._lines:
            return True
        self._left_out[event] = self._left_out.get(event, 0) + 1
        return False

    def take_left_out(self, now):
        """
        Give the count of lines left out before the present second, and forget it.

        Parameters
        ----------
        now : float
            In seconds.

        Returns
        -------
        dict of str to int
            By event; empty while the second lasts in which they were left out.
        """
        if not self._left_out or int(now) == self._second:
            return {}
        left_out, self._left_out = self._left_out, {}
        return left_out


class PipeWriter:
    """
    Writes lines to a descriptor, and drops them rather than wait.

    A standard output that nobody reads would otherwise stop the process at some
    line, and with it every request.

    Parameters
    ----------
    fd : int

    Attributes
    ----------
    dropped : int
        Lines that were dropped.
    """

    __slots__ = ("dropped", "_fd", "_held")

    def __init__(self, fd):
        self.dropped = 0
        self._fd = fd
        self._held = bytearray()

    def write(self, line):
        """
        Write a line, now or with a later one.

        Parameters
        ----------
        line : str
        """
        data = line.encode()
        if len(self._held) + len(data) > _HELD_BYTES:
            self.dropped += 1
        else:
            self._held += data
        self._send()

    def _send(self):
        while self._held and self._is_ready():
            try:
                sent = os.write(self._fd, self._held[:_CHUNK_BYTES])
            except OSError:
                # The reader is gone: there is nobody to tell.
                self._held.clear()
                return
            del self._held[:sent]

    def _is_ready(self):
        poll = select.poll()
        poll.register(self._fd, select.POLLOUT)
        return bool(poll.poll(0))

    def flush(self):
        """Try once more to write what is held."""
        self._send()
