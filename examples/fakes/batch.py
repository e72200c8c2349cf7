"""Continuous batching: all running answers advance one token a step."""

from heapq import heappop, heappush
from itertools import count

import trio

__all__ = ["Batch", "Sequence"]


class Sequence:
    """
    One answer being generated.

    Parameters
    ----------
    words : list of str
        Its tokens.
    prefill_s : float
        Time that its prompt takes of its first step, in seconds.
    priority : int
        Lower runs first.
    """

    __slots__ = ("_words", "prefill_s", "priority", "is_cancelled", "send", "receive")

    def __init__(self, words, prefill_s, priority):
        self._words = iter(words)
        self.prefill_s = prefill_s
        self.priority = priority
        self.is_cancelled = False
        self.send, self.receive = trio.open_memory_channel(len(words) + 1)

    def advance(self):
        """
        Generate one token.

        Returns
        -------
        bool
            False once there are no more.
        """
        word = next(self._words, None)
        if word is None or self.is_cancelled:
            self.send.close()
            return False
        self.send.send_nowait(word)
        return True


class Batch:
    """
    Runs sequences in steps whose time grows with their number.

    Parameters
    ----------
    slots : int
        Sequences that run at one time; the rest queue.
    step_s : float
        Time of a step with one sequence, in seconds.
    step_per_sequence_s : float
        Added for each sequence in the step, in seconds.
    """

    def __init__(self, slots, step_s, step_per_sequence_s):
        self.slots = slots
        self.last_step_s = step_s
        self._step_s = step_s
        self._step_per_sequence_s = step_per_sequence_s
        self._running = []
        self._queue = []
        self._arrivals = count()
        self._wanted = trio.Event()

    @property
    def running(self):
        """Number of sequences in the batch."""
        return len(self._running)

    @property
    def queued(self):
        """Number of sequences that wait for a slot."""
        return len(self._queue)

    def add(self, sequence):
        """
        Queue a sequence.

        Parameters
        ----------
        sequence : Sequence
            Its words come out of ``receive``.
        """
        heappush(self._queue, (sequence.priority, next(self._arrivals), sequence))
        self._wanted.set()

    def cancel(self, sequence):
        """
        Free the place of a sequence that nobody waits for.

        Parameters
        ----------
        sequence : Sequence
            Running, queued or ended.
        """
        sequence.is_cancelled = True
        self._queue = [item for item in self._queue if item[2] is not sequence]
        self._queue.sort()

    async def run(self):
        """Step for ever; sleep while there is nothing to do."""
        while True:
            fresh = self._admit()
            if not self._running:
                self._wanted = trio.Event()
                await self._wanted.wait()
                continue
            await trio.sleep(self._measure(fresh))
            self._running = [seq for seq in self._running if seq.advance()]

    def _admit(self):
        fresh = []
        while self._queue and len(self._running) < self.slots:
            sequence = heappop(self._queue)[2]
            self._running.append(sequence)
            fresh.append(sequence)
        return fresh

    def _measure(self, fresh):
        added_s = self._step_per_sequence_s * (len(self._running) - 1)
        self.last_step_s = self._step_s + added_s
        return self.last_step_s + sum(sequence.prefill_s for sequence in fresh)
