"""Safeguards of orders to evacuate, each taken out to see that the search notices."""

import trio
from returns.result import Failure, Success

from gooseberryyoke.register import Conflict, Versioned
from gooseberryyoke_daemon.evacuations import OrderOvertaken

__all__ = ["MUTATIONS", "Mutation"]


class Mutation:
    """Nothing is taken out."""

    profile = "mixed"
    """Of `EVACUATION_PROFILES`, the one in which it shows most often."""
    heeds_callers = True
    """Whether the handler of an order ends when its caller has gone."""

    @staticmethod
    def registers(registers, nursery):
        """
        Give the registers that a store uses.

        Parameters
        ----------
        registers : object
            With ``read`` and ``write``.
        nursery : trio.Nursery

        Returns
        -------
        object
        """
        return registers

    @staticmethod
    def store(store):
        """
        Give the store that carries out orders.

        Parameters
        ----------
        store : EvacuationStore

        Returns
        -------
        object
        """
        return store


class _Wrapped:
    """Passes reads on."""

    def __init__(self, registers, nursery):
        self._registers = registers
        self._nursery = nursery

    async def read(self, key, timeout_s):
        return await self._registers.read(key, timeout_s)


class _Blind(_Wrapped):
    """Writes over whatever version is there."""

    async def write(self, key, expected_version, value, timeout_s):
        deadline_s = trio.current_time() + timeout_s
        while True:
            left_s = max(0.0, deadline_s - trio.current_time())
            written = await self._registers.write(key, expected_version, value, left_s)
            if not _is_conflict(written):
                return written
            expected_version = written.failure().current.version


class _Hasty(_Wrapped):
    """Reports a write as settled once it has begun."""

    async def write(self, key, expected_version, value, timeout_s):
        self._nursery.start_soon(
            self._registers.write, key, expected_version, value, timeout_s
        )
        await trio.lowlevel.checkpoint()
        return Success(Versioned(expected_version + 1, value))


class _Unfenced(_Wrapped):
    """Writes nothing that a read has shown already."""

    def __init__(self, registers, nursery):
        super().__init__(registers, nursery)
        self._shown = {}

    async def read(self, key, timeout_s):
        found = await self._registers.read(key, timeout_s)
        if isinstance(found, Success):
            self._shown[found.unwrap().version] = found.unwrap().value or [0, {}]
        return found

    async def write(self, key, expected_version, value, timeout_s):
        if self._shown.get(expected_version) == value:
            return Success(Versioned(expected_version, value))
        return await self._registers.write(key, expected_version, value, timeout_s)


class _Stubborn:
    """Tries an order that was replaced against the next revision."""

    def __init__(self, store):
        self._store = store

    async def carry_out(self, order):
        while True:
            settled = await self._store.carry_out(order)
            if not isinstance(settled.swap().value_or(None), OrderOvertaken):
                return settled

    async def newest(self):
        return await self._store.newest()


def _is_conflict(written):
    return isinstance(written, Failure) and isinstance(written.failure(), Conflict)


class _WithoutCompareAndSet(Mutation):
    registers = _Blind


class _WithoutMajority(Mutation):
    registers = _Hasty


class _WithoutFence(Mutation):
    profile = "stalled"
    registers = _Unfenced


class _WithoutCallers(Mutation):
    heeds_callers = False


class _TriedAgain(Mutation):
    """A caller that has gone would end the repetition."""

    profile = "stalled"
    heeds_callers = False
    store = _Stubborn


MUTATIONS = {
    "write without compare-and-set": _WithoutCompareAndSet,
    "acknowledged before a majority": _WithoutMajority,
    "in force already, not fenced": _WithoutFence,
    "carried out after its caller has gone": _WithoutCallers,
    "tried again after it was replaced": _TriedAgain,
}
"""By what is left out."""
