"""What agents and other entries may tell an entry."""

from orjson import JSONDecodeError, loads

from gooseberryyoke.membership import (
    AnnouncementError,
    EntryAnnouncement,
    ServerAnnouncement,
)
from gooseberryyoke.outcome import Refusal, Verdict
from gooseberryyoke_daemon.paths import ENTRY_PATH, SERVER_PATH
from gooseberryyoke_daemon.wire import json_response, problem_response

__all__ = ["EntryInternalRoutes"]


class EntryInternalRoutes:
    """
    Routes under ``/internal/announcements``.

    Parameters
    ----------
    name : str
        Name of this entry.
    roster : Roster
        Takes the announcements.
    in_flight : InFlight
        Attempts that this entry waits for; told to their agents.
    bundle_version : callable
        Gives the version in force here; 0 if none is.
    """

    def __init__(self, name, roster, in_flight, bundle_version):
        self._name = name
        self._roster = roster
        self._in_flight = in_flight
        self._bundle_version = bundle_version

    async def __call__(self, request):
        """
        Answer a request that has passed the signature check.

        Returns
        -------
        Response or None
            None if the path is another part's.
        """
        if request.path not in (SERVER_PATH, ENTRY_PATH):
            return None
        try:
            payload = loads(request.body)
            if request.path == ENTRY_PATH:
                self._roster.entry_announced(EntryAnnouncement.from_json(payload))
                return json_response(200, {"entry": self._name})
            return self._server(ServerAnnouncement.from_json(payload))
        except (AnnouncementError, JSONDecodeError) as exc:
            refusal = Refusal(Verdict.NOT_RUN, 400, "announcement", str(exc))
            return problem_response(refusal)

    def _server(self, announcement):
        self._roster.server_announced(announcement)
        attempts = self._in_flight.at(announcement.name)
        told = {
            "entry": self._name,
            "attempts": attempts,
            "bundle_version": self._bundle_version(),
        }
        return json_response(200, told)
