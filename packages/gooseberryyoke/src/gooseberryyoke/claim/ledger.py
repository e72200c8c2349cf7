"""In-memory record of the attempts dispatched to one incarnation of an agent."""

from enum import Enum

from returns.result import Failure, Success

from gooseberryyoke.record import Record

__all__ = ["AttemptLedger", "AttemptOutcome", "AttemptState", "StartRefused"]


class AttemptState(Enum):
    """State of an attempt; a ``BARRED`` one has not started and never will."""

    UNKNOWN = "unknown"
    RUNNING = "running"
    DONE = "done"
    BARRED = "barred"
    OTHER_INCARNATION = "other-incarnation"


class AttemptOutcome(Record):
    """
    The state of an attempt as reported by its agent.

    Parameters
    ----------
    state : AttemptState
        ``OTHER_INCARNATION`` if the attempt was meant for another incarnation of
        the agent, whose attempts this one doesn't know.
    answer : object, optional
        The answer passed to `AttemptLedger.finish`, if the state is ``DONE``.
    """

    __slots__ = ("state", "answer")

    def __init__(self, state, answer=None):
        self.state = state
        self.answer = answer


class StartRefused(Record):
    """
    The refusal of `AttemptLedger.start`: the call did not start the attempt.

    Parameters
    ----------
    outcome : AttemptOutcome
        Present outcome of the attempt. Its state is ``RUNNING`` or ``DONE`` if an
        earlier call started the attempt.
    """

    __slots__ = ("outcome",)

    def __init__(self, outcome):
        self.outcome = outcome


class _LedgerEntry(Record):
    __slots__ = ("outcome", "changed_s")

    def __init__(self, outcome, changed_s):
        self.outcome = outcome
        self.changed_s = changed_s


class AttemptLedger:
    """
    A ledger that lets each attempt run at most once in one incarnation of an agent.

    Parameters
    ----------
    incarnation : str
        Identifier of this incarnation of the agent; must never have been used before.

    Notes
    -----
    The ledger is held in memory only. A restarted agent has a new incarnation and
    refuses attempts that were meant for an earlier one.

    Examples
    --------
    >>> ledger = AttemptLedger("life-1")
    >>> ledger.bar("a1", "life-1", now=0.0).state
    <AttemptState.BARRED: 'barred'>
    >>> ledger.start("a1", "life-1", now=1.0).failure().outcome.state
    <AttemptState.BARRED: 'barred'>
    """

    __slots__ = ("incarnation", "_entries")

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self._entries = {}

    def start(self, attempt, incarnation, now):
        """
        Start an attempt unless it is already known.

        Call this before the first byte is sent to the backend server.

        Parameters
        ----------
        attempt : str
            Identifier of the attempt.
        incarnation : str
            Incarnation of the agent that the attempt was meant for.
        now : float
            Time in seconds.

        Returns
        -------
        Result of None, StartRefused
            Success for at most one call per attempt.
        """
        outcome = self.outcome(attempt, incarnation)
        if outcome.state is not AttemptState.UNKNOWN:
            # The dispatch is a duplicate or was meant for another incarnation, or the
            # attempt was barred first and has already been reported as not run.
            return Failure(StartRefused(outcome))
        self._update(attempt, AttemptState.RUNNING, None, now)
        return Success(None)

    def bar(self, attempt, incarnation, now):
        """
        Bar an attempt that has not started, so that it never will.

        Parameters
        ----------
        attempt : str
            Identifier of the attempt.
        incarnation : str
            Incarnation of the agent that the attempt was meant for.
        now : float
            Time in seconds.

        Returns
        -------
        AttemptOutcome
            ``BARRED`` proves that the attempt has not run and never will.
        """
        outcome = self.outcome(attempt, incarnation)
        if outcome.state is not AttemptState.UNKNOWN:
            return outcome
        return self._update(attempt, AttemptState.BARRED, None, now)

    def finish(self, attempt, answer, now):
        """
        Mark a running attempt as done and store its answer.

        Parameters
        ----------
        attempt : str
            Identifier of the attempt.
        answer : object
            Answer that `outcome` reports from now on; None if it is incomplete.
        now : float
            Time in seconds.

        Raises
        ------
        KeyError
            If the attempt is not running.
        """
        entry = self._entries.get(attempt)
        if entry is None or entry.outcome.state is not AttemptState.RUNNING:
            raise KeyError(f"attempt {attempt!r} is not running")
        self._update(attempt, AttemptState.DONE, answer, now)

    def outcome(self, attempt, incarnation):
        """
        Return the outcome of an attempt without changing its state.

        Parameters
        ----------
        attempt : str
            Identifier of the attempt.
        incarnation : str
            Incarnation of the agent that the attempt was meant for.

        Returns
        -------
        AttemptOutcome
        """
        if incarnation != self.incarnation:
            return AttemptOutcome(AttemptState.OTHER_INCARNATION)
        entry = self._entries.get(attempt)
        if entry is None:
            return AttemptOutcome(AttemptState.UNKNOWN)
        return entry.outcome

    def prune(self, before_s):
        """
        Remove attempts that ended or were barred before a given time.

        Parameters
        ----------
        before_s : float
            Time in seconds. It must be earlier than the oldest message that the
            agent still accepts; otherwise a delayed dispatch of a removed attempt
            would run.

        Returns
        -------
        int
            Number of removed attempts; running ones are never removed.
        """
        expired = [
            attempt
            for attempt, entry in self._entries.items()
            if entry.changed_s < before_s
            and entry.outcome.state is not AttemptState.RUNNING
        ]
        for attempt in expired:
            del self._entries[attempt]
        return len(expired)

    def __len__(self):
        return len(self._entries)

    def _update(self, attempt, state, answer, now):
        outcome = AttemptOutcome(state, answer)
        self._entries[attempt] = _LedgerEntry(outcome, now)
        return outcome
