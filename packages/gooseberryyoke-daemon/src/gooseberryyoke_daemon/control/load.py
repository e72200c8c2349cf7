"""What a control process is asked, and how well it keeps up."""

from trio import TASK_STATUS_IGNORED, current_time, sleep

from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.paths import FOLLOW_PATH, SEATS_PATH, TABLE_PATH
from gooseberryyoke_daemon.registers import REGISTER_PATH

__all__ = ["ControlLoad"]

_TELL_S = 5.0
_TICK_S = 0.25
_NAMES = {
    FOLLOW_PATH: "follows",
    SEATS_PATH: "greetings",
    REGISTER_PATH: "registers",
    TABLE_PATH: "tables",
}
_OTHER = "others"


class ControlLoad:
    """
    Counts calls and connections, and logs them with the longest delay of a timer.

    A process that is asked more than it can answer looks to its callers like one that
    is gone: only these figures tell the two apart.
    """

    __slots__ = ("_calls", "_late_s", "_servers")

    def __init__(self):
        self._calls = {}
        self._servers = {}
        self._late_s = 0.0

    def watch(self, name, server):
        """
        Count the connections of a server.

        Parameters
        ----------
        name : str
        server : HttpServer
        """
        self._servers[name] = server

    async def count(self, request):
        """
        Count a call, and leave it to the next handler.

        Parameters
        ----------
        request : Request

        Returns
        -------
        None
        """
        name = _NAMES.get(request.path, _OTHER)
        self._calls[name] = self._calls.get(name, 0) + 1

    async def run(self, task_status=TASK_STATUS_IGNORED):
        """Log the counts every five seconds, until cancelled."""
        task_status.started()
        while True:
            began_s = current_time()
            await self._watch(began_s + _TELL_S)
            log_event(
                "control-load",
                span_ms=round((current_time() - began_s) * 1000),
                latest_timer_ms=round(self._late_s * 1000),
                open={n: s.open_connections for n, s in self._servers.items()},
                accepted={n: s.counts["accepted"] for n, s in self._servers.items()},
                **self._calls,
            )
            self._calls, self._late_s = {}, 0.0

    async def _watch(self, until_s):
        while (now := current_time()) < until_s:
            await sleep(_TICK_S)
            self._late_s = max(self._late_s, current_time() - now - _TICK_S)
