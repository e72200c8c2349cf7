"""Resources that a request needs from a backend server."""

from gooseberryyoke.record import Record

__all__ = ["PREFIX_BLOCK_TOKENS", "Demand"]

PREFIX_BLOCK_TOKENS = 64
"""Number of prompt tokens in one block of a prefix."""


class Demand(Record):
    """
    Resources that a request needs from a backend server.

    Parameters
    ----------
    service : str
        Service that the request is for.
    model : str or None
        Model that must be loaded; None for a plain service.
    prefix_digests : tuple of int
        Digests of the first block of the prompt, of the first two blocks, and
        so on. Each block has `PREFIX_BLOCK_TOKENS` tokens.
    prompt_tokens : int
        Length of the prompt in tokens.
    expected_tokens : int
        Expected length of the answer in tokens; 1 for a plain service.
    priority : int
        Priority at the engine; lower values are served first.
    deadline_s : float
        Time by which the whole answer is due, in seconds on the entry's clock.
    """

    __slots__ = (
        "service",
        "model",
        "prefix_digests",
        "prompt_tokens",
        "expected_tokens",
        "priority",
        "deadline_s",
    )

    def __init__(
        self,
        service,
        model=None,
        prefix_digests=(),
        prompt_tokens=0,
        expected_tokens=1,
        priority=0,
        deadline_s=float("inf"),
    ):
        self.service = service
        self.model = model
        self.prefix_digests = tuple(prefix_digests)
        self.prompt_tokens = prompt_tokens
        self.expected_tokens = expected_tokens
        self.priority = priority
        self.deadline_s = deadline_s
