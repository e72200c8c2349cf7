"""Runs a request through filters, each of which may answer, refuse or go on."""

__all__ = ["Pipeline"]


class Pipeline:
    """
    Filters in the order in which a request meets them.

    Parameters
    ----------
    filters : list of async callables
        Each takes the exchange and ``proceed``, an async callable without
        arguments that runs the rest and may be called more than once; each
        returns a Result of Answer, Refusal.
    """

    __slots__ = ("_filters",)

    def __init__(self, filters):
        self._filters = tuple(filters)

    async def __call__(self, exchange):
        """
        Run all filters.

        Parameters
        ----------
        exchange : Exchange

        Returns
        -------
        Result of Answer, Refusal
        """
        return await self._run(exchange, 0)

    async def _run(self, exchange, index):
        async def proceed():
            return await self._run(exchange, index + 1)

        return await self._filters[index](exchange, proceed)
