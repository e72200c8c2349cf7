"""Keeps what a control process knows of a state on the replicas fresh."""

from returns.result import Failure
from trio import TASK_STATUS_IGNORED, current_time, sleep

__all__ = ["MajorityProbe"]

_FRESH_S = 1.0
"""For which a majority's word is good enough. An acknowledged table whose process ends
before it could tell of it must be in force everywhere within two seconds, an order to
evacuate within five, and a gateway that starts takes no state older than two."""
_SPREAD_S = 0.3
_RETRY_S = 0.3
_SLOWEST_RETRY_S = 2.0
"""After reads that failed one after the other. What is asked of replicas that come back
after the loss of everything keeps them from doing so."""


class MajorityProbe:
    """
    Reads a state when nobody has confirmed it lately; base of what reads one.

    Parameters
    ----------
    rng : random.Random
    """

    __slots__ = ("_rng", "_pause_s")

    def __init__(self, rng):
        self._rng = rng
        self._pause_s = _RETRY_S

    async def _find(self):
        """Read the state; gives a Result."""
        raise NotImplementedError

    def _take(self, found, start_s):
        """Take over what was found by a read that began at a time."""
        raise NotImplementedError

    def _age_s(self, now):
        """Tell how long ago a majority confirmed what is known."""
        raise NotImplementedError

    async def run(self, task_status=TASK_STATUS_IGNORED):
        """Read until cancelled."""
        task_status.started()
        while True:
            left_s = _FRESH_S - self._age_s(current_time())
            if left_s > 0:
                await sleep(left_s + self._rng.uniform(0, _SPREAD_S))
                continue
            if not await self._read():
                await sleep(self._pause_s * self._rng.uniform(0.5, 1.0))
                self._pause_s = min(2 * self._pause_s, _SLOWEST_RETRY_S)

    async def _read(self):
        start_s = current_time()
        found = await self._find()
        if isinstance(found, Failure):
            return False
        self._pause_s = _RETRY_S
        self._take(found.unwrap(), start_s)
        # Without the new confirmation the loop would read again without a pause.
        return self._age_s(current_time()) < _FRESH_S
