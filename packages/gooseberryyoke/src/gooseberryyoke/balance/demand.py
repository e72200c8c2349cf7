"""What a request asks of a backend server."""

from gooseberryyoke.record import Record

__all__ = ["PREFIX_BLOCK_TOKENS", "Demand"]

PREFIX_BLOCK_TOKENS = 64
"""Prompt tokens covered by one prefix digest."""


class Demand(Record):
    """
    What a request asks of a backend server.

    Parameters
    ----------
    service : str
        Service that must answer.
    model : str or None
        Model that must be loaded; None for a plain service.
    prefix_digests : tuple of int
        Digest of the first block of the prompt, of the first two blocks, and
        so on. Each block has `PREFIX_BLOCK_TOKENS` tokens.
    prompt_tokens : int
        Length of the prompt.
    expected_tokens : int
        Expected length of the answer; 1 for a plain service.
    priority : int
        Priority at the engine; lower goes first.
    deadline_s : float
        Time by which the whole answer is due, on the clock of ``now``.
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
