"""State machine, without I/O, that runs one operation on a register."""

from returns.result import Failure, Success

from gooseberryyoke.record import Record
from gooseberryyoke.register.ballot import Ballot
from gooseberryyoke.register.errors import Unavailable
from gooseberryyoke.register.identity import exclude_replaced, majority
from gooseberryyoke.register.messages import (
    Accept,
    Accepted,
    Forget,
    Forgotten,
    Prepare,
    Promise,
    Read,
    ReadReply,
    Rejected,
)
from gooseberryyoke.register.operations import (
    Attempt,
    CollectOperation,
    ReadOperation,
    decide,
)

__all__ = ["Outbound", "Proposer", "ProposerTimes"]


class Outbound(Record):
    """Message to be sent to a seat."""

    __slots__ = ("seat", "message")

    def __init__(self, seat, message):
        self.seat = seat
        self.message = message


class ProposerTimes(Record):
    """
    Timeouts and backoff of a proposer, in seconds.

    Parameters
    ----------
    round_s : float
        Timeout of a round without a majority.
    grace_s : float
        Grace period in which a read waits for the remaining replicas once a majority
        has replied without agreeing.
    backoff_s, backoff_limit_s : float
        Base and limit of the upper bound of the random backoff after a failed round;
        the bound doubles with each round.
    """

    __slots__ = ("round_s", "grace_s", "backoff_s", "backoff_limit_s")

    def __init__(self, round_s=0.5, grace_s=0.02, backoff_s=0.01, backoff_limit_s=0.5):
        self.round_s = round_s
        self.grace_s = grace_s
        self.backoff_s = backoff_s
        self.backoff_limit_s = backoff_limit_s


class Proposer:
    """
    State machine of one operation: emits messages, consumes replies, yields a result.

    Parameters
    ----------
    operation : ReadOperation or WriteOperation or CollectOperation
        Operation to run.
    identity : str
        Identity of the operation, unique for each operation of each process; part of
        its ballots.
    seats : tuple of str
        Seats of all replicas.
    rng : random.Random
        Source of the random backoff after a failed round.
    deadline_s : float
        Time at which the operation fails, in seconds.
    counter : int
        Highest ballot counter that the caller has seen.
    times : ProposerTimes, optional
        Timeouts and backoff.

    Attributes
    ----------
    result : Result or None
        Result of the operation; None while it is running.
    wakeup_s : float
        Time at which `tick` is due next, in seconds.
    counter : int
        Highest ballot counter seen.
    """

    __slots__ = (
        "operation",
        "identity",
        "seats",
        "counter",
        "result",
        "wakeup_s",
        "_rng",
        "_deadline_s",
        "_times",
        "_phase",
        "_replies",
        "_failed",
        "_round_count",
        "_ballot",
        "_decision",
        "_sent_counter",
        "_is_grace_over",
    )

    def __init__(
        self, operation, identity, seats, rng, deadline_s, counter=0, times=None
    ):
        self.operation = operation
        self.identity = identity
        self.seats = tuple(seats)
        self.counter = counter
        self.result = None
        self.wakeup_s = deadline_s
        self._rng = rng
        self._deadline_s = deadline_s
        self._times = times or ProposerTimes()
        self._phase = None
        self._replies = {}
        self._failed = set()
        self._round_count = 0
        self._ballot = None
        self._decision = None
        self._sent_counter = None
        self._is_grace_over = False

    def start(self, now):
        """
        Start the operation.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        list of Outbound
            Messages to send.
        """
        if isinstance(self.operation, ReadOperation):
            message = Read(self.operation.key, self.identity)
            return self._send("read", message, now)
        return self._prepare(now)

    def receive(self, seat, reply, now):
        """
        Process a reply of a replica.

        Parameters
        ----------
        seat : str
            Seat to which the answered message was sent.
        reply : Record
            Reply to any message; one to an earlier round is ignored.
        now : float
            Time in seconds.

        Returns
        -------
        list of Outbound
            Messages to send.
        """
        if self.result is not None or now >= self._deadline_s:
            return self.tick(now)
        if isinstance(reply, Rejected):
            self.counter = max(self.counter, reply.promised.counter)
        if not self._is_expected_reply(reply):
            return self.failed(seat, now) if self._is_refusal(reply) else []
        self._replies[seat] = reply
        self._failed.discard(seat)
        return self._advance(now)

    def failed(self, seat, now):
        """
        Record that a seat will not reply to this round's message.

        Parameters
        ----------
        seat : str
            Seat to which the message was sent.
        now : float
            Time in seconds.

        Returns
        -------
        list of Outbound
            Messages to send.
        """
        if self.result is not None or seat in self._replies:
            return []
        self._failed.add(seat)
        return self._advance(now)

    def tick(self, now):
        """
        Process timeouts that are due.

        Parameters
        ----------
        now : float
            Time in seconds; calls before `wakeup_s` do nothing.

        Returns
        -------
        list of Outbound
            Messages to send.
        """
        if self.result is not None or now < self.wakeup_s:
            return []
        if now >= self._deadline_s:
            return self._time_out()
        if self._phase == "pause":
            return self._retry(now)
        if self._phase == "read":
            if not self._is_grace_over:
                return self._end_grace_period(now)
            return self._prepare(now)
        if self._phase in ("everywhere", "forget"):
            return self._finish(self._decision.result)
        return self._back_off(now)

    def _retry(self, now):
        if isinstance(self.operation, ReadOperation) and self._ballot is None:
            # No majority has answered so far. A prepare would not help, and its ballot
            # would outrank those of the writers that are to create the register.
            self._round_count += 1
            return self.start(now)
        return self._prepare(now)

    def _send(self, phase, message, now):
        self._phase = phase
        self._replies = {}
        self._failed = set()
        self._schedule_tick(now + self._times.round_s)
        return [Outbound(seat, message) for seat in self.seats]

    def _schedule_tick(self, at_s):
        self.wakeup_s = min(at_s, self._deadline_s)

    def _prepare(self, now):
        self.counter += 1
        self._ballot = Ballot(self.counter, self.identity)
        self._round_count += 1
        return self._send("prepare", Prepare(self.operation.key, self._ballot), now)

    def _is_expected_reply(self, reply):
        if isinstance(reply, ReadReply):
            return self._phase == "read" and reply.nonce == self.identity
        wanted = {
            "prepare": Promise,
            "accept": Accepted,
            "everywhere": Accepted,
            "forget": Forgotten,
        }.get(self._phase)
        return (
            wanted is not None
            and isinstance(reply, wanted)
            and reply.ballot == self._ballot
        )

    def _is_refusal(self, reply):
        """Return whether a reply refuses this round, as opposed to an earlier one."""
        if isinstance(reply, Rejected):
            return reply.ballot == self._ballot and self._phase != "read"
        return not isinstance(reply, (Promise, Accepted, ReadReply, Forgotten))

    def _advance(self, now):
        step = {
            "read": self._process_read_replies,
            "prepare": self._process_promises,
            "accept": self._process_accepts,
            "everywhere": self._process_remaining_accepts,
            "forget": self._process_forgets,
        }.get(self._phase)
        return step(now) if step else []

    def _countable_replies(self):
        return exclude_replaced(self._replies.values())

    def _outstanding_count(self):
        return len(self.seats) - len(self._failed | set(self._replies))

    def _majority_cell(self, replies):
        """Return the cell that a majority accepted under one ballot, or None."""
        votes = {}
        for reply in replies:
            if reply.copied:
                # The replica did not vote for a copied cell. Counting it could report
                # a value as decided although a higher ballot has superseded it.
                continue
            votes.setdefault(reply.accepted, []).append(reply.cell)
        for cells in votes.values():
            if len(cells) >= majority(len(self.seats)):
                return cells[0]
        return None

    def _process_read_replies(self, now):
        replies = self._countable_replies()
        cell = self._majority_cell(replies)
        if cell is not None:
            return self._finish(Success(cell.versioned()))
        for reply in replies:
            self.counter = max(self.counter, reply.accepted.counter)
        if self._outstanding_count() == 0:
            return self._prepare_or_back_off(now)
        if len(replies) >= majority(len(self.seats)):
            self._schedule_tick(min(self.wakeup_s, now + self._times.grace_s))
        return []

    def _end_grace_period(self, now):
        self._is_grace_over = True
        return self._prepare(now)

    def _prepare_or_back_off(self, now):
        if len(self._countable_replies()) >= majority(len(self.seats)):
            return self._prepare(now)
        return self._back_off(now)

    def _process_promises(self, now):
        replies = self._countable_replies()
        if len(replies) < majority(len(self.seats)):
            return self._back_off_without_quorum(now)
        highest = max(replies, key=lambda reply: reply.accepted)
        attempt = Attempt(
            highest.cell,
            self._ballot,
            self.identity,
            self._sent_counter,
            max(reply.floor for reply in replies),
        )
        self._decision = decide(self.operation, attempt)
        if not self._decision.own and self._majority_cell(replies) is not None:
            return self._finish(self._decision.result)
        return self._propose(now)

    def _propose(self, now):
        if self._decision.own and self._sent_counter is None:
            self._sent_counter = self._ballot.counter
        accept = Accept(self.operation.key, self._ballot, self._decision.cell)
        return self._send("accept", accept, now)

    def _process_accepts(self, now):
        if len(self._countable_replies()) < majority(len(self.seats)):
            return self._back_off_without_quorum(now)
        is_collecting = (
            isinstance(self.operation, CollectOperation) and self._decision.own
        )
        if not is_collecting:
            return self._finish(self._decision.result)
        self._phase = "everywhere"
        return self._process_remaining_accepts(now)

    def _process_remaining_accepts(self, now):
        # A tombstone may be dropped only once every replica has accepted it: a replica
        # that still held an older value would restore it.
        if len(self._countable_replies()) == len(self.seats):
            forget = Forget(self.operation.key, self._ballot)
            return self._send("forget", forget, now)
        if self._outstanding_count() == 0:
            return self._finish(self._decision.result)
        return []

    def _process_forgets(self, now):
        if self._outstanding_count() == 0:
            return self._finish(self._decision.result)
        return []

    def _back_off_without_quorum(self, now):
        reachable = len(self._countable_replies()) + self._outstanding_count()
        if reachable >= majority(len(self.seats)):
            return []
        return self._back_off(now)

    def _back_off(self, now):
        # Competing proposers that retried immediately would pre-empt each other's
        # ballots indefinitely.
        self._phase = "pause"
        bound_s = min(
            self._times.backoff_s * 2**self._round_count, self._times.backoff_limit_s
        )
        self._schedule_tick(now + self._rng.uniform(0, bound_s))
        return []

    def _finish(self, result):
        self.result = result
        return []

    def _time_out(self):
        if self._phase in ("everywhere", "forget"):
            return self._finish(self._decision.result)
        missing = sorted(set(self.seats) - set(self._replies))
        detail = (
            f"no majority of {len(self.seats)} replicas for {self.operation.key!r} "
            f"in the {self._phase} phase; no vote from {', '.join(missing)}"
        )
        may_have_written = self._sent_counter is not None
        return self._finish(Failure(Unavailable(may_have_written, detail)))
