"""Estimates what a request asks of a backend server."""

from orjson import dumps
from xxhash import xxh64

from gooseberryyoke.balance import PREFIX_BLOCK_TOKENS, Demand

__all__ = ["answer_tokens", "demand_of"]

_BYTES_PER_TOKEN = 4
_BLOCK_BYTES = PREFIX_BLOCK_TOKENS * _BYTES_PER_TOKEN
_MAX_BLOCKS = 32


def demand_of(exchange, model, sizes):
    """
    Estimate the demand of a request.

    Parameters
    ----------
    exchange : Exchange
        Classified.
    model : str or None
        None for a plain service.
    sizes : AnswerSizes

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
        sizes.expected(cls.name, _token_limit(exchange.body)),
        cls.priority,
        exchange.deadline_s,
    )


def answer_tokens(delivery):
    """
    Estimate the length of a whole answer.

    Parameters
    ----------
    delivery : Delivery
        After its end.

    Returns
    -------
    int
        Tokens; a streamed answer has about one in each piece.
    """
    if delivery.streaming:
        return delivery.pieces
    return delivery.size_bytes // _BYTES_PER_TOKEN


def _token_limit(body):
    limit = body.get("max_completion_tokens", body.get("max_tokens"))
    return limit if type(limit) is int and limit > 0 else None


def _prefix_digests(model, prompt):
    running = xxh64(model.encode())
    digests = []
    for block in range(min(len(prompt) // _BLOCK_BYTES, _MAX_BLOCKS)):
        start = block * _BLOCK_BYTES
        running.update(prompt[start : start + _BLOCK_BYTES])
        digests.append(running.intdigest())
    return tuple(digests)
