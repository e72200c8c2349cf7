"""One run: parts and requests that engines end on, while processes die too."""

from contextlib import suppress
from functools import singledispatchmethod
from random import Random

import trio

from examples.demonstration.report import Point
from gooseberryyoke.record import Record
from gooseberryyoke_daemon.wire import WireError
from gooseberryyoke_platform.names import HEADERS
from tools.soak.crashing_engine import (
    HARMFUL,
    CrashingEngine,
    harmful_path,
    stream_body,
)
from tools.soak.faults import Kill, Pause
from tools.soak.routed_deployment import RoutedDeployment
from tools.soak.routed_soak import RoutedSoak

__all__ = ["CrashSoak", "EndEngine", "late_arrivals", "sent_on"]

_REQUESTS_A_SECOND = 30
_CALM_REQUESTS = 60
_SHARED_PARTS = ("system", "rules", "draft1", "draft2", "draft3")
_READ_PART = 0.3
"""Of the requests; the others are streams."""
_DEADLINE_MS = 4000
_CALL_S = 8.0
_FAULTS_A_SECOND = 0.5
_LONGEST_DOWN_S = 3.0
_GATEWAY_REST_S = 3.0
"""What gateways know of parts is nowhere durable: it has to be told to one that has
returned before another one is out."""
_LARGEST_BURST = 8
_BURST_S = 0.6
_BETWEEN_BURSTS_S = (0.3, 2.5)
_SETTLE_S = 4.5
"""Longer than an engine is down, and known as down."""
_LEARN_ENDS = 5
_LEARN_S = 3.0
_MOST_LATE = 3
_MOST_REQUEST_ENDS = 3
"""Engines that one request may end; none is sent it after them."""
_TRIES = (3, 6)
_TRY_PAUSES_S = (0.0, 0.3, 1.5)
_EVENTS_BEFORE_END = (0, 1, 10)
"""After ten events the answer has proven the parts of its prompt."""
_BETWEEN_REQUESTS_S = (1.0, 4.0)
_OK = 200


class EndEngine(Record):
    """An engine ends for a reason that lies in no request."""

    __slots__ = ("number",)

    def __init__(self, number):
        self.number = number


def late_arrivals(ends_s, arrivals_s):
    """
    Tell which requests reached engines although their part was known to end these.

    Parameters
    ----------
    ends_s, arrivals_s : list of float
        When engines ended for the part, and when requests with it arrived, in any
        order.

    Returns
    -------
    list of float
        Seconds since the fifth end, of the arrivals later than 3 s after it.
    """
    if len(ends_s) < _LEARN_ENDS:
        return []
    fifth_s = sorted(ends_s)[_LEARN_ENDS - 1]
    return [at - fifth_s for at in sorted(arrivals_s) if at - fifth_s > _LEARN_S]


def _prompt(parts):
    return HEADERS.prompt_parts, ",".join(f"{part}:40" for part in parts)


def sent_on(ends_s, arrivals_s):
    """
    Tell when a request reached engines after it had ended three.

    Parameters
    ----------
    ends_s, arrivals_s : list of float
        When engines ended for the request, and when it arrived, in any order.

    Returns
    -------
    list of float
        Seconds since the third end.
    """
    if len(ends_s) < _MOST_REQUEST_ENDS:
        return []
    third_s = sorted(ends_s)[_MOST_REQUEST_ENDS - 1]
    return [at - third_s for at in sorted(arrivals_s) if at > third_s]


class CrashSoak(RoutedSoak):
    """
    Runs one seed.

    Parameters
    ----------
    folder : pathlib.Path
        Must not exist.
    seed : int
        Of the bursts, faults and requests.
    seconds : float
        For which faults come.
    known_requests : int
        Sound requests before these, by which gateways know sound parts as such.

    Attributes
    ----------
    harmful_ends : list of float
        When engines ended for the part, once the run is over.
    """

    def __init__(self, folder, seed, seconds, known_requests=0):
        rng = Random(f"{seed} crashes")
        super().__init__(folder, seed, seconds, rng, _GATEWAY_REST_S)
        self.harmful_ends = []
        self._asked = 0
        self._untrue = []
        self._known_requests = known_requests

    def _make_deployment(self):
        return RoutedDeployment(self._folder, self._seed, CrashingEngine)

    async def _prepare(self):
        await self._send_sound(self._known_requests, [])

    async def _storm(self):
        answered = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._burst_until, self._seconds)
            nursery.start_soon(self._send_harmful_requests)
            for _ in range(round(self._seconds * _FAULTS_A_SECOND)):
                at_s = self._rng.uniform(0, self._seconds)
                nursery.start_soon(self._apply_at, at_s, self._draw())
            count = round(self._seconds * _REQUESTS_A_SECOND)
            nursery.start_soon(self._send_sound, count, answered)
        self._note(f"{sum(answered)} of {len(answered)} sound requests answered")

    def _draw(self):
        for_s = round(self._rng.uniform(0.3, _LONGEST_DOWN_S), 2)
        name = self._rng.choice(
            (*self._deployment.controls, *self._deployment.gateways)
        )
        number = self._rng.randrange(len(self._deployment.engines))
        return self._rng.choice(
            (Kill(name, for_s), Pause(name, for_s), EndEngine(number))
        )

    @singledispatchmethod
    async def _apply(self, fault):
        raise TypeError(f"{fault!r} is no fault")

    @_apply.register
    async def _(self, fault: Kill | Pause):
        await self._process_faults.apply(fault)

    @_apply.register
    async def _(self, fault: EndEngine):
        engine = self._deployment.engines[fault.number]
        self._note(f"end {engine.id}")
        engine.end()
        await trio.lowlevel.checkpoint()

    async def _burst_until(self, seconds):
        async with trio.open_nursery() as nursery:
            while trio.current_time() < self._started_s + seconds:
                count = self._rng.randint(1, _LARGEST_BURST)
                self._note(f"{count} requests with the part")
                for _ in range(count):
                    after_s = self._rng.uniform(0, _BURST_S)
                    nursery.start_soon(self._send_harmful, after_s)
                await trio.sleep(self._rng.uniform(*_BETWEEN_BURSTS_S))

    async def _send_harmful(self, after_s):
        await trio.sleep(after_s)
        await self._ask([*self._rng.sample(_SHARED_PARTS, 2), HARMFUL])

    async def _send_harmful_requests(self):
        """Send requests that end engines, each several times without patience."""
        async with trio.open_nursery() as nursery:
            while trio.current_time() < self._started_s + self._seconds:
                nursery.start_soon(self._try_harmful)
                await trio.sleep(self._rng.uniform(*_BETWEEN_REQUESTS_S))

    async def _try_harmful(self):
        self._asked += 1
        kind = self._rng.choice(("read", "draw"))
        events = self._rng.choice(_EVENTS_BEFORE_END) if kind == "draw" else 0
        path = harmful_path(kind, self._asked, events)
        parts = [*self._rng.sample(_SHARED_PARTS, 2), f"own{self._asked}"]
        headers = self._rng.choice(([], [_prompt(parts)]))
        pause_s = self._rng.choice(_TRY_PAUSES_S)
        for _ in range(self._rng.randint(*_TRIES)):
            with trio.move_on_after(_CALL_S), suppress(WireError):
                await self._deployment.call(path, _DEADLINE_MS, headers)
            await trio.sleep(pause_s)

    async def _send_sound(self, count, answered):
        async def ask():
            answered.append(await self._ask(self._rng.sample(_SHARED_PARTS, 2)))

        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(ask)
                await trio.sleep(1 / _REQUESTS_A_SECOND)

    async def _ask(self, parts):
        """Send a request, check what ends as complete, and tell if it was answered."""
        self._asked += 1
        kind = "read" if self._rng.random() < _READ_PART else "draw"
        path = f"/{kind}/{self._asked}"
        headers = [_prompt([*parts, f"own{self._asked}"])]
        with trio.move_on_after(_CALL_S):
            try:
                status, body = await self._deployment.call(path, _DEADLINE_MS, headers)
            except WireError:
                return False
            if status == _OK and kind == "draw" and body != stream_body(path):
                self._untrue.append(f"{path}: {len(body)} bytes, {body[-40:]!r}")
            return status == _OK
        return False

    async def _calm(self):
        """Send sound requests, and the part all the while, to engines that are back."""
        for engine in self._deployment.engines:
            engine.is_calm = True
        await self._deployment.wait_until_ready()
        await trio.sleep(_SETTLE_S)
        answered = []
        until_s = trio.current_time() - self._started_s
        until_s += _CALM_REQUESTS / _REQUESTS_A_SECOND
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._burst_until, until_s)
            nursery.start_soon(self._send_sound, _CALM_REQUESTS, answered)
        count = sum(answered)
        faults = [f"{count} of {_CALM_REQUESTS}"] * (count < _CALM_REQUESTS)
        self.result.points.append(
            Point("after the faults: sound requests are answered", faults)
        )

    def _check(self):
        engines = self._deployment.engines
        ends = [at_s for engine in engines for at_s in engine.harmful_ends]
        self.harmful_ends = ends
        arrivals = [at_s for engine in engines for at_s in engine.harmful_arrivals]
        late = late_arrivals(ends, arrivals)
        self._note(
            f"{len(arrivals)} requests with the part arrived, {len(ends)} engines "
            f"ended for it, {len(late)} arrived late"
        )
        faults = [f"{after_s:.2f} s after the fifth end" for after_s in late]
        self.result.points += [
            Point(
                f"{_MOST_LATE} requests with the part arrive {_LEARN_S:g} s after its "
                f"end number {_LEARN_ENDS}, at most",
                faults if len(late) > _MOST_LATE else [],
            ),
            Point("a stream that ends as complete is complete", self._untrue),
            self._check_requests(),
        ]

    def _check_requests(self):
        engines, faults, most = self._deployment.engines, [], 0
        paths = {path for engine in engines for path in engine.request_arrivals}
        for path in sorted(paths):
            ends = [at for engine in engines for at in engine.request_ends[path]]
            arrivals = [
                at for engine in engines for at in engine.request_arrivals[path]
            ]
            most = max(most, len(ends))
            for after_s in sent_on(ends, arrivals):
                faults.append(f"{path}: {after_s:.2f} s after the third end")
        self._note(f"{len(paths)} harmful requests, {most} ends of one at most")
        title = (
            f"a request is sent to no engine after it has ended {_MOST_REQUEST_ENDS}"
        )
        return Point(title, faults)
