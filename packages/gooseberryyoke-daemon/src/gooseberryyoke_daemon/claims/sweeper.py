"""Deletion of claims that no caller can come back for."""

import trio
from returns.result import Failure

from gooseberryyoke.claim import (
    MalformedClaimError,
    claim_prefix,
    decode_claim,
    is_expired,
)
from gooseberryyoke_daemon.logs import log_event

__all__ = ["ClaimSweeper"]

_PAGE_SLOTS = 500
_DEFAULT_PAUSE_S = 60.0
_DEFAULT_TIMEOUT_S = 5.0


class ClaimSweeper:
    """
    Deletes claims past their retention, and what deletions left behind.

    Parameters
    ----------
    registers : RegisterClient
        Where the claims are.
    wall : callable
        Wall-clock time in seconds.
    retention_s : callable
        Gives the retention of the bundle in force, None if there is none.
    pause_s : float
        Between two sweeps.

    Notes
    -----
    Any number of processes may sweep: each deletion names the version seen.
    """

    def __init__(self, registers, wall, retention_s, pause_s=_DEFAULT_PAUSE_S):
        self._registers = registers
        self._wall = wall
        self._retention_s = retention_s
        self._pause_s = pause_s
        self._empty_before = set()

    async def run(self):
        """Sweep until cancelled."""
        while True:
            await trio.sleep(self._pause_s)
            retention_s = self._retention_s()
            if retention_s is not None:
                await self.sweep(retention_s)

    async def sweep(self, retention_s):
        """
        Look at every claim once.

        Parameters
        ----------
        retention_s : float
            Claims older than this are deleted.

        Returns
        -------
        int
            How many registers were deleted.
        """
        after, deleted, empty = "", 0, set()
        while True:
            listed = await self._registers.scan(
                claim_prefix(), after, _PAGE_SLOTS, _DEFAULT_TIMEOUT_S
            )
            if isinstance(listed, Failure):
                return deleted
            page = listed.unwrap()
            for keyed in page.slots:
                if self._is_due(keyed, retention_s, empty):
                    deleted += await self._delete(keyed)
            if not page.more:
                break
            after = page.slots[-1].key
        self._empty_before = empty
        return deleted

    def _is_due(self, keyed, retention_s, empty):
        cell = keyed.slot.cell
        if cell.value is None:
            # A tombstone, or a promise whose write was given up. Left for one
            # sweep, so that a reservation in progress is not disturbed.
            mark = (keyed.key, keyed.slot.promised)
            empty.add(mark)
            return mark in self._empty_before
        try:
            return is_expired(decode_claim(cell.value), self._wall(), retention_s)
        except MalformedClaimError as exc:
            log_event("claim-unreadable", level="error", key=keyed.key, detail=str(exc))
            return False

    async def _delete(self, keyed):
        result = await self._registers.collect(
            keyed.key, keyed.slot.cell.version, _DEFAULT_TIMEOUT_S
        )
        return 0 if isinstance(result, Failure) else 1
