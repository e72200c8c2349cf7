import subprocess
import sys

import pytest

FOR_CONTROL_ALONE = ("replica", "storage", "seats.keeper", "control.node")
UNWANTED = {
    "gateway": FOR_CONTROL_ALONE,
    "rank": (*FOR_CONTROL_ALONE, "gateway"),
    "control": ("gateway", "groups", "leases"),
}


@pytest.mark.parametrize("role", UNWANTED)
def test_a_role_loads_nothing_that_only_others_run(role):
    # All processes are killed at once and start again. What a process loads is paid
    # for before it serves: gateways loaded the replica and its storage, and never ran
    # them, because a package brought them along with a small client.
    module = f"gooseberryyoke_daemon.routed.{role}"
    script = f"import sys, {module}\nprint(*sys.modules)"
    found = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    ).stdout.split()
    assert module in found
    unwanted = [f"gooseberryyoke_daemon.{name}" for name in UNWANTED[role]]
    assert [name for name in found if name.startswith(tuple(unwanted))] == []
