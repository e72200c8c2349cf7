"""The calls by which a process follows others."""

import trio

from gooseberryyoke.membership.cold_report import ColdReport
from gooseberryyoke.membership.following import FollowAll
from gooseberryyoke.membership.server_registry import ServerEntry
from gooseberryyoke.record import Record
from gooseberryyoke_daemon.departures import decode_departures
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.paths import FOLLOW_PATH
from gooseberryyoke_daemon.wire import Address, WireError

__all__ = ["Links", "Listener"]

_WAIT_S = 0.8
"""How long a call is held when there is nothing new. Entries count as gone after three
such rounds."""
_ANSWER_S = 0.8
"""For the answer, beside the time for which a call is held."""
_RETRY_S = 0.25
_SLOWEST_RETRY_S = 2.0
"""After calls that ran into their time limit one after the other."""
_FORGET_S = 20.0
"""One that never answers is asked for so long, unless it is a contact."""


class Listener:
    """Takes what the followed processes tell; each method does nothing by default."""

    def servers(self, entries):
        """Take the `ServerEntry` that have changed."""

    def departures(self, departures):
        """Take each `Departure` that was recorded since; before the servers."""

    def seats(self):
        """Take notice that the seats have changed."""

    def entries(self, address, entries, heard):
        """
        Take the entries that a process knows, also if they have not changed.

        Parameters
        ----------
        address : str
            Of the process that tells.
        entries : list of list
            The fields of `EntryPresence`.
        heard : list of str
            Names of those that report to it, and not to another that told it.
        """

    def table(self, packed, told_s):
        """Take what a process knew of the newest table at a time; see `TableView`."""

    def evacuation(self, packed, told_s):
        """
        Take what a process knew of evacuated data centres at a time.

        Parameters
        ----------
        packed : object
            See `EvacuationView.to_json`; not checked yet, and None from a process of
            an earlier release.
        told_s : float
        """

    def gateways(self, packed, told_s):
        """
        Take what a process knew of the durable list of gateways at a time.

        Parameters
        ----------
        packed : object
            See `GatewayListView.to_json`; not checked yet, and None from a process of
            an earlier release, or one that keeps no list.
        told_s : float
        """

    def wants_gateways(self):
        """Tell whether a list of gateways is asked for that was confirmed lately."""
        return False

    def presence(self):
        """Give the fields of this process's `EntryPresence`, or None."""


class Links:
    """
    Follows some of the processes that are known, each by a call of its own.

    Parameters
    ----------
    client : HttpClient
    contacts : callable
        Gives the addresses of the settings.
    seats : SeatMap
    listener : Listener
    rng : random.Random
    plan : FollowAll, FollowMajority or FollowParent, optional
        Chooses whom to follow.
    own_address : str, optional
        Of this process, if others may follow it.
    wait_s : float
        For which a call may be held.
    """

    def __init__(
        self,
        client,
        contacts,
        seats,
        listener,
        rng,
        plan=None,
        own_address=None,
        wait_s=_WAIT_S,
    ):
        self._own_address = own_address
        self._client = client
        self._contacts = contacts
        self._seats = seats
        self._listener = listener
        self._rng = rng
        self._plan = plan or FollowAll()
        self._wait_s = wait_s
        self._call_timeout_s = wait_s + _ANSWER_S
        self._followed = {}
        self._heard = {}
        self._wakers = {}
        self._entries = {}
        self._reports = 0

    @property
    def parent(self):
        """Address of a followed process that answers, or None."""
        reached = [a for a, is_reached in self._followed.items() if is_reached]
        return min(reached, default=None)

    def controls(self):
        """
        List the control processes that were told of.

        Returns
        -------
        list of str
        """
        return sorted(set().union(*self._heard.values()))

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Follow until cancelled."""
        async with trio.open_nursery() as nursery:
            task_status.started()
            while True:
                for address in sorted(self._wanted() - self._followed.keys()):
                    self._followed[address] = None
                    nursery.start_soon(self._follow, address)
                await trio.sleep(_RETRY_S)

    def _wanted(self):
        known = set(self._contacts()).union(*self._heard.values())
        known |= self._seats.addresses()
        known.discard(self._own_address)
        return self._plan.select(known, trio.current_time())

    def report_now(self):
        """Tell all followed processes of a changed presence without waiting."""
        self._reports += 1
        for waker in self._wakers.values():
            waker.cancel()

    async def _follow(self, address):
        seen, target = _Seen(), Address.parse(address)
        pause_s = _RETRY_S
        answered_s = trio.current_time()
        reports = self._reports
        while address in self._wanted():
            called_s = trio.current_time()
            # One that is to report at once wants an answer at once.
            wait_s = self._wait_s if reports == self._reports else 0.0
            reports = self._reports
            told = await self._call(target, seen.to_json(wait_s))
            self._note_reached(address, told is not None)
            if told is not None:
                seen = told
                pause_s = _RETRY_S
                answered_s = trio.current_time()
                continue
            if trio.current_time() - answered_s > _FORGET_S:
                break
            if trio.current_time() - called_s >= self._call_timeout_s:
                pause_s = min(2 * pause_s, _SLOWEST_RETRY_S)
            if reports == self._reports:
                with trio.CancelScope() as self._wakers[address]:
                    await trio.sleep(pause_s * self._rng.uniform(0.5, 1.0))
        self._forget(address)

    def _note_reached(self, address, is_reached):
        if is_reached != self._followed[address]:
            event = "control-reached" if is_reached else "control-lost"
            log_event(event, level="warning", address=address)
        self._followed[address] = is_reached
        if is_reached:
            self._plan.answered(address)
        else:
            self._plan.failed(address, trio.current_time())

    def _forget(self, address):
        del self._followed[address]
        self._heard.pop(address, None)
        self._entries.pop(address, None)
        self._wakers.pop(address, None)

    async def _call(self, target, payload):
        presence = self._listener.presence()
        if presence is not None:
            payload["entry"] = presence
        if self._own_address is not None:
            payload["follower"] = self._own_address
        if self._listener.wants_gateways():
            payload["wants_gateways"] = True
        asked_s = trio.current_time()
        with trio.CancelScope() as self._wakers[str(target)]:
            try:
                reply = await self._client.json(
                    "POST",
                    target,
                    FOLLOW_PATH,
                    payload,
                    timeout_s=self._call_timeout_s,
                    repeatable=True,
                )
                self._take(str(target), reply.payload, asked_s)
                return _Seen.of(reply.payload)
            except WireError:
                return None
            except (AttributeError, KeyError, TypeError, ValueError) as exc:
                log_event("reply-unreadable", level="warning", why=str(exc)[:200])
                return None
        # Woken to report at once; the next call says what has changed.
        return await self._call(target, {**payload, "wait_ms": 0})

    def _take(self, address, payload, asked_s):
        servers = [ServerEntry.from_json(packed) for packed in payload["servers"]]
        # Processes of earlier releases send none.
        words = payload.get("cold", {})
        servers = [entry.replace(cold=_cold_word(entry, words)) for entry in servers]
        if payload["view"] is not None:
            self._take_view(address, payload["view"])
        # Not later than the answer was made, by this process's clock.
        told_s = asked_s + payload["held_ms"] / 1000
        # Before the table: with the first one, requests may be sent.
        self._listener.evacuation(payload.get("evacuation"), told_s)
        self._listener.table(payload["table"], told_s)
        # Also an unchanged list is news: it is as fresh as this reply.
        self._listener.entries(address, *self._entries.get(address, ([], [])))
        # After the entries: a listed gateway may send from then on.
        self._listener.gateways(payload.get("gateways"), told_s)
        # Before the servers: a process may know one as ready that has departed.
        departures = decode_departures(payload.get("departures"))
        if departures:
            self._listener.departures(departures)
        if servers:
            self._listener.servers(servers)

    def _take_view(self, address, view):
        self._heard[address] = set(view["controls"])
        if self._seats.merge(view["seats"]):
            log_event("seats-changed", seats=self._seats.to_json())
            self._listener.seats()
        self._entries[address] = (view["entries"], view["heard"])


def _cold_word(entry, words):
    """Read the word on one server; one that can't be read must not hide the server."""
    try:
        packed = words.get(entry.id)
        return None if packed is None else ColdReport.from_json(packed)
    except (AttributeError, TypeError, ValueError) as exc:
        log_event(
            "cold-word-unreadable",
            level="warning",
            server=entry.id,
            why=str(exc)[:200],
        )
        return None


class _Seen(Record):
    """What a followed process has told so far: it tells only what came since."""

    __slots__ = ("life", "count", "digest", "version", "revision", "gateways")

    def __init__(
        self,
        life="",
        count=0,
        digest="",
        version=None,
        revision=None,
        gateways=None,
    ):
        self.revision = revision
        self.gateways = gateways
        self.life = life
        self.count = count
        self.digest = digest
        self.version = version

    @classmethod
    def of(cls, reply):
        table = reply["table"]
        version = None if table is None else table[0]
        return cls(
            reply["life"],
            reply["count"],
            reply["digest"],
            version,
            _revision(reply.get("evacuation")),
            _revision(reply.get("gateways")),
        )

    def to_json(self, wait_s):
        # The first call of all is answered at once.
        return {
            "life": self.life,
            "since": self.count,
            "view": self.digest,
            "table": self.version,
            "evacuation": self.revision,
            "gateways": self.gateways,
            "wait_ms": round(1000 * wait_s) if self.life else 0,
        }


def _revision(packed):
    # Also a malformed one is sent back: its sender would answer at once for ever.
    return packed[0] if isinstance(packed, list) and packed else None
