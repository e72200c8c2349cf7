import trio
from trio.testing import MockClock

from gooseberryyoke.stream import decode_frame
from gooseberryyoke_daemon.agent.attempt import Attempt, AttemptOrder
from gooseberryyoke_daemon.agent.routes import AgentRoutes

HEARTBEAT_S = 1.0


class FakeTable:
    def __init__(self, attempt):
        self.attempt = attempt
        self.read = 0

    def find(self, number):
        return self.attempt

    def note_read(self, attempt):
        self.read += 1


def test_frames_written_while_others_are_sent_follow_at_once():
    """
    A caller gets the end of its stream without waiting for a heartbeat.

    The log grows while the first frames are being sent. The reader went on to
    wait for the next change, so that the last frames came with the heartbeat.
    """

    async def main():
        order = AttemptOrder("a", "e1", 1, 0.0, 1, True, 5.0, "GET", "/", [], b"")
        attempt = Attempt(order, 0.0)
        table = FakeTable(attempt)
        frames = AgentRoutes(table, HEARTBEAT_S)._frames(attempt, 0)
        attempt.log.head(200, [])
        assert decode_frame(await anext(frames)).status == 200
        attempt.log.data(b"last words")
        attempt.log.end()
        attempt.notify()
        start_s = trio.current_time()
        rest = (await anext(frames)).splitlines()
        assert len(rest) == 2
        assert trio.current_time() == start_s
        assert table.read == 0
        assert await anext(frames, None) is None
        assert table.read == 1

    trio.run(main, clock=MockClock(autojump_threshold=0))
