"""A core machine is replaced as planned; another loses its disk meanwhile."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))

from deployment import ZONES, Deployment, document, run_case  # noqa: E402

CORE = ("control-1", "control-2", "control-3")
NEW = "control-4"
CATCH_UP_S = 4.0
GRACE_S = 8.0
DARK_S = 5.0
RECOVERY_S = 12.0
READ_S = 5.0


async def case(deployment: Deployment, has_trouble):
    """Give whether an acknowledged configuration doesn't come back."""
    deployment.seeds = [f"{deployment.machine(name)}:8229" for name in CORE]
    for name, zone in zip(CORE, ZONES, strict=True):
        deployment.start(name, zone, bootstrap=True)
    deployment.start("gateway-1", ZONES[0], bootstrap=True)
    await deployment.put_surely(document(7), CORE)

    # The successor of control-1: another address, an empty disk.
    deployment.start(NEW, ZONES[0])
    await asyncio.sleep(CATCH_UP_S + 2.0)
    acknowledged = document(12, ["added"])
    await deployment.put_surely(acknowledged, CORE)
    await asyncio.sleep(2.0)

    deployment.signal(CORE[0], signal.SIGTERM)
    removed = asyncio.create_task(deployment.ended(CORE[0], GRACE_S))
    if has_trouble:
        deployment.kill(CORE[1])
        deployment.lose_disk(CORE[1])
        await asyncio.sleep(DARK_S)
        deployment.start(CORE[1], ZONES[1])
    await removed
    back_s = time.monotonic()

    # All machines that there are run and reach each other from here on.
    left = (CORE[1], CORE[2], NEW)
    versions = []
    while time.monotonic() < back_s + RECOVERY_S + READ_S:
        versions = [await deployment.get(name) for name in left]
        if 12 in versions:
            break
        await asyncio.sleep(0.5)
    words = ("seat-", "replica-waiting", "replica-votes", "copy-")
    for name in (*CORE, NEW):
        for line in deployment.events(name, *words)[-8:]:
            deployment.record.note("log", name, line[:300])
    if died := deployment.died():
        deployment.record.note("ended by themselves:", died)
    return 12 not in versions


if __name__ == "__main__":
    # TROUBLE=0 leaves the disruption out.
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run_case(case, Path(__file__).parent, with_trouble))
