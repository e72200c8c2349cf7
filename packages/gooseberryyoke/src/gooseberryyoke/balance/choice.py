"""Result of choosing a backend server for a request."""

from gooseberryyoke.record import Record

__all__ = ["Choice"]


class Choice(Record):
    """
    Backend server chosen for a request, with its predicted response times.

    Parameters
    ----------
    server_id : str
        Identifier of the chosen backend server.
    predicted_wait_s : float
        Predicted time in the server's queue, in seconds.
    predicted_first_token_s : float
        Predicted time from now to the first token, in seconds.
    predicted_finish_s : float
        Predicted time from now to the end of the answer, in seconds.
    queue_s : float
        Time in seconds to drain the server's whole queue, including the requests
        that this one would overtake; negative if slots are free.
    cached_tokens : int
        Prompt tokens expected to be in the server's prefix cache.
    """

    __slots__ = (
        "server_id",
        "predicted_wait_s",
        "predicted_first_token_s",
        "predicted_finish_s",
        "queue_s",
        "cached_tokens",
    )

    def __init__(
        self,
        server_id,
        predicted_wait_s,
        predicted_first_token_s,
        predicted_finish_s,
        queue_s=0.0,
        cached_tokens=0,
    ):
        self.server_id = server_id
        self.predicted_wait_s = predicted_wait_s
        self.predicted_first_token_s = predicted_first_token_s
        self.predicted_finish_s = predicted_finish_s
        self.queue_s = queue_s
        self.cached_tokens = cached_tokens
