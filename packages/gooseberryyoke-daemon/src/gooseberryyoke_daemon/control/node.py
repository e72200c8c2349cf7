"""What a control process knows, and the calls by which entries follow it."""

import orjson
import trio
from xxhash import xxh3_64_hexdigest

from gooseberryyoke.membership.server_book import ServerBook, ServerState
from gooseberryyoke_daemon.control.presence import EntryPresence, Presences
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.paths import FOLLOW_PATH, SEATS_PATH
from gooseberryyoke_daemon.wire import bad_message_response, json_response

__all__ = ["ControlNode"]

_WAIT_S = 0.8
"""How long a follower's call is held when there is nothing new. Entries count as
gone after three such rounds."""
_GATHER_S = 0.2
"""Between two rounds of telling the followers. Without it, each of a hundred servers
that announce themselves at a start, or after the loss of everything, is told to each of
tens of followers by a call of its own, and nothing else is answered meanwhile. A
server's leaving must be in force in two seconds at all entries."""
_FORGET_S = 86_400.0
"""A server not heard of for so long is dropped. Entries use a silent server as long
as it answers them, and one that reports to another control process is heard of here
only when it changes, so that this is only to bound the memory."""
_LOOK_S = 600.0


class ControlNode:
    """
    Servers and entries as one control process hears of them.

    Parameters
    ----------
    keeper : SeatKeeper
    store : TableStore
    rng : random.Random

    Attributes
    ----------
    servers : ServerBook
    entries : Presences
    """

    def __init__(self, keeper, store, rng):
        self.servers = ServerBook()
        self.entries = Presences()
        self.store = store
        self._keeper = keeper
        self._life = f"{rng.getrandbits(64):016x}"
        self._changed = trio.Event()
        self._told = trio.Event()
        self._is_leaving = False

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Tell followers what changes, and forget old servers, until cancelled."""
        async with trio.open_nursery() as nursery:
            task_status.started()
            nursery.start_soon(self._tell_in_rounds)
            while True:
                await trio.sleep(_LOOK_S)
                for id in self.servers.forget_old(trio.current_time(), _FORGET_S):
                    log_event("server-forgotten", server=id, silent_s=_FORGET_S)

    async def _tell_in_rounds(self):
        while True:
            await self._changed.wait()
            self._changed = trio.Event()
            self._end_round()
            await trio.sleep(_GATHER_S)

    def _end_round(self):
        self._told.set()
        self._told = trio.Event()

    def leave(self):
        """Answer every held call at once: the process ends."""
        self._is_leaving = True
        self._end_round()

    def announce(self, entry):
        """
        Take a server's announcement.

        Parameters
        ----------
        entry : ServerEntry
        """
        known = self.servers.entries.get(entry.id)
        if not self.servers.take(entry, trio.current_time()):
            return
        is_news = known is None or known.state is not entry.state
        if is_news or known.place != entry.place:
            log_event(
                "server-announced",
                server=entry.id,
                address=entry.address,
                state=entry.state.value,
                born_ms=entry.born_ms,
                sequence=entry.sequence,
            )
        self._wake()

    def pass_on(self, entries):
        """
        Take over what another control process has heard.

        Parameters
        ----------
        entries : list of ServerEntry
        """
        now = trio.current_time()
        changes = [self.servers.take(entry, now) for entry in entries]
        if any(changes):
            self._wake()

    def end(self, id, born_ms):
        """
        Take a server's farewell.

        Parameters
        ----------
        id : str
        born_ms : int or None
        """
        if self.servers.end(id, born_ms, trio.current_time()):
            log_event("server-left", server=id, born_ms=born_ms)
            self._wake()

    def _wake(self):
        self._changed.set()

    async def handle(self, request):
        """
        Serve the calls of other processes.

        Parameters
        ----------
        request : Request

        Returns
        -------
        Response or None
            None if the path is another's.
        """
        serve = {FOLLOW_PATH: self._follow, SEATS_PATH: self._greet}.get(request.path)
        if serve is None:
            return None
        try:
            return json_response(200, await serve(orjson.loads(request.body)))
        except (AttributeError, KeyError, TypeError, ValueError) as exc:
            detail = f"{request.path}: {type(exc).__name__} {exc}"[:300]
            return bad_message_response(detail)

    async def _greet(self, payload):
        return self._keeper.hear(payload["address"], payload)

    async def _follow(self, payload):
        since = payload["since"] if payload["life"] == self._life else 0
        presence = payload.get("entry")
        name = None
        if presence is not None:
            presence = EntryPresence(**presence)
            name = presence.name
            if self.entries.hear(presence, trio.current_time()):
                log_event("entry-reported", entry=name, is_open=presence.is_open)
                self._wake()
        try:
            if payload["may_wait"] and not self._is_behind(payload, since):
                await self._wait_for_round()
        except trio.Cancelled:
            if name is not None:
                self.entries.broke_off(name, trio.current_time())
            raise
        changed = self.servers.since(since)
        view = self._view()
        digest = _digest(view)
        return {
            "life": self._life,
            "count": self.servers.count,
            "servers": [entry.to_json() for entry in changed],
            "digest": digest,
            # Sent only when it has changed: with 14 entries, 64 ranks and six control
            # processes, the calls that carried it both ways were 40 of 65 MB between
            # the system's processes in 35 s.
            "view": None if payload["view"] == digest else view,
        }

    def _view(self):
        there = self.entries.there(trio.current_time())
        entries = sorted(entry.as_list() for entry in there)
        return {"entries": entries, **self._keeper.say()}

    def _is_behind(self, payload, since):
        """Tell whether a follower has missed what an earlier round told."""
        if self._is_leaving:
            return True
        if self._changed.is_set():
            # The round that is due tells it.
            return False
        is_known = self.servers.count <= since
        return not is_known or payload["view"] != _digest(self._view())

    async def _wait_for_round(self):
        with trio.move_on_after(_WAIT_S):
            await self._told.wait()

    def count_ready(self):
        """Count the servers that take work."""
        entries = self.servers.entries.values()
        return sum(entry.state is ServerState.READY for entry in entries)


def _digest(view):
    return xxh3_64_hexdigest(orjson.dumps(view, option=orjson.OPT_SORT_KEYS))
