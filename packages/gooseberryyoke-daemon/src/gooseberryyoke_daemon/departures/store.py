"""The departures of servers, settled by a majority of replicas."""

from returns.result import Failure, Success
from trio import current_time
from xxhash import xxh3_64_intdigest

from gooseberryyoke.membership.departure import Departure
from gooseberryyoke.membership.departure_list import DepartureList
from gooseberryyoke.register import Conflict, Unavailable, Versioned
from gooseberryyoke_daemon.clock import Clock
from gooseberryyoke_daemon.logs import log_event

__all__ = ["DepartureStore", "decode_departures", "log_departure"]

_PREFIX = "departures/"
_UNSEATED_LISTS = 8
_TRIES = 8
_NEVER_WRITTEN = Versioned(0, None)


class DepartureStore:
    """
    Lists of departures, each over a register of its own.

    A control process writes to the list of its seat, and one without a seat to one of
    a few others. Processes that write at the same time rarely compete for a register.

    Parameters
    ----------
    registers : RegisterClient
    address : str
        Of this process, for internal calls.
    seat : callable
        Gives the name of this process's seat, or None.
    clock : Clock, optional
        For the time at which a departure is listed.
    """

    __slots__ = ("_registers", "_unseated", "_seat", "_clock", "_found")

    def __init__(self, registers, address, seat, clock=None):
        self._registers = registers
        number = xxh3_64_intdigest(address.encode()) % _UNSEATED_LISTS
        self._unseated = f"unseated-{number}"
        self._seat = seat
        self._clock = clock or Clock()
        self._found = {}

    async def add(self, departures, timeout_s):
        """
        Have departures settled by a majority.

        Parameters
        ----------
        departures : list of Departure
        timeout_s : float

        Returns
        -------
        Result of DepartureList, RegisterError
        """
        deadline_s = current_time() + timeout_s
        key = _PREFIX + (self._seat() or self._unseated)
        # Mostly nobody else has written it since, and no read is needed.
        found = self._found.pop(key, _NEVER_WRITTEN)
        for _ in range(_TRIES):
            after = _decode(found.value).add(departures, self._now_ms())
            left_s = max(0.0, deadline_s - current_time())
            written = await self._registers.write(
                key, found.version, after.to_json(), left_s
            )
            if isinstance(written, Success):
                self._found[key] = written.unwrap()
                return Success(after)
            if not isinstance(written.failure(), Conflict):
                return written
            found = written.failure().current
        return Failure(Unavailable(False, f"lost {_TRIES} races in a row"))

    def listed(self, key, value):
        """
        Read a register as one replica holds it, settled or not.

        Parameters
        ----------
        key : str
        value : object

        Returns
        -------
        list of Departure
            Those that were listed lately; none if the register holds something else.
        """
        if not key.startswith(_PREFIX):
            return []
        return _decode(value).add((), self._now_ms()).departures

    def _now_ms(self):
        return round(1000 * self._clock.wall())


def decode_departures(packed):
    """
    Decode the departures that another process tells.

    Parameters
    ----------
    packed : object
        As it was received. What is malformed is logged and left out.

    Returns
    -------
    list of Departure
    """
    departures = []
    for item in packed if isinstance(packed, list) else ():
        try:
            departures.append(Departure.from_json(item))
        except ValueError as exc:
            _log_unreadable(exc)
    return departures


def log_departure(departure):
    """
    Log that this process has heard of a departure.

    Parameters
    ----------
    departure : Departure
    """
    log_event(
        "server-departs",
        server=departure.id,
        state=departure.state.value,
        born_ms=departure.born_ms,
    )


def _decode(value):
    return DepartureList.from_json(value, _log_unreadable)


def _log_unreadable(exc):
    log_event("departure-unreadable", level="warning", why=str(exc)[:200])
