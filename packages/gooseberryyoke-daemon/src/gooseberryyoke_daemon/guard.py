"""The internal port: signatures first, then the routes of each role."""

from returns.result import Failure

from gooseberryyoke.outcome import Refusal, Verdict
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.metrics import METRICS_TYPE
from gooseberryyoke_daemon.wire import Response, json_response, problem_response

__all__ = ["Guard"]

_METRICS_PATH = "/metrics"
_OPEN_PATHS = (_METRICS_PATH, "/healthz")


class Guard:
    """
    Checks that a message comes from a process of the system.

    Parameters
    ----------
    verifier : Verifier
    routes : list of async callables
        Each gives a Response, or None if the path is not its own.
    metrics : Metrics
        Shown to anybody at ``/metrics``, as ``/healthz`` is.
    """

    def __init__(self, verifier, routes, metrics):
        self._verifier = verifier
        self._routes = routes
        self._metrics = metrics

    async def __call__(self, request):
        """
        Answer a message.

        Parameters
        ----------
        request : Request

        Returns
        -------
        Response
        """
        if request.method == "GET" and request.path in _OPEN_PATHS:
            return self._open(request.path)
        checked = self._verifier.verify(request)
        if isinstance(checked, Failure):
            refusal = checked.failure()
            self._metrics.count("messages_refused_total", reason=refusal.reason)
            log_event("message-refused", path=request.path, reason=refusal.reason)
            return problem_response(refusal)
        for route in self._routes:
            response = await route(request)
            if response is not None:
                return response
        detail = f"{request.method} {request.path} is no call of this process"
        return problem_response(Refusal(Verdict.NOT_RUN, 404, "not-found", detail))

    def _open(self, path):
        if path == _METRICS_PATH:
            kind = (("content-type", METRICS_TYPE),)
            return Response(200, kind, self._metrics.render())
        return json_response(200, {"status": "alive"})
