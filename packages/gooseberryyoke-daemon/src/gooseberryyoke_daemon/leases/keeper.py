"""A lease on registers: taken, renewed and given up."""

import trio
from returns.result import Failure

from gooseberryyoke.lease import (
    Grant,
    Lease,
    LeaseView,
    Wait,
    lease_from_value,
    lease_key,
)
from gooseberryyoke.register import Conflict
from gooseberryyoke_daemon.logs import log_event

__all__ = ["LeaseKeeper"]

_RENEWALS = 3
_DEFAULT_TTL_S = 6.0
_NEVER_S = float("-inf")


class LeaseKeeper:
    """
    Competes for one lease and holds it for as long as it can.

    Parameters
    ----------
    registers : RegisterClient
        Where the lease is.
    name : str
        What is held.
    holder : str
        Identity of this life of the process; never used before.
    now : callable
        Monotonic time in seconds.
    rng : random.Random
        Spreads the waiting processes.
    ttl_s : float
        Length of a term.
    holder_prefix : str, optional
        See `LeaseView`.
    look_s : float, optional
        Between two looks at a lease that another holds; a third of its term by
        default. Longer than a term for one that only stands in for those who look
        more often; it takes the lease if it has not changed between two looks.

    Attributes
    ----------
    seen_number : int
        Of the lease at the last look, whoever holds it.
    """

    def __init__(
        self,
        registers,
        name,
        holder,
        now,
        rng,
        ttl_s=_DEFAULT_TTL_S,
        holder_prefix=None,
        look_s=None,
    ):
        self.seen_number = 0
        self._registers = registers
        self._name = name
        self._holder = holder
        self._now = now
        self._rng = rng
        self._ttl_s = ttl_s
        self._look_s = look_s or ttl_s / _RENEWALS
        self._view = LeaseView(holder, ttl_s, holder_prefix)
        self._number = 0
        self._until_s = _NEVER_S
        self._is_released = False

    def grant(self):
        """
        Give the lease, to be asked for before every order.

        Returns
        -------
        Grant or None
            None if this process does not hold it now.
        """
        if self._now() >= self._until_s:
            return None
        return Grant(self._number, self._until_s)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """
        Take the lease when it is free, and renew it, until cancelled.

        Parameters
        ----------
        task_status : object
            Told at once.
        """
        task_status.started()
        while not self._is_released:
            pause_s = await self.step()
            await trio.sleep(pause_s)

    async def step(self):
        """
        Read the lease and do what is due.

        Returns
        -------
        float
            Seconds until the next step.
        """
        renewal_s = self._ttl_s / _RENEWALS
        key = lease_key(self._name)
        found = await self._registers.read(key, renewal_s)
        if isinstance(found, Failure):
            # One that stands in asks seldom also while no majority answers: after the
            # loss of everything, hundreds would keep replicas from coming back.
            return self._rng.uniform(0, self._look_s)
        self.seen_number = lease_from_value(found.unwrap().value).number
        decision = self._view.decide(found.unwrap(), self._now())
        if isinstance(decision, Wait):
            self._lose()
            spread_s = self._rng.uniform(0, renewal_s / 10)
            return self._pause_s(decision) + spread_s
        await self._write(found.unwrap().version, decision.lease, renewal_s)
        return renewal_s

    def _pause_s(self, wait):
        if self._look_s > self._ttl_s:
            # One that stands in doesn't look at the end of each term: hundreds of
            # them would read a lease that is renewed all the time.
            return self._look_s
        left_s = max(0.0, wait.until_s - self._now())
        return min(left_s, self._look_s)

    async def _write(self, version, lease, timeout_s):
        # The term counts from before the write: whoever waits counts it from a
        # time after the write.
        start_s = self._now()
        key = lease_key(self._name)
        written = await self._registers.write(key, version, lease.to_value(), timeout_s)
        if isinstance(written, Failure):
            if isinstance(written.failure(), Conflict):
                self._lose()
            return
        if self._is_released:
            return
        if lease.number != self._number:
            log_event("lease-taken", name=self._name, number=lease.number)
        self._number = self.seen_number = lease.number
        self._until_s = start_s + self._ttl_s

    def _lose(self):
        if self._until_s > _NEVER_S:
            log_event(
                "lease-lost", level="warning", name=self._name, number=self._number
            )
        self._until_s = _NEVER_S

    async def release(self):
        """Give the lease up, at a planned stop, so that nobody waits for its end."""
        self._is_released = True
        held = self.grant()
        self._until_s = _NEVER_S
        if held is None:
            return
        key = lease_key(self._name)
        found = await self._registers.read(key, self._ttl_s)
        if isinstance(found, Failure):
            return
        value = found.unwrap().value
        if value is None or value[0] != self._holder:
            return
        free = Lease("", held.number, self._ttl_s)
        await self._registers.write(
            key, found.unwrap().version, free.to_value(), self._ttl_s
        )
