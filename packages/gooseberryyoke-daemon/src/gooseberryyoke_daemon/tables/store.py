"""Tables as texts under versions, settled by a majority of replicas."""

from base64 import b64decode, b64encode
from enum import Enum
from zlib import compress, decompress

from returns.result import Failure, Success
from trio import current_time
from xxhash import xxh3_128_hexdigest

from gooseberryyoke.record import Record
from gooseberryyoke.register import Conflict, Unavailable
from gooseberryyoke.routing.table_view import TableIndex
from gooseberryyoke.routing.text_retention import text_key
from gooseberryyoke_daemon.logs import log_event

__all__ = [
    "PutOutcome",
    "StoredTable",
    "TableStore",
    "index_of_text",
    "pack_text",
    "unpack_text",
]

_INDEX_KEY = "table/index"
_TRIES = 8
_OPERATION_S = 0.9
"""For one operation on a register: operators' clients wait a second for an answer."""
_COMPRESSION = 3


class StoredTable(Record):
    """
    A table's text and its version.

    Parameters
    ----------
    version : int
    text : bytes
        As it was sent.
    digest : str
        Of the text.
    """

    __slots__ = ("version", "text", "digest")

    def __init__(self, version, text, digest):
        self.version = version
        self.text = text
        self.digest = digest


class PutOutcome(Enum):
    """What became of a table that was to be stored."""

    STORED = "stored"
    NOT_NEWER = "not-newer"


class TableStore:
    """
    The newest table, over registers.

    The index register is small, since control processes read it from a majority all
    the time. Texts stand in registers of their own, named by their digest,
    so that any single replica can give one.

    Parameters
    ----------
    registers : RegisterClient

    Attributes
    ----------
    held : StoredTable or None
        That was read last.
    """

    __slots__ = ("held", "_registers")

    def __init__(self, registers):
        self.held = None
        self._registers = registers

    async def put(self, version, text):
        """
        Store a table unless one of the same or a higher version is stored.

        Parameters
        ----------
        version : int
        text : bytes

        Returns
        -------
        Result of PutOutcome, RegisterError
        """
        index = index_of_text(version, text)
        is_text_stored = False
        for _ in range(_TRIES):
            found = await self._registers.read(_INDEX_KEY, _OPERATION_S)
            if isinstance(found, Failure):
                return found
            newest = found.unwrap()
            stored = _index_of(newest)
            if stored is not None and stored.version >= version:
                log_event("table-not-newer", version=version, stored=stored.version)
                return Success(PutOutcome.NOT_NEWER)
            if not is_text_stored:
                written = await self._put_text(index, text)
                if isinstance(written, Failure):
                    return written
                is_text_stored = True
            value = [index.version, index.digest]
            written = await self._registers.write(
                _INDEX_KEY, newest.version, value, _OPERATION_S
            )
            if isinstance(written, Success):
                log_event("table-stored", version=version, bytes=len(text))
                return Success(PutOutcome.STORED)
            if not isinstance(written.failure(), Conflict):
                return written
        detail = f"version {version} lost {_TRIES} races in a row"
        return Failure(Unavailable(False, detail))

    async def _put_text(self, index, text):
        written = await self._registers.write(
            text_key(index), 0, pack_text(text), _OPERATION_S
        )
        if isinstance(written, Failure) and isinstance(written.failure(), Conflict):
            # The same text was stored before, by a call whose answer was lost.
            return Success(None)
        return written

    async def newest(self):
        """
        Read the newest table, confirmed by a majority.

        Returns
        -------
        Result of (StoredTable or None), RegisterError
            None if none was ever stored.
        """
        for _ in range(_TRIES):
            found = await self.index()
            if isinstance(found, Failure) or found.unwrap() is None:
                return found
            loaded = await self.load(found.unwrap())
            if isinstance(loaded, Success):
                break
        return loaded

    async def index(self):
        """
        Read which table is the newest, confirmed by a majority.

        Returns
        -------
        Result of (TableIndex or None), RegisterError
            None if none was ever stored.
        """
        found = await self._registers.read(_INDEX_KEY, _OPERATION_S)
        return found.map(_index_of)

    async def load(self, index):
        """
        Read a table whose index is known.

        Parameters
        ----------
        index : TableIndex

        Returns
        -------
        Result of StoredTable, Unavailable
        """
        if self.held is None or self.held.digest != index.digest:
            text = await self._text(index)
            if text is None:
                detail = f"text of version {index.version} not found"
                return Failure(Unavailable(False, detail))
            self.held = StoredTable(index.version, text, index.digest)
        return Success(self.held)

    async def _text(self, index):
        def unpack(value):
            return None if value is None else unpack_text(value, index.digest)

        key = text_key(index)
        deadline_s = current_time() + _OPERATION_S
        found = await self._registers.fetch(key, unpack, _OPERATION_S / 3)
        if isinstance(found, Success):
            return found.unwrap()
        left_s = max(0.1, deadline_s - current_time())
        read = await self._registers.read(key, left_s)
        return None if isinstance(read, Failure) else unpack(read.unwrap().value)


def index_of_text(version, text):
    """
    Name a table.

    Parameters
    ----------
    version : int
    text : bytes

    Returns
    -------
    TableIndex
    """
    return TableIndex(version, xxh3_128_hexdigest(text))


def _index_of(versioned):
    return None if versioned.value is None else TableIndex(*versioned.value)


def pack_text(text):
    """
    Make a table's text short, for registers and messages.

    Parameters
    ----------
    text : bytes

    Returns
    -------
    str
    """
    return b64encode(compress(text, _COMPRESSION)).decode("ascii")


def unpack_text(value, digest):
    """
    Undo `pack_text`.

    Parameters
    ----------
    value : str
    digest : str

    Returns
    -------
    bytes or None
        None if the text has another digest.

    Raises
    ------
    TypeError, ValueError, zlib.error
        If it was not packed so.
    """
    text = decompress(b64decode(value))
    return text if xxh3_128_hexdigest(text) == digest else None
