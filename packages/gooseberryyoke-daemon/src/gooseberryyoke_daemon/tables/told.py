"""Tables of processes that are told of them, and read no index."""

import zlib

from returns.result import Failure, Success
from trio import current_time

from gooseberryyoke.register import Unavailable
from gooseberryyoke.routing.table_view import TableIndex
from gooseberryyoke_daemon.paths import TABLE_PATH
from gooseberryyoke_daemon.tables.store import StoredTable, pack_text, unpack_text
from gooseberryyoke_daemon.wire import (
    Address,
    WireError,
    answer_json_call,
    json_response,
)

__all__ = ["ParentTables", "TableRelay", "ToldTables"]

_FIRST_AGE_S = 2.0
"""A process without a table takes none whose confirmation is older: the one that it had
before a restart may have been newer."""
_CALL_TIMEOUT_S = 1.0


class ToldTables:
    """
    The newest table that control processes have told of.

    Parameters
    ----------
    news : TableView
    store : TableStore
        Gives texts.
    may_begin : callable
        Tells whether all else is known without which no request may be sent.
    """

    __slots__ = ("_news", "_store", "_may_begin")

    def __init__(self, news, store, may_begin=lambda: True):
        self._may_begin = may_begin
        self._news = news
        self._store = store

    async def newest(self):
        """
        Give the newest table.

        Returns
        -------
        Result of (StoredTable or None), RegisterError
            None if none was ever stored.
        """
        if not self._may_begin():
            detail = "no recent word on evacuated data centres"
            return Failure(Unavailable(False, detail))
        age_s = self._news.age_s(current_time())
        if age_s > _FIRST_AGE_S and self._store.held is None:
            detail = f"the newest table was last confirmed {age_s:.1f} s ago"
            return Failure(Unavailable(False, detail))
        if self._news.index is None:
            return Success(None)
        return await self._store.load(self._news.index)


class TableRelay:
    """
    Gives this process's table to those that follow it.

    Parameters
    ----------
    store : TableStore
        Whose table is the one in force.
    """

    __slots__ = ("_store",)

    def __init__(self, store):
        self._store = store

    async def handle(self, request):
        """
        Serve calls for the table.

        Parameters
        ----------
        request : Request

        Returns
        -------
        Response or None
            None if the path is another's.
        """
        if request.path != TABLE_PATH:
            return None
        return await answer_json_call(request, self._tell)

    async def _tell(self, payload):
        known_version = payload["version"]
        held = self._store.held
        if held is None:
            return json_response(503, {"reason": "no-table"})
        answer = {"version": held.version, "text": None, "digest": None}
        if held.version != known_version:
            answer["text"] = pack_text(held.text)
            answer["digest"] = held.digest
        return json_response(200, answer)


class ParentTables:
    """
    Tables as the process that is followed has them.

    Parameters
    ----------
    client : HttpClient
    parent : callable
        Gives the address of the process that is followed, or None.
    """

    __slots__ = ("_client", "_parent", "_held")

    def __init__(self, client, parent):
        self._client = client
        self._parent = parent
        self._held = None

    async def newest(self):
        """
        Ask for a newer table; see `ToldTables.newest`.

        Returns
        -------
        Result of StoredTable, Unavailable
        """
        parent = self._parent()
        if parent is None:
            return Failure(Unavailable(False, "nobody is followed yet"))
        known_version = None if self._held is None else self._held.version
        try:
            reply = await self._client.json(
                "POST",
                Address.parse(parent),
                TABLE_PATH,
                {"version": known_version},
                timeout_s=_CALL_TIMEOUT_S,
                repeatable=True,
            )
            return self._take(parent, reply)
        except WireError as exc:
            return Failure(Unavailable(False, str(exc)))
        except (AttributeError, KeyError, TypeError, ValueError, zlib.error) as exc:
            return Failure(Unavailable(False, f"{parent} gave no table: {exc}"))

    def _take(self, parent, reply):
        if reply.status != 200:
            return Failure(Unavailable(False, f"{parent} has no table"))
        payload = reply.payload
        if payload["text"] is not None:
            index = TableIndex(int(payload["version"]), str(payload["digest"]))
            text = unpack_text(payload["text"], index.digest)
            if text is None:
                raise ValueError("the text has another digest")
            self._held = StoredTable(index.version, text, index.digest)
        return Success(self._held)
