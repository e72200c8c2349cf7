"""One request on its way through the gateway."""

from gooseberryyoke.crash import request_fingerprint, shared_parts

__all__ = ["Exchange"]


class Exchange:
    """
    What the filters learn of a request.

    Parameters
    ----------
    request : Request
    number : str
        The caller's id of the attempt, for logs.
    received_s : float
        On trio's clock.
    prompt : str or None
        The header that lists the parts of its prompt.

    Attributes
    ----------
    parts : tuple of str
        Of its prompt, that other requests may have too.
    table, route, account : RouteTable, Route, ClientAccount or None
    deadline_s : float
        When the final answer is due.
    service : str
    tried_for_s : float
        How long the caller has been trying before this attempt.
    urgency : int
        The lower, the more urgent; see `gooseberryyoke.routing.urgency`.
    is_due : bool
        Its caller has come back at the time it was told.
    ahead_by_urgency : dict of str to int
        Requests that waited and went before it when it was last decided on, by
        urgency as it is logged.
    is_late : bool
        The answer can't be on time any more.
    assigned : str or None
        Id of the server whose free slot it was given.
    tried : set of str
        Ids of servers that it was sent to.
    sends : int
    sent_s : float or None
        When it was sent to a server last, on trio's clock.
    verdict : Verdict
        Of all attempts so far.
    last_failure : str or None
        Reason of the last attempt that failed.
    longest_gap_s : float
        Between two events of a stream, as they came from servers.
    events : int
        Of a stream, that came from servers.
    last_event_id : str or None
        Of the last one of them that had an id.
    is_on_trial : bool
        Its attempt shows whether a part of its prompt crashes servers.
    is_send_counted : bool
        Its attempt counts at `RequestCrashes` as being at a server.
    trial_server : str or None
        Subject at `TrialServers` of the server that its attempt may crash.
    """

    __slots__ = (
        "request",
        "number",
        "received_s",
        "parts",
        "table",
        "route",
        "account",
        "deadline_s",
        "service",
        "tried_for_s",
        "urgency",
        "is_due",
        "ahead_by_urgency",
        "is_late",
        "assigned",
        "tried",
        "sends",
        "sent_s",
        "verdict",
        "last_failure",
        "longest_gap_s",
        "events",
        "last_event_id",
        "is_on_trial",
        "is_send_counted",
        "trial_server",
        "_fingerprint",
        "_prompt",
    )

    def __init__(self, request, number, received_s, prompt=None):
        self.parts = shared_parts(prompt)
        self._prompt = prompt
        self._fingerprint = None
        self.request = request
        self.number = number
        self.received_s = received_s
        self.table = None
        self.route = None
        self.account = None
        self.deadline_s = None
        self.service = None
        self.tried_for_s = 0.0
        self.urgency = 0
        self.is_due = False
        self.ahead_by_urgency = {}
        self.is_late = False
        self.assigned = None
        self.tried = set()
        self.sends = 0
        self.sent_s = None
        self.verdict = None
        self.last_failure = None
        self.longest_gap_s = 0.0
        self.events = 0
        self.last_event_id = None
        self.is_on_trial = False
        self.is_send_counted = False
        self.trial_server = None

    @property
    def fingerprint(self):
        """
        What stays the same when the caller sends the request again.

        Hashed at the first use, once the account is known; most requests never need it.
        """
        if self._fingerprint is None:
            req, account = self.request, self.account
            self._fingerprint = request_fingerprint(
                None if account is None else account.name,
                req.method,
                req.header("host", ""),
                req.target,
                self._prompt,
                req.body,
            )
        return self._fingerprint

    @property
    def ahead(self):
        """How many waiting requests went before it when it was last decided on."""
        return sum(self.ahead_by_urgency.values())
