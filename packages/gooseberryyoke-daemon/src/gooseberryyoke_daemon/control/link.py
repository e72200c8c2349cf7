"""The calls by which a process follows every control process."""

from random import Random

import trio

from gooseberryyoke.membership.server_book import ServerEntry
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.paths import FOLLOW_PATH
from gooseberryyoke_daemon.wire import Address, WireError

__all__ = ["ControlLinks"]

_CALL_TIMEOUT_S = 1.6
"""Twice the time for which a control process holds a call."""
_RETRY_S = 0.25
_SLOWEST_RETRY_S = 2.0
"""After calls that ran into their time limit one after the other."""
_FORGET_S = 20.0
"""A control process that never answers is asked for so long, unless it is a seed."""


class ControlLinks:
    """
    Follows all control processes that are known, each by a call of its own.

    Each is followed: a server's farewell is acknowledged by one of them alone, and
    must be known here soon after.

    Parameters
    ----------
    client : HttpClient
    contacts : callable
        Gives the addresses of the settings.
    seats : SeatMap
    on_servers : callable
        Takes the list of `ServerEntry` that have changed.
    on_seats : callable
        Called when the seats have changed.
    presence : callable, optional
        Gives the fields of this process's `EntryPresence`.
    on_entries : callable, optional
        Takes the address of a control process, and the entries that it knows.
    most : int, optional
        Control processes that are followed at a time. One is enough for a process
        to which a server's leaving may come a little late.
    own_address : str, optional
        Of this process, if it is a control process itself.
    """

    def __init__(
        self,
        client,
        contacts,
        seats,
        on_servers,
        on_seats,
        presence=lambda: None,
        on_entries=lambda address, entries: None,
        most=None,
        own_address=None,
    ):
        self._own_address = own_address
        self._on_entries = on_entries
        self._most = most
        self._client = client
        self._contacts = contacts
        self._seats = seats
        self._on_servers = on_servers
        self._on_seats = on_seats
        self._presence = presence
        self._rng = Random()
        self._followed = set()
        self._heard = set()
        self._wakers = {}
        self._entries = {}

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Follow until cancelled."""
        async with trio.open_nursery() as nursery:
            task_status.started()
            while True:
                known = set(self._contacts()) | self._heard
                known |= self._seats.addresses()
                known.discard(self._own_address)
                for address in self._missing(known):
                    self._followed.add(address)
                    nursery.start_soon(self._follow, address)
                await trio.sleep(_RETRY_S)

    def _missing(self, known):
        missing = sorted(known - self._followed)
        if self._most is None:
            return missing
        # Spread over the control processes, and another one after each failure.
        self._rng.shuffle(missing)
        return missing[: max(0, self._most - len(self._followed))]

    def report_now(self):
        """Tell all control processes of a changed presence without waiting."""
        for waker in self._wakers.values():
            waker.cancel()

    async def _follow(self, address):
        life, count, digest, is_reached = "", 0, "", None
        pause_s = _RETRY_S
        answered_s = trio.current_time()
        target = Address.parse(address)
        while True:
            payload = {
                "life": life,
                "since": count,
                "view": digest,
                "may_wait": bool(is_reached),
            }
            called_s = trio.current_time()
            reply = await self._call(target, payload)
            if reply is not None:
                pause_s = _RETRY_S
                life, count = reply["life"], reply["count"]
                digest = reply["digest"]
                answered_s = trio.current_time()
            elif self._gives_up(answered_s):
                break
            if (reply is not None) != is_reached:
                is_reached = reply is not None
                event = "control-reached" if is_reached else "control-lost"
                log_event(event, level="warning", address=address)
            if reply is None:
                if trio.current_time() - called_s >= _CALL_TIMEOUT_S:
                    pause_s = min(2 * pause_s, _SLOWEST_RETRY_S)
                await trio.sleep(pause_s * self._rng.uniform(0.5, 1.0))
        self._heard.discard(address)
        self._followed.discard(address)
        self._entries.pop(address, None)

    def _gives_up(self, answered_s):
        # With others to follow, one that doesn't answer is left at once.
        limit_s = _FORGET_S if self._most is None else 0.0
        return trio.current_time() - answered_s > limit_s

    async def _call(self, target, payload):
        presence = self._presence()
        if presence is not None:
            payload["entry"] = presence
        with trio.CancelScope() as self._wakers[target]:
            try:
                reply = await self._client.json(
                    "POST",
                    target,
                    FOLLOW_PATH,
                    payload,
                    timeout_s=_CALL_TIMEOUT_S,
                    repeatable=True,
                )
                self._take(str(target), reply.payload)
                return reply.payload
            except WireError:
                return None
            except (AttributeError, KeyError, TypeError, ValueError) as exc:
                log_event("reply-unreadable", level="warning", why=str(exc)[:200])
                return None
        # Woken to report at once; the next call says what has changed.
        return await self._call(target, {**payload, "may_wait": False})

    def _take(self, address, payload):
        servers = [ServerEntry.from_json(packed) for packed in payload["servers"]]
        if payload["view"] is not None:
            self._take_view(address, payload["view"])
        # Also an unchanged list is news: it is as fresh as this reply.
        self._on_entries(address, self._entries.get(address, []))
        if servers:
            self._on_servers(servers)

    def _take_view(self, address, view):
        self._heard.update(view["controls"])
        if self._seats.merge(view["seats"]):
            log_event("seats-changed", seats=self._seats.to_json())
            self._on_seats()
        self._entries[address] = view["entries"]
