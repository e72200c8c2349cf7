"""Driving map changes over HTTP and registers, by whoever holds the group's lease."""

import trio
from returns.result import Failure

from gooseberryyoke.expert import (
    MalformedMessageError,
    MapChange,
    MapRecord,
    ReadRecord,
    RecordSeen,
    Send,
    WriteRecord,
    decode_map_message,
    encode_map_message,
    map_message_kind,
)
from gooseberryyoke.register import Conflict
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.wire import WireError

__all__ = ["MapDriver"]

_REPORT_STATUSES = (200, 409)


class MapDriver:
    """
    Changes the expert map of one group.

    Parameters
    ----------
    group : str
        Name of the group, for its register.
    first : MapSegment
        Map that the group was formed with, in force if the register is empty.
    addresses : sequence of Address
        Of the agents, by rank.
    registers : RegisterClient
    client : HttpClient
    lease : LeaseKeeper
        Of the group; its fencing number goes with every message.
    margin_steps : int
        How far past the last permitted step a switch is put.
    poll_s : float
        Pause between rounds.
    timeout_s : float
        For one exchange with an agent or the register.
    """

    def __init__(
        self,
        group,
        first,
        addresses,
        registers,
        client,
        lease,
        margin_steps,
        poll_s=0.2,
        timeout_s=1.0,
    ):
        self._group = group
        self._key = f"expert-map/{group}"
        self._first = MapRecord(first)
        self._addresses = list(addresses)
        self._registers = registers
        self._client = client
        self._lease = lease
        self._margin_steps = margin_steps
        self._poll_s = poll_s
        self._timeout_s = timeout_s

    async def change(self, target, stage_timeout_s):
        """
        Change the map, or finish what an earlier driver began.

        Parameters
        ----------
        target : str or None
            Digest of the new map; None brings the ranks to the one decided last.
        stage_timeout_s : float
            The change is given up if it isn't decided by then.

        Returns
        -------
        ChangePhase or None
            The last phase; None if the lease is not held, or was lost.
        """
        grant = self._lease.grant()
        if grant is None:
            return None
        change = MapChange(
            grant.number, len(self._addresses), target, self._margin_steps
        )
        gives_up_s = trio.current_time() + stage_timeout_s
        while not change.phase.final and self._holds(grant):
            change = await self._round(change)
            if trio.current_time() >= gives_up_s:
                change = change.cancel()
            await trio.sleep(self._poll_s)
        log_event("map-change-ended", group=self._group, phase=change.phase.value)
        return change.phase if change.phase.final else None

    def _holds(self, grant):
        held = self._lease.grant()
        return held is not None and held.number == grant.number

    async def _round(self, change):
        events = []
        async with trio.open_nursery() as nursery:
            for effect in change.poll():
                nursery.start_soon(self._carry_out, effect, events)
        for event in events:
            if isinstance(event, RecordSeen):
                change = change.record_seen(event)
            else:
                change = change.report_seen(event)
        return change

    async def _carry_out(self, effect, events):
        event = await (
            self._send(effect) if isinstance(effect, Send) else self._operate(effect)
        )
        if event is not None:
            events.append(event)

    async def _send(self, effect):
        path = f"/internal/map/{map_message_kind(effect.message)}"
        address = self._addresses[effect.rank]
        payload = encode_map_message(effect.message)
        try:
            reply = await self._client.json(
                "POST", address, path, payload, timeout_s=self._timeout_s
            )
            if reply.status not in _REPORT_STATUSES:
                return None
            return decode_map_message("rankreport", reply.payload)
        except (WireError, MalformedMessageError):
            return None

    async def _operate(self, effect):
        tag = effect.tag if isinstance(effect, ReadRecord) else None
        if isinstance(effect, WriteRecord):
            value = encode_map_message(effect.record)
            result = await self._registers.write(
                self._key, effect.version, value, self._timeout_s
            )
        else:
            result = await self._registers.read(self._key, self._timeout_s)
        if isinstance(result, Failure):
            # Unknown whether it was written: nothing is told, and the next
            # round writes again under the same version.
            error = result.failure()
            return self._seen(error.current) if isinstance(error, Conflict) else None
        return self._seen(result.unwrap(), tag)

    def _seen(self, versioned, tag=None):
        if versioned.value is None:
            return RecordSeen(versioned.version, self._first, tag)
        record = decode_map_message("maprecord", versioned.value)
        return RecordSeen(versioned.version, record, tag)
