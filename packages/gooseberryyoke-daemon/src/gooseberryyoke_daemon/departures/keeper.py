"""Holds the acknowledgement of a departure until a majority has settled it."""

from returns.result import Failure
from trio import TASK_STATUS_IGNORED, Event, current_time, move_on_after, sleep

from gooseberryyoke.membership.departure import DEPARTURE_LISTED_S
from gooseberryyoke_daemon.logs import log_event

__all__ = ["DepartureKeeper"]

_ACK_S = 0.75
"""A server takes an answer that comes after a second for none, and asks the next
control process."""
_WRITE_S = 0.9
_RETRY_S = 0.3
_RENEW_S = DEPARTURE_LISTED_S / 2
"""After a departure was settled, it is settled anew for a server that still says so."""


class DepartureKeeper:
    """
    Writes departures in rounds: those that come during one go together in the next.

    Parameters
    ----------
    store : DepartureStore
    rng : random.Random
    on_answer : callable
        Takes whether a departure was settled in time, and the seconds since the call.
    """

    def __init__(self, store, rng, on_answer):
        self._on_answer = on_answer
        self._store = store
        self._rng = rng
        self._settled = {}
        self._waiting = {}
        self._wanted = Event()
        self._round_ended = Event()

    async def settle(self, departure):
        """
        Wait until a majority has settled a departure.

        Parameters
        ----------
        departure : Departure

        Returns
        -------
        bool
            False if that took too long. It goes on being tried.
        """
        asked_s = current_time()
        if self._is_settled(departure):
            return True
        self._enqueue(departure, asked_s)
        with move_on_after(_ACK_S):
            while not self._is_settled(departure):
                await self._round_ended.wait()
        is_settled = self._is_settled(departure)
        self._note(departure, is_settled, current_time() - asked_s)
        return is_settled

    def _enqueue(self, departure, asked_s):
        waiting, _ = self._waiting.get(departure.id, (departure, asked_s))
        if waiting.order_key <= departure.order_key:
            self._waiting[departure.id] = (departure, asked_s)
        self._wanted.set()

    def _is_settled(self, departure):
        born_ms, settled_s = self._settled.get(departure.id, (-1, 0.0))
        is_recent = current_time() - settled_s < _RENEW_S
        return departure.born_ms <= born_ms and is_recent

    def _note(self, departure, is_settled, after_s):
        self._on_answer(is_settled, after_s)
        log_event(
            "departure-settled" if is_settled else "departure-unsettled",
            level="info" if is_settled else "warning",
            server=departure.id,
            state=departure.state.value,
            born_ms=departure.born_ms,
            after_ms=round(1000 * after_s),
        )

    async def run(self, task_status=TASK_STATUS_IGNORED):
        """Write what waits, until cancelled."""
        task_status.started()
        while True:
            await self._wanted.wait()
            self._wanted = Event()
            while self._waiting and not await self._write():
                await sleep(_RETRY_S * self._rng.uniform(0.5, 1.0))

    async def _write(self):
        batch = [departure for departure, _ in self._waiting.values()]
        written = await self._store.add(batch, _WRITE_S)
        now = current_time()
        if isinstance(written, Failure):
            self._drop_old(now)
            return False
        for departure in batch:
            self._settled[departure.id] = (departure.born_ms, now)
            if self._waiting[departure.id][0] == departure:
                del self._waiting[departure.id]
        self._drop_old(now)
        self._round_ended.set()
        self._round_ended = Event()
        return True

    def _drop_old(self, now):
        oldest_s = now - DEPARTURE_LISTED_S
        self._settled = {i: v for i, v in self._settled.items() if v[1] > oldest_s}
        self._waiting = {i: v for i, v in self._waiting.items() if v[1] > oldest_s}
