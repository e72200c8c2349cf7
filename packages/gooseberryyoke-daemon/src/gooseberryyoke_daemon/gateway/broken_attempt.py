"""An attempt whose connection ended before its answer was whole."""

import trio

__all__ = ["BrokenAttempt"]


class BrokenAttempt:
    """
    What is to be known of an attempt once its exchange has gone on.

    Attributes
    ----------
    server : Server
    sent_s, broken_s : float
        On trio's clock.
    has_held : bool
        Its answer had given events for a while.
    events : int
        Of the stream until then.
    was_suspected : bool
        A server had ended under the same request before.
    """

    __slots__ = ("server", "sent_s", "broken_s", "has_held", "events", "was_suspected")

    def __init__(self, exchange, server, has_held):
        self.server = server
        self.sent_s = exchange.sent_s
        self.broken_s = trio.current_time()
        self.has_held = has_held
        self.events = exchange.events
        self.was_suspected = exchange.is_send_counted
