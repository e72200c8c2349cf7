"""One run: data centres are evacuated while processes die and engines return cold."""

from functools import partial, singledispatchmethod
from random import Random

import trio

from examples.demonstration.report import Point
from gooseberryyoke.record import Record
from gooseberryyoke_client.exceptions import EntryUnreachableError
from gooseberryyoke_client.session import Session
from gooseberryyoke_client.transport import HttpTransport
from tools.soak.faults import Kill, Pause, describe
from tools.soak.routed_deployment import ZONES, RoutedDeployment
from tools.soak.routed_soak import RoutedSoak

__all__ = ["EvacuationSoak", "ReturnCold", "SentOrder", "arrivals_after"]

_ACK_TIMEOUT_S = 5.0
_IN_FORCE_S = 5.0
"""After the acknowledgement nothing may arrive in the data centre from then on."""
_LONGEST_HOLD_S = 9.0
_REPEATED_PART = 0.25
_WITHDRAWN_PART = 0.2
_ENDED_PART = 0.7
"""Of the evacuations; the others stay, until the same data centre is drawn again."""
_KILLED_PART = 0.3
"""Of the acknowledgements, after which the process that gave it is killed."""
_FAULTS_A_SECOND = 0.5
_LONGEST_DOWN_S = 3.0
_PATH = "/operator/evacuations"
_OK = 200


class ReturnCold(Record):
    """All engines of a data centre begin new lives that are cold."""

    __slots__ = ("zone",)

    def __init__(self, zone):
        self.zone = zone


class SentOrder(Record):
    """
    An order as its operator saw it.

    Parameters
    ----------
    kind, zone : str
    sent_s : float
    acked_s : float or None
    """

    __slots__ = ("kind", "zone", "sent_s", "acked_s")

    def __init__(self, kind, zone, sent_s, acked_s):
        self.kind = kind
        self.zone = zone
        self.sent_s = sent_s
        self.acked_s = acked_s


def arrivals_after(orders, zone, arrivals):
    """
    Tell how long after acknowledgements requests arrived in an evacuated data centre.

    Parameters
    ----------
    orders : list of SentOrder
        In order; each was sent after the one before had ended.
    zone : str
    arrivals : list of float

    Returns
    -------
    list of float
        In seconds, of each arrival between an acknowledgement to evacuate and the
        sending of the next order to end that.
    """
    own = [order for order in orders if order.zone == zone]
    found = []
    for number, order in enumerate(own):
        if order.kind != "start" or order.acked_s is None:
            continue
        ends = [later.sent_s for later in own[number + 1 :] if later.kind == "end"]
        until_s = min(ends, default=float("inf"))
        found += [
            at_s - order.acked_s for at_s in arrivals if order.acked_s < at_s < until_s
        ]
    return found


class EvacuationSoak(RoutedSoak):
    """
    Runs one seed.

    Parameters
    ----------
    folder : pathlib.Path
        Must not exist.
    seed : int
        Of the orders, faults and requests.
    seconds : float
        For which faults come.
    """

    def __init__(self, folder, seed, seconds):
        super().__init__(folder, seed, seconds, Random(seed))
        self.orders = []

    def _make_deployment(self):
        return RoutedDeployment(self._folder, self._seed)

    async def _storm(self):
        async with trio.open_nursery() as callers:
            callers.start_soon(self._send_for_ever, callers)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._operate, nursery)
                for _ in range(round(self._seconds * _FAULTS_A_SECOND)):
                    at_s = self._rng.uniform(0, self._seconds)
                    nursery.start_soon(self._apply_at, at_s, self._draw())
            callers.cancel_scope.cancel()

    async def _operate(self, nursery):
        end_s = self._started_s + self._seconds
        while trio.current_time() < end_s:
            zone = self._rng.choice(ZONES)
            await self._order("start", zone, nursery)
            if self._rng.random() < _REPEATED_PART:
                await self._order("start", zone, nursery)
            if self._rng.random() >= _WITHDRAWN_PART:
                held_s = self._rng.uniform(0, _LONGEST_HOLD_S)
                await trio.sleep_until(min(end_s, trio.current_time() + held_s))
            if self._rng.random() < _ENDED_PART:
                await self._order("end", zone, nursery)

    async def _order(self, kind, zone, nursery=None):
        sent_s = trio.current_time()
        address = await trio.to_thread.run_sync(partial(self._send_order, kind, zone))
        acked_s = None if address is None else trio.current_time()
        self.orders.append(SentOrder(kind, zone, sent_s, acked_s))
        self._note(f"{kind} {zone}: {address or 'not acknowledged'}")
        if nursery is None or address is None or self._rng.random() >= _KILLED_PART:
            return address
        name = self._deployment.control_at(address)
        down_s = self._rng.uniform(0, _LONGEST_DOWN_S)
        nursery.start_soon(self._apply, Kill(name, round(down_s, 2)))
        return address

    def _send_order(self, kind, zone):
        """Order as the product's client does, in a thread; give who acknowledged."""
        session = Session(HttpTransport())
        addresses = self._deployment.control_addresses()
        session.entries = self._rng.sample(addresses, len(addresses))
        body = {"order": kind, "data_centre": zone}
        try:
            address, status, _ = session.order("POST", _PATH, body, _ACK_TIMEOUT_S)
        except EntryUnreachableError:
            return None
        return address if status == _OK else None

    def _draw(self):
        for_s = round(self._rng.uniform(0.3, _LONGEST_DOWN_S), 2)
        name = self._rng.choice(
            (*self._deployment.controls, *self._deployment.gateways)
        )
        return self._rng.choice(
            (Kill(name, for_s), Pause(name, for_s), ReturnCold(self._rng.choice(ZONES)))
        )

    @singledispatchmethod
    async def _apply(self, fault):
        raise TypeError(f"{fault!r} is no fault")

    @_apply.register
    async def _(self, fault: Kill | Pause):
        await self._process_faults.apply(fault)

    @_apply.register
    async def _(self, fault: ReturnCold):
        self._note(describe(fault))
        for engine in self._deployment.engines:
            if engine.zone == fault.zone:
                engine.return_cold()
        await trio.lowlevel.checkpoint()

    async def _calm(self):
        """End all evacuations, and see that each data centre gets requests again."""
        await self._deployment.wait_until_ready()
        faults = [
            f"{zone}: not acknowledged"
            for zone in ZONES
            if await self._order("end", zone) is None
        ]
        self.result.points.append(
            Point("after the faults: orders are acknowledged", faults)
        )
        await trio.sleep(_IN_FORCE_S)
        begun_s = trio.current_time()
        await self._check_answered()
        served = {
            e.zone for e in self._deployment.engines if e.arrivals[-1:] > [begun_s]
        }
        faults = [f"{zone}: none" for zone in ZONES if zone not in served]
        self.result.points.append(
            Point("after the end of its evacuation a data centre gets requests", faults)
        )

    def _check(self):
        faults, latest_s = [], 0.0
        for zone in ZONES:
            engines = [one for one in self._deployment.engines if one.zone == zone]
            arrivals = [at_s for one in engines for at_s in one.arrivals]
            after_s = arrivals_after(self.orders, zone, arrivals)
            latest_s = max([latest_s, *after_s])
            faults += [f"{zone}: {s:.2f} s after" for s in after_s if s > _IN_FORCE_S]
        self._note(f"latest arrival {latest_s:.3f} s after an acknowledgement")
        text = f"nothing arrives {_IN_FORCE_S:g} s after the acknowledgement"
        self.result.points.append(Point(text, faults))
