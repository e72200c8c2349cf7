"""Kills and pauses of the processes of a routed deployment."""

import trio

from tools.soak.faults import Kill, Pause, describe

__all__ = ["ProcessFaults"]


class ProcessFaults:
    """
    Applies faults to processes, unless too many would be out at a time.

    A majority of the control processes always stays.

    Parameters
    ----------
    deployment : RoutedDeployment
    note : callable
        Takes a line for each fault that is applied.
    gateway_rest_s : float or None
        How long a gateway has to be back before another one may be out; with None any
        number of them may be out.
    """

    def __init__(self, deployment, note, gateway_rest_s=None):
        self._deployment = deployment
        self._note = note
        self._gateway_rest_s = gateway_rest_s
        self._down = set()

    async def apply(self, fault):
        """
        Apply a fault, and wait until the process is back.

        Parameters
        ----------
        fault : Kill or Pause
        """
        if not self._takes_down(fault.name):
            return
        self._note(describe(fault))
        if isinstance(fault, Kill):
            await self._kill(fault)
        elif isinstance(fault, Pause):
            await self._pause(fault)
        if fault.name in self._deployment.gateways:
            await trio.sleep(self._gateway_rest_s or 0)
        self._down.discard(fault.name)

    def _takes_down(self, name):
        """Note that a process is out, if it may be."""
        if self._down & self._not_together_with(name):
            return False
        self._down.add(name)
        return True

    def _not_together_with(self, name):
        if name in self._deployment.controls:
            return set(self._deployment.controls)
        if self._gateway_rest_s is not None:
            return set(self._deployment.gateways)
        return {name}

    async def _kill(self, fault):
        self._deployment.processes.kill(fault.name)
        await trio.sleep(fault.down_s)
        self._deployment.start(fault.name)

    async def _pause(self, fault):
        self._deployment.processes.pause(fault.name)
        await trio.sleep(fault.for_s)
        self._deployment.processes.resume(fault.name)
