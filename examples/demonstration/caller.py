"""A caller: asks which address to use, sends, and comes back when told to."""

import orjson
import trio

from examples.demonstration.job import Outcome
from gooseberryyoke.outcome import Verdict
from gooseberryyoke_daemon.wire import (
    VERDICT_HEADER,
    Address,
    HttpClient,
    TcpNetwork,
    WireError,
)

__all__ = ["Caller"]

_PATIENCE_S = 25.0
_REQUEST_TIMEOUT_S = 15.0
_ASK_TIMEOUT_S = 2.0
_PAUSE_S = 0.1
_OK = range(200, 300)
_FINAL = (400, 401, 403, 404, 405, 422)


class Caller:
    """
    Sends the jobs of one client account.

    Parameters
    ----------
    deployment : str
        Name of the deployment.
    account : str
        Client account; its key is that of the examples.
    known : list of Address
        Entries to ask first.
    rng : random.Random
        Spreads the calls over the entries.
    network : TcpNetwork or MemoryNetwork, optional
        Opens connections.
    """

    def __init__(self, deployment, account, known, rng, network=None):
        self._key = f"demo-{deployment}-{account}"
        self._known = list(known)
        self._rng = rng
        self._client = HttpClient(network or TcpNetwork())
        self._entries = []
        self._alternatives = []
        self._kept_until_s = 0.0

    async def send(self, job):
        """
        Send a job until it is answered or patience ends.

        Parameters
        ----------
        job : Job
            A repeat carries the same Idempotency-Key.

        Returns
        -------
        Outcome
        """
        outcome = Outcome(job)
        started_s = trio.current_time()
        avoided = None
        while trio.current_time() - started_s < _PATIENCE_S:
            address = await self._choose(avoided)
            pause_s = await self._try(address, job, outcome)
            if pause_s is None:
                break
            avoided = address
            self._kept_until_s = 0.0
            await trio.sleep(pause_s)
        if outcome.is_whole:
            outcome.latency_s = trio.current_time() - started_s
        return outcome

    async def entries(self):
        """
        Ask which addresses to use, unless the last answer may still be kept.

        Returns
        -------
        list of Address
        """
        if trio.current_time() < self._kept_until_s:
            return self._entries
        asked = dict.fromkeys([*self._entries, *self._shuffled(self._known)])
        for address in asked:
            try:
                reply = await self._client.json(
                    "GET", address, "/v1/entries", timeout_s=_ASK_TIMEOUT_S
                )
            except WireError:
                continue
            if reply.status in _OK and reply.payload["entries"]:
                urls = reply.payload["entries"]
                self._entries = [_address_of(url) for url in urls]
                self._kept_until_s = trio.current_time() + _max_age_s(reply)
                return self._entries
        return self._entries or self._known

    async def _choose(self, avoided):
        entries, self._alternatives = self._alternatives, []
        entries = entries or await self.entries()
        others = [address for address in entries if address != avoided]
        return self._rng.choice(others or entries)

    def _shuffled(self, addresses):
        return self._rng.sample(addresses, len(addresses))

    async def _try(self, address, job, outcome):
        """Send once; None when done, or the pause before the next time."""
        try:
            with trio.fail_after(_REQUEST_TIMEOUT_S):
                return await self._exchange(address, job, outcome)
        except WireError as exc:
            _note_failure(outcome, exc.verdict, f"{address}: {exc.detail}")
        except trio.TooSlowError:
            note = f"{address}: no whole answer in time"
            _note_failure(outcome, Verdict.MAY_HAVE_RUN, note)
        return _PAUSE_S

    async def _exchange(self, address, job, outcome):
        headers = [*job.request.headers, ("authorization", f"Bearer {self._key}")]
        if not job.repeatable:
            headers.append(("idempotency-key", job.name))
        request = job.request.replace(headers=headers)
        async with self._client.open(address, request) as reply:
            body = await reply.read()
        verdict = Verdict(reply.header(VERDICT_HEADER, Verdict.RAN.value))
        if reply.status in _OK:
            outcome.verdicts.append(verdict)
            outcome.is_whole = True
            outcome.is_right = job.is_right(body)
            return None
        problem = _problem_of(body)
        note = f"{address}: {reply.status} {problem.get('reason')}"
        _note_failure(outcome, verdict, note)
        if reply.status in _FINAL:
            return None
        # The same key never runs twice, so that asking again is safe for all.
        self._alternatives = [_address_of(u) for u in problem.get("alternatives", ())]
        if self._alternatives:
            return 0.0
        return float(reply.header("retry-after", _PAUSE_S))


def _note_failure(outcome, verdict, note):
    outcome.verdicts.append(verdict)
    outcome.failures.append((verdict, note))


def _problem_of(body):
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        return {"reason": body[:80]}


def _address_of(url):
    return Address.parse(url.partition("//")[2])


def _max_age_s(reply):
    for directive in reply.header("cache-control", "").split(","):
        name, _, value = directive.strip().partition("=")
        if name == "max-age" and value.replace(".", "", 1).isdigit():
            return float(value)
    return 0.0
