"""Filter: refuses at once what can't be answered within its patience."""

from returns.result import Failure

from gooseberryyoke.balance import choose

__all__ = ["Admit"]


class Admit:
    """
    Admits by the predicted answer and the shares of the accounts.

    Parameters
    ----------
    admission : Admission
    fleet : Fleet
    clock : Clock
    rng : random.Random
    """

    __slots__ = ("_admission", "_clock", "_fleet", "_rng")

    def __init__(self, admission, fleet, clock, rng):
        self._admission = admission
        self._fleet = fleet
        self._clock = clock
        self._rng = rng

    async def __call__(self, exchange, proceed):
        """Hold a ticket while the rest runs."""
        now = self._clock.now()
        chosen = choose(self._fleet, exchange.demand, now, self._rng)
        if isinstance(chosen, Failure):
            return chosen
        exchange.choice = chosen.unwrap()
        account = exchange.account
        admitted = self._admission.admit(
            account.name,
            account.share,
            exchange.request_class.name,
            exchange.demand,
            exchange.choice,
            exchange.deadline_s,
            now,
        )
        if isinstance(admitted, Failure):
            return admitted
        try:
            return await proceed()
        finally:
            self._admission.release(admitted.unwrap(), self._clock.now())
