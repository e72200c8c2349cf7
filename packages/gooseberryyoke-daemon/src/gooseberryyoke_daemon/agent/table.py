"""The attempts of one life of an agent: each taken once, or barred."""

from loguru import logger
from returns.result import Failure, Success
from trio import Event

from gooseberryyoke.claim import AttemptLedger, AttemptState
from gooseberryyoke.outcome import Refusal, Verdict
from gooseberryyoke.placement import ServerBackoff
from gooseberryyoke_daemon.agent.attempt import Attempt
from gooseberryyoke_daemon.logs import log_event

__all__ = ["AttemptTable"]

LEDGER_KEEP_S = 3600.0
"""How long the number of an ended or barred attempt is remembered, in seconds."""

BAR_WINDOW_S = LEDGER_KEEP_S / 2
"""How old the order of an attempt may be that is still barred, in seconds."""

ORDER_WINDOW_S = 30.0
"""
How old an order may be that is still taken, in seconds. Half of the shortest
retention of claims, so that no order can outlive the claim that it rests on.
"""

ANSWER_KEEP_S = 60.0
"""How long the answer to a repeatable request is kept, in seconds."""


_LEAST_BACKOFF_S = 0.1
"""While one attempt tries a server whose pause is over, in seconds."""


class AttemptTable:
    """
    Takes attempts, bars them, and keeps their answers for a while.

    Parameters
    ----------
    incarnation : int
        This life of the agent.
    runner : Runner
    nursery : trio.Nursery
        Attempts outlive the connection that they came on.
    clock : Clock
    max_running : int
        Attempts at the same time.

    Attributes
    ----------
    leaving : bool
        Whether new attempts are refused.
    backoff : ServerBackoff
        Pauses that the backend server has asked for.
    bundle_version : int
        Highest version that any entry has told.
    """

    def __init__(self, incarnation, runner, nursery, clock, max_running):
        self.incarnation = incarnation
        self.leaving = False
        self.backoff = ServerBackoff()
        self.bundle_version = 0
        self._runner = runner
        self._nursery = nursery
        self._clock = clock
        self._max_running = max_running
        self._attempts = {}
        self._ledger = AttemptLedger(incarnation)
        self._progress = Event()

    @property
    def running(self):
        """Attempts whose answers have not ended."""
        return [a for a in self._attempts.values() if not a.log.finished]

    def take(self, order):
        """
        Start an attempt, unless there is a reason not to.

        Parameters
        ----------
        order : AttemptOrder

        Returns
        -------
        Result of Attempt, Refusal
            A refusal's verdict is not-run, and it stays true: the number of the
            attempt is barred, or belongs to an attempt that is already running.
        """
        now = self._clock.now()
        refusal = self._refusal_of(order)
        if refusal is not None:
            # The refusal is a proof for the entry, so a copy of this order that
            # arrives later must not run either.
            self._ledger.bar(order.attempt, order.incarnation, now)
            return Failure(refusal)
        self._ledger.start(order.attempt, order.incarnation, now).unwrap()
        self.hear_bundle(order.bundle_version)
        attempt = Attempt(order, now)
        self.backoff.sent(now)
        self._attempts[order.attempt] = attempt
        log_event("attempt-taken", attempt=order.attempt, entry=order.entry)
        self._nursery.start_soon(self._run, attempt)
        return Success(attempt)

    def bar(self, number, incarnation, ordered_s):
        """
        Make sure that an attempt is not taken from now on.

        Parameters
        ----------
        number : str
        incarnation : int
            Life of the agent that the attempt was meant for.
        ordered_s : float
            Wall-clock time of the order, in seconds.

        Returns
        -------
        AttemptState
            ``BARRED`` proves that the attempt has not run and won't; ``UNKNOWN``
            proves nothing.
        """
        if self._clock.wall() - ordered_s > BAR_WINDOW_S:
            # The attempt may have run and been forgotten. Barring it now would
            # look like a proof of not-run, and the request would run twice.
            return AttemptState.UNKNOWN
        return self._ledger.bar(number, incarnation, self._clock.now()).state

    def find(self, number):
        """Give a taken attempt, or None."""
        return self._attempts.get(number)

    def cancel(self, number):
        """Cancel the work of an attempt that may be repeated."""
        attempt = self._attempts.get(number)
        if attempt is not None and attempt.order.repeatable:
            attempt.scope.cancel()

    def unknown(self, number):
        """
        Refuse a question after an attempt that this life has not taken.

        Returns
        -------
        Refusal
            Not-run only if the attempt is barred; otherwise an earlier life of
            the agent may have run it.
        """
        state = self._ledger.outcome(number, self.incarnation).state
        barred = state is AttemptState.BARRED
        verdict = Verdict.NOT_RUN if barred else Verdict.MAY_HAVE_RUN
        return Refusal(verdict, 404, "unknown-attempt", f"attempt {number}")

    def heard_interest(self, entry, numbers, patience_s):
        """
        Note which attempts an entry waits for, and cancel those it has dropped.

        Parameters
        ----------
        entry : str
            Name of the entry.
        numbers : list of str
        patience_s : float
            How long an attempt may be missing from the list, in seconds: it may
            have been dispatched after the list was made.
        """
        now, wanted = self._clock.now(), frozenset(numbers)
        for attempt in self.running:
            if attempt.order.attempt in wanted:
                attempt.claimed_s = now
            elif attempt.order.entry == entry and now - attempt.claimed_s > patience_s:
                self.cancel(attempt.order.attempt)

    def cancel_orphans(self, patience_s):
        """
        Cancel work that no entry has asked after for long, as its entry is dead.

        Parameters
        ----------
        patience_s : float
            In seconds.
        """
        now = self._clock.now()
        for attempt in self.running:
            if now - attempt.claimed_s > patience_s:
                self.cancel(attempt.order.attempt)

    def forget(self):
        """Drop answers and attempts that nobody can ask after any more."""
        now = self._clock.now()
        for number, attempt in list(self._attempts.items()):
            keep_s = ANSWER_KEEP_S if attempt.order.repeatable else LEDGER_KEEP_S
            if attempt.ended_s is not None and attempt.ended_s < now - keep_s:
                del self._attempts[number]
        self._ledger.prune(now - LEDGER_KEEP_S)

    def hear_bundle(self, version):
        """Note a version that an entry has in force."""
        self.bundle_version = max(self.bundle_version, version)

    def note_read(self, attempt):
        """Note that a reader has been sent the whole answer."""
        attempt.was_read = True
        self._wake()

    async def emptied(self):
        """Wait until no attempt is running."""
        while self.running:
            await self._progress.wait()

    async def all_read(self):
        """Wait until each answer has been read."""
        while not all(attempt.was_read for attempt in self._attempts.values()):
            await self._progress.wait()

    async def _run(self, attempt):
        try:
            await self._runner.run(attempt)
        except Exception as exc:
            # In the agent's nursery it would end all other attempts too.
            logger.opt(exception=exc).error("attempt {}", attempt.order.attempt)
            attempt.log.abort(Verdict.MAY_HAVE_RUN, "internal-error", repr(exc))
            attempt.notify()
        attempt.ended_s = self._clock.now()
        self.backoff.ended(attempt.started_s)
        self._ledger.finish(attempt.order.attempt, None, attempt.ended_s)
        self._wake()

    def _wake(self):
        self._progress.set()
        self._progress = Event()

    def _refusal_of(self, order):
        if order.incarnation != self.incarnation:
            detail = f"life {order.incarnation} has ended, this is {self.incarnation}"
            return _refuse(409, "other-incarnation", detail)
        # First of all: another reason would call a copy of a running order not-run.
        state = self._ledger.outcome(order.attempt, order.incarnation).state
        if state is not AttemptState.UNKNOWN:
            return _refusal_of_state(order, state)
        if abs(self._clock.wall() - order.ordered_s) > ORDER_WINDOW_S:
            # An entry that was frozen before its dispatch would send an order
            # whose bar has been forgotten meanwhile, and run a request twice.
            return _refuse(409, "stale-order", "ordered too long ago, or clocks differ")
        if self.leaving:
            return _refuse(503, "leaving", "the backend server takes no new work")
        now = self._clock.now()
        if self.backoff.room(now) < 1:
            left_s = max(_LEAST_BACKOFF_S, self.backoff.until_s - now)
            detail = "the backend server asked for a pause"
            return _refuse(503, "server-paused", detail, left_s)
        if order.bundle_version < self.bundle_version:
            # An entry cut off from the replicas would go on under an old bundle.
            detail = f"bundle {order.bundle_version}, {self.bundle_version} is known"
            return _refuse(409, "old-bundle", detail)
        if len(self.running) >= self._max_running:
            return _refuse(503, "agent-full", f"{self._max_running} attempts run")
        return None


def _refusal_of_state(order, state):
    if state is AttemptState.BARRED:
        return _refuse(409, "barred", f"attempt {order.attempt} is barred")
    # Not a proof of not-run: the first copy of this order was taken.
    detail = f"attempt {order.attempt} was taken before"
    return Refusal(Verdict.MAY_HAVE_RUN, 409, "taken", detail)


def _refuse(status, reason, detail, retry_after_s=None):
    return Refusal(Verdict.NOT_RUN, status, reason, detail, retry_after_s)
