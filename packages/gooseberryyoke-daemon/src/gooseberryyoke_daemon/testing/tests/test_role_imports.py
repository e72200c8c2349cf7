import subprocess
import sys

import pytest

# What a role imports beside the composition root.
IMPORTS = {
    "gateway": (
        "gooseberryyoke_daemon.control.link",
        "gooseberryyoke_daemon.control.presence",
        "gooseberryyoke_daemon.gateway",
        "gooseberryyoke_daemon.gateway.servers",
        "gooseberryyoke_daemon.gateway.sharing",
    ),
    "rank": (
        "gooseberryyoke_daemon.control.link",
        "gooseberryyoke_daemon.groups",
        "gooseberryyoke_daemon.leases",
    ),
}
FOR_CONTROL_ALONE = ("replica", "storage", "seats.keeper", "control.node")


@pytest.mark.parametrize("role", IMPORTS)
def test_a_role_loads_nothing_of_the_durable_state(role):
    # All processes are killed at once and start again. What a process loads is paid
    # for before it serves: gateways loaded the replica and its storage, and never ran
    # them, because a package brought them along with a small client.
    modules = ", ".join(("gooseberryyoke_daemon.compose_routed", *IMPORTS[role]))
    script = f"import sys, {modules}\nprint(*sys.modules)"
    found = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    ).stdout.split()
    assert "gooseberryyoke_daemon.compose_routed" in found
    unwanted = [f"gooseberryyoke_daemon.{name}" for name in FOR_CONTROL_ALONE]
    assert [name for name in found if name.startswith(tuple(unwanted))] == []
