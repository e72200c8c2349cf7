"""Orders of the system to an engine, fenced or not."""

import orjson

from gooseberryyoke_daemon.wire import json_response

__all__ = ["Orders"]


class Orders:
    """
    Takes orders and keeps the list of those executed.

    Parameters
    ----------
    ignores_fencing : bool
        Whether an order with an old fencing number is executed all the same.
    """

    def __init__(self, ignores_fencing):
        self._ignores_fencing = ignores_fencing
        self._fencing = 0
        self.executed = []

    def take(self, request):
        """
        Answer an order.

        Parameters
        ----------
        request : Request
            With the JSON body ``{"fencing": 7, "kind": "load-model", ...}``.

        Returns
        -------
        Response
            409 for an old fencing number.
        """
        try:
            order = orjson.loads(request.body)
            fencing = int(order["fencing"])
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
            return json_response(400, {"error": "expected an order with fencing"})
        if fencing < self._fencing and not self._ignores_fencing:
            return json_response(409, {"error": "old fencing", "seen": self._fencing})
        self._fencing = max(self._fencing, fencing)
        self.executed.append(order)
        return json_response(200, {"fencing": fencing})
