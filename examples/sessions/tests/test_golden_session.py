from functools import partial
from pathlib import Path

import trio
from trio import sleep

from examples.demonstration.deployment import SEED
from examples.fakes.batch import Batch
from examples.fakes.engine import FakeEngine
from examples.fakes.orders import Orders
from examples.fakes.service import FakeService
from examples.sessions.script import as_text, run_script
from examples.sessions.system import running
from gooseberryyoke_daemon.testing import run_session

FOLDER = Path(__file__).parents[2]

STEP_S = 0.01


def bundle_text():
    text = (FOLDER / "celins" / "bundle.yaml").read_text(encoding="utf-8")
    for number, port in enumerate((7301, 7302, 7303), 1):
        text = text.replace(f"127.0.0.1:{port}", f"10.0.0.{number}:9000")
        text = text.replace(f"replica-{'abc'[number - 1]}", f"r{number}")
    return text


async def start_fakes(session):
    engine = FakeEngine(SEED, Batch(8, STEP_S, STEP_S / 10), Orders(False))
    service = FakeService(SEED, "7000", 0.015, 16)
    session.nursery.start_soon(engine.run)
    await session.server("llm1", "10.0.1.1", "draw-llm", ["heat-draw"], engine.handle)
    await session.server("app1", "10.0.2.1", "meet-app", [], service.handle)
    await sleep(2.0)


async def record(into, session):
    await session.start(entries=4)
    await start_fakes(session)
    began_s = session.clock.now()
    into["steps"] = await run_script(session)
    into["seconds"] = round(session.clock.now() - began_s, 6)


def run_in_memory():
    found = {}
    run_session(
        partial(record, found), seed=3, text=bundle_text(), key="demo-celins-demo"
    )
    return found


def test_session_across_processes_is_that_in_memory(tmp_path):
    async def main():
        async with running(tmp_path) as system:
            return await run_script(system)

    assert as_text(trio.run(main)) == as_text(run_in_memory()["steps"])


def test_session_in_memory_is_exact(snapshot):
    found = run_in_memory()
    assert as_text(found["steps"]) == snapshot
    assert found["seconds"] == snapshot
