"""Finds the other control processes, and the seat of this one."""

import trio

from gooseberryyoke.seat import Holder
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.paths import SEATS_PATH
from gooseberryyoke_daemon.replica import Replica
from gooseberryyoke_daemon.storage import DiskFailed
from gooseberryyoke_daemon.wire import Address, WireError

__all__ = ["SeatKeeper"]

_GREET_S = 0.5
_FIRST_GREET_S = 0.1
_FIRST_S = 3.0
"""From the start, in which a replica that doesn't vote yet greets faster. Later it is
others that it waits for, and what it asks of them keeps them from answering."""
_GREET_TIMEOUT_S = 0.4
_FORGET_S = 60.0
_DISK_PAUSE_S = 1.0
"""After a disk's failure until the replica is started again on its folder, and after
the loss of a seat until another is looked for: the new holder is known by then."""
_VACANT_S = 2.5
"""Silence of a holder after which a process without a seat takes it. Longer than a
process takes to start again; a holder that returns later finds that it has lost the
seat, and its votes count no more, so that too short a time costs a copy, not state."""


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
    register_disk : FolderDisk or MemoryDisk
    seat_file : SeatFile
    rng : random.Random
    founding : bool
        The deployment starts for the first time: this process holds the seat at
        which ``seats`` names its address, and may begin with an empty state.

    Attributes
    ----------
    replica : Replica or None
        None while this process holds no seat.
    controls : dict of str to float
        Addresses of control processes, with the time of their last answer.
    """

    def __init__(
        self,
        address,
        contacts,
        seats,
        peers,
        client,
        register_disk,
        seat_file,
        rng,
        founding,
        on_seats=lambda: None,
    ):
        self.address = address
        self.replica = None
        self.controls = {}
        self._told = {}
        self._contacts = contacts
        self._seats = seats
        self._peers = peers
        self._client = client
        self._disk = register_disk
        self._file = seat_file
        self._rng = rng
        self._founding = seats.founding() if founding else frozenset()
        self._on_seats = on_seats
        self._saved = None
        self._started_s = 0.0
        self._sit_after_s = float("-inf")
        self._seat_scope = None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """
        Hold a seat if there is one for this process, until cancelled.

        Parameters
        ----------
        task_status : trio.TaskStatus
            Told at once.
        """
        self._started_s = trio.current_time()
        seat, stored = await self._disk.run(self._file.load)
        if self._seats.merge(stored.to_json()):
            self._on_seats()
        if seat is None and self._founding:
            seat = self._seats.seat_at(self.address)
        async with trio.open_nursery() as nursery:
            task_status.started()
            if seat is not None:
                self._sit(seat, nursery, self._founding)
            await self._keep_in_touch(nursery)

    async def _keep_in_touch(self, nursery):
        while True:
            await self._greet_all()
            if self.replica is None:
                self._look_for_seat(nursery)
            elif self.replica.is_taken_over:
                await self._leave_seat()
            elif self.replica.is_ready:
                await self._announce()
            await trio.sleep(self._greet_pause_s())

    def _greet_pause_s(self):
        is_settled = self.replica is not None and self.replica.is_ready
        is_early = trio.current_time() - self._started_s < _FIRST_S
        return _FIRST_GREET_S if is_early and not is_settled else _GREET_S

    def _sit(self, seat, nursery, founding=frozenset()):
        may_found = bool(founding)
        log_event("seat-taken", seat=seat, may_found=may_found)
        peers = self._peers.by_seat()
        peers.pop(seat, None)
        replica = Replica(
            seat,
            self._disk,
            peers,
            self._rng,
            may_found=may_found,
            founding=founding,
        )
        self.replica = self._peers.own = replica
        self._seat_scope = trio.CancelScope()
        nursery.start_soon(self._run_replica, replica)

    async def _leave_seat(self):
        """
        Give up a seat that another process has taken meanwhile.

        The folder can't vote again under its identity. Kept, it would leave this
        process idle for good, and the next lost holder without a successor.
        """
        self._seat_scope.cancel()
        while self.replica is not None:
            await trio.sleep(_FIRST_GREET_S)
        try:
            # In this order: an empty folder under the old seat would take it back.
            await self._disk.run(self._file.save, None, self._seats)
            await self._disk.run(self._disk.set_aside, "taken-over")
        except OSError as exc:
            # Whoever sits down on the old folder next sets it aside.
            log_event("folder-kept", level="error", why=str(exc))

    async def _run_replica(self, replica):
        try:
            with self._seat_scope:
                await replica.run()
        except* DiskFailed as group:
            # A full or stalled disk recovers. Until then this process goes on without
            # its replica: servers and gateways report to it all the same.
            reasons = "; ".join(str(exc) for exc in group.exceptions)
            log_event("replica-ended", level="error", seat=replica.seat, why=reasons)
        self.replica = self._peers.own = None
        self._sit_after_s = trio.current_time() + _DISK_PAUSE_S

    async def _announce(self):
        replica = self.replica
        incarnation = replica.acceptor.state.incarnation
        if self._seats.take(replica.seat, Holder(incarnation, self.address)):
            self._on_seats()
        packed = self._seats.to_json()
        if packed == self._saved:
            return
        try:
            await self._disk.run(self._file.save, replica.seat, self._seats)
            self._saved = packed
        except OSError as exc:
            # Tried again with the next round; until then the older file holds, whose
            # addresses still lead to the others.
            log_event("seat-file-unsaved", level="error", why=str(exc))

    def _look_for_seat(self, nursery):
        if trio.current_time() < self._sit_after_s:
            return
        seat = self._seats.seat_at(self.address) or self._seat_to_take()
        if seat is not None:
            self._sit(seat, nursery)

    def _seat_to_take(self):
        if trio.current_time() - self._started_s < _VACANT_S:
            return None
        held = self._seats.addresses()
        free = sorted(self._seats.holders.keys() - self._heard_seats())
        # Others must be heard, or the silence is this process's own.
        heard = len(self._seats.holders) - len(free)
        if heard <= len(self._seats.holders) // 2:
            return None
        # Each of several processes without a seat takes another one. Two that took
        # the same would copy the state for nothing, and one of them start again.
        unseated = sorted(a for a in self.live_controls() if a not in held)
        place = unseated.index(self.address)
        return free[place] if place < len(free) else None

    def _heard_seats(self):
        now = trio.current_time()
        return {
            seat
            for seat, holder in self._seats.holders.items()
            if not holder.is_vacant
            and now - self.controls.get(holder.address, self._started_s) <= _VACANT_S
        }

    async def _greet_all(self):
        addresses = set(self._contacts()) | self.controls.keys() | self._told.keys()
        addresses |= self._seats.addresses()
        addresses.discard(self.address)
        async with trio.open_nursery() as nursery:
            for address in addresses:
                nursery.start_soon(self._greet, address)
        self._forget_silent()

    def _forget_silent(self):
        # Machines are replaced at other addresses; greeting all that ever were would
        # hold each round up. One that others still hear is told by them again.
        now = trio.current_time()
        for times in (self.controls, self._told):
            for address, at_s in list(times.items()):
                if now - at_s > _FORGET_S:
                    del times[address]

    async def _greet(self, address):
        payload = {"address": self.address, "seats": self._seats.to_json()}
        try:
            reply = await self._client.json(
                "POST",
                Address.parse(address),
                SEATS_PATH,
                payload,
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
            With ``seats``, and ``controls`` that it knows.

        Returns
        -------
        dict
            What this process says in turn.
        """
        if self._seats.merge(payload["seats"]):
            log_event("seats-changed", seats=self._seats.to_json(), told_by=address)
            self._on_seats()
        self._note_control(address)
        for other in payload.get("controls", ()):
            self._told[str(other)] = trio.current_time()
        return self.say()

    def _note_control(self, address):
        now = trio.current_time()
        before = self.controls.get(address)
        self.controls[address] = now
        if before is None or now - before > _VACANT_S:
            log_event("control-reached", address=address)

    def say(self):
        """
        Tell the seats, and the control processes heard of lately.

        Returns
        -------
        dict
        """
        return {"seats": self._seats.to_json(), "controls": self.live_controls()}

    def live_controls(self):
        """
        List the control processes that answered lately, this one included.

        Returns
        -------
        list of str
        """
        now = trio.current_time()
        live = [a for a, at in self.controls.items() if now - at < 4 * _VACANT_S]
        return sorted([self.address, *live])
