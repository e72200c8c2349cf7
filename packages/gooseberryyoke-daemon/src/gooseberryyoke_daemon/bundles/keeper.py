"""Accepts bundles into the durable state and keeps the newest one in force."""

from datetime import UTC, datetime

from loguru import logger
from returns.result import Failure, Success
from trio import TASK_STATUS_IGNORED, Event, move_on_after
from trio.to_thread import run_sync

from gooseberryyoke.bundle import open_envelope
from gooseberryyoke.document import Mistake
from gooseberryyoke.register import Conflict as RegisterConflict
from gooseberryyoke_daemon.bundles.lease import BundleLease
from gooseberryyoke_daemon.bundles.stored import HEAD_KEY, Content, Head, content_key
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.operators import (
    Accepted,
    Conflict,
    HistoryLine,
    Keeper,
    NoMajority,
    OlderVersion,
)
from gooseberryyoke_daemon.operators.approval import MistakesFound

__all__ = ["BundleKeeper"]

_TRIES = 8
_KEPT_VERSIONS = 50
_ACCEPT_TIMEOUT_S = 5.0
_INLINE_CHARACTERS = 64 * 1024


class BundleKeeper(Keeper):
    """
    Bundles over registers.

    Parameters
    ----------
    registers : RegisterClient
    clock : Clock
    check_interval_s : float
        Between two reads of the newest version, in seconds.
    replicas : tuple of Replica
        From the settings, for the time before the first bundle.
    on_install : callable, optional
        Takes each bundle that comes into force.
    """

    def __init__(
        self, registers, clock, check_interval_s, replicas, on_install=lambda _: None
    ):
        self._registers = registers
        self._clock = clock
        self._check_interval_s = check_interval_s
        self._replicas = replicas
        self._on_install = on_install
        self._lease = BundleLease()
        self._heard_version = 0
        self._wanted = Event()
        self._checked = Event()

    def current(self):
        """
        Give the bundle in force.

        Returns
        -------
        Bundle or None
            None while it isn't certain that it is the newest.
        """
        return self._lease.current(self._clock.now())

    def lease_left_s(self):
        """Tell how long the lease on the bundle still holds, in seconds."""
        return self._lease.left_s(self._clock.now())

    def heard_of(self, version):
        """
        Take a version that an agent has heard of from another entry.

        Parameters
        ----------
        version : int

        Notes
        -----
        Agents meet entries that can't meet each other, nor the replicas. If the
        look for the newer bundle fails, its predecessor is out of force at once:
        it has been replaced for certain.
        """
        if version > max(self._heard_version, self._lease.version):
            self._heard_version = version
            self._wanted.set()
            self._wanted = Event()

    async def run(self, task_status=TASK_STATUS_IGNORED):
        """Check for newer bundles until cancelled."""
        task_status.started()
        while True:
            wanted, checked = self._wanted, self._checked
            await self._check_in_time()
            checked.set()
            self._checked = Event()
            with move_on_after(self._check_interval_s):
                await wanted.wait()

    async def _check_in_time(self):
        try:
            with move_on_after(self._check_interval_s) as limit:
                await self._check()
            if limit.cancelled_caught:
                self._end_if_replaced()
        except Exception as exc:
            # A register that this release can't read. Without a check the lease
            # runs out, and the entry names others to its callers instead of ending.
            logger.opt(exception=exc).error("bundle-check-failed")

    async def check_now(self):
        """Look for a newer bundle at once, and wait until that was done."""
        # The check that is under way may have read before the change.
        for _ in range(2):
            checked = self._checked
            self._wanted.set()
            self._wanted = Event()
            await checked.wait()

    async def accept(self, envelope, bundle):
        """See `Keeper.accept`."""
        for _ in range(_TRIES):
            result = await self._try_to_accept(envelope, bundle)
            if result is not None:
                return result
        return Failure(self._no_majority())

    async def read(self, version=None):
        """See `Keeper.read`."""
        newest = await self._newest_content()
        if isinstance(newest, Failure) or newest.unwrap() is None:
            return newest
        content = newest.unwrap()
        if version is None or version == content.envelope.version:
            return Success(content.envelope)
        for line in content.lines:
            if line.version == version:
                found = await self._content(line.version, line.digest)
                return found.map(lambda kept: kept and kept[1].envelope)
        return Success(None)

    async def history(self):
        """See `Keeper.history`."""
        newest = await self._newest_content()
        return newest.map(lambda content: content.lines if content else [])

    async def _check(self):
        started_s = self._clock.now()
        looked = await self._registers.read(HEAD_KEY, self._check_interval_s)
        if isinstance(looked, Failure):
            self._end_if_replaced()
            return
        head = Head.from_json(looked.unwrap().value)
        if head is None:
            return
        if self._lease.holds(head.version, head.digest):
            self._lease.renew(started_s)
            return
        await self._load(head, started_s)

    def _end_if_replaced(self):
        if self._heard_version > self._lease.version:
            self._lease.end()

    async def _load(self, head, started_s):
        found = await self._content(head.version, head.digest)
        if isinstance(found, Failure) or found.unwrap() is None:
            return
        envelope = found.unwrap()[1].envelope
        opened = await _open(envelope)
        if isinstance(opened, Failure):
            log_event("bundle-unreadable", level="error", version=head.version)
            return
        bundle = opened.unwrap()
        if self._lease.install(bundle, started_s):
            log_event("bundle-in-force", version=bundle.version, digest=bundle.digest)
            self._on_install(bundle)

    async def _try_to_accept(self, envelope, bundle):
        # In this order: the content's version is older than the head that the
        # lines are taken from, so that a slower proposer can't put an older line
        # of versions in the place of the accepted one.
        kept = await self._content_version(envelope)
        looked = await self._registers.read(HEAD_KEY, _ACCEPT_TIMEOUT_S)
        if isinstance(kept, Failure) or isinstance(looked, Failure):
            return Failure(self._no_majority())
        head_version = looked.unwrap().version
        head = Head.from_json(looked.unwrap().value)
        answer = _compare(head, bundle)
        if answer is not None:
            return answer
        previous = await self._content_of(head)
        if isinstance(previous, Failure):
            return previous
        previous = previous.unwrap()
        refusal = self._check_replicas(previous, bundle)
        if refusal is not None:
            return refusal
        lines = [self._line_of(envelope), *(previous.lines if previous else [])]
        return await self._propose(
            envelope, bundle, kept.unwrap(), head, head_version, lines
        )

    async def _propose(self, envelope, bundle, kept, head, head_version, lines):
        key = content_key(envelope.version, envelope.digest)
        dropped, lines = lines[_KEPT_VERSIONS:], lines[:_KEPT_VERSIONS]
        content = Content(envelope, lines).to_json()
        written = await self._registers.write(key, kept, content, _ACCEPT_TIMEOUT_S)
        if isinstance(written, Failure):
            return self._retry_on_conflict(written)
        leases_s = [*(head.leases_s if head else ()), bundle.durable.bundle_lease_s]
        new = Head(
            bundle.version,
            bundle.digest,
            lines[0].signers,
            leases_s[-_KEPT_VERSIONS:],
        )
        settled = await self._registers.write(
            HEAD_KEY, head_version, new.to_json(), _ACCEPT_TIMEOUT_S
        )
        if isinstance(settled, Failure):
            return self._retry_on_conflict(settled)
        await self._drop(dropped)
        self._wanted.set()
        self._wanted = Event()
        return Success(Accepted(new.version, new.digest, False, new.lease_s))

    def _retry_on_conflict(self, result):
        if isinstance(result.failure(), RegisterConflict):
            return None
        return Failure(self._no_majority())

    async def _drop(self, lines):
        for line in lines:
            key = content_key(line.version, line.digest)
            found = await self._registers.read(key, _ACCEPT_TIMEOUT_S)
            if isinstance(found, Success) and found.unwrap().value is not None:
                version = found.unwrap().version
                await self._registers.collect(key, version, _ACCEPT_TIMEOUT_S)

    def _line_of(self, envelope):
        signers = tuple(item.signer for item in envelope.signatures)
        accepted_at = datetime.fromtimestamp(self._clock.wall(), UTC)
        return HistoryLine(
            envelope.version,
            envelope.digest,
            signers,
            accepted_at.isoformat(timespec="seconds"),
        )

    async def _newest_content(self):
        looked = await self._registers.read(HEAD_KEY, _ACCEPT_TIMEOUT_S)
        if isinstance(looked, Failure):
            return Failure(self._no_majority())
        return await self._content_of(Head.from_json(looked.unwrap().value))

    async def _content_of(self, head):
        if head is None:
            return Success(None)
        found = await self._content(head.version, head.digest)
        return found.map(lambda kept: kept and kept[1])

    async def _content_version(self, envelope):
        found = await self._content(envelope.version, envelope.digest)
        return found.map(lambda kept: kept[0] if kept else 0)

    async def _content(self, version, digest):
        looked = await self._registers.read(
            content_key(version, digest), _ACCEPT_TIMEOUT_S
        )
        if isinstance(looked, Failure):
            return Failure(self._no_majority())
        found = looked.unwrap()
        content = Content.from_json(found.value)
        return Success(None if content is None else (found.version, content))

    def _check_replicas(self, previous, bundle):
        # Two seats changed at once could make a majority of holders that have
        # never seen what the old majority has acknowledged. So could two removals in
        # a row, as what is left does not copy a majority's state in between.
        before = _seats(self._replicas)
        if previous is not None:
            before = _seats(open_envelope(previous.envelope).unwrap().durable.replicas)
        after = _seats(bundle.durable.replicas)
        changed = {seat for seat, _ in before ^ after}
        if len(changed) <= 1 and len(before) == len(after):
            return None
        names = ", ".join(sorted(changed))
        detail = (
            f"found changes of {names}, expected at most one replica to change "
            f"and {len(before)} replicas as before"
        )
        return Failure(MistakesFound([Mistake("durable.replicas", 0, detail)]))

    def _no_majority(self):
        size = len(self._replicas)
        return NoMajority(0, size // 2 + 1)


def _seats(replicas):
    return {(seat.id, str(seat.address)) for seat in replicas}


def _compare(head, bundle):
    if head is None or head.version < bundle.version:
        return None
    if head.version > bundle.version:
        return Failure(OlderVersion(head.version, head.digest, head.signers))
    if head.digest == bundle.digest:
        return Success(Accepted(head.version, head.digest, True, head.lease_s))
    return Failure(Conflict(head.version, head.digest, head.signers))


async def _open(envelope):
    if len(envelope.text) <= _INLINE_CHARACTERS:
        return open_envelope(envelope)
    # Checking thousands of accounts takes long enough to hold up heartbeats.
    return await run_sync(open_envelope, envelope)
