"""Estimates what a request asks of a backend server."""

from orjson import dumps
from xxhash import xxh64

from gooseberryyoke.balance import PREFIX_BLOCK_TOKENS, Demand

__all__ = ["demand_of"]

_BYTES_PER_TOKEN = 4
_BLOCK_BYTES = PREFIX_BLOCK_TOKENS * _BYTES_PER_TOKEN
_MAX_BLOCKS = 32
_DEFAULT_ANSWER_TOKENS = 128


def demand_of(exchange, model):
    """
    Estimate the demand of a request.

    Parameters
    ----------
    exchange : Exchange
        Classified.
    model : str or None
        None for a plain service.

    Returns
    -------
    Demand

    Notes
    -----
    Token counts are estimated from bytes: the entry has no tokenizer of each
    model, and the choice of a server needs only relative sizes.
    """
    cls = exchange.request_class
    if model is None:
        return Demand(
            cls.service, priority=cls.priority, deadline_s=exchange.deadline_s
        )
    prompt = dumps(exchange.body.get("messages", []))
    return Demand(
        cls.service,
        model,
        _prefix_digests(model, prompt),
        len(prompt) // _BYTES_PER_TOKEN,
        _answer_tokens(exchange.body),
        cls.priority,
        exchange.deadline_s,
    )


def _answer_tokens(body):
    wanted = body.get("max_tokens") or body.get("max_completion_tokens")
    if isinstance(wanted, int) and wanted > 0:
        return wanted
    return _DEFAULT_ANSWER_TOKENS


def _prefix_digests(model, prompt):
    running = xxh64(model.encode())
    digests = []
    for block in range(min(len(prompt) // _BLOCK_BYTES, _MAX_BLOCKS)):
        start = block * _BLOCK_BYTES
        running.update(prompt[start : start + _BLOCK_BYTES])
        digests.append(running.intdigest())
    return tuple(digests)
