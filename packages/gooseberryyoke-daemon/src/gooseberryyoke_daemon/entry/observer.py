"""Turns the end of each exchange into metrics and a log line."""

from returns.result import Failure

from gooseberryyoke_daemon.logs import log_event

__all__ = ["Observer"]


class Observer:
    """
    Takes the figures of exchanges.

    Parameters
    ----------
    metrics : Metrics
    """

    def __init__(self, metrics):
        self._metrics = metrics
        self._in_flight = 0

    def exchange_began(self):
        """Note the arrival of a request."""
        self._in_flight += 1
        self._metrics.set("requests_in_flight", self._in_flight)

    def exchange_ended(self, exchange, result, now):
        """
        Note the end of an exchange.

        Parameters
        ----------
        exchange : Exchange
        result : Result of Answer, Refusal
        now : float
            Monotonic time, in seconds.
        """
        self._in_flight -= 1
        self._metrics.set("requests_in_flight", self._in_flight)
        labels = _labels(exchange)
        failed = isinstance(result, Failure)
        outcome = result.failure() if failed else result.unwrap()
        self._metrics.count("verdicts_total", verdict=outcome.verdict.value, **labels)
        if failed:
            self._metrics.count("refusals_total", reason=outcome.reason, **labels)
        for _ in range(exchange.attempts - 1):
            self._metrics.count("retries_total", **labels)
        for name, value_s in self._times(exchange, failed, now):
            self._metrics.observe(name, value_s, **labels)
        log_event(
            "request-ended",
            request=exchange.number,
            attempts=exchange.attempts,
            status=outcome.status,
            verdict=outcome.verdict.value,
            reason=outcome.reason if failed else "",
            seconds=round(now - exchange.arrived_s, 4),
            **labels,
        )

    def system_seen(self, version, lease_s, servers):
        """
        Note what the entry knows of the system.

        Parameters
        ----------
        version : int
            Of the bundle in force; 0 for none.
        lease_s : float
            What is left of the lease on it, in seconds.
        servers : dict of str to int
            Backend servers that take requests, by service.
        """
        self._metrics.set("bundle_version", version)
        self._metrics.set("bundle_lease_seconds", lease_s)
        for service, count in servers.items():
            self._metrics.set("servers", count, service=service)

    def render(self):
        """Give the page for ``/metrics``."""
        return self._metrics.render()

    def _times(self, exchange, failed, now):
        arrived_s, delivery = exchange.arrived_s, exchange.delivery
        if exchange.dispatched_s is not None:
            yield "queue_wait_seconds", exchange.dispatched_s - arrived_s
        if delivery.first_data_s is not None:
            yield "first_token_seconds", delivery.first_data_s - arrived_s
        if failed:
            return
        yield "answer_seconds", now - arrived_s
        yield "deadline_margin_seconds", exchange.deadline_s - now
        if delivery.streaming and delivery.pieces > 1:
            span_s = delivery.last_data_s - delivery.first_data_s
            yield "between_tokens_seconds", span_s / (delivery.pieces - 1)


def _labels(exchange):
    account, cls = exchange.account, exchange.request_class
    return {
        "account": None if account is None else account.name,
        "request_class": None if cls is None else cls.name,
    }
