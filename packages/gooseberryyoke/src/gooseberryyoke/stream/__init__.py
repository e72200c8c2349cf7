"""Transfer answers as numbered frames: the agent writes and the entry checks them."""

from gooseberryyoke.stream.assembler import Assembler
from gooseberryyoke.stream.exceptions import FrameError, StreamBroken
from gooseberryyoke.stream.frame import (
    AbortFrame,
    DataFrame,
    EndFrame,
    HeadFrame,
    HeartbeatFrame,
    decode_frame,
    encode_frame,
)
from gooseberryyoke.stream.log import FrameLog

__all__ = [
    "AbortFrame",
    "Assembler",
    "DataFrame",
    "EndFrame",
    "FrameError",
    "FrameLog",
    "HeadFrame",
    "HeartbeatFrame",
    "StreamBroken",
    "decode_frame",
    "encode_frame",
]
