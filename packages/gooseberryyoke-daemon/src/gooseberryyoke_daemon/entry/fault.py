"""Keeps a fault on one request from ending the process that serves the others."""

from loguru import logger
from returns.result import Failure

from gooseberryyoke.outcome import Refusal

__all__ = ["guarded"]


async def guarded(exchange, run):
    """
    Run the work on a request; turn an unforeseen error into a refusal.

    Parameters
    ----------
    exchange : Exchange
    run : async callable
        Without arguments; returns a Result of Answer, Refusal.

    Returns
    -------
    Result of Answer, Refusal
        Work that raises in a nursery would end all that the nursery runs, other
        callers' requests included.
    """
    try:
        return await run()
    except Exception as exc:
        logger.opt(exception=exc).error("request {} failed", exchange.number)
        detail = f"the entry failed on request {exchange.number}"
        return Failure(Refusal(exchange.verdict, 500, "internal-error", detail))
