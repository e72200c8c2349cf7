"""The internal port: signatures first, then the routes of each role."""

from returns.result import Failure

from gooseberryyoke.outcome import Refusal, Verdict
from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.wire import problem_response

__all__ = ["Guard"]


class Guard:
    """
    Checks that a message comes from a process of the system.

    Parameters
    ----------
    verifier : Verifier
    routes : list of async callables
        Each gives a Response, or None if the path is not its own.
    """

    def __init__(self, verifier, routes):
        self._verifier = verifier
        self._routes = routes

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
        checked = self._verifier.verify(request)
        if isinstance(checked, Failure):
            refusal = checked.failure()
            log_event("message-refused", path=request.path, reason=refusal.reason)
            return problem_response(refusal)
        for route in self._routes:
            response = await route(request)
            if response is not None:
                return response
        detail = f"{request.method} {request.path} is no call of this process"
        return problem_response(Refusal(Verdict.NOT_RUN, 404, "not-found", detail))
