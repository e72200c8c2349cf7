"""One operation on a register as a state machine without I/O."""

from returns.result import Failure, Success

from gooseberryyoke.record import Record
from gooseberryyoke.register.ballot import Ballot
from gooseberryyoke.register.errors import Unavailable
from gooseberryyoke.register.identity import largest_consistent, majority
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
    """A message to be sent to a seat."""

    __slots__ = ("seat", "message")

    def __init__(self, seat, message):
        self.seat = seat
        self.message = message


class ProposerTimes(Record):
    """
    Waiting times of a proposer.

    Parameters
    ----------
    round_s : float
        A round without a majority is given up after this.
    grace_s : float
        How long a read waits for the last replicas once a majority disagrees.
    backoff_s, backoff_limit_s : float
        First and longest upper bound of the random pause after a lost round.
    """

    __slots__ = ("round_s", "grace_s", "backoff_s", "backoff_limit_s")

    def __init__(self, round_s=0.5, grace_s=0.02, backoff_s=0.01, backoff_limit_s=0.5):
        self.round_s = round_s
        self.grace_s = grace_s
        self.backoff_s = backoff_s
        self.backoff_limit_s = backoff_limit_s


class Proposer:
    """
    One operation: emits messages, takes replies, ends with a result.

    Parameters
    ----------
    operation : ReadOperation or WriteOperation or CollectOperation
        What to do.
    identity : str
        Unique for each operation of each process; ballots carry it.
    seats : tuple of str
        All replicas' seats.
    rng : random.Random
        Source of the backoff after contention.
    deadline_s : float
        Time at which the operation is given up.
    counter : int
        Highest ballot counter that the caller has seen.
    times : ProposerTimes, optional
        Waiting times.

    Attributes
    ----------
    result : Result or None
        None while the operation goes on.
    wakeup_s : float
        When `tick` is due next.
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
        "_rounds",
        "_ballot",
        "_decision",
        "_sent_counter",
        "_grace_over",
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
        self._rounds = 0
        self._ballot = None
        self._decision = None
        self._sent_counter = None
        self._grace_over = False

    def start(self, now):
        """
        Begin.

        Parameters
        ----------
        now : float
            Time in seconds.

        Returns
        -------
        list of Outbound
        """
        if isinstance(self.operation, ReadOperation):
            message = Read(self.operation.key, self.identity)
            return self._send("read", message, now)
        return self._prepare(now)

    def receive(self, seat, reply, now):
        """
        Take a replica's reply.

        Parameters
        ----------
        seat : str
            Whom the answered message was sent to.
        reply : Record
            Any reply; one to an earlier round is ignored.
        now : float
            Time in seconds.

        Returns
        -------
        list of Outbound
        """
        if self.result is not None or now >= self._deadline_s:
            return self.tick(now)
        if isinstance(reply, Rejected):
            self.counter = max(self.counter, reply.promised.counter)
        if not self._expected(reply):
            return self.failed(seat, now) if self._refused(reply) else []
        self._replies[seat] = reply
        self._failed.discard(seat)
        return self._advance(now)

    def failed(self, seat, now):
        """
        Take the news that a seat won't answer this round's message.

        Parameters
        ----------
        seat : str
            Whom the message was sent to.
        now : float
            Time in seconds.

        Returns
        -------
        list of Outbound
        """
        if self.result is not None or seat in self._replies:
            return []
        self._failed.add(seat)
        return self._advance(now)

    def tick(self, now):
        """
        Act on the time.

        Parameters
        ----------
        now : float
            Time in seconds; calls before `wakeup_s` do nothing.

        Returns
        -------
        list of Outbound
        """
        if self.result is not None or now < self.wakeup_s:
            return []
        if now >= self._deadline_s:
            return self._give_up()
        if self._phase == "pause":
            return self._begin_again(now)
        if self._phase == "read":
            if not self._grace_over:
                return self._end_grace(now)
            return self._prepare(now)
        if self._phase in ("everywhere", "forget"):
            return self._finish(self._decision.result)
        return self._pause(now)

    def _begin_again(self, now):
        if isinstance(self.operation, ReadOperation) and self._ballot is None:
            # No majority has answered so far. A prepare would not help, and would
            # outrank the writers that are to bring the register about.
            self._rounds += 1
            return self.start(now)
        return self._prepare(now)

    def _send(self, phase, message, now):
        self._phase = phase
        self._replies = {}
        self._failed = set()
        self._wake(now + self._times.round_s)
        return [Outbound(seat, message) for seat in self.seats]

    def _wake(self, at_s):
        self.wakeup_s = min(at_s, self._deadline_s)

    def _prepare(self, now):
        self.counter += 1
        self._ballot = Ballot(self.counter, self.identity)
        self._rounds += 1
        return self._send("prepare", Prepare(self.operation.key, self._ballot), now)

    def _expected(self, reply):
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

    def _refused(self, reply):
        """Tell a refusal of this round from a late reply to an earlier one."""
        if isinstance(reply, Rejected):
            return reply.ballot == self._ballot and self._phase != "read"
        return not isinstance(reply, (Promise, Accepted, ReadReply, Forgotten))

    def _advance(self, now):
        step = {
            "read": self._after_read,
            "prepare": self._after_prepare,
            "accept": self._after_accept,
            "everywhere": self._after_everywhere,
            "forget": self._after_forget,
        }.get(self._phase)
        return step(now) if step else []

    def _counted(self):
        return largest_consistent(self._replies.values())

    def _outstanding(self):
        return len(self.seats) - len(self._failed | set(self._replies))

    def _agreed(self, counted):
        """Find the cell that a majority accepted under one ballot, if any."""
        votes = {}
        for reply in counted:
            if reply.copied:
                # A copied cell was never voted for here: counting it could show
                # a value as settled that a higher ballot has already outrun.
                continue
            votes.setdefault(reply.accepted, []).append(reply.cell)
        for cells in votes.values():
            if len(cells) >= majority(len(self.seats)):
                return cells[0]
        return None

    def _after_read(self, now):
        counted = self._counted()
        cell = self._agreed(counted)
        if cell is not None:
            return self._finish(Success(cell.versioned()))
        for reply in counted:
            self.counter = max(self.counter, reply.accepted.counter)
        if self._outstanding() == 0:
            return self._prepare_or_pause(now)
        if len(counted) >= majority(len(self.seats)):
            self._wake(min(self.wakeup_s, now + self._times.grace_s))
        return []

    def _end_grace(self, now):
        self._grace_over = True
        return self._prepare(now)

    def _prepare_or_pause(self, now):
        if len(self._counted()) >= majority(len(self.seats)):
            return self._prepare(now)
        return self._pause(now)

    def _after_prepare(self, now):
        counted = self._counted()
        if len(counted) < majority(len(self.seats)):
            return self._pause_if_hopeless(now)
        highest = max(counted, key=lambda reply: reply.accepted)
        attempt = Attempt(
            highest.cell,
            self._ballot,
            self.identity,
            self._sent_counter,
            max(reply.floor for reply in counted),
        )
        self._decision = decide(self.operation, attempt)
        if not self._decision.own and self._agreed(counted) is not None:
            return self._finish(self._decision.result)
        return self._propose(now)

    def _propose(self, now):
        if self._decision.own and self._sent_counter is None:
            self._sent_counter = self._ballot.counter
        accept = Accept(self.operation.key, self._ballot, self._decision.cell)
        return self._send("accept", accept, now)

    def _after_accept(self, now):
        if len(self._counted()) < majority(len(self.seats)):
            return self._pause_if_hopeless(now)
        collects = isinstance(self.operation, CollectOperation) and self._decision.own
        if not collects:
            return self._finish(self._decision.result)
        self._phase = "everywhere"
        return self._after_everywhere(now)

    def _after_everywhere(self, now):
        # A tombstone may be dropped only once every replica has accepted it: one
        # that still held an older value would bring it back.
        if len(self._counted()) == len(self.seats):
            forget = Forget(self.operation.key, self._ballot)
            return self._send("forget", forget, now)
        if self._outstanding() == 0:
            return self._finish(self._decision.result)
        return []

    def _after_forget(self, now):
        if self._outstanding() == 0:
            return self._finish(self._decision.result)
        return []

    def _pause_if_hopeless(self, now):
        reachable = len(self._counted()) + self._outstanding()
        if reachable >= majority(len(self.seats)):
            return []
        return self._pause(now)

    def _pause(self, now):
        # Proposers that restart at once overtake one another for ever.
        self._phase = "pause"
        longest = min(
            self._times.backoff_s * 2**self._rounds, self._times.backoff_limit_s
        )
        self._wake(now + self._rng.uniform(0, longest))
        return []

    def _finish(self, result):
        self.result = result
        return []

    def _give_up(self):
        if self._phase in ("everywhere", "forget"):
            return self._finish(self._decision.result)
        missing = sorted(set(self.seats) - set(self._replies))
        detail = (
            f"no majority of {len(self.seats)} replicas for {self.operation.key!r} "
            f"in the {self._phase} phase; no vote from {', '.join(missing)}"
        )
        may_have_written = self._sent_counter is not None
        return self._finish(Failure(Unavailable(may_have_written, detail)))
