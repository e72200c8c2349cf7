"""The server chosen for a request, and when it should answer."""

from gooseberryyoke.record import Record

__all__ = ["Choice"]


class Choice(Record):
    """
    The server chosen for a request, and when it should answer.

    Parameters
    ----------
    server_id : str
        Chosen backend server.
    predicted_wait_s : float
        Time in the server's queue, from now.
    predicted_first_token_s : float
        Time until the first token, from now.
    predicted_finish_s : float
        Time until the end of the answer, from now.
    queue_s : float
        Time of the server's whole queue, with what the request overtakes; below
        0 if slots are free.
    cached_tokens : int
        Prompt tokens that the server is believed to hold in its prefix cache.
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
