from types import SimpleNamespace

import pytest
import trio
import trio.testing

from gooseberryyoke.stream import FrameError
from gooseberryyoke_daemon.entry.remote_attempt import AttemptReference, RemoteAttempt

PIECE = b"x" * 65536
PIECES = 100


def test_a_frame_without_end_is_broken_off():
    # Guards against an agent's line without an end that takes the entry's memory.
    taken = 0

    async def chunks():
        nonlocal taken
        for _ in range(PIECES):
            taken += 1
            yield PIECE

    async def main():
        link = SimpleNamespace(silence_s=5.0)
        reference = AttemptReference("10.0.0.1:80", "a1", "i1", 0.0, True)
        attempt = RemoteAttempt(link, reference, None)
        with pytest.raises(FrameError):
            await attempt._read_frames(SimpleNamespace(chunks=chunks))

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert taken < 20
