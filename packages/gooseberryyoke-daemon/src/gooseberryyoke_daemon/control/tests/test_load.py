import trio
import trio.testing

from gooseberryyoke_daemon.control import load as load_module
from gooseberryyoke_daemon.control.load import ControlLoad
from gooseberryyoke_daemon.paths import FOLLOW_PATH, SEATS_PATH
from gooseberryyoke_daemon.registers import REGISTER_PATH
from gooseberryyoke_daemon.wire import HttpServer, Request


def test_calls_are_told_by_kind_and_span(monkeypatch):
    lines = []

    def log(event, **fields):
        lines.append((event, fields))

    monkeypatch.setattr(load_module, "log_event", log)

    async def main():
        load = ControlLoad()
        server = HttpServer(load.count)
        server.open_connections = 3
        server.counts["accepted"] = 7
        load.watch("internal", server)
        async with trio.open_nursery() as nursery:
            await nursery.start(load.run)
            for path in (FOLLOW_PATH, SEATS_PATH, REGISTER_PATH, REGISTER_PATH, "/x"):
                assert await load.count(Request("POST", path)) is None
            await trio.sleep(5.1)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    (event, fields), *_ = lines
    assert event == "control-load"
    assert fields == {
        "span_ms": 5000,
        "latest_timer_ms": 0,
        "follows": 1,
        "greetings": 1,
        "registers": 2,
        "others": 1,
        "open": {"internal": 3},
        "accepted": {"internal": 7},
    }
