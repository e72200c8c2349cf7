"""A prompt-prefix cache with a feed of its changes."""

from collections import OrderedDict, deque
from hashlib import sha256

__all__ = ["PrefixCache"]

_BLOCK_CHARACTERS = 64


class PrefixCache:
    """
    Keeps the blocks of prompts that were seen last.

    Parameters
    ----------
    blocks : int
        How many are kept.
    events : int
        How many changes the feed remembers; a reader that falls behind sees a gap.
    """

    def __init__(self, blocks=4096, events=1024):
        self._blocks = OrderedDict()
        self._max_blocks = blocks
        self._events = deque(maxlen=events)
        self._next = 1

    def take(self, prompt):
        """
        Look a prompt up and keep all its blocks.

        Parameters
        ----------
        prompt : str
            The whole prompt.

        Returns
        -------
        float
            Share of the prompt that was cached, 0 to 1.
        """
        digests = list(_digests(prompt))
        hits = 0
        for digest in digests:
            if digest not in self._blocks:
                break
            hits += 1
        for digest in digests:
            self._keep(digest)
        return hits / len(digests) if digests else 0.0

    def feed(self, since):
        """
        Give the changes from a number on.

        Parameters
        ----------
        since : int
            First number wanted.

        Returns
        -------
        dict
            ``events`` and the number of the ``next`` one.
        """
        events = [event for event in self._events if event["number"] >= since]
        return {"events": events, "next": self._next}

    def _keep(self, digest):
        if digest in self._blocks:
            self._blocks.move_to_end(digest)
            return
        self._blocks[digest] = True
        self._note("stored", digest)
        if len(self._blocks) > self._max_blocks:
            self._note("removed", self._blocks.popitem(last=False)[0])

    def _note(self, kind, digest):
        event = {"number": self._next, "kind": kind, "block": digest}
        self._events.append(event)
        self._next += 1


def _digests(prompt):
    running = sha256()
    for start in range(0, len(prompt), _BLOCK_CHARACTERS):
        running.update(prompt[start : start + _BLOCK_CHARACTERS].encode())
        yield running.hexdigest()[:16]
