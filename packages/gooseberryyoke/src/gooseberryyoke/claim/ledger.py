"""What one life of an agent knows of the attempts that it was given."""

from enum import Enum

from returns.result import Failure, Success

from gooseberryyoke.record import Record

__all__ = ["AttemptLedger", "AttemptOutcome", "AttemptState", "TakeRefused"]


class AttemptState(Enum):
    """State of an attempt as its agent knows it."""

    UNKNOWN = "unknown"
    RUNNING = "running"
    DONE = "done"
    BARRED = "barred"
    OTHER_INCARNATION = "other-incarnation"


class AttemptOutcome(Record):
    """
    An agent's word on an attempt.

    Parameters
    ----------
    state : AttemptState
        ``OTHER_INCARNATION`` means that this life of the agent can't know.
    answer : object, optional
        What `AttemptLedger.finish` was given, for ``DONE``.
    """

    __slots__ = ("state", "answer")

    def __init__(self, state, answer=None):
        self.state = state
        self.answer = answer


class TakeRefused(Record):
    """
    An attempt must not run here now; this taking did not run it.

    Parameters
    ----------
    outcome : AttemptOutcome
        ``RUNNING`` and ``DONE`` tell that an earlier taking did.
    """

    __slots__ = ("outcome",)

    def __init__(self, outcome):
        self.outcome = outcome


class _Entry(Record):
    __slots__ = ("outcome", "changed_s")

    def __init__(self, outcome, changed_s):
        self.outcome = outcome
        self.changed_s = changed_s


class AttemptLedger:
    """
    Lets each attempt run at most once, under one incarnation of the agent.

    Parameters
    ----------
    incarnation : str
        Identity of this life of the agent; never used before.

    Notes
    -----
    Lives in memory: after a restart the incarnation differs, so that no attempt
    meant for the earlier life is taken.

    Examples
    --------
    >>> ledger = AttemptLedger("life-1")
    >>> ledger.bar("a1", "life-1", now=0.0).state
    <AttemptState.BARRED: 'barred'>
    >>> ledger.take("a1", "life-1", now=1.0).failure().outcome.state
    <AttemptState.BARRED: 'barred'>
    """

    __slots__ = ("incarnation", "_entries")

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self._entries = {}

    def take(self, attempt, incarnation, now):
        """
        Ask to run an attempt; call it before the first byte goes to the server.

        Parameters
        ----------
        attempt : str
            Identity of the attempt.
        incarnation : str
            The life of the agent that the attempt was meant for.
        now : float
            Time in seconds.

        Returns
        -------
        Result of None, TakeRefused
            Success to one caller only.
        """
        outcome = self.outcome(attempt, incarnation)
        if outcome.state is not AttemptState.UNKNOWN:
            # A copy of the dispatch, or one that was overtaken by a bar: whoever
            # barred the attempt has told others that it did not run.
            return Failure(TakeRefused(outcome))
        self._set(attempt, AttemptState.RUNNING, None, now)
        return Success(None)

    def bar(self, attempt, incarnation, now):
        """
        Make sure that an attempt that has not begun never will.

        Parameters
        ----------
        attempt : str
            Identity of the attempt.
        incarnation : str
            The life of the agent that the attempt was meant for.
        now : float
            Time in seconds.

        Returns
        -------
        AttemptOutcome
            ``BARRED`` proves that the attempt has not run and won't.
        """
        outcome = self.outcome(attempt, incarnation)
        if outcome.state is not AttemptState.UNKNOWN:
            return outcome
        return self._set(attempt, AttemptState.BARRED, None, now)

    def finish(self, attempt, answer, now):
        """
        Keep the answer of a running attempt.

        Parameters
        ----------
        attempt : str
            Identity of the attempt.
        answer : object
            Given again by `outcome`; None if the answer is not known whole.
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
        self._set(attempt, AttemptState.DONE, answer, now)

    def outcome(self, attempt, incarnation):
        """
        Tell the state of an attempt without changing it.

        Parameters
        ----------
        attempt : str
            Identity of the attempt.
        incarnation : str
            The life of the agent that the attempt was meant for.

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

    def forget(self, before_s):
        """
        Drop attempts that ended before a time.

        Parameters
        ----------
        before_s : float
            Must lie further back than the oldest message that is still taken, or
            a delayed dispatch of a forgotten attempt would run.

        Returns
        -------
        int
            How many were dropped; running ones never are.
        """
        old = [
            attempt
            for attempt, entry in self._entries.items()
            if entry.changed_s < before_s
            and entry.outcome.state is not AttemptState.RUNNING
        ]
        for attempt in old:
            del self._entries[attempt]
        return len(old)

    def __len__(self):
        return len(self._entries)

    def _set(self, attempt, state, answer, now):
        outcome = AttemptOutcome(state, answer)
        self._entries[attempt] = _Entry(outcome, now)
        return outcome
