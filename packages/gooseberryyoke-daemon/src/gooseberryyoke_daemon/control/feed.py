"""The calls by which other processes follow what this one knows."""

import orjson
import trio
from xxhash import xxh3_64_hexdigest

from gooseberryyoke.membership.telling import DepartureTelling
from gooseberryyoke_daemon.control.presence import EntryPresence, Presences
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.paths import FOLLOW_PATH
from gooseberryyoke_daemon.wire import answer_json_call, json_response

__all__ = ["Feed"]

_MOST_WAIT_S = 2.0
_GATHER_S = 0.2
"""Between two rounds of telling the followers. Without it, each of a hundred servers
that announce themselves at a start, or after the loss of everything, is told to each of
tens of followers by a call of its own, and nothing else is answered meanwhile. A
server's leaving must be in force in two seconds at all entries."""


class Feed:
    """
    Tells of servers, entries, gateways, seats, evacuations and the newest table.

    A follower's call is held while there is nothing new, and answered with what has
    changed since its last one.

    Parameters
    ----------
    servers : ServerRegistry
    news : TableView
    evacuations : EvacuationView
    view : callable
        Gives a dict with ``entries``, ``heard``, ``seats`` and ``controls``.
    rng : random.Random
    gateways : GatewayListKeeper, optional
        Whose list followers are told.
    on_told : callable
        Takes the `Told` of each departure.

    Attributes
    ----------
    entries : Presences
        Of the followers that say who they are.
    """

    def __init__(
        self,
        servers,
        news,
        evacuations,
        view,
        rng,
        gateways=None,
        on_told=lambda told: None,
    ):
        self.entries = Presences()
        self._telling = DepartureTelling()
        self._on_told = on_told
        self._servers = servers
        self._news = news
        self._evacuations = evacuations
        self._gateways = gateways
        self._view = view
        self._life = f"{rng.getrandbits(64):016x}"
        self._changed = trio.Event()
        self._told = trio.Event()
        self._is_leaving = False

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Tell followers what changes, in rounds, until cancelled."""
        task_status.started()
        while True:
            await self._changed.wait()
            self._changed = trio.Event()
            self._end_round()
            await trio.sleep(_GATHER_S)

    def _end_round(self):
        self._told.set()
        self._told = trio.Event()

    def wake(self):
        """Tell followers of a change with the next round."""
        self._changed.set()

    def tell_departure(self, departure):
        """
        Tell followers of a departure with the next round, and log who has taken it.

        Parameters
        ----------
        departure : Departure
            That was recorded last.
        """
        now = trio.current_time()
        self._telling.add(departure, self._servers.change_count, now)
        self.wake()

    def leave(self):
        """Answer every held call at once: the process ends."""
        self._is_leaving = True
        self._end_round()

    async def handle(self, request):
        """
        Serve followers' calls.

        Parameters
        ----------
        request : Request

        Returns
        -------
        Response or None
            None if the path is another's.
        """
        if request.path != FOLLOW_PATH:
            return None
        return await answer_json_call(request, self._follow)

    async def _follow(self, payload):
        since = payload["since"] if payload["life"] == self._life else 0
        name = self._hear(payload.get("entry"))
        asked_s = trio.current_time()
        self._note_taken(name or payload.get("follower"), since, asked_s)
        if payload.get("wants_gateways") and self._gateways is not None:
            self._gateways.want()
        if payload["wait_ms"] and not self._is_behind(payload, since):
            await self._hold(payload["wait_ms"] / 1000, name)
        changed = self._servers.changed_since(since)
        view = self._view()
        digest = _digest(view)
        answer = {
            "life": self._life,
            "count": self._servers.change_count,
            "servers": [entry.to_json() for entry in changed],
            "cold": self._servers.cold_reports(changed, trio.current_time()),
            "departures": [d.to_json() for d in self._servers.departures.since(since)],
            "digest": digest,
            "table": self._news.to_json(trio.current_time()),
            "evacuation": self._evacuations.to_json(trio.current_time()),
            "held_ms": int(1000 * (trio.current_time() - asked_s)),
            # Sent only when it has changed: it names every entry.
            "view": None if payload["view"] == digest else view,
        }
        # A follower of an earlier release would be told all names each time.
        if self._gateways is not None and "gateways" in payload:
            answer["gateways"] = self._gateways.news.to_json(
                trio.current_time(), payload["gateways"]
            )
        return json_response(200, answer)

    def _note_taken(self, follower, change_count, now):
        """Note what a follower has; one of an earlier release may not say who it is."""
        if not isinstance(follower, str):
            return
        for told in self._telling.hear(follower, change_count, now):
            self._on_told(told)
            log_event(
                "departure-told",
                level="warning" if told.missing else "info",
                server=told.departure.id,
                born_ms=told.departure.born_ms,
                after_ms=round(1000 * told.after_s),
                followers=told.told,
                missing=told.missing,
            )

    async def _hold(self, wait_s, name):
        """Wait for the next round; notes if the entry that asks breaks off."""
        try:
            with trio.move_on_after(min(wait_s, _MOST_WAIT_S)):
                await self._told.wait()
        except trio.Cancelled:
            if name is not None:
                self.entries.broke_off(name, trio.current_time())
            raise

    def _hear(self, packed):
        if packed is None:
            return None
        presence = EntryPresence(**packed)
        if self.entries.hear(presence, trio.current_time()):
            log_event("entry-reported", entry=presence.name, is_open=presence.is_open)
            self.wake()
        return presence.name

    def _is_behind(self, payload, since):
        """Tell whether a follower has missed what an earlier round told."""
        if self._is_leaving:
            return True
        if self._changed.is_set():
            # The round that is due tells it.
            return False
        if self._servers.change_count > since or payload["table"] != self._news.version:
            return True
        # A follower of an earlier release doesn't tell.
        revision = self._evacuations.revision
        if payload.get("evacuation", revision) != revision:
            return True
        if self._gateways is not None and self._gateways.is_behind(payload):
            return True
        return payload["view"] != _digest(self._view())


def _digest(view):
    return xxh3_64_hexdigest(orjson.dumps(view, option=orjson.OPT_SORT_KEYS))
