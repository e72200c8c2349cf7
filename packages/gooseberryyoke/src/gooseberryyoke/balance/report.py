"""Load reports of backend servers."""

from gooseberryyoke.record import Record

__all__ = ["LoadReport"]


class LoadReport(Record):
    """
    What a backend server says of its load at one moment.

    Parameters
    ----------
    sequence : int
        Rises with every report of one incarnation of the server.
    age_s : float
        Time since the load was read, as measured on the server's side. Ages
        are sent in place of times, as the clocks of instances differ.
    running : int
        Requests in the batch.
    queued : int
        Requests that wait for a batch slot.
    batch_slots : int
        Requests that fit into the batch.
    step_s : float
        Recent mean time of one step, that is of one token for each request
        in the batch; for a plain service, the time of one call.
    prefill_tokens_per_s : float
        Recent rate at which prompt tokens are prefilled.
    waiting_tokens : int
        Prompt tokens of the queued requests and of those still in prefill.
    queued_by_priority : tuple of (int, int)
        Pairs of a priority and the queued requests that have it; empty if the
        server doesn't tell.
    """

    __slots__ = (
        "sequence",
        "age_s",
        "running",
        "queued",
        "batch_slots",
        "step_s",
        "prefill_tokens_per_s",
        "waiting_tokens",
        "queued_by_priority",
    )

    def __init__(
        self,
        sequence,
        age_s,
        running,
        queued,
        batch_slots,
        step_s,
        prefill_tokens_per_s=8000.0,
        waiting_tokens=0,
        queued_by_priority=(),
    ):
        self.sequence = sequence
        self.age_s = age_s
        self.running = running
        self.queued = queued
        self.batch_slots = batch_slots
        self.step_s = step_s
        self.prefill_tokens_per_s = prefill_tokens_per_s
        self.waiting_tokens = waiting_tokens
        self.queued_by_priority = tuple(tuple(pair) for pair in queued_by_priority)

    def queued_behind(self, priority):
        """
        Count the queued requests that a request would overtake.

        Parameters
        ----------
        priority : int
            Priority of the request; lower goes first.

        Returns
        -------
        int
        """
        return sum(n for other, n in self.queued_by_priority if other > priority)
