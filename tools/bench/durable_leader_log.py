"""A replicated log with a leader, kept small: the other way for the comparison."""

from random import Random

import orjson
import trio

from gooseberryyoke_daemon.storage import Journal, recover
from gooseberryyoke_daemon.wire import WireError, json_response

__all__ = ["LeaderLog"]

_HEARTBEAT_S = 0.05
_ELECTION_S = (0.3, 0.6)
_CALL_S = 0.25
_BATCH = 500
_CONFLICT = 409
_NO_SNAPSHOT_BYTES = 2**40


class LeaderLog:
    """
    One process of the log: terms, votes, appended entries, committed writes.

    Parameters
    ----------
    seat : str
    disk : FolderDisk
    peers : dict of str to Address
    client : HttpClient
    seed : int
    """

    def __init__(self, seat, disk, peers, client, seed):
        self.seat = seat
        self.term = 0
        self.voted = None
        self.log = []
        self.committed = 0
        self.values = {}
        self.leader = None
        self._disk = disk
        self._peers = peers
        self._client = client
        self._rng = Random(seed)
        self._heard_s = 0.0
        self._matched = {}
        self._results = {}
        self._work = trio.Event()
        self._progress = trio.Event()

    @property
    def is_ready(self):
        """Whether a leader is known."""
        return self.leader is not None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Recover, elect, replicate, until cancelled."""
        recovered = await self._disk.run(recover, self._disk)
        for kind, *fields in recovered.values:
            self._replay(kind, fields)
        self._journal = Journal(
            self._disk, recovered, list, snapshot_bytes=_NO_SNAPSHOT_BYTES
        )
        self._heard_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(self._journal.run)
            task_status.started()
            for seat in self._peers:
                nursery.start_soon(self._replicate, seat)
            await self._watch()

    def _replay(self, kind, fields):
        if kind == "term":
            self.term, self.voted = fields
        else:
            index, term, command = fields
            self.log[index:] = [(term, command)]

    async def _watch(self):
        while True:
            limit_s = self._rng.uniform(*_ELECTION_S)
            await trio.sleep(limit_s)
            is_silent = trio.current_time() - self._heard_s > limit_s
            if self.leader != self.seat and is_silent:
                await self._stand()

    async def _stand(self):
        self.leader = None
        await self._set_term(self.term + 1, self.seat)
        term, votes = self.term, [1]
        last_term = self.log[-1][0] if self.log else 0
        payload = [term, self.seat, len(self.log), last_term]

        async def ask(seat):
            reply = await self._call(seat, "vote", payload)
            if reply and reply[1]:
                votes.append(1)

        async with trio.open_nursery() as nursery:
            for seat in self._peers:
                nursery.start_soon(ask, seat)
        if self.term == term and 2 * len(votes) > len(self._peers) + 1:
            self.leader = self.seat
            self._matched = dict.fromkeys(self._peers, 0)
            self._next = dict.fromkeys(self._peers, len(self.log))
            self._append([term, None])

    async def _set_term(self, term, voted):
        self.term, self.voted = term, voted
        await self._journal.sync(self._journal.append(["term", term, voted]))

    def _append(self, entry):
        term, command = entry
        self._journal.append(["entry", len(self.log), term, command])
        self.log.append((term, command))
        self._work.set()
        self._work = trio.Event()

    async def _call(self, seat, path, payload):
        try:
            reply = await self._client.json(
                "POST", self._peers[seat], f"/{path}", payload, timeout_s=_CALL_S
            )
        except WireError:
            return None
        return reply.payload

    async def _replicate(self, seat):
        while True:
            work = self._work
            if self.leader == self.seat:
                await self._send_entries(seat)
                behind = self._matched[seat] < len(self.log)
                if behind and self._next[seat] < len(self.log):
                    continue
            with trio.move_on_after(_HEARTBEAT_S):
                await work.wait()

    async def _send_entries(self, seat):
        term, start = self.term, min(self._next[seat], len(self.log))
        entries = self.log[start : start + _BATCH]
        previous = self.log[start - 1][0] if start else 0
        payload = [term, self.seat, start, previous, entries, self.committed]
        reply = await self._call(seat, "append", payload)
        if reply is None or self.leader != self.seat or self.term != term:
            return
        if reply[0] > self.term:
            self.leader = None
            await self._set_term(reply[0], None)
        elif reply[1]:
            self._matched[seat] = self._next[seat] = start + len(entries)
            await self._commit()
        else:
            self._next[seat] = max(0, min(start - 1, reply[2]))

    async def _commit(self):
        await self._journal.sync(self._journal.position)
        matched = sorted([*self._matched.values(), len(self.log)])
        index = matched[(len(matched) - 1) // 2]
        if index > self.committed and self.log[index - 1][0] == self.term:
            self._apply(index)

    def _apply(self, index):
        while self.committed < index:
            command = self.log[self.committed][1]
            self.committed += 1
            if command is not None:
                self._results[self.committed] = self._execute(command)
        self._progress.set()
        self._progress = trio.Event()

    def _execute(self, command):
        key, expected, value = command
        version, _ = self.values.get(key, (0, None))
        if version != expected:
            return [False, version]
        self.values[key] = (version + 1, value)
        return [True, version + 1]

    async def handle(self, request):
        """Serve ``/vote``, ``/append`` and ``/write``."""
        payload = orjson.loads(request.body)
        if request.path == "/vote":
            return json_response(200, await self._vote(*payload))
        if request.path == "/append":
            return json_response(200, await self._take(*payload))
        return await self._write(payload)

    async def _vote(self, term, candidate, length, last_term):
        if term < self.term:
            return [self.term, False]
        if term > self.term:
            self.leader = None
            await self._set_term(term, None)
        own = (self.log[-1][0] if self.log else 0, len(self.log))
        if self.voted not in (None, candidate) or (last_term, length) < own:
            return [self.term, False]
        self._heard_s = trio.current_time()
        await self._set_term(term, candidate)
        return [self.term, True]

    async def _take(self, term, leader, start, previous, entries, committed):
        if term < self.term:
            return [self.term, False, 0]
        if term > self.term:
            await self._set_term(term, None)
        self.leader = leader
        self._heard_s = trio.current_time()
        if start > len(self.log) or (start and self.log[start - 1][0] != previous):
            return [self.term, False, min(start, len(self.log))]
        for index, entry in enumerate(entries, start=start):
            if index >= len(self.log) or self.log[index][0] != entry[0]:
                self.log[index:] = [tuple(entry)]
                self._journal.append(["entry", index, *entry])
        await self._journal.sync(self._journal.position)
        self._apply(min(committed, start + len(entries)))
        return [self.term, True, len(self.log)]

    async def _write(self, command):
        if self.leader != self.seat:
            return json_response(_CONFLICT, {"leader": self.leader})
        self._append([self.term, command])
        index = len(self.log)
        while self.committed < index:
            await self._progress.wait()
        return json_response(200, self._results.pop(index))
