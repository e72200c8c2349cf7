"""Services that a route table describes."""

from gooseberryyoke.record import Record

__all__ = ["ModelPace", "RoutedService"]


class ModelPace(Record):
    """
    Step times and capacity of a model engine, as declared by its operator.

    Parameters
    ----------
    slots : int
        Maximum number of concurrent requests.
    step_s, per_request_s, per_context_token_s : float
        A step takes ``step_s`` plus, for each request that generates output,
        ``per_request_s`` and, for each token of its context, ``per_context_token_s``;
        all in seconds.
    read_tokens_per_s : float
        Throughput of reading prompts (prefill), in tokens per second.
    per_token_pair_s : float
        Additional time for each pair of a token and an earlier one, in seconds.
    steps_per_event : int
        Number of steps that one event of a stream covers.
    memory_tokens : int
        Number of tokens that fit into an engine's memory.
    usual_prompt_tokens, usual_answer_tokens : float
        Mean numbers of tokens, used where a request does not state them.
    expert_share : float
        Fraction of the time per request (``per_request_s``) that experts take.
    expert_sets, experts, expert_places, spare_places : int
        Number of sets of experts, number of experts in a set, number of places for each
        rank and set, and how many experts of a set a new map may add to a rank.
    """

    __slots__ = (
        "slots",
        "step_s",
        "per_request_s",
        "per_context_token_s",
        "read_tokens_per_s",
        "per_token_pair_s",
        "steps_per_event",
        "memory_tokens",
        "usual_prompt_tokens",
        "usual_answer_tokens",
        "expert_share",
        "expert_sets",
        "experts",
        "expert_places",
        "spare_places",
    )

    def __init__(self, **values):
        for name in self.__slots__:
            setattr(self, name, values.get(name, 0))


class RoutedService(Record):
    """
    Service that routes refer to by name.

    Parameters
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of the health check of its servers.
    max_connections : int
        Maximum number of connections that one of its servers accepts from all callers
        together.
    pace : ModelPace or None
        Step times of the model engines; None for other services.
    cold_per_s : float
        Requests per second that one of its servers accepts from all callers together
        while it is cold; 0 if a cold server has no such limit.
    cold_start_s : float
        How long a server that reports no cold time is cold after its start, in seconds.
    """

    __slots__ = (
        "name",
        "health_path",
        "max_connections",
        "pace",
        "cold_per_s",
        "cold_start_s",
    )

    def __init__(
        self,
        name,
        health_path="/health",
        max_connections=64,
        pace=None,
        cold_per_s=0.0,
        cold_start_s=0.0,
    ):
        self.cold_per_s = cold_per_s
        self.cold_start_s = cold_start_s
        self.name = name
        self.health_path = health_path
        self.max_connections = max_connections
        self.pace = pace
