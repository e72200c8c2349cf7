"""What an agent does for the rank beside it."""

import trio

from gooseberryyoke.expert import RankMapState
from gooseberryyoke.order import OrderGate, OrderOutcome
from gooseberryyoke_daemon.logs import log_event

__all__ = ["RankAgent"]

_RETRY_S = 1.0
_WAITING_ORDERS = 1


class RankAgent:
    """
    Keeps a rank's maps and orders, and has its engine load what is wanted.

    Parameters
    ----------
    rank : int
    incarnation : str
        Life of this agent, never used before.
    engine : object
        With ``async load_map(digest)``, ``async drop_map(digest)`` and
        ``async run_order(action)``, which return None or say what went wrong.
    window_steps : int
        How many steps ahead the rank is permitted.
    """

    def __init__(self, rank, incarnation, engine, window_steps):
        self.state = RankMapState(rank, incarnation)
        self.gate = OrderGate(incarnation)
        self._engine = engine
        self._window_steps = window_steps
        self._dropping = set()
        self._changed = trio.Event()
        self._orders_in, self._orders = trio.open_memory_channel(_WAITING_ORDERS)

    def receive(self, message):
        """
        Take a driver's message.

        Parameters
        ----------
        message : Record

        Returns
        -------
        RankReport
        """
        self.state, report = self.state.receive(message)
        self._changed.set()
        return report

    def permit(self, next_step, until_step, loaded):
        """
        Answer the engine's request for more steps.

        Parameters
        ----------
        next_step, until_step : int
            As of `RankMapState.observe`.
        loaded : iterable of str

        Returns
        -------
        Permit
        """
        # What is about to be dropped must not be promised or permitted, although
        # the engine still says that it has it.
        kept = set(loaded) - self._dropping
        self.state = self.state.observe(next_step, until_step, kept)
        self.state, permit = self.state.permit(self._window_steps, until_step)
        return permit

    def submit(self, order):
        """
        Take an order; an accepted one runs in `run`.

        Parameters
        ----------
        order : Order

        Returns
        -------
        OrderReply
        """
        reply = self.gate.submit(order)
        if reply.outcome is OrderOutcome.ACCEPTED:
            # The gate lets through one order at a time, so there is room.
            self._orders_in.send_nowait(order)
        return reply

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """
        Carry out orders and load maps until cancelled.

        Parameters
        ----------
        task_status : object
            Told at once.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_orders)
            nursery.start_soon(self._load_maps)
            task_status.started()

    async def _run_orders(self):
        async for order in self._orders:
            failure = await self._engine.run_order(order.action)
            reply = self.gate.finish(order.number, failure)
            log_event("order-ended", number=order.number, outcome=reply.outcome.value)

    async def _load_maps(self):
        while True:
            await self._changed.wait()
            self._changed = trio.Event()
            while digest := self._missing():
                await self._load(digest)
            for digest in self._surplus():
                await self._drop(digest)

    async def _load(self, digest):
        failure = await self._engine.load_map(digest)
        if failure is None:
            self.state = self.state.replace(loaded=self.state.loaded | {digest})
            return
        log_event("map-not-loaded", "warning", digest=digest, why=failure)
        await trio.sleep(_RETRY_S)

    async def _drop(self, digest):
        # A message that came meanwhile may want it again.
        if digest not in self._surplus():
            return
        self._dropping.add(digest)
        self.state = self.state.replace(loaded=self.state.loaded - {digest})
        await self._engine.drop_map(digest)
        self._dropping.discard(digest)

    def _wanted(self):
        state = self.state
        parts = (state.before, state.present, state.staged)
        return [part.digest for part in parts if part is not None]

    def _missing(self):
        missing = [name for name in self._wanted() if name not in self.state.loaded]
        return missing[0] if missing else None

    def _surplus(self):
        # An agent that knows no map doesn't know what its rank runs on.
        if self.state.present is None:
            return []
        return sorted(self.state.loaded - set(self._wanted()))
