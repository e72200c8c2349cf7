"""The core machines are replaced as planned, one after the other."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))

from deployment import ZONES, Deployment, document, run_case  # noqa: E402

OLD = ("control-1", "control-2", "control-3")
NEW = ("control-4", "control-5", "control-6")
CATCH_UP_S = 4.0
GRACE_S = 8.0
PAUSE_S = 1.0
RECOVERY_S = 12.0
READ_S = 5.0


async def case(deployment: Deployment, has_trouble):
    """Give whether an acknowledged configuration doesn't come back."""
    deployment.seeds = [f"{deployment.machine(name)}:8229" for name in OLD]
    for name, zone in zip(OLD, ZONES, strict=True):
        deployment.start(name, zone, bootstrap=True)
    deployment.start("gateway-1", ZONES[0], bootstrap=True)
    await deployment.put_surely(document(7), OLD)

    # A successor for each in its zone: other addresses, empty disks.
    for name, zone in zip(NEW, ZONES, strict=True):
        deployment.start(name, zone)
    await asyncio.sleep(CATCH_UP_S + 2.0)
    await deployment.put_surely(document(12, ["added"]), OLD)
    await asyncio.sleep(2.0)

    for name in OLD if has_trouble else ():
        deployment.signal(name, signal.SIGTERM)
        await deployment.ended(name, GRACE_S)
        await asyncio.sleep(PAUSE_S)
    calm_s = time.monotonic()

    # All machines that there are run and reach each other from here on.
    versions = []
    while time.monotonic() < calm_s + RECOVERY_S + READ_S:
        versions = [await deployment.get(name) for name in NEW]
        if 12 in versions:
            break
        await asyncio.sleep(0.5)
    words = ("seat-", "replica-waiting", "replica-votes", "copy-")
    for name in (*OLD, *NEW):
        for line in deployment.events(name, *words)[-8:]:
            deployment.record.note("log", name, line[:300])
    if died := deployment.died():
        deployment.record.note("ended by themselves:", died)
    return 12 not in versions


if __name__ == "__main__":
    # TROUBLE=0 leaves the disruption out.
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(run_case(case, Path(__file__).parent, with_trouble))
