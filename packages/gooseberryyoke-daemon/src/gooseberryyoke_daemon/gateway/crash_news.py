"""Tells other gateways of prompt parts and requests that servers ended under."""

import orjson
import trio

from gooseberryyoke.crash import (
    is_fingerprint,
    is_trial_server,
    merge_record,
    pack_record,
)

__all__ = ["CrashNews"]

_REPEAT_S = 1.0
_REPEATED_TO = 8
"""Other gateways that all is repeated to each time, in turn."""
_ASK_AFTER_S = (0.0, 0.3, 0.7, 2.0)
"""From one to the next; the others have to know of this gateway to answer it."""
_AGAIN_S = 0.3
"""After which a change is told a second time: datagrams may be lost, and callers come
again before all is repeated."""
_LOOK_S = 0.1
"""Between two looks for gateways that are new to this one."""
_DATAGRAM_BYTES = 1000
"""Of records; longer datagrams would be sent in parts, and be lost with any of them."""
_MOST_REQUESTS_TOLD = 64
"""To a gateway that has started."""


class CrashNews:
    """
    Tells changes to all gateways at once, and repeats what is known to some of them.

    Parameters
    ----------
    suspects : Suspects
    requests : RequestCrashes
    trial_servers : TrialServers
    gateway : str
        Name of this one.
    on_change : callable
        Called when another gateway's word has changed what is known.
    """

    __slots__ = (
        "_suspects",
        "_requests",
        "_trial_servers",
        "_gateway",
        "_on_change",
        "_unsent",
        "_told_once",
        "_wanted",
        "_first",
    )

    def __init__(self, suspects, requests, trial_servers, gateway, on_change):
        self._suspects = suspects
        self._requests = requests
        self._trial_servers = trial_servers
        self._gateway = gateway
        self._on_change = on_change
        self._unsent = {}
        self._told_once = {}
        self._wanted = trio.Event()
        self._first = 0

    def tell(self, subjects):
        """
        Tell all gateways what is known of some parts, requests and servers on trial.

        Parameters
        ----------
        subjects : iterable of str
            Prompt parts, fingerprints and subjects of `TrialServers`.
        """
        self._unsent.update(dict.fromkeys(subjects))
        if self._unsent:
            self._wanted.set()

    async def run(self, send, others):
        """
        Tell and repeat until cancelled.

        Parameters
        ----------
        send : callable
            Asynchronous; takes receivers and a list of packed records.
        others : callable
            Gives the other gateways.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tell_changes, send, others)
            nursery.start_soon(self._tell_changes_again, send, others)
            nursery.start_soon(self._ask, send, others)
            nursery.start_soon(self._greet, send, others)
            while True:
                await trio.sleep(_REPEAT_S)
                now = trio.current_time()
                self._suspects.remove_expired(now)
                self._requests.remove_expired(now)
                subjects = self._suspects.parts() + self._requests.take_due(now)
                await self._send(send, self._next_receivers(others()), subjects)

    async def _ask(self, send, others):
        """Ask some gateways for all that they know, which a start has lost."""
        for pause_s in _ASK_AFTER_S:
            await trio.sleep(pause_s)
            await send(self._next_receivers(others()), [])

    async def _greet(self, send, others):
        """Exchange all that is known with gateways that this one is first told of."""
        greeted = set()
        while True:
            known = others()
            new = [entry for entry in known if entry.name not in greeted]
            greeted = {entry.name for entry in known}
            if new:
                await send(new, [])
                await self._send(send, new, self._known_subjects())
            await trio.sleep(_LOOK_S)

    async def _tell_changes(self, send, others):
        while True:
            await self._wanted.wait()
            self._wanted = trio.Event()
            subjects, self._unsent = list(self._unsent), {}
            await self._send(send, others(), subjects)
            self._told_once.update(dict.fromkeys(subjects))

    async def _tell_changes_again(self, send, others):
        while True:
            await trio.sleep(_AGAIN_S)
            subjects, self._told_once = list(self._told_once), {}
            await self._send(send, others(), subjects)

    def _next_receivers(self, others):
        others = sorted(others, key=lambda entry: entry.name)
        if len(others) <= _REPEATED_TO:
            return others
        first = self._first % len(others)
        self._first = first + _REPEATED_TO
        return (others + others)[first : first + _REPEATED_TO]

    def _table_of(self, subject):
        if is_fingerprint(subject):
            return self._requests
        return self._trial_servers if is_trial_server(subject) else self._suspects

    async def _send(self, send, receivers, subjects):
        now = trio.current_time()
        records, length_bytes = [], 0
        for subject in subjects:
            table = self._table_of(subject)
            record = pack_record(table, subject, self._gateway, now)
            size_bytes = len(orjson.dumps(record))
            if records and length_bytes + size_bytes > _DATAGRAM_BYTES:
                await send(receivers, records)
                records, length_bytes = [], 0
            records.append(record)
            length_bytes += size_bytes
        if records:
            await send(receivers, records)

    async def take(self, gateway, records, send):
        """
        Take what another gateway tells, and tell it what it lacks.

        Parameters
        ----------
        gateway : str
        records : list of list
            None from a gateway that has started and asks for all.
        send : callable
            Asynchronous; takes a list of packed records for this gateway.

        Raises
        ------
        TypeError, ValueError, AttributeError
            If one has another form; those before it are taken.
        """
        now = trio.current_time()
        changed, behind = False, []
        for record in records:
            table = self._table_of(_subject_of(record))
            is_new, is_behind = merge_record(table, record, gateway, now)
            changed |= is_new
            if is_behind:
                behind.append(record[0])
        if changed:
            self._on_change()
        lacking = behind if records else self._known_subjects()
        await self._send(lambda _, batch: send(batch), None, lacking)

    def _known_subjects(self):
        requests = self._requests.most_crashed(_MOST_REQUESTS_TOLD)
        return self._suspects.parts() + requests


def _subject_of(record):
    """Give the first field; raises ValueError or TypeError, as `merge_record` does."""
    subject, *_ = record
    if type(subject) is not str:
        raise TypeError(f"{str(subject)[:80]!r} is no prompt part, request or server")
    return subject
