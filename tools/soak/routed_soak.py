"""What the soaks of gateways and control processes have in common."""

import trio

from examples.demonstration.report import Point
from tools.soak.process_faults import ProcessFaults
from tools.soak.soak import SoakResult

__all__ = ["RoutedSoak"]

_REQUESTS_A_SECOND = 40
_CALM_REQUESTS = 100


class RoutedSoak:
    """
    One run: start all, send under faults, heal, send again, check, end all.

    A derived class gives `_make_deployment`, `_storm`, `_calm` and `_check`.

    Parameters
    ----------
    folder : pathlib.Path
        Must not exist.
    seed : int
        Of what happens.
    seconds : float
        For which faults come.
    rng : random.Random
    gateway_rest_s : float, optional
        See `ProcessFaults`.

    Attributes
    ----------
    result : SoakResult
    """

    def __init__(self, folder, seed, seconds, rng, gateway_rest_s=None):
        self.result = SoakResult()
        self._folder = folder
        self._seed = seed
        self._seconds = seconds
        self._rng = rng
        self._gateway_rest_s = gateway_rest_s
        self._deployment = None
        self._process_faults = None
        self._started_s = 0.0

    async def run(self):
        """
        Run to the end.

        Returns
        -------
        SoakResult
        """
        deployment = self._deployment = self._make_deployment()
        self._process_faults = ProcessFaults(
            deployment, self._note, self._gateway_rest_s
        )
        async with trio.open_nursery() as nursery:
            try:
                await nursery.start(deployment.run)
                await self._prepare()
                self._started_s = trio.current_time()
                await self._storm()
                self._check_processes()
                await self._calm()
                self._check()
            finally:
                deployment.processes.kill_all()
                nursery.cancel_scope.cancel()
        return self.result

    async def _prepare(self):
        """Send what gateways have to know before the faults; by default nothing."""
        await trio.lowlevel.checkpoint()

    def _check_processes(self):
        ended = self._deployment.processes.ended()
        faults = [f"{name} ended by itself" for name in ended]
        self.result.points.append(Point("no process ends by itself", faults))

    def _note(self, text):
        after_s = trio.current_time() - self._started_s
        self.result.events.append(f"{after_s:6.2f} s  {text}")

    async def _send_for_ever(self, nursery):
        """Send requests until cancelled."""
        while True:
            nursery.start_soon(self._deployment.ask)
            await trio.sleep(1 / _REQUESTS_A_SECOND)

    async def _check_answered(self):
        """Send requests in calm, and check that all are answered."""
        answers = []

        async def ask():
            answers.append(await self._deployment.ask())

        async with trio.open_nursery() as nursery:
            for _ in range(_CALM_REQUESTS):
                nursery.start_soon(ask)
                await trio.sleep(1 / _REQUESTS_A_SECOND)
        answered = sum(answers)
        faults = [f"{answered} of {_CALM_REQUESTS}"] * (answered < _CALM_REQUESTS)
        self.result.points.append(
            Point("after the faults: requests are answered", faults)
        )

    async def _apply_at(self, at_s, fault):
        await trio.sleep_until(self._started_s + at_s)
        await self._apply(fault)

    async def _apply(self, fault):
        await self._process_faults.apply(fault)
