"""Gateways tell each other how many requests they have at each server."""

from functools import partial

import orjson
import trio

from gooseberryyoke.membership.relays import remote_receivers
from gooseberryyoke_daemon.gateway.load_news import (
    Hop,
    LoadNews,
    pack_datagrams,
    split_words,
)
from gooseberryyoke_daemon.gateway.recent_gateways import RecentGateways
from gooseberryyoke_daemon.gateway.slot_news import SlotNews
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.wire import Address

__all__ = ["LoadSharing"]

_TELL_S = 0.1
"""Between two datagrams. A gateway begins some ten requests a second; without news of
the others, four gateways send to the same free place."""
_TELL_ALL_S = 1.0
_HEARD_S = 1.2
"""A relay sends news at least each second."""
_MOST_PEERS = 32
"""Beyond this many gateways of a data centre each tells only some, and the servers' own
reports have to do for the rest."""
_MOST_ANNOUNCED_TO = 64
"""Among more gateways nothing is announced, and reports have to do: announcements of
all to all grow with the square of their number."""
_MOST_REFUSED = 100
"""Senders whose reports were refused are each logged once in a run."""


_NAMED_HOPS = (Hop.BETWEEN, Hop.ANNOUNCED)
"""Whose senders or receivers are looked up among the gateways that are there."""


class LoadSharing:
    """
    Sends own counts to the other gateways and takes theirs.

    News goes straight to the gateways of the same data centre. Two of each data centre
    gather it and pass it on to two of each other one, which tell their neighbours: sent
    by each gateway to each, it would be most of what crosses between data centres.

    Parameters
    ----------
    presence : callable
        Gives this gateway's own `EntryPresence`.
    there : callable
        Gives the gateways that are there by name, this one included.
    peers : Peers
    endpoint : UdpEndpoint
        At the internal address of this gateway.
    use_names : callable, optional
        Takes the names of those that are there, before each round.
    slot_news : SlotNews, optional
        What is announced between two rounds.
    crash_news : CrashNews, optional
        Parts of prompts that servers ended under.
    """

    def __init__(
        self,
        presence,
        there,
        peers,
        endpoint,
        use_names=lambda names: None,
        slot_news=None,
        crash_news=None,
    ):
        self._slot_news = slot_news or SlotNews()
        self._crash_news = crash_news
        self._use_names = use_names
        self._presence = presence
        self._there = there
        self._recent = RecentGateways(presence, there)
        self._peers = peers
        self._endpoint = endpoint
        self._told = {}
        self._told_backoffs = {}
        self._gathered = {}
        self._heard_s = {}
        self._told_waiting = None
        self._refused = set()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Tell and listen until cancelled."""
        await self._endpoint.open()
        task_status.started()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._listen)
                nursery.start_soon(self._tell)
                nursery.start_soon(self._slot_news.run, self._announce)
                if self._crash_news is not None:
                    run, others = self._crash_news.run, self._recent.others
                    nursery.start_soon(run, self._tell_crashes, others)
        finally:
            self._endpoint.close()

    async def _announce(self, counts):
        receivers = self._others(self._there())
        if len(receivers) <= _MOST_ANNOUNCED_TO:
            news = LoadNews(self._presence().name, counts, False, {}, {})
            await self._send(Hop.ANNOUNCED, receivers, [news])

    async def _tell_crashes(self, receivers, records):
        own = orjson.dumps(self._presence().name)
        data = b"[%d,%s,%s]" % (Hop.CRASHES, own, orjson.dumps(records))
        for receiver in receivers:
            await self._send_to(receiver, data)

    async def _take_crashes(self, sender, records):
        other = self._recent.find(sender)
        if other is None and not self._recent.may_be_new(sender):
            self._refuse(sender, "ends of servers told by an unknown gateway")
        elif self._crash_news is not None:
            # One that it was not told of has no address yet to be answered at.
            tell = partial(self._tell_crashes, [] if other is None else [other])
            await self._crash_news.take(sender, records, tell)

    async def _tell(self):
        told_all_s = float("-inf")
        while True:
            await trio.sleep(_TELL_S)
            there = self._there()
            self._use_names(there.keys())
            is_all = trio.current_time() - told_all_s >= _TELL_ALL_S
            if is_all:
                told_all_s = trio.current_time()
                self._peers.use_names(there.keys())
            others = self._others(there)
            self._peers.expect(len(others))
            near = self._near(others)
            for news in self._own_news(is_all):
                self._gather(news)
                await self._send(Hop.OWN, near, [news])
            await self._pass_far(others)

    def _own_news(self, is_all):
        counts = self._peers.own_counts()
        repeated = self._slot_news.report(counts)
        changed = counts if is_all else self._changed(counts) | repeated
        self._told = counts
        name = self._presence().name
        group_limits = self._peers.group_limits.new_figures()
        waiting = self._new_waiting()
        if changed or is_all or group_limits or waiting is not None:
            yield LoadNews(name, changed, is_all, {}, {}, waiting, group_limits)
        for limits in split_words(self._peers.told_limits() if is_all else {}):
            yield LoadNews(name, {}, False, limits, {})
        for backoffs in split_words(self._new_backoffs(is_all)):
            yield LoadNews(name, {}, False, {}, backoffs)

    def _new_waiting(self):
        """Give who waits here, or None if nobody does and that was told before."""
        waiting = {
            service: sorted(levels.items())
            for service, levels in self._peers.own_waiting().items()
        }
        told, self._told_waiting = self._told_waiting, waiting
        return waiting if waiting or told else None

    def _new_backoffs(self, is_all):
        """Give what is left of pauses, of those that have just begun or of all."""
        ends_s, told = self._peers.own_backoffs(), self._told_backoffs
        self._told_backoffs = ends_s
        now = trio.current_time()
        return {
            id: round(1000 * (end_s - now))
            for id, end_s in ends_s.items()
            if is_all or told.get(id) != end_s
        }

    def _changed(self, counts):
        changed = {
            id: count for id, count in counts.items() if self._told.get(id) != count
        }
        changed.update(dict.fromkeys(set(self._told) - set(counts), 0))
        return changed

    def _others(self, there):
        own = self._presence().name
        return [e for e in there.values() if e.name != own and e.is_open]

    def _near(self, others):
        data_centre = self._presence().data_centre
        near = [entry for entry in others if entry.data_centre == data_centre]
        return sorted(near, key=lambda entry: entry.name)[:_MOST_PEERS]

    def _far(self, others):
        own = self._presence()
        there = [own, *others]
        return remote_receivers(own.name, there, own.data_centre, self._is_heard)

    def _is_heard(self, name):
        heard_s = self._heard_s.get(name, float("-inf"))
        return trio.current_time() - heard_s < _HEARD_S

    def _gather(self, news):
        before = self._gathered.get(news.gateway)
        self._gathered[news.gateway] = before.followed_by(news) if before else news

    async def _pass_far(self, others):
        gathered, self._gathered = list(self._gathered.values()), {}
        receivers = self._far(others)
        if gathered and receivers:
            await self._send(Hop.BETWEEN, receivers, gathered)

    async def _send(self, hop, receivers, news):
        for data in pack_datagrams(hop, self._presence().name, news):
            for receiver in receivers:
                await self._send_to(receiver, data)

    async def _send_to(self, receiver, data):
        try:
            await self._endpoint.send(Address.parse(receiver.internal), data)
        except OSError as exc:
            log_event(
                "share-unsent",
                level="debug",
                host=receiver.internal,
                why=str(exc),
            )

    def _is_other(self, name, there):
        return name in there and name != self._presence().name

    def _refuse(self, gateway, why):
        if gateway not in self._refused and len(self._refused) < _MOST_REFUSED:
            self._refused.add(gateway)
            name = str(gateway)[:100]
            log_event("share-refused", level="warning", gateway=name, why=why)

    async def _listen(self):
        while True:
            try:
                hop, sender, packed = orjson.loads(await self._endpoint.receive())
                if hop == Hop.CRASHES:
                    await self._take_crashes(sender, packed)
                    continue
                news = [LoadNews.from_json(item) for item in packed]
                # Asked once: it takes longer than all else in a datagram.
                is_needed = hop in _NAMED_HOPS or any(n.needs_sender for n in news)
                there = self._there() if is_needed else {}
                for item in news:
                    self._take(item, hop, there)
                if hop == Hop.BETWEEN:
                    self._heard_s[str(sender)] = trio.current_time()
                    near = self._near(self._others(there))
                    await self._send(Hop.PASSED_ON, near, news)
            except OSError as exc:
                # A gateway that has ended: its port answers that nobody listens.
                log_event("share-unreceived", level="debug", why=str(exc))
            except (AttributeError, TypeError, ValueError) as exc:
                log_event("share-unreadable", level="warning", why=str(exc)[:200])

    def _take(self, news, hop, there):
        if hop == Hop.ANNOUNCED and not self._is_other(news.gateway, there):
            self._refuse(news.gateway, "announcement of an unknown gateway")
            return
        self._peers.take_shares(news.gateway, self._counts(news, hop), news.is_all)
        self._peers.take_limits(news.limits)
        self._peers.take_backoffs(news.backoffs)
        if news.waiting_counts is not None:
            if self._is_other(news.gateway, there):
                self._peers.take_waiting(news.gateway, news.waiting_counts)
            else:
                self._refuse(news.gateway, "waiting requests of an unknown gateway")
        if hop == Hop.OWN:
            self._gather(news)
        if news.group_limits and news.gateway != self._presence().name:
            self._take_group_limits(news, there)

    def _counts(self, news, hop):
        heard, now = self._slot_news.heard, trio.current_time()
        if hop == Hop.ANNOUNCED:
            heard.record(news.gateway, news.counts, now)
            return news.counts
        return heard.correct_report(news.gateway, news.counts, news.is_all, now)

    def _take_group_limits(self, news, there):
        if news.gateway not in there:
            log_event("share-unknown-sender", level="debug", gateway=news.gateway)
            return
        try:
            limits = self._peers.group_limits
            limits.take_figures(news.gateway, news.group_limits)
        except (TypeError, ValueError) as exc:
            # What the datagram tells of other gateways is taken all the same.
            log_event("share-unreadable", level="warning", why=str(exc)[:200])
