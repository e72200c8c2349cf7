"""Carries orders to the engine beside this process until they have taken effect."""

from enum import Enum

import trio

from gooseberryyoke.expert.armed import (
    Prepare,
    Progress,
    apply_order,
    order_from_json,
    order_progress,
)
from gooseberryyoke.outcome import Refusal, Verdict
from gooseberryyoke_daemon.groups.count_marks import CountMarks
from gooseberryyoke_daemon.groups.packing import pack, unpack
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.wire import (
    answer_json_call,
    json_response,
    problem_response,
)

__all__ = ["RANK_PATH", "OrderReply", "RankOrders", "deliver"]

RANK_PATH = "/internal/rank"

_RETRY_S = 0.03
_REPORT_LAG_S = 0.3
"""By which the state that engines tell other machines is old at most."""
_PREPARE_LIMIT_S = 2.8
_LIMIT_S = 1.2
"""For an order that needs no copy. Engines may leave several sendings unanswered."""


class OrderReply(Enum):
    """What an engine said to an order; ``DONE`` if its state is already so."""

    TAKEN = "taken"
    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class RankOrders:
    """
    The way of a group's driver to one engine.

    Each sending names the count of orders that the engine has begun. Of a sending
    without an answer and its repetition only one can take effect, and one that is
    carried out late, after a newer order, is refused by the engine.

    Parameters
    ----------
    engine : object
        With ``async status()``, ``async counts()`` (epoch, and counts by layer and
        expert), ``async experts()`` (by layer, of this rank), and
        ``async order(order, epoch, sequence, fence)`` giving an `OrderReply`; the
        first three give None if the engine doesn't answer.
    """

    def __init__(self, engine):
        self._engine = engine
        self._fence = 0
        self._counted = CountMarks()

    @property
    def fence(self):
        """The highest fencing number that a driver has shown here."""
        return self._fence

    async def handle(self, request):
        """
        Serve the driver's calls.

        Parameters
        ----------
        request : Request

        Returns
        -------
        Response or None
            None if the path is another's.
        """
        if request.path != RANK_PATH:
            return None
        return await answer_json_call(request, self._serve)

    async def _serve(self, payload):
        fence = payload["fence"]
        if fence < self._fence:
            # A driver that was frozen wakes up after another has taken its place.
            detail = f"fencing number {fence}, expected {self._fence} or more"
            refusal = Refusal(Verdict.NOT_RUN, 412, "old-fence", detail)
            return problem_response(refusal)
        self._fence = fence
        progress = None
        if payload.get("order") is not None:
            order = order_from_json(unpack(payload["order"]))
            progress = await self._carry_out(order, payload["epoch"], fence)
        return json_response(200, await self._say(payload, progress))

    async def _say(self, payload, progress):
        status = await self._engine.status()
        said = {"status": None if status is None else status.as_list()}
        if progress is not None:
            said["progress"] = progress.value
        if payload.get("counts"):
            said["counts"] = await self._counts_since(*payload["counts"])
        if payload.get("experts"):
            said["experts"] = await self._engine.experts()
        return said

    async def _counts_since(self, mark, since):
        counts = await self._engine.counts()
        if counts is None:
            return None
        growth = self._counted.growth(mark, since, *counts)
        return None if growth is None else pack(growth)

    async def _carry_out(self, order, epoch, fence):
        progress, _ = await deliver(self._engine, order, epoch, fence)
        return progress


async def deliver(engine, order, epoch, fence, known=None):
    """
    Give an engine an order until its state shows what became of it.

    Parameters
    ----------
    engine : object
        See `RankOrders`.
    order : Prepare, Hold, Arm or Release
    epoch, fence : int
    known : RankStatus, optional
        What an earlier order has shown, which a report may not show yet.

    Returns
    -------
    progress : Progress
        ``OPEN`` if it isn't known in time.
    status : RankStatus or None
        As it was seen last.
    """
    delivery = _Delivery(engine, order, epoch, fence, known)
    limit_s = _PREPARE_LIMIT_S if isinstance(order, Prepare) else _LIMIT_S
    with trio.move_on_after(limit_s):
        while not await delivery.step():
            await trio.sleep(_RETRY_S)
    log_event(
        "rank-order",
        order=type(order).__name__.lower(),
        epoch=epoch,
        fence=fence,
        sendings=delivery.sendings,
        progress=delivery.progress.value,
    )
    return delivery.progress, delivery.status


class _Delivery:
    """One order, sent until the engine's state shows what became of it."""

    __slots__ = (
        "progress",
        "sendings",
        "status",
        "_engine",
        "_order",
        "_epoch",
        "_fence",
        "_at",
        "_known",
        "_trusted_until_s",
    )

    def __init__(self, engine, order, epoch, fence, known):
        self._known = known
        self._trusted_until_s = trio.current_time() + _REPORT_LAG_S
        self.status = None
        self.progress = Progress.OPEN
        self.sendings = 0
        self._engine = engine
        self._order = order
        self._epoch = epoch
        self._fence = fence
        self._at = None

    def _newer(self, status):
        # A report that lags may not show yet that the group is held, and a release
        # would be taken for done without being sent.
        known = self._known
        if status is None or known is None or known.epoch != status.epoch:
            return status
        is_old = trio.current_time() > self._trusted_until_s
        return status if is_old or status.sequence > known.sequence else known

    async def step(self):
        """Look, and send if nothing shows that it was taken; True at the end."""
        status = self.status = self._newer(await self._engine.status())
        if status is None:
            return False
        if status.epoch != self._epoch:
            self.progress = Progress.MISSED
            return True
        self.progress = order_progress(self._order, status)
        if self.progress is not Progress.OPEN:
            return True
        if self._at is not None and status.sequence >= self._at:
            # Taken, and still being carried out.
            return False
        self.sendings += 1
        reply = await self._engine.order(
            self._order, self._epoch, status.sequence, self._fence
        )
        if reply is OrderReply.DONE and not isinstance(self._order, Prepare):
            # What an engine tells other machines is some tenths of a second old. Its
            # word that the state is already so is not, and the group is held until it
            # is known.
            self.progress = Progress.DONE
            self.status = apply_order(self._order, status)
            if self._at is not None:
                self.status = self.status.replace(sequence=self._at)
            return True
        if reply not in (OrderReply.TAKEN, OrderReply.DONE):
            # Its sequence may be another one than was concluded: the report tells.
            self._known = None
            return False
        self._at = status.sequence + 1
        return await self.step()
