"""Events of a stream that were read ahead of their caller."""

from collections import deque

import trio

__all__ = ["StreamBuffer"]


class StreamBuffer:
    """
    Passes events from the task that reads them to the one that sends them.

    All that it may hold counts from the start. Counted as they come, the events of many
    slow callers would share the memory, and none of them would get a whole stream.

    Parameters
    ----------
    holding : Holding
    most : int
        Bytes that the buffer may hold.

    Attributes
    ----------
    is_ended : bool
        No more events come.
    waited_s : float
        For which there was no room, in all.
    """

    __slots__ = (
        "is_ended",
        "waited_s",
        "_holding",
        "_most",
        "_events",
        "_size",
        "_taken_bytes",
        "_failure",
        "_news",
    )

    def __init__(self, holding, most):
        self.is_ended = False
        self.waited_s = 0.0
        self._holding = holding
        self._holding.acquire(most)
        self._most = most
        self._events = deque()
        self._size = self._taken_bytes = 0
        self._failure = None
        self._news = trio.lowlevel.ParkingLot()

    async def wait_for_room(self):
        """Wait until more events may be held."""
        start_s = trio.current_time()
        while self._size >= self._most:
            await self._news.park()
        self.waited_s += trio.current_time() - start_s

    def put(self, events):
        """
        Add events.

        Parameters
        ----------
        events : list of StreamEvent
        """
        self._size += sum(len(event.data) for event in events)
        self._events.extend(events)
        self._news.unpark_all()

    def end(self, failure=None):
        """
        Note that no more events come.

        Parameters
        ----------
        failure : Exception, optional
            Why the stream is not whole.
        """
        self.is_ended = True
        self._failure = failure
        self._news.unpark_all()
        self._trim()

    async def take(self):
        """
        Take all events that are there, or wait for some.

        They count as held until the next ones are asked for.

        Returns
        -------
        list of StreamEvent
            Empty at the end of the stream.

        Raises
        ------
        BodyCut
            At the end of a stream that is not whole.
        """
        self._size -= self._taken_bytes
        self._taken_bytes = 0
        self._trim()
        self._news.unpark_all()
        while not self._events and not self.is_ended:
            await self._news.park()
        if not self._events and self._failure is not None:
            raise self._failure
        events = list(self._events)
        self._events.clear()
        self._taken_bytes = self._size
        return events

    def _trim(self):
        """Give back what is not needed any more, once no more events come."""
        if self.is_ended and self._holding.size > self._size:
            self._holding.release(self._holding.size - self._size)

    def close(self):
        """Drop what is left."""
        self._events.clear()
        self._holding.close()
