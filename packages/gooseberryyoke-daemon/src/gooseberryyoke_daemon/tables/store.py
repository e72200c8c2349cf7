"""Tables as texts under versions, settled by a majority of replicas."""

from base64 import b64decode, b64encode
from enum import Enum
from zlib import compress, decompress

from returns.result import Failure, Success
from trio import current_time
from xxhash import xxh3_128_hexdigest

from gooseberryyoke.record import Record
from gooseberryyoke.register import Conflict, Unavailable
from gooseberryyoke_daemon.logs import log_event

__all__ = ["PutOutcome", "StoredTable", "TableStore"]

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
    """

    __slots__ = ("version", "text")

    def __init__(self, version, text):
        self.version = version
        self.text = text


class PutOutcome(Enum):
    """What became of a table that was to be stored."""

    STORED = "stored"
    NOT_NEWER = "not-newer"


class _Index(Record):
    """What the index register holds: a version and the digest of its text."""

    __slots__ = ("version", "digest")

    def __init__(self, version, digest):
        self.version = version
        self.digest = digest

    @property
    def text_key(self):
        return f"table/text/{self.version}-{self.digest}"


class TableStore:
    """
    The newest table, over registers.

    The index register is small, since every entry reads it from a majority a few
    times a second. Texts stand in registers of their own, named by their digest,
    so that any single replica can give one.

    Parameters
    ----------
    registers : RegisterClient
    """

    __slots__ = ("_registers", "_held")

    def __init__(self, registers):
        self._registers = registers
        self._held = None

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
        index = _Index(version, xxh3_128_hexdigest(text))
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
        packed = b64encode(compress(text, _COMPRESSION)).decode("ascii")
        written = await self._registers.write(index.text_key, 0, packed, _OPERATION_S)
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
            found = await self._registers.read(_INDEX_KEY, _OPERATION_S)
            if isinstance(found, Failure):
                return found
            index = _index_of(found.unwrap())
            if index is None:
                return Success(None)
            if self._held is not None and self._held.version == index.version:
                return Success(self._held)
            text = await self._text(index)
            if text is not None:
                self._held = StoredTable(index.version, text)
                return Success(self._held)
        return Failure(Unavailable(False, f"text of version {index.version} not found"))

    async def _text(self, index):
        def unpack(value):
            return _unpack(value, index.digest)

        deadline_s = current_time() + _OPERATION_S
        found = await self._registers.fetch(index.text_key, unpack, _OPERATION_S / 3)
        if isinstance(found, Success):
            return found.unwrap()
        left_s = max(0.1, deadline_s - current_time())
        read = await self._registers.read(index.text_key, left_s)
        return None if isinstance(read, Failure) else unpack(read.unwrap().value)


def _index_of(versioned):
    return None if versioned.value is None else _Index(*versioned.value)


def _unpack(value, digest):
    if value is None:
        return None
    text = decompress(b64decode(value))
    return text if xxh3_128_hexdigest(text) == digest else None
