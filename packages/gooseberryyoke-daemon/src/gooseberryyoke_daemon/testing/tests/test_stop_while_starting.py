import subprocess
import sys

SCRIPT = """
import os, signal, trio
from gooseberryyoke_daemon.command import _run_until_signal

class Daemon:
    async def run(self, task_status):
        os.kill(os.getpid(), signal.SIGTERM)
        await trio.sleep(0.05)
        task_status.started()
        await trio.sleep_forever()

    async def stop(self):
        print("stopped in order")

trio.run(_run_until_signal, Daemon())
"""


def test_a_stop_that_comes_while_the_daemon_starts_is_a_stop_in_order():
    # Guards against a process that is ended by the signal itself: supervisors take
    # its exit code for a crash.
    ended = subprocess.run(
        [sys.executable, "-c", SCRIPT], capture_output=True, text=True, timeout=60
    )
    assert ended.returncode == 0, ended.stderr
    assert "stopped in order" in ended.stdout
