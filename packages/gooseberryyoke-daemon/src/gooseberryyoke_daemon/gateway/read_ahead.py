"""Reads on from servers while callers read slowly."""

import trio

__all__ = ["ReadAhead"]

_LOOK_S = 0.25
"""Between two looks for callers that have stopped reading."""


class ReadAhead:
    """
    Has streams read ahead whose callers take nothing.

    A task for each stream would cost every stream what few of them need; this one looks
    at all of them, and starts a task for those that are held up.

    Parameters
    ----------
    held : HeldBytes
        Bounds what is read ahead.

    Attributes
    ----------
    held : HeldBytes
    count : int
        Streams that were read ahead since the start.
    """

    __slots__ = ("held", "count", "_streams", "_wanted")

    def __init__(self, held):
        self.held = held
        self.count = 0
        self._streams = set()
        self._wanted = trio.Event()

    def add(self, stream):
        """
        Watch a stream.

        Parameters
        ----------
        stream : StreamRelay
        """
        self._streams.add(stream)
        self._wanted.set()

    def remove(self, stream):
        """
        End `add`.

        Parameters
        ----------
        stream : StreamRelay
        """
        self._streams.discard(stream)

    async def run(self):
        """Watch until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                if not self._streams:
                    self._wanted = trio.Event()
                    await self._wanted.wait()
                await trio.sleep(_LOOK_S)
                now = trio.current_time()
                for stream in self._streams:
                    if not self.held.fits(self.held.read_ahead_limit):
                        break
                    if stream.is_held_up(now):
                        self.count += 1
                        stream.begin_reading_on(self.held)
                        nursery.start_soon(stream.read_on)
