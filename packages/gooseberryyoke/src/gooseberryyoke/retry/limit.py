"""Bound on the retries that the servers of one service receive."""

from gooseberryyoke.record import Record

__all__ = ["ARRIVAL_DELAY_S", "RetryLimit"]

DEFAULT_RATIO = 0.2
DEFAULT_SLACK = 50.0
DEFAULT_WINDOW_S = 10.0
ARRIVAL_DELAY_S = 2.0
"""Time by which one retry may reach a server, or news of one gateway the other
gateways, later than another, in seconds."""


class RetryLimit(Record):
    """
    Bound on the retries at a service, over all gateways of a deployment.

    Parameters
    ----------
    ratio : float
        Retries for each request that callers send for the service.
    slack : float
        Further retries in each window.
    window_s : float
        Length of the sliding window, in seconds.
    """

    __slots__ = ("ratio", "slack", "window_s")

    def __init__(
        self, ratio=DEFAULT_RATIO, slack=DEFAULT_SLACK, window_s=DEFAULT_WINDOW_S
    ):
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s

    @property
    def sending_window_s(self):
        """Length in seconds of a sending window, which covers one of arrivals."""
        return self.window_s + ARRIVAL_DELAY_S
