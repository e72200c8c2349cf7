"""Replay of gateways that share the slots of engines and learn late of each other."""

from heapq import heappop, heappush
from random import Random

from gooseberryyoke.placement.slot_changes import AnnouncedStarts, SlotChanges
from gooseberryyoke.placement.slot_sharing import SlotSharing
from tools.bench.place_sharing_ways import WAYS

__all__ = ["KINDS", "Fault", "Replay", "Result"]

KINDS = (
    (0, 45.7, 0.406, 3.5, 0.34),
    (1, 20.1, 0.407, 1.8, 0.46),
    (2, 60.5, 1.007, 0.92, 0.35),
)
"""Urgency, requests a second, first event within seconds, value on time and late."""
_SERVERS, _SLOTS = 72, 5
_LOOK_S = 0.01
_TELL_LOOKS = 10
_ALL_TELLS = 10
_NEAR_S, _FAR_S = 0.05, 0.2
"""From sending a report to its arrival; reports are sent each 0.1 s."""
_PASS_S = 0.002
"""Of a datagram that is sent straight away."""
_REPORT_HALF_LIFE_S = 0.5
"""As of `ServerLoad`."""
_LATE_S = 0.15
"""A report that has not come by then is late or lost."""
_HEADER_BYTES = 28
"""Of IP and UDP."""
_CLAIM_BYTES = 40
_ANNOUNCEMENT_BYTES = 60
_COUNT_BYTES = 15
"""As `LoadSharing` packs them, with names of 11 characters."""
_DATA_CENTRES = 3
_STREAM_S = (0.7, 2.1)
_FIRST_S = 0.15
_WAIT_S = 1.3
_BURST_S = (2.0, 7.5)
_BURST = 3.0
_LIFE_S = 3.0
_WAITING_LIFE_S = 0.5
_NEWS_S = 0.4
END_S = 10.0


class Fault:
    """What happens to gateways in a replay; all optional."""

    __slots__ = ("lost", "dead", "frozen", "starts")

    def __init__(self, lost=0.0, dead=None, frozen=None, starts=None):
        self.lost = lost
        self.dead = dead
        self.frozen = frozen
        self.starts = starts


class Result:
    """Figures of one replay."""

    __slots__ = (
        "sent",
        "to_full",
        "idle_s",
        "long_idle_s",
        "value",
        "best",
        "straight",
        "straight_bytes",
        "waited_s",
    )

    def __init__(self):
        self.waited_s = 0.0
        self.sent = self.to_full = 0
        self.straight = self.straight_bytes = 0
        self.idle_s = self.long_idle_s = self.value = self.best = 0.0

    @property
    def full_share(self):
        """Part of the requests that were sent to a full engine."""
        return self.to_full / max(1, self.sent)

    @property
    def worth(self):
        """Value that callers got, as part of that with all on time."""
        return self.value / self.best

    @property
    def straight_rate(self):
        """Bytes a second of announcements and claims, while requests wait."""
        return self.straight_bytes / max(_LOOK_S, self.waited_s)


class _Gateway:
    def __init__(self, number, way, rng):
        self.number = number
        self.name = f"g{number:02}"
        self.zone = number % _DATA_CENTRES
        self.own = [0] * _SERVERS
        self.others = [0] * _SERVERS
        self.shares = {}
        self.heard = {}
        self.waiting = {}
        self.line = []
        self.told = {}
        self.phase = rng.randrange(_TELL_LOOKS)
        self.tells = rng.randrange(_ALL_TELLS)
        self.way = way
        self.changes = SlotChanges()
        self.starts = AnnouncedStarts()
        self.reported = {}
        self.sharing = None
        if way.switches is not None:
            self.sharing = SlotSharing(self.name, *way.switches, timing=way.timing)

    def free(self, now):
        free = {
            s: f
            for s in range(_SERVERS)
            if (f := _SLOTS - self.own[s] - self.count_others(s, now)) > 0
        }
        if not self.way.has_margin or not free:
            return free
        margin = round(self.unheard_starts(now) / len(free))
        return {s: f - margin for s, f in free.items() if f > margin}

    def count_others(self, server, now):
        others = max(0, self.others[server])
        if server not in self.reported:
            return others
        count, at = self.reported[server]
        return max(others, int(count * 0.5 ** ((now - at) / _REPORT_HALF_LIFE_S)))

    def unheard_starts(self, now):
        """Estimate what the others have begun since they were heard of."""
        ages_s = (now - heard_s for heard_s in self.heard.values())
        late_s = sum(min(_LIFE_S, age_s) - _FAR_S for age_s in ages_s if age_s > _FAR_S)
        return late_s * _SERVERS * _SLOTS / _STREAM_S[1] / max(1, len(self.heard))

    def counts(self):
        counts = {}
        for kind, *_ in self.line:
            counts[kind] = counts.get(kind, 0) + 1
        return counts

    def hear(self, name, counts, is_all, waiting, now):
        if waiting is None:
            self.starts.record(name, counts, now)
        else:
            counts = self.starts.correct_report(name, counts, is_all, now)
        known = self.shares.setdefault(name, {})
        if is_all:
            counts = {**dict.fromkeys(known, 0), **counts}
        for server, count in counts.items():
            self.learn(name, server, count)
        self.heard[name] = now
        if waiting is not None:
            self.waiting[name] = (now, waiting)

    def learn(self, name, server, count):
        known = self.shares.setdefault(name, {})
        self.heard.setdefault(name, -1.0)
        self.others[server] += count - known.get(server, 0)
        known[server] = count

    def forget(self, now):
        for name, heard_s in list(self.heard.items()):
            if now - heard_s > _LIFE_S:
                for server, count in self.shares.pop(name).items():
                    self.others[server] -= count
                del self.heard[name]

    def elsewhere(self, now):
        return {
            name: counts
            for name, (at, counts) in self.waiting.items()
            if counts and now - at <= _WAITING_LIFE_S
        }


class Replay:
    """
    One run.

    Parameters
    ----------
    gateways : int
    way : str
        Of `WAYS`.
    seed : int
    fault : Fault, optional
    """

    def __init__(self, gateways, way, seed=1, fault=None, news=1.0):
        self._rng = Random(seed)
        self._fault = fault or Fault()
        self._way = WAYS[way]
        self._gateways = [_Gateway(n, self._way, self._rng) for n in range(gateways)]
        self._running = [0] * _SERVERS
        self._queues = [[] for _ in range(_SERVERS)]
        self._ends = []
        self._mail = []
        self._news = news
        self._sequence = 0
        self._free_s = [None] * _SERVERS
        self.result = Result()

    def run(self):
        """
        Play all of it.

        Returns
        -------
        Result
        """
        for look in range(round(END_S / _LOOK_S)):
            now = look * _LOOK_S
            self._end(now)
            self._deliver(now)
            self._arrive(now)
            for gateway in self._rng.sample(self._gateways, len(self._gateways)):
                if self._works(gateway, now):
                    self._look(gateway, now)
                    if look % _TELL_LOOKS == gateway.phase:
                        self._tell(gateway, now)
            self._measure(now)
        return self.result

    def _is_gone(self, gateway, now):
        fault = self._fault
        if fault.dead is not None and gateway.number == 0:
            return now >= fault.dead
        return fault.starts is not None and gateway.number == 1 and now < fault.starts

    def _works(self, gateway, now):
        frozen = self._fault.frozen
        if frozen is not None and gateway.number == 2 and frozen <= now < frozen + 3:
            return False
        return not self._is_gone(gateway, now)

    def _arrive(self, now):
        burst = _BURST if _BURST_S[0] <= now < _BURST_S[1] else 1.0
        there = [g for g in self._gateways if not self._is_gone(g, now)]
        for kind, rate, *_ in KINDS:
            chance = rate * burst * _LOOK_S
            while self._rng.random() < chance:
                chance -= 1.0
                self.result.best += KINDS[kind][3]
                gateway = self._rng.choice(there)
                if self._works(gateway, now):
                    self._admit(gateway, kind, now)

    def _admit(self, gateway, kind, now):
        if not gateway.line and self._starts_at_once(gateway, kind, now):
            return
        gateway.line.append((kind, now))

    def _starts_at_once(self, gateway, kind, now):
        sharing, server = gateway.sharing, None
        if sharing is not None:
            free, elsewhere = gateway.free(now), gateway.elsewhere(now)
            others = len(self._gateways) - 1
            if elsewhere or sharing.is_scarce(sum(free.values()), others, now):
                slots = sharing.usable_slots(free, elsewhere, list(gateway.heard), now)
                if not slots:
                    return False
                server = slots[0]
        return self._start(gateway, kind, now, now, server)

    def _look(self, gateway, now):
        gateway.forget(now)
        gateway.line = [w for w in gateway.line if now - w[1] <= _WAIT_S]
        sharing = gateway.sharing
        if not gateway.line:
            return
        if sharing is None:
            while gateway.line and self._start_next(gateway, now):
                pass
            return
        free, elsewhere = gateway.free(now), gateway.elsewhere(now)
        own = gateway.counts() if self._way.by_urgency else None
        slots = sharing.usable_slots(free, elsewhere, list(gateway.heard), now, own)
        for server in slots[: len(gateway.line)]:
            self._start_next(gateway, now, server)

    def _start_next(self, gateway, now, server=None):
        def order(waiter):
            kind, at = waiter
            return (now - at + _FIRST_S > KINDS[kind][2], kind, at)

        waiter = min(gateway.line, key=order)
        if not self._start(gateway, waiter[0], waiter[1], now, server):
            return False
        gateway.line.remove(waiter)
        return True

    def _start(self, gateway, kind, arrived, now, server=None):
        if server is None:
            free = gateway.free(now)
            if not free:
                return False
            most = max(free.values())
            best = [s for s, count in free.items() if count == most]
            sharing = gateway.sharing
            if sharing is not None and sharing._has_order:
                server = min(free, key=lambda s: sharing.cost(s, free[s]))
            else:
                server = self._rng.choice(best)
        gateway.own[server] += 1
        if gateway.sharing is not None:
            gateway.sharing.record_start(server, now)
            self._note_began(gateway, server, now)
        self.result.sent += 1
        request = (gateway, kind, arrived)
        if self._running[server] < _SLOTS:
            self._run(server, request, now)
        else:
            self.result.to_full += 1
            self._queues[server].append(request)
        return True

    def _note_began(self, gateway, server, now):
        changes, own = gateway.changes, gateway.own
        changes.record_change(server)
        is_unknown = changes.needs_announcement(server, own[server])
        if self._way.announces and is_unknown and gateway.sharing.is_contended(now):
            changes.record_announced(server, own[server])
            item = (gateway.name, {server: own[server]}, False, None)
            for other in self._gateways:
                if other is not gateway:
                    self._send_straight(other, item, now)

    def _send_straight(self, other, item, now):
        self.result.straight += 1
        self.result.straight_bytes += _HEADER_BYTES + _length_bytes(item)
        if self._rng.random() >= self._fault.lost:
            self._post(now + _PASS_S, (other, *item))

    def _post(self, at, item):
        self._sequence += 1
        heappush(self._mail, (at, self._sequence, item))

    def _run(self, server, request, now):
        gateway, kind, arrived = request
        _, _, target, on_time, late = KINDS[kind]
        is_on_time = now - arrived + _FIRST_S <= target
        self.result.value += on_time if is_on_time else late
        self._running[server] += 1
        self._sequence += 1
        end = now + self._rng.uniform(*_STREAM_S)
        heappush(self._ends, (end, self._sequence, server, gateway))
        if self._way.has_reports:
            self._post(now + _FIRST_S, (gateway, server))

    def _end(self, now):
        while self._ends and self._ends[0][0] <= now:
            end, _, server, gateway = heappop(self._ends)
            self._running[server] -= 1
            gateway.own[server] -= 1
            if gateway.sharing is not None and self._works(gateway, now):
                gateway.sharing.record_end(server, now)
                gateway.changes.record_change(server)
                self._offer(gateway, now)
            if self._queues[server]:
                self._run(server, self._queues[server].pop(0), now)

    def _offer(self, gateway, now):
        offers = gateway.sharing.pass_claims(
            gateway.free(now), gateway.counts(), gateway.elsewhere(now), now
        )
        for server, to, passes in offers:
            self._send_straight(self._gateways[int(to[1:])], (server, passes), now)

    def _tell(self, gateway, now):
        counts = {s: c for s, c in enumerate(gateway.own) if c}
        gateway.tells += 1
        is_all = gateway.tells % _ALL_TELLS == 0
        if is_all:
            told = counts
        else:
            told = {s: c for s, c in counts.items() if gateway.told.get(s) != c}
            told.update(dict.fromkeys(gateway.told.keys() - counts.keys(), 0))
        repeated = gateway.changes.report(counts)
        if self._way.repeats and not is_all:
            told.update(repeated)
        gateway.told = counts
        waiting = gateway.counts()
        for other in self._gateways:
            if other is gateway or self._rng.random() < self._fault.lost:
                continue
            delay = _NEAR_S if other.zone == gateway.zone else _FAR_S
            item = (other, gateway.name, told, is_all, waiting)
            self._post(now + delay * self._news, item)

    def _deliver(self, now):
        while self._mail and self._mail[0][0] <= now:
            _, _, (other, *news) = heappop(self._mail)
            if not self._works(other, now):
                continue
            if len(news) == 1:
                self._report(other, news[0], now)
            elif len(news) == 2:
                other.sharing.receive_claim(*news, now)
            else:
                other.hear(*news, now)
            if other.sharing is not None:
                self._offer(other, now)

    def _report(self, gateway, server, now):
        load = self._running[server] + len(self._queues[server])
        gateway.reported[server] = (load - gateway.own[server], now)

    def _measure(self, now):
        working = [g for g in self._gateways if self._works(g, now)]
        waiting = sum(len(g.line) for g in working)
        free = sum(_SLOTS - running for running in self._running)
        self.result.waited_s += _LOOK_S if waiting else 0.0
        self.result.idle_s += min(free, waiting) * _LOOK_S
        left = waiting
        for server, running in enumerate(self._running):
            if running >= _SLOTS or not waiting:
                self._free_s[server] = None
                continue
            if self._free_s[server] is None:
                self._free_s[server] = now
            if now - self._free_s[server] > _NEWS_S and left > 0:
                taken = min(left, _SLOTS - running)
                left -= taken
                self.result.long_idle_s += taken * _LOOK_S


def _length_bytes(item):
    """Estimate the length of a datagram that is sent straight away."""
    if len(item) == 2:
        return _CLAIM_BYTES
    _, counts, *_ = item
    return _ANNOUNCEMENT_BYTES + _COUNT_BYTES * len(counts)
