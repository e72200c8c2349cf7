"""Finds the other control processes, and the seat of this one."""

from itertools import takewhile

import trio

from gooseberryyoke.seat import (
    Candidate,
    Holder,
    founder_incarnation,
    may_vote_again,
)
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.paths import SEATS_PATH
from gooseberryyoke_daemon.replica import Replica, SeatOffer
from gooseberryyoke_daemon.seats.founding import Founding, VoteLost
from gooseberryyoke_daemon.seats.hand_over import SeatHandOver
from gooseberryyoke_daemon.seats.heard import VACANT_S, HeardControls
from gooseberryyoke_daemon.seats.record_keeper import RecordKeeper
from gooseberryyoke_daemon.storage import DiskFailed
from gooseberryyoke_daemon.wire import Address, WireError

__all__ = ["SeatFolders", "SeatKeeper"]

_GREET_S = 0.5
_FIRST_GREET_S = 0.1
_FIRST_S = 3.0
"""From the start, in which a replica that doesn't vote yet greets faster. Later it is
others that it waits for, and what it asks of them keeps them from answering."""
_GREET_TIMEOUT_S = 0.4
_DISK_PAUSE_S = 1.0
"""After a disk's failure until the replica is started again on its folder, and after
the loss of a seat until another is looked for: the new holder is known by then."""


class SeatFolders:
    """
    Where a control process keeps its part of the durable state.

    Parameters
    ----------
    registers : FolderDisk or MemoryDisk
        Of the replica.
    seat_file : SeatFile
    vote : FolderDisk or MemoryDisk
        Of the vote on the founders.
    """

    __slots__ = ("registers", "seat_file", "vote")

    def __init__(self, registers, seat_file, vote):
        self.registers = registers
        self.seat_file = seat_file
        self.vote = vote


class SeatKeeper:
    """
    Runs the replica of a control process.

    Parameters
    ----------
    address : str
        Of this process, for internal calls.
    contacts : callable
        Gives the addresses to ask; the settings may change them.
    seats : SeatMap
        Shared with `SeatPeers`.
    peers : SeatPeers
    client : HttpClient
    folders : SeatFolders
    rng : random.Random
    founding : bool
        The deployment starts for the first time: if this process is one of the
        contacts, it votes on the founders.
    size : int
        Number of seats of a deployment that is founded.
    on_seats : callable
        Called when the seats have changed.
    on_stored : callable, optional
        See `Replica`.

    Attributes
    ----------
    replica : Replica or None
        None while this process holds no seat.
    founding : Founding or None
        While this process votes on the founders.
    heard : HeardControls
        The other control processes.
    """

    def __init__(
        self,
        address,
        contacts,
        seats,
        peers,
        client,
        folders,
        rng,
        founding,
        size,
        on_seats=lambda: None,
        on_stored=None,
    ):
        self.address = address
        self.replica = None
        self.founding = None
        self.heard = HeardControls(address)
        self._contacts = contacts
        self._seats = seats
        self._peers = peers
        self._client = client
        self._disk = folders.registers
        self._vote_disk = folders.vote
        self._rng = rng
        self._is_first_start = founding
        self._size = size
        self._on_seats = on_seats
        self._on_stored = on_stored
        self._saved = RecordKeeper(folders.registers, folders.seat_file, seats)
        self._is_candidate = False
        self._started_s = 0.0
        self._sit_after_s = float("-inf")
        self._seat_scope = None
        self._stops = False
        self._hand_over = SeatHandOver(address, seats, self.heard)
        self._is_woken = trio.Event()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """
        Hold a seat if there is one for this process, until cancelled.

        Parameters
        ----------
        task_status : trio.TaskStatus
            Told at once.
        """
        self._started_s = trio.current_time()
        await self._saved.load()
        if self._seats.merge(self._saved.record.seats):
            self._on_seats()
        if self._saved.record.seat is None:
            await self._saved.withdraw(self._saved.record.joining)
        async with trio.open_nursery() as nursery:
            task_status.started()
            if self._saved.record.seat is not None:
                self._sit(self._saved.record.seat, nursery)
            nursery.start_soon(self._found)
            await self._keep_in_touch(nursery)

    async def _found(self):
        """Take part in founding the deployment, until its seats are known."""
        self._is_candidate = not await self._disk.run(self._disk.names)
        while self._saved.record.nonce is None:
            electors = self._contacts() if self._is_first_start else ()
            await self._saved.save(nonce=self._new_nonce(), electors=electors)
        while not self._seats.holders:
            if self.address in self._saved.record.electors:
                await self._vote(self._saved.record.electors)
            elif self._may_elect_anew():
                await self._vote_anew()
            else:
                await trio.sleep(_FIRST_GREET_S)
        self._is_candidate = False
        await self._saved.save()

    async def _vote(self, electors):
        size = self._size or len(electors)
        self.founding = Founding(
            self.address,
            electors,
            size,
            self._seats,
            self._vote_disk,
            self._client,
            self._rng,
        )
        try:
            await self.founding.run(self._candidates)
            if self._seats.holders:
                self._on_seats()
        except* VoteLost:
            await self._saved.save_surely(electors=())
            log_event("founding-vote-lost", level="error")
        finally:
            self.founding = None

    async def _vote_anew(self):
        try:
            if await self._disk.run(self._vote_disk.names):
                await self._disk.run(self._vote_disk.set_aside, "lost")
        except OSError as exc:
            log_event("folder-kept", level="error", why=str(exc))
            await trio.sleep(_DISK_PAUSE_S)
            return
        log_event("founding-vote-anew", level="warning")
        await self._saved.save_surely(electors=self._contacts())

    def _may_elect_anew(self):
        contacts = self._contacts()
        if self.address not in contacts:
            return False
        unfounded_s = trio.current_time() - self._started_s
        heard = {self.address, *self.heard.lately(trio.current_time())}
        return may_vote_again(contacts, heard, unfounded_s)

    def _candidates(self):
        """List the processes with an empty folder that were heard of lately."""
        nonces = self.heard.nonces(trio.current_time())
        if self._is_candidate:
            nonces[self.address] = self._saved.record.nonce
        return [Candidate(address, nonce) for address, nonce in nonces.items()]

    def _new_nonce(self):
        return f"{self._rng.getrandbits(64):016x}"

    async def _keep_in_touch(self, nursery):
        while True:
            await self._greet_all()
            if self.replica is None:
                self._look_for_seat(nursery)
            elif self.replica.is_taken_over or self._is_succeeded():
                await self._leave_seat()
            elif self.replica.unjoined is not None:
                self.replica.offer = self._offer_of(self.replica.seat)
            elif self.replica.is_ready:
                await self._announce()
            with trio.move_on_after(self._greet_pause_s()):
                await self._is_woken.wait()
            self._is_woken = trio.Event()

    def _is_succeeded(self):
        if not self.replica.is_handed_over:
            return False
        return self._seats.holders[self.replica.seat].address != self.address

    def _offer_of(self, seat):
        """Give the offer of a seat's holder, None without one."""
        holder = self._seats.holders.get(seat)
        if holder is None or holder.address not in self._offers():
            return None
        return SeatOffer(self._peers.at(holder.address), self.address)

    def _offers(self):
        return self.heard.offering(trio.current_time()) if self._may_succeed() else []

    def _greet_pause_s(self):
        is_settled = self.replica is not None and self.replica.is_ready
        is_early = trio.current_time() - self._started_s < _FIRST_S
        return _FIRST_GREET_S if is_early and not is_settled else _GREET_S

    def _sit(self, seat, nursery):
        founders = self._founders_with(seat)
        log_event("seat-taken", seat=seat, founds=founders is not None)
        peers = self._peers.by_seat()
        peers.pop(seat, None)
        replica = Replica(
            seat,
            self._disk,
            peers,
            self._rng,
            founders=founders,
            forget_founders=self._renew_nonce,
            on_joining=self._keep_seat,
            on_confirming=self._saved.note_asking,
            on_withdrawn=self._saved.withdraw,
            withdrawn=self._all_withdrawn,
            on_stored=self._on_stored,
        )
        replica.offer = self._offer_of(seat)
        self.replica = self._peers.own = replica
        self._seat_scope = trio.CancelScope()
        nursery.start_soon(self._run_replica, replica)

    def _founders_with(self, seat):
        """Give the founders if this process, with this folder, is the one of a seat."""
        holder = self._seats.holders.get(seat)
        if holder is None or self._saved.record.nonce is None:
            return None
        own = Holder(founder_incarnation(self._saved.record.nonce), self.address)
        if holder != own:
            return None
        return {
            seat: holder.incarnation
            for seat, holder in self._seats.holders.items()
            if not holder.is_vacant
        }

    async def _renew_nonce(self):
        """Make sure that this process never begins as a founder again."""
        await self._saved.save_surely(nonce=self._new_nonce())

    async def _keep_seat(self, seat):
        """Make sure that this process takes this seat again when it is back."""
        await self._saved.save_surely(seat=seat)

    def _all_withdrawn(self):
        return self.heard.withdrawn.union(self._saved.record.withdrawn)

    async def _leave_seat(self):
        """
        Give up a seat that another process has taken meanwhile.

        The folder can't vote again under its identity. Kept, it would leave this
        process idle for good, and the next lost holder without a successor.
        """
        self._seat_scope.cancel()
        replica = self.replica
        while self.replica is not None:
            await trio.sleep(_FIRST_GREET_S)
        # In this order: an empty folder under the old seat would take it back.
        await self._saved.leave_seat(replica.unjoined, self._new_nonce())
        try:
            await self._disk.run(self._disk.set_aside, "taken-over")
        except OSError as exc:
            # Whoever sits down on the old folder next sets it aside.
            log_event("folder-kept", level="error", why=str(exc))

    async def _run_replica(self, replica):
        try:
            with self._seat_scope:
                await replica.run()
        except* (DiskFailed, OSError) as group:
            # A full or stalled disk recovers. Until then this process goes on without
            # its replica: servers and gateways report to it all the same.
            reasons = "; ".join(str(exc) for exc in group.exceptions)
            log_event("replica-ended", level="error", seat=replica.seat, why=reasons)
        self.replica = self._peers.own = None
        self._sit_after_s = trio.current_time() + _DISK_PAUSE_S

    async def _announce(self):
        replica = self.replica
        self._note_own_seat(replica)
        # If this fails it is tried again with the next round; until then the addresses
        # in the older file still lead to the others.
        await self._saved.save(seat=replica.seat, joining=None)

    def _note_own_seat(self, replica):
        incarnation = replica.acceptor.state.incarnation
        if self._seats.set_if_later(replica.seat, Holder(incarnation, self.address)):
            self._on_seats()

    async def hand_over(self, timeout_s):
        """
        Have a process without a seat take this one's, before this process stops.

        A machine that is taken away for good after its successor was started would
        leave the state on one disk less until the successor noticed its silence.

        Parameters
        ----------
        timeout_s : float
        """
        self._stops = True
        replica = self.replica
        is_holder = replica is not None and replica.is_ready
        if not is_holder or not self._hand_over.has_spare():
            await self._greet_all()
            return
        # It may have begun to vote since the last round of greetings.
        self._note_own_seat(replica)
        if await self._hand_over.run(replica, self._greet, timeout_s):
            self._peers.own = None

    def _look_for_seat(self, nursery):
        if self._stops or trio.current_time() < self._sit_after_s:
            return
        seat = self._own_seat() or self._offered_seat() or self._seat_to_take()
        if seat is not None:
            self._sit(seat, nursery)

    def _own_seat(self):
        """Give the seat that the others know this process to hold, None without one."""
        seat = self._seats.seat_at(self.address)
        if seat is None or self._founders_with(seat) is not None:
            return seat
        # Its folder is lost. One process alone may tell of a seat held long ago.
        heard = set(self.heard.lately(trio.current_time()))
        others = self._seats.addresses() & heard
        return seat if 2 * len(others) > len(self._seats.holders) else None

    def _offered_seat(self):
        seats = (self._seats.seat_at(address) for address in self._offers())
        return next((seat for seat in seats if seat is not None), None)

    def _may_succeed(self):
        """
        Tell whether this process would take the seat of a holder that stops.

        One that doesn't hear most of the others would be of no use in it.
        """
        if self._stops or not self._hears_majority():
            return False
        is_free = self.replica is None or self.replica.unjoined is not None
        return is_free and trio.current_time() >= self._sit_after_s

    def _hears_majority(self):
        return 2 * len(self._heard_seats()) > len(self._seats.holders)

    def _seat_to_take(self):
        if trio.current_time() - self._started_s < VACANT_S:
            return None
        held = self._seats.addresses()
        free = sorted(self._seats.holders.keys() - self._heard_seats())
        # Others must be heard, or the silence is this process's own.
        if not self._hears_majority():
            return None
        # Each of several processes without a seat takes another one. Two that took
        # the same would copy the state for nothing, and one of them start again.
        # One that has left or is about to must not count.
        unseated = [address for address in self._staying() if address not in held]
        place = unseated.index(self.address)
        return free[place] if place < len(free) else None

    def _heard_seats(self):
        now = trio.current_time()
        return {
            seat
            for seat, holder in self._seats.holders.items()
            if not holder.is_vacant
            and not self.heard.is_handing_over(holder.address)
            and now - self.heard.at_s(holder.address, self._started_s) <= VACANT_S
        }

    async def _greet_all(self):
        addresses = set(self._contacts()) | self.heard.known()
        addresses |= self._seats.addresses()
        addresses.discard(self.address)
        async with trio.open_nursery() as nursery:
            for address in addresses:
                nursery.start_soon(self._greet, address)
        self.heard.forget_silent(trio.current_time())

    async def _greet(self, address):
        payload = {"address": self.address, "seats": self._seats.to_json()}
        try:
            reply = await self._client.json(
                "POST",
                Address.parse(address),
                SEATS_PATH,
                payload | self._told_of_itself(),
                timeout_s=_GREET_TIMEOUT_S,
                repeatable=True,
            )
            self.hear(address, reply.payload)
        except WireError:
            # A silent contact shows in `controls`; it is asked again in a moment.
            return
        except (AttributeError, KeyError, TypeError, ValueError) as exc:
            log_event(
                "greeting-unreadable", level="warning", address=address, why=str(exc)
            )

    def hear(self, address, payload):
        """
        Take over what another control process says.

        Parameters
        ----------
        address : str
            Its address.
        payload : dict
            With ``seats``, ``controls`` that it knows, and its ``nonce`` while it
            may become a founder.

        Returns
        -------
        dict
            What this process says in turn.
        """
        if self._seats.merge(payload["seats"]):
            log_event("seats-changed", seats=self._seats.to_json(), told_by=address)
            self._on_seats()
        now = trio.current_time()
        if self.heard.note(address, payload, now):
            log_event("control-reached", address=address)
        if address in self._offers() and self.replica is None:
            self._is_woken.set()
        return self.say() | self._told_of_itself()

    def _told_of_itself(self):
        return {
            "nonce": self._saved.record.nonce if self._is_candidate else None,
            "withdrawn": self._saved.told_withdrawn(),
            "hands_over": self._hand_over.is_open,
            "successor": self._hand_over.successor,
            "stops": self._stops,
            "may_succeed": self._may_succeed(),
        }

    def say(self):
        """
        Tell the seats, and the control processes heard of lately.

        Returns
        -------
        dict
        """
        return {"seats": self._seats.to_json(), "controls": self.live_controls()}

    def seat(self):
        """
        Tell the seat of this process.

        Returns
        -------
        str or None
        """
        return None if self.replica is None else self.replica.seat

    def is_first_holder(self):
        """
        Tell whether this process does what one process does for all.

        Returns
        -------
        bool
            Whether it votes, and no other live holder of a seat comes before it. At
            times two processes take themselves for the first.
        """
        if self.replica is None or not self.replica.is_ready:
            return False
        held = self._seats.addresses()
        holders = (address for address in self._staying() if address in held)
        return next(holders, None) == self.address

    def _staying(self):
        """List the control processes that aren't about to end, in order."""
        staying = self.heard.staying(trio.current_time())
        return sorted(staying if self._stops else [self.address, *staying])

    def hears_all_seats(self):
        """Tell whether the holders of all other seats were heard of lately."""
        others = self._seats.holders.keys() - {self.seat()}
        return others <= self._heard_seats()

    def stored_cells(self, prefix):
        """
        List the registers that the replica of this process holds.

        Parameters
        ----------
        prefix : str
            Of the keys.

        Returns
        -------
        dict of str to Cell
            By key.
        """
        if self.replica is None or self.replica.acceptor is None:
            return {}
        slots = self.replica.acceptor.state.slots
        keys = takewhile(lambda key: key.startswith(prefix), slots.irange(prefix))
        return {key: slots[key].cell for key in keys}

    def live_controls(self):
        """
        List the control processes that answered lately, this one included.

        Returns
        -------
        list of str
        """
        return self.heard.live(trio.current_time())
