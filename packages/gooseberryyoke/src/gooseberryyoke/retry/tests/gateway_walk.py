"""Random walk of gateways that start, are cut off and replaced while servers fail."""

from random import Random

from gooseberryyoke.outcome import Verdict
from gooseberryyoke.retry import (
    RetryLimit,
    RetryLimitCheck,
    RetryShare,
    ServiceRetryBudgets,
)

__all__ = ["GatewayWalk"]

_SERVICES = ("busy", "small")
_LENGTH_S = 100.0
_STEP_S = 0.1
_REPORT_S = 0.8
"""Time after which a control process that starts is told of a gateway again."""
_MAX_DELAY_S = 1.5
_ATTEMPTS = 3
_EVENTS_PER_SECOND = 0.4


class _Gateway:
    """One incarnation of a gateway."""

    def __init__(self, name, limit, now):
        self.name = name
        self.reports_from_s = now + 0.3
        self.reached_from_s = 0.0
        self.told = {name}
        self.share = RetryShare(limit)
        self.budgets = ServiceRetryBudgets(limit, self.share)

    def is_reached(self, now):
        return now >= self.reached_from_s


class GatewayWalk:
    """
    One walk: gateways, one list of them, callers, and two services that fail.

    Parameters
    ----------
    seed : int
    """

    def __init__(self, seed):
        rng = self._rng = Random(seed)
        self._now = 0.0
        self._limit = RetryLimit(0.2, rng.choice([20, 88, 200]), 10.0)
        self._checks = {service: RetryLimitCheck(self._limit) for service in _SERVICES}
        self._listed_s = {}
        self._named = 0
        self._gateways = []
        for _ in range(rng.choice([1, 2, 4, 13, 30])):
            self._add()
        self._rates = {}
        self._failing = ()
        self._draw_load()

    @property
    def retries(self):
        """Number of retries that reached servers."""
        return sum(check.retries for check in self._checks.values())

    def violations(self):
        """Describe the windows with too many retries, of both services."""
        return [v for check in self._checks.values() for v in check.violations()]

    def run(self):
        """Walk to the end."""
        for step in range(round(_LENGTH_S / _STEP_S)):
            self._now = step * _STEP_S
            if self._rng.random() < _EVENTS_PER_SECOND * _STEP_S:
                event = self._rng.choice(
                    [
                        self._restart_some,
                        self._restart_some,
                        self._cut_some,
                        self._replace_one,
                        self._restart_control,
                        self._draw_load,
                    ]
                )
                event()
            self._tell()
            self._serve()

    def _add(self):
        self._named += 1
        self._gateways.append(_Gateway(f"g{self._named}", self._limit, self._now))

    def _some(self):
        share = self._rng.choice([0.2, 0.6, 1.0])
        return [g for g in self._gateways if self._rng.random() < share]

    def _restart_some(self):
        for old in self._some():
            new = _Gateway(old.name, self._limit, self._now)
            new.reached_from_s = old.reached_from_s
            self._gateways[self._gateways.index(old)] = new

    def _cut_some(self):
        until_s = self._now + self._rng.choice([0.5, 5.0, 20.0, 60.0])
        for gateway in self._some():
            gateway.reached_from_s = until_s

    def _replace_one(self):
        self._gateways.remove(self._rng.choice(self._gateways))
        self._add()

    def _restart_control(self):
        for gateway in self._gateways:
            delay_s = self._rng.uniform(0.0, _REPORT_S)
            gateway.reports_from_s = max(gateway.reports_from_s, self._now + delay_s)
        self._listed_s.clear()

    def _draw_load(self):
        self._failing = self._rng.choice([_SERVICES, ("small",)])
        self._rates = {
            "busy": self._rng.choice([5, 40, 120]),
            "small": self._rng.choice([0.5, 4, 40]),
        }

    def _tell(self):
        now = self._now
        for gateway in self._gateways:
            if gateway.is_reached(now) and now >= gateway.reports_from_s:
                self._listed_s[gateway.name] = now
        listed = {name for name, at_s in self._listed_s.items() if now - at_s < 2.5}
        for gateway in self._gateways:
            if gateway.is_reached(now):
                gateway.told = {gateway.name, *listed}
                if gateway.name in listed:
                    gateway.share.record_listed(now)
            gateway.share.update_gateways(gateway.told, now)

    def _serve(self):
        for service, rate in self._rates.items():
            whole, part = divmod(rate * _STEP_S, 1)
            for _ in range(int(whole) + (self._rng.random() < part)):
                self._ask(service)

    def _ask(self, service):
        gateway, now = self._rng.choice(self._gateways), self._now
        check, attempt_id = self._checks[service], object()
        check.record_request(now)
        gateway.budgets.record_request(service, now)
        check.record_arrival(attempt_id, now)
        if service not in self._failing:
            return
        for _ in range(_ATTEMPTS - 1):
            decision = gateway.budgets.may_retry(
                service, Verdict.MAY_HAVE_RUN, True, now + 1.0, 0.0, now
            )
            if not decision.allowed:
                return
            check.record_arrival(attempt_id, now + self._delay_s())

    def _delay_s(self):
        return self._rng.choice([0.0, 0.0, self._rng.uniform(0.0, _MAX_DELAY_S)])
