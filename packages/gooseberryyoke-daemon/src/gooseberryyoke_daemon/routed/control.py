"""A process that servers, operators and gateways report to."""

import trio

from gooseberryyoke_daemon.control.gateway_list import GatewayListStore
from gooseberryyoke_daemon.control.link import Links, Listener
from gooseberryyoke_daemon.control.load import ControlLoad
from gooseberryyoke_daemon.control.node import ControlNode
from gooseberryyoke_daemon.departures import DepartureStore
from gooseberryyoke_daemon.evacuations import EvacuationStore
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.routed.node import Node
from gooseberryyoke_daemon.seats.keeper import SeatFolders, SeatKeeper
from gooseberryyoke_daemon.seats.stored import SeatFile
from gooseberryyoke_daemon.tables.sweeper import TextSweeper

__all__ = ["Control"]

_HAND_OVER_S = 4.0
"""For a successor to copy the state; the platform ends a process some seconds later."""
_CONTROL_STOP_S = 0.3
"""For calls in flight at a control process that ends."""


class Control(Node):
    """
    A process that servers, operators and gateways report to.

    Parameters
    ----------
    settings : ControlSettings
    network : TcpNetwork or MemoryHost
    rng : random.Random
    open_disk : callable
        Takes a path and gives a FolderDisk or MemoryDisk.
    clock : Clock, optional
        For the times that are written to the durable state.

    Attributes
    ----------
    node : ControlNode
    """

    def __init__(self, settings, network, rng, open_disk, clock=None):
        super().__init__(settings.node, network, rng)
        self.keeper = SeatKeeper(
            str(settings.node.internal),
            lambda: self.contacts,
            self.seats,
            self.peers,
            self.client,
            SeatFolders(
                open_disk(f"{settings.data_folder}/registers"),
                SeatFile(open_disk(f"{settings.data_folder}/seat")),
                open_disk(f"{settings.data_folder}/founding"),
            ),
            rng,
            settings.node.founding,
            settings.node.seats,
            self.seats_changed,
            self._hear_stored,
        )
        evacuation_store = EvacuationStore(self.registers, settings.data_centres, clock)
        self.node = ControlNode(
            self.keeper,
            self.store,
            evacuation_store,
            DepartureStore(
                self.registers, self.keeper.address, self.keeper.seat, clock
            ),
            rng,
            GatewayListStore(self.registers),
        )
        self.load = ControlLoad()
        self._sweeper = TextSweeper(self.registers, self.node.news, self.keeper, rng)
        # Servers report to one control process, and entries to some. Who follows one
        # of the others must hear of all, and one that has just started does so at once.
        self._links = Links(
            self.client,
            self.keeper.live_controls,
            self.seats,
            _ControlListener(self),
            rng,
            own_address=self.keeper.address,
        )

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.registers.run)
            handlers = [self.load.count, self._serve_replica, self.node.handle]
            self.load.watch("internal", await self.serve_internal(nursery, handlers))
            await nursery.start(self.load.run)
            await nursery.start(self.keeper.run)
            await nursery.start(self.node.run)
            await nursery.start(self._links.run)
            nursery.start_soon(self._sweeper.run)
            task_status.started()
            log_event("started", role="control")

    def _hear_stored(self, key, value):
        self.node.hear_stored(key, value)

    async def _serve_replica(self, request):
        for served in (self.keeper.replica, self.keeper.founding):
            response = None if served is None else await served.handle(request)
            if response is not None:
                return response
        return None

    async def hand_over(self, timeout_s=_HAND_OVER_S):
        """
        Have a process without a seat take this one's; all calls are still served.

        Parameters
        ----------
        timeout_s : float
        """
        await self.keeper.hand_over(timeout_s)

    async def stop(self):
        """End calls in flight; the caller then cancels `run`."""
        self.node.leave()
        await trio.sleep(_CONTROL_STOP_S)


class _ControlListener(Listener):
    """Hands over what other control processes tell."""

    def __init__(self, control):
        self._control = control

    def servers(self, entries):
        self._control.node.pass_on(entries)

    def departures(self, departures):
        self._control.node.hear_departures(departures)

    def seats(self):
        self._control.seats_changed()

    def entries(self, address, entries, heard):
        self._control.node.hear_entries(address, entries, heard)

    def table(self, packed, told_s):
        self._control.node.hear_table(packed, told_s)

    def evacuation(self, packed, told_s):
        self._control.node.evacuations.hear(packed, told_s)

    def gateways(self, packed, told_s):
        self._control.node.gateways.hear(packed, told_s)
