"""Routes of the operators' port."""

import orjson
from returns.result import Failure
from trio import sleep

from gooseberryyoke_daemon.logs import log_event
from gooseberryyoke_daemon.operators.answers import problem, refused
from gooseberryyoke_daemon.operators.changes import changes
from gooseberryyoke_daemon.wire import Response, json_response

__all__ = ["OperatorRoutes"]

_MOST_VERSION_DIGITS = 16
_MOST_WATCHERS = 16
_WATCH_INTERVAL_S = 0.5
# Well below the time after which the client takes a watch for dead.
_STILL_HERE_S = 5.0


class OperatorRoutes:
    """
    Answers the operators' client.

    Parameters
    ----------
    keeper : Keeper
    approval : Approval
    status : callable
        Gives what ``GET /operator/status`` shows, as a dict with ``entry`` (who
        answers), ``bundle`` (version and digest, or None), and the lists ``entries``,
        ``agents`` and ``replicas``; each member has ``name``, ``state`` and, where it
        holds a bundle, ``version``.
    """

    def __init__(self, keeper, approval, status):
        self._keeper = keeper
        self._approval = approval
        self._status = status
        self._watchers = 0
        self._stopping = False
        self._routes = {
            ("POST", "/operator/bundle"): self._roll,
            ("GET", "/operator/bundle"): self._show,
            ("GET", "/operator/history"): self._history,
            ("GET", "/operator/status"): self._state,
            ("GET", "/operator/watch"): self._watch,
        }

    def stop(self):
        """
        End all watches soon; to be called when the process starts to stop.

        A watch never ends by itself, and a graceful shutdown waits for open answers.
        """
        self._stopping = True

    async def __call__(self, request):
        """
        Answer a request of the client.

        Parameters
        ----------
        request : Request

        Returns
        -------
        Response
        """
        route = self._routes.get((request.method, request.path))
        if route is None:
            detail = f"found {request.method} {request.path}, expected a known route"
            return problem(404, "not-found", detail)
        return await route(request)

    async def _roll(self, request):
        try:
            payload = orjson.loads(request.body)
        except orjson.JSONDecodeError as exc:
            return problem(400, "not-json", f"{exc}, expected a signed bundle")
        checked = await self._approval.check(payload)
        if isinstance(checked, Failure):
            return _refuse(checked.failure())
        envelope, bundle = checked.unwrap()
        result = await self._keeper.accept(envelope, bundle)
        if isinstance(result, Failure):
            return _refuse(result.failure(), version=envelope.version)
        accepted = result.unwrap()
        log_event(
            "bundle-accepted",
            version=accepted.version,
            digest=accepted.digest,
            again=accepted.again,
        )
        return json_response(200, accepted.as_dict())

    async def _show(self, request):
        wanted = request.query.get("version")
        version = _version(wanted)
        if wanted is not None and version is None:
            detail = f"found version {wanted!r}, expected a whole number"
            return problem(400, "bad-version", detail)
        result = await self._keeper.read(version)
        if isinstance(result, Failure):
            return refused(result.failure())
        envelope = result.unwrap()
        if envelope is None:
            detail = "no bundle was accepted yet"
            if version is not None:
                detail = f"version {version} was never accepted, or isn't kept any more"
            return problem(404, "no-bundle", detail)
        return json_response(200, envelope.to_payload())

    async def _history(self, request):
        result = await self._keeper.history()
        if isinstance(result, Failure):
            return refused(result.failure())
        lines = [line.as_dict() for line in result.unwrap()]
        return json_response(200, {"versions": lines})

    async def _state(self, request):
        return json_response(200, self._status())

    async def _watch(self, request):
        if self._stopping or self._watchers >= _MOST_WATCHERS:
            detail = f"{self._watchers} clients watch here, or the entry is stopping"
            return problem(503, "no-watch", detail)
        return Response(
            200, [("content-type", "application/jsonl")], self._watch_lines()
        )

    async def _watch_lines(self):
        self._watchers += 1
        try:
            before, silent_s = {"entry": None}, 0.0
            while not self._stopping:
                after = self._status()
                lines = changes(before, after)
                if not lines and silent_s >= _STILL_HERE_S:
                    lines = [{"event": "still-here", "name": after["entry"]}]
                if lines:
                    silent_s = 0.0
                    yield b"".join(map(_json_line, lines))
                before = after
                await sleep(_WATCH_INTERVAL_S)
                silent_s += _WATCH_INTERVAL_S
            yield _json_line({"event": "entry-stopping", "name": before["entry"]})
        finally:
            self._watchers -= 1


def _json_line(line):
    return orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE)


def _refuse(why, **fields):
    response = refused(why)
    log_event("bundle-refused", level="warning", why=type(why).__name__, **fields)
    return response


def _version(text):
    if text is None or len(text) > _MOST_VERSION_DIGITS:
        return None
    return int(text) if text.isascii() and text.isdigit() else None
