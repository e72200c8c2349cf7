"""Names of the headers between callers, gateways and backend servers."""

from gooseberryyoke.record import Record

__all__ = ["HeaderNames"]


class HeaderNames(Record):
    """
    The names that a deployment uses, in lower case.

    Parameters
    ----------
    attempt_id : str
        Identity of one attempt of a caller; servers echo it.
    deadline_ms : str
        How long the caller waits from now, in ms.
    signature : str
        The server's proof of its answer.
    account : str
        The client account that a gateway found; never taken from callers.
    expected_server : str
        Id of the server that a request is meant for; others refuse it.
    load : str
        A server's running and waiting requests and its slots, by commas.
    limit : tuple of str
        Any of these has the requests a second that a server takes from all gateways
        together.
    leaving : tuple of str
        Any of these says by ``1`` that the server leaves.
    not_run : str
        Says that the server has not run the request.
    cold : tuple of str
        Any of these has the milliseconds for which the server is still cold.
    priority : str
        From 0, the most urgent, to 9; a server admits by it.
    prompt_parts : str
        Parts of a request's prompt; see `gooseberryyoke.crash.shared_parts`.
    requires_signature : bool
        Whether a success without a server's signature is no answer.
    """

    __slots__ = (
        "attempt_id",
        "deadline_ms",
        "signature",
        "account",
        "expected_server",
        "load",
        "limit",
        "leaving",
        "not_run",
        "priority",
        "cold",
        "prompt_parts",
        "requires_signature",
    )

    def __init__(
        self,
        attempt_id="gooseberryyoke-attempt",
        deadline_ms="gooseberryyoke-deadline-ms",
        signature="gooseberryyoke-signature",
        account="gooseberryyoke-account",
        expected_server="gooseberryyoke-expected-server",
        load="gooseberryyoke-load",
        limit=("gooseberryyoke-limit",),
        leaving=("gooseberryyoke-leaving",),
        not_run="gooseberryyoke-not-run",
        priority="gooseberryyoke-priority",
        cold=("gooseberryyoke-cold-ms",),
        prompt_parts="gooseberryyoke-prompt-parts",
        requires_signature=False,
    ):
        self.requires_signature = requires_signature
        self.prompt_parts = prompt_parts
        self.cold = tuple(cold)
        self.attempt_id = attempt_id
        self.deadline_ms = deadline_ms
        self.signature = signature
        self.account = account
        self.expected_server = expected_server
        self.load = load
        self.limit = tuple(limit)
        self.leaving = tuple(leaving)
        self.not_run = not_run
        self.priority = priority
