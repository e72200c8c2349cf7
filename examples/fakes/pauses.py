"""A fake's times of trouble, in which it turns requests away and asks for pauses."""

from time import time

import orjson

from gooseberryyoke_daemon.wire import Response, json_response

__all__ = ["Pauses"]


class Pauses:
    """
    Turns requests away for some time, and notes what comes all the same.

    Parameters
    ----------
    clock : callable
        Gives seconds, the same ones as the clock of whoever checks.
    """

    def __init__(self, clock=time):
        self._clock = clock
        self._until_s = float("-inf")
        self._pause_s = 0.0
        self._asked = []
        self._arrivals = []

    def begin(self, request):
        """
        Begin a time of trouble.

        Parameters
        ----------
        request : Request
            With the JSON body ``{"for_s": ..., "pause_s": ...}``.

        Returns
        -------
        Response
        """
        try:
            body = orjson.loads(request.body)
            for_s, pause_s = float(body["for_s"]), float(body["pause_s"])
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
            return json_response(400, {"error": "expected for_s and pause_s"})
        self._until_s = self._clock() + for_s
        self._pause_s = pause_s
        return json_response(200, {})

    def refusal(self):
        """
        Note a request, and turn it away in a time of trouble.

        Returns
        -------
        Response or None
            None if it may be answered.
        """
        now = self._clock()
        self._arrivals.append(now)
        if now >= self._until_s:
            return None
        self._asked.append((now, self._pause_s))
        headers = [("retry-after", f"{self._pause_s:g}")]
        return Response(503, headers, b"")

    def show(self, request):
        """
        Tell all pauses that were asked for, and all arrivals.

        Returns
        -------
        Response
        """
        return json_response(200, {"asked": self._asked, "arrivals": self._arrivals})
