"""The evacuated data centres, settled by a majority of replicas."""

from returns.result import Failure, Success
from trio import current_time

from gooseberryyoke.evacuation import EvacuationState, is_data_centre_name
from gooseberryyoke.record import Record
from gooseberryyoke.register import Conflict, Unavailable
from gooseberryyoke_daemon.clock import Clock
from gooseberryyoke_daemon.logs import log_event

__all__ = ["EvacuationStore", "OrderOvertaken", "UnknownDataCentre"]

_KEY = "evacuations"
_TRIES = 8
"""Writes that confirm a state in force, when other confirmations come first."""
_ORDER_S = 0.9
"""For one order, after which nothing of it is sent any more: the operator's client
waits a second for an answer, and then sends the order again or gives it up."""


class UnknownDataCentre(Record):
    """
    An order names no data centre of the deployment; nothing was changed.

    Parameters
    ----------
    data_centre : str
    """

    __slots__ = ("data_centre",)

    def __init__(self, data_centre):
        self.data_centre = data_centre


class OrderOvertaken(Record):
    """
    Another write took the revision that an order was to change; nothing was changed.

    Parameters
    ----------
    revision : int
        Of the state that is in force instead.
    """

    __slots__ = ("revision",)

    def __init__(self, revision):
        self.revision = revision


class EvacuationStore:
    """
    The state of evacuations, over a register.

    Parameters
    ----------
    registers : RegisterClient
    data_centres : iterable of str
        Those of the deployment; any may be evacuated if empty.
    clock : Clock, optional
        For the time that operators are shown.
    """

    __slots__ = ("_registers", "_data_centres", "_clock")

    def __init__(self, registers, data_centres=(), clock=None):
        self._registers = registers
        self._data_centres = frozenset(data_centres)
        self._clock = clock or Clock()

    def _is_known(self, data_centre):
        if self._data_centres:
            return data_centre in self._data_centres
        return is_data_centre_name(data_centre)

    async def carry_out(self, order):
        """
        Have an order settled by a majority.

        Parameters
        ----------
        order : EvacuationOrder

        Returns
        -------
        Result of EvacuationState, (RegisterError, UnknownDataCentre or OrderOvertaken)
            The state in which the order holds. No write of an order that ended before
            this one began can settle any more.
        """
        if not self._is_known(order.data_centre):
            return Failure(UnknownDataCentre(order.data_centre))
        deadline_s = current_time() + _ORDER_S
        found = await self._registers.read(_KEY, _left_s(deadline_s))
        decoded = found.bind(_decoded)
        if isinstance(decoded, Failure):
            return decoded
        after = decoded.unwrap().apply(order, round(1000 * self._clock.wall()))
        version = found.unwrap().version
        written = await self._write(version, after, deadline_s)
        if written == Success(after):
            _log_settled(order, after, is_news=after != decoded.unwrap())
        if not _is_conflict(written):
            return written
        return await self._confirm(order, written.failure().current, deadline_s)

    async def _confirm(self, order, current, deadline_s):
        """
        Acknowledge an order that others have brought into force, if they have.

        An order that another one has replaced isn't written against the revision of
        that one: its operator may have given it up for the other.
        """
        for _ in range(_TRIES):
            decoded = _decoded(current)
            if isinstance(decoded, Failure):
                return decoded
            state = decoded.unwrap()
            if not state.satisfies(order):
                return Failure(OrderOvertaken(state.revision))
            written = await self._write(current.version, state, deadline_s)
            if not _is_conflict(written):
                if isinstance(written, Success):
                    _log_settled(order, state, is_news=False)
                return written
            current = written.failure().current
        return Failure(Unavailable(False, f"lost {_TRIES} races in a row"))

    async def _write(self, version, state, deadline_s):
        """
        Write a state, also one that is in force already.

        A majority that has accepted this write accepts none that is older. A read
        would leave those that are still under way free to settle.
        """
        written = await self._registers.write(
            _KEY, version, state.to_json(), _left_s(deadline_s)
        )
        return written.map(lambda _: state)

    async def newest(self):
        """
        Read the state, confirmed by a majority.

        Returns
        -------
        Result of EvacuationState, RegisterError
        """
        return (await self._registers.read(_KEY, _ORDER_S)).bind(_decoded)


def _is_conflict(written):
    """Tell whether another write came first."""
    return isinstance(written, Failure) and isinstance(written.failure(), Conflict)


def _log_settled(order, state, is_news):
    if not is_news:
        log_event(
            "evacuation-confirmed",
            kind=order.kind.value,
            data_centre=order.data_centre,
            revision=state.revision,
        )
        return
    log_event(
        "evacuation-stored",
        level="warning",
        kind=order.kind.value,
        data_centre=order.data_centre,
        revision=state.revision,
        evacuated=state.data_centres,
    )


def _left_s(deadline_s):
    return max(0.0, deadline_s - current_time())


def _decoded(versioned):
    if versioned.value is None:
        return Success(EvacuationState())
    try:
        return Success(EvacuationState.from_json(versioned.value))
    except ValueError as exc:
        # Written by another release: better nothing than half of it.
        return Failure(Unavailable(False, f"register {_KEY!r}: {exc}"))
