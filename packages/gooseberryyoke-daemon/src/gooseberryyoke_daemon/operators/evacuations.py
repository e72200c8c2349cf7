"""The route by which operators see and order evacuations."""

import orjson
from returns.result import Failure

from gooseberryyoke.evacuation import EvacuationOrder, OrderKind
from gooseberryyoke_daemon.evacuations import OrderOvertaken, UnknownDataCentre
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.operators.answers import problem
from gooseberryyoke_daemon.wire import json_response

__all__ = ["EVACUATIONS_PATH", "EvacuationRoutes"]

EVACUATIONS_PATH = "/operator/evacuations"
_SHOWN_CHARS = 200


class EvacuationRoutes:
    """
    Answers the operators' client at a control process.

    Parameters
    ----------
    node : ControlNode
    """

    __slots__ = ("_node",)

    def __init__(self, node):
        self._node = node

    async def handle(self, request):
        """
        Answer a request of the client.

        Parameters
        ----------
        request : Request

        Returns
        -------
        Response or None
            None if the path is another's.
        """
        if request.path != EVACUATIONS_PATH:
            return None
        if request.method == "GET":
            return await self._list()
        if request.method == "POST":
            return await self._order(request)
        detail = f"found {request.method}, expected GET or POST"
        return problem(405, "bad-method", detail)

    async def _list(self):
        found = await self._node.evacuation_store.newest()
        if isinstance(found, Failure):
            return problem(503, "no-majority", found.failure().detail)
        return json_response(200, _shown(found.unwrap()))

    async def _order(self, request):
        try:
            order = _read_order(request.body)
        except ValueError as exc:
            return problem(400, "bad-order", str(exc))
        settled = await self._node.order_evacuation(order)
        if not isinstance(settled, Failure):
            return json_response(200, _shown(settled.unwrap()))
        why = settled.failure()
        if isinstance(why, UnknownDataCentre):
            detail = f"found {order.data_centre!r:.200}, expected a data centre"
            return _refuse(order, 404, "no-data-centre", detail)
        if isinstance(why, OrderOvertaken):
            detail = f"another order came first, at revision {why.revision}"
            return _refuse(order, 503, "overtaken", detail)
        return _refuse(order, 503, "no-majority", why.detail)


def _read_order(body):
    payload = orjson.loads(body)
    if not isinstance(payload, dict) or set(payload) != {"order", "data_centre"}:
        raise ValueError(f"found {body[:80]!r}, expected order and data_centre")
    data_centre = payload["data_centre"]
    if not isinstance(data_centre, str):
        raise ValueError(f"found data_centre {data_centre!r:.80}, expected text")
    return EvacuationOrder(OrderKind(payload["order"]), data_centre)


def _refuse(order, status, reason, detail):
    log_event(
        "evacuation-refused",
        level="warning",
        kind=order.kind.value,
        data_centre=order.data_centre[:_SHOWN_CHARS],
        status=status,
        why=detail,
    )
    return problem(status, reason, detail)


def _shown(state):
    return {
        "revision": state.revision,
        "evacuated": [
            {"data_centre": name, "since_ms": state.since_ms[name]}
            for name in state.data_centres
        ],
    }
