"""One request on its way through the pipeline."""

from trio import CancelScope

from gooseberryyoke.outcome import Verdict

__all__ = ["Exchange"]


class Exchange:
    """
    What the filters know of one request.

    Parameters
    ----------
    number : str
        Number of the request, for the logs.
    request : Request
    delivery : Delivery
        Where the answer goes.
    arrived_s : float
        Monotonic time, in seconds.

    Attributes
    ----------
    bundle : Bundle
        In force when the request arrived; it stays the same to the end.
    account : Account
    request_class : RequestClass
    body : dict
        The request's JSON body; empty if it has none or is of another kind.
    wants_stream : bool
        Whether the answer is passed on piece by piece.
    key : str or None
        Idempotency key of a call that may not be repeated.
    claim_version : int or None
        Version of the register of the key, for the next reservation.
    digest : str or None
        Of a call that may not be repeated, once its claim is looked up.
    given_up : bool
        Whether the caller has its final answer, so that nothing may be
        dispatched for it any more.
    deadline_s : float
        Monotonic time by which the whole answer is due.
    demand : Demand
    choice : Choice or None
        Server predicted to answer, if chosen and not yet used.
    cached_tokens : int
        Prompt tokens that the chosen server is believed to have in its cache.
    server : ServerAnnouncement
        Server of the present attempt.
    order : AttemptOrder
        The present attempt.
    verdict : Verdict
        What is proved so far, over all attempts.
    attempts : int
        Dispatches so far.
    tried : set of str
        Servers that failed the request.
    scope : trio.CancelScope
        Cancels all work for the request.
    """

    __slots__ = (
        "account",
        "arrived_s",
        "attempts",
        "body",
        "bundle",
        "cached_tokens",
        "choice",
        "claim_version",
        "deadline_s",
        "delivery",
        "demand",
        "digest",
        "dispatched_s",
        "given_up",
        "key",
        "number",
        "order",
        "request",
        "request_class",
        "scope",
        "server",
        "tried",
        "verdict",
        "wants_stream",
    )

    def __init__(self, number, request, delivery, arrived_s):
        self.number = number
        self.request = request
        self.delivery = delivery
        self.arrived_s = arrived_s
        self.bundle = None
        self.account = None
        self.request_class = None
        self.body = {}
        self.wants_stream = False
        self.key = None
        self.claim_version = None
        self.digest = None
        self.given_up = False
        self.deadline_s = float("inf")
        self.demand = None
        self.choice = None
        self.cached_tokens = 0
        self.server = None
        self.order = None
        self.dispatched_s = None
        self.verdict = Verdict.NOT_RUN
        self.attempts = 0
        self.tried = set()
        self.scope = CancelScope()

    @property
    def repeatable(self):
        """Whether running the request twice does no harm; True until classified."""
        return self.request_class is None or self.request_class.repeatable

    def left_s(self, now):
        """
        Tell how long the caller still waits.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        float
            Seconds, not below 0.
        """
        return max(0.0, self.deadline_s - now)
