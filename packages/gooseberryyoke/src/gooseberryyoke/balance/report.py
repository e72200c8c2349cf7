"""Load reports sent by backend servers."""

from gooseberryyoke.record import Record

__all__ = ["LoadReport"]


class LoadReport(Record):
    """
    Load of a backend server at one moment, as reported by the server.

    Parameters
    ----------
    sequence : int
        Sequence number; increases with every report of one incarnation of the
        server.
    age_s : float
        Seconds since the load was measured, according to the server. The report
        carries an age instead of a timestamp because the clocks of instances
        differ.
    running : int
        Number of requests in the batch.
    queued : int
        Number of requests waiting for a batch slot.
    batch_slots : int
        Maximum number of requests in the batch.
    step_s : float
        Recent mean duration of one decoding step in seconds. A step generates one
        token for each request in the batch. For a plain service, the duration of
        one call.
    prefill_tokens_per_s : float
        Recent prefill throughput in prompt tokens per second.
    waiting_tokens : int
        Prompt tokens of the requests that are queued or still in prefill.
    queued_by_priority : tuple of (int, int)
        Pairs of a priority and the number of queued requests with it; empty if
        the server does not report priorities.
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
        Count the queued requests that a request of a given priority would overtake.

        Parameters
        ----------
        priority : int
            Priority of the request; lower values are served first.

        Returns
        -------
        int
        """
        return sum(n for other, n in self.queued_by_priority if other > priority)
