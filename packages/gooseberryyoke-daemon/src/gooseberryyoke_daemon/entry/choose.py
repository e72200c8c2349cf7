"""Filter: the backend server for the next attempt."""

from returns.result import Failure

from gooseberryyoke.balance import choose
from gooseberryyoke_daemon.agent.attempt import AttemptOrder
from gooseberryyoke_daemon.entry.classify import CHAT_PATH, SERVICES_PREFIX

__all__ = ["Choose"]

_DROPPED_HEADERS = frozenset(
    [
        "authorization",
        "connection",
        "content-length",
        "expect",
        "gooseberryyoke-signature",
        "host",
        "keep-alive",
        "proxy-authorization",
        "te",
        "transfer-encoding",
        "upgrade",
    ]
)


class Choose:
    """
    Chooses a server and makes the order for its agent.

    Parameters
    ----------
    name : str
        Name of this entry.
    fleet : Fleet
    servers : Directory
        Announcements of the backend servers.
    clock : Clock
    rng : random.Random
    """

    __slots__ = ("_clock", "_fleet", "_name", "_rng", "_servers")

    def __init__(self, name, fleet, servers, clock, rng):
        self._name = name
        self._fleet = fleet
        self._servers = servers
        self._clock = clock
        self._rng = rng

    async def __call__(self, exchange, proceed):
        """Set server and order, then go on."""
        choice, exchange.choice = exchange.choice, None
        if choice is None:
            # The servers that failed this request are left out, so that a second
            # attempt doesn't meet the same fault.
            chosen = choose(
                self._fleet,
                exchange.demand,
                self._clock.now(),
                self._rng,
                exchange.tried,
            )
            if isinstance(chosen, Failure):
                return Failure(chosen.failure().replace(verdict=exchange.verdict))
            choice = chosen.unwrap()
        exchange.cached_tokens = choice.cached_tokens
        exchange.server = self._servers.get(choice.server_id)
        exchange.tried.add(choice.server_id)
        exchange.attempts += 1
        exchange.order = self._order(exchange)
        return await proceed()

    def _order(self, exchange):
        req, now = exchange.request, self._clock.now()
        number = f"{exchange.number}.{exchange.attempts}"
        return AttemptOrder(
            number,
            self._name,
            exchange.server.incarnation,
            self._clock.wall(),
            exchange.bundle.version,
            exchange.repeatable,
            exchange.left_s(now),
            req.method,
            _target_of(exchange),
            _headers_of(exchange, number, now),
            req.body,
        )


def _target_of(exchange):
    target = exchange.request.target
    if exchange.request.path == CHAT_PATH:
        return target
    return "/" + target.removeprefix(SERVICES_PREFIX).partition("/")[2]


def _headers_of(exchange, number, now):
    kept = [
        pair for pair in exchange.request.headers if pair[0] not in _DROPPED_HEADERS
    ]
    return [
        *kept,
        ("x-request-id", number),
        ("x-request-priority", str(exchange.request_class.priority)),
        ("x-request-timeout-ms", str(round(exchange.left_s(now) * 1000))),
    ]
