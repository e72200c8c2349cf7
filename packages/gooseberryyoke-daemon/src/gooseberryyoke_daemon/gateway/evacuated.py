"""Refusals of requests whose servers are all in evacuated data centres."""

import trio

from gooseberryyoke.outcome import Refusal, Verdict
from gooseberryyoke_daemon.logs import log_event

__all__ = ["EvacuationWatch", "refuse_evacuated"]

_RETRY_S = 1.0
"""An evacuation lasts; a caller with time left may come back once more."""
_LOOK_S = 0.25
_IDLE_LOOK_S = 1.0
"""While no data centre is evacuated."""
_TELL_S = 5.0


def refuse_evacuated(service, evacuation):
    """
    Refuse a request as not run.

    Parameters
    ----------
    service : str
    evacuation : EvacuationState

    Returns
    -------
    Refusal
    """
    names = ", ".join(evacuation.data_centres)
    detail = f"all servers of {service} are in evacuated data centres: {names}"
    return Refusal(Verdict.NOT_RUN, 503, "evacuated", detail, _RETRY_S)


class EvacuationWatch:
    """
    Logs what still runs in evacuated data centres, and services left without servers.

    Parameters
    ----------
    servers : Servers
    """

    __slots__ = ("_servers", "_counts", "_told_s", "_without")

    def __init__(self, servers):
        self._servers = servers
        self._counts = {}
        self._told_s = 0.0
        self._without = set()

    async def run(self):
        """Look until cancelled."""
        while True:
            self._look()
            await trio.sleep(_LOOK_S if self._counts else _IDLE_LOOK_S)

    def _look(self):
        self._note_running()
        self._note_without_servers()

    def _note_running(self):
        counts = self._servers.running_evacuated()
        now = trio.current_time()
        has_drained = any(
            self._counts.get(name) and not count for name, count in counts.items()
        )
        is_new = counts.keys() != self._counts.keys()
        is_due = any(counts.values()) and now >= self._told_s + _TELL_S
        if counts and (is_new or has_drained or is_due):
            self._told_s = now
            revision = self._servers.evacuation.revision
            log_event("evacuated-running", revision=revision, running=counts)
        self._counts = counts

    def _note_without_servers(self):
        services = self._servers.count_by_service() if self._counts else {}
        without = {name for name in services if self._servers.is_evacuated(name)}
        for service in sorted(without - self._without):
            log_event(
                "service-evacuated",
                level="error",
                service=service,
                revision=self._servers.evacuation.revision,
                evacuated=self._servers.evacuation.data_centres,
                servers=services[service],
            )
        for service in sorted(self._without - without):
            log_event("service-served-again", level="warning", service=service)
        self._without = without
