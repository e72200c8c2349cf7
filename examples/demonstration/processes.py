"""Processes of the demonstration, each with a log file."""

import signal
import subprocess
import sys
from pathlib import Path

import trio

__all__ = ["ROOT", "Processes", "binary"]

ROOT = Path(__file__).parents[2]

_POLL_S = 0.05


def binary(name):
    """
    Find a binary of the environment that runs the demonstration.

    Parameters
    ----------
    name : str
        Such as ``gooseberryyoked``.

    Returns
    -------
    str
    """
    return str(Path(sys.executable).parent / name)


class Processes:
    """
    Starts processes and ends those that it started.

    Parameters
    ----------
    folder : pathlib.Path
        Takes the log of each.
    """

    def __init__(self, folder):
        self._folder = folder
        self._running = {}

    def start(self, name, command):
        """
        Start a process.

        Parameters
        ----------
        name : str
            Names its log too.
        command : list of str
            What to run, from the root of the repository.
        """
        with (self._folder / f"{name}.log").open("ab") as log:
            self._running[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def kill(self, name):
        """
        End a process at once, as a crash of its instance would.

        Parameters
        ----------
        name : str
            As started.
        """
        process = self._running.pop(name)
        process.kill()
        process.wait()

    def pause(self, name):
        """
        Stop a process in its tracks; see `resume`.

        Parameters
        ----------
        name : str
            As started.
        """
        self._running[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        """
        Let a paused process go on.

        Parameters
        ----------
        name : str
            As started.
        """
        self._running[name].send_signal(signal.SIGCONT)

    def pid(self, name):
        """
        Tell the process number of a process.

        Parameters
        ----------
        name : str
            As started.

        Returns
        -------
        int
        """
        return self._running[name].pid

    def ended(self):
        """
        List the processes that have ended on their own.

        Returns
        -------
        list of str
        """
        return [name for name, proc in self._running.items() if proc.poll() is not None]

    async def stop(self, names, timeout_s):
        """
        Stop processes with SIGTERM and wait for their end.

        Parameters
        ----------
        names : iterable of str
            As started.
        timeout_s : float
            After which those left are killed.

        Returns
        -------
        list of str
            Those that did not end with status 0 in time.
        """
        procs = {name: self._running.pop(name) for name in names}
        for proc in procs.values():
            if proc.poll() is None:
                proc.send_signal(signal.SIGTERM)
        with trio.move_on_after(timeout_s):
            while any(proc.poll() is None for proc in procs.values()):
                await trio.sleep(_POLL_S)
        bad = [name for name, proc in procs.items() if proc.poll() != 0]
        for proc in procs.values():
            if proc.poll() is None:
                proc.kill()
                proc.wait()
        return bad

    def names(self, prefix=""):
        """
        List the processes that were started and neither stopped nor killed.

        Parameters
        ----------
        prefix : str
            Of their names.

        Returns
        -------
        list of str
        """
        return [name for name in self._running if name.startswith(prefix)]

    def kill_all(self):
        """End all at once; for the way out after a failure."""
        for name in self.names():
            self.kill(name)
