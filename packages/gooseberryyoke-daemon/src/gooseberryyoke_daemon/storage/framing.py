"""Records in a file: length, sequence number and checksums before each."""

import struct

from xxhash import xxh3_64_intdigest, xxh32_intdigest

from gooseberryyoke.record import Record
from gooseberryyoke_daemon.storage.exceptions import DamagedFile

__all__ = ["HEADER_BYTES", "Frames", "frame", "read_frames"]

_NUMBERS = struct.Struct("<QI")
_CHECKS = struct.Struct("<IQ")
HEADER_BYTES = _NUMBERS.size + _CHECKS.size
_UNWRITTEN = bytes(16)


class Frames(Record):
    """
    What a file holds.

    Parameters
    ----------
    payloads : list of bytes
        Whole records, in order.
    good_bytes : int
        Length of the file up to the end of the last whole record.
    is_torn : bool
        Something follows that a crash left behind in the middle of a write.
    """

    __slots__ = ("payloads", "good_bytes", "is_torn")

    def __init__(self, payloads, good_bytes, is_torn):
        self.payloads = payloads
        self.good_bytes = good_bytes
        self.is_torn = is_torn


def frame(sequence, payload):
    """
    Put a record into the form it has in a file.

    Parameters
    ----------
    sequence : int
        Number of the record, one more than that of the record before.
    payload : bytes
        Without runs of zero bytes (JSON text has none).

    Returns
    -------
    bytes
    """
    numbers = _NUMBERS.pack(sequence, len(payload))
    # The length has a checksum of its own: a flipped bit in it would else make a
    # synced record, and all that follow it, look like a torn tail to be cut.
    checks = _CHECKS.pack(
        xxh32_intdigest(numbers), xxh3_64_intdigest(payload, seed=sequence)
    )
    return numbers + checks + payload


def read_frames(name, data, first_sequence):
    """
    Read a file's records.

    Parameters
    ----------
    name : str
        The file, for messages.
    data : bytes
        Its content.
    first_sequence : int
        Number expected of the first record.

    Returns
    -------
    Frames

    Raises
    ------
    DamagedFile
        If a record is bad in a way that a torn write can't explain.
    """
    payloads = []
    offset = 0
    while offset < len(data):
        payload = _read_one(name, data, offset, first_sequence + len(payloads))
        if payload is None:
            return Frames(payloads, offset, is_torn=True)
        payloads.append(payload)
        offset += HEADER_BYTES + len(payload)
    return Frames(payloads, offset, is_torn=False)


def _read_one(name, data, offset, expected):
    """Read one record; None if a torn write explains what stands there."""
    head = data[offset : offset + HEADER_BYTES]
    if len(head) < HEADER_BYTES:
        return None
    sequence, length = _NUMBERS.unpack_from(head)
    head_check, payload_check = _CHECKS.unpack_from(head, _NUMBERS.size)
    if xxh32_intdigest(head[: _NUMBERS.size]) != head_check:
        around = data[offset : offset + HEADER_BYTES + len(_UNWRITTEN)]
        return _torn_or_damaged(name, around, offset, "wrong checksum of a header")
    if sequence != expected:
        detail = f"record {sequence}, expected {expected}"
        raise DamagedFile(name, offset, detail)
    start = offset + HEADER_BYTES
    payload = data[start : start + length]
    if len(payload) < length:
        return None
    if xxh3_64_intdigest(payload, seed=sequence) != payload_check:
        return _torn_or_damaged(name, payload, offset, "wrong checksum of a record")
    return payload


def _torn_or_damaged(name, part, offset, detail):
    # A crash can leave the file at its new length with pages never written, which
    # read as zeros. Any other mismatch in a record of full length may be a synced
    # and acknowledged one: cutting it would lose a write without a word.
    if _UNWRITTEN in part:
        return
    raise DamagedFile(name, offset, detail)
