"""A caller's and an operator's session, whatever the system runs on."""

import re

from gooseberryyoke.record import Record

__all__ = ["Step", "as_text", "run_script"]

_CHAT = "/v1/chat/completions"
_MEET_APP = "/v1/services/meet-app"
_KEPT_HEADERS = ("content-type", "gooseberryyoke-verdict", "retry-after")
_SERVER_NUMBER = re.compile(r'"number":"\d+-')


class Step(Record):
    """
    One exchange of the session.

    Parameters
    ----------
    asked : str
        What was asked, and of which entry.
    status : int
    headers : dict of str to str
        Those that are the same on each run.
    body : str
        With ports and names of servers taken out.
    """

    __slots__ = ("asked", "status", "headers", "body")

    def __init__(self, asked, status, headers, body):
        self.asked = asked
        self.status = status
        self.headers = headers
        self.body = body


class _Recorder:
    """Makes exchanges and keeps them as steps."""

    def __init__(self, system):
        self.steps = []
        self._system = system

    async def ask(self, entry, method, target, payload=None, **headers):
        reply = await self._system.call(method, target, payload, entry, **headers)
        kept = {name: reply.header(name) for name in _KEPT_HEADERS}
        shown = "".join(f" {name}={value}" for name, value in sorted(headers.items()))
        self.steps.append(
            Step(
                f"entry {entry}: {method} {target}{shown}",
                reply.status,
                {name: value for name, value in kept.items() if value is not None},
                self._system.normalise(_without_ports(reply.body.decode())),
            )
        )
        return reply

    async def roll(self, entry, text, what):
        reply = await self._system.roll(text, entry)
        shown = {
            name: reply.payload[name]
            for name in ("version", "again", "reason")
            if name in reply.payload
        }
        self.steps.append(Step(f"entry {entry}: roll {what}", reply.status, {}, shown))


def as_text(steps):
    """
    Show a session as the text of its golden file.

    Parameters
    ----------
    steps : list of Step

    Returns
    -------
    str
    """
    return "\n\n".join(
        "\n".join(
            [
                step.asked,
                f"-> {step.status}",
                *(f"{name}: {value}" for name, value in step.headers.items()),
                str(step.body),
            ]
        )
        for step in steps
    )


async def run_script(system):
    """
    Run the session.

    Parameters
    ----------
    system : object
        With ``async call(method, target, payload, entry, **headers)``, ``async
        roll(text, entry)``, ``normalise(text)`` and ``text``, the bundle in force.

    Returns
    -------
    list of Step
    """
    recorder = _Recorder(system)
    await _draws(recorder)
    await _confirmations(recorder)
    await _refusals(recorder)
    await _rolls(recorder, system.text)
    return recorder.steps


async def _draws(recorder):
    question = {"role": "user", "content": "seed the 100 m freestyle"}
    draw = {"model": "heat-draw", "messages": [question], "max_tokens": 6}
    await recorder.ask(1, "GET", "/readyz")
    await recorder.ask(1, "POST", _CHAT, draw)
    await recorder.ask(2, "POST", _CHAT, {**draw, "stream": True})
    await recorder.ask(3, "GET", f"{_MEET_APP}/entries/lane-4")


async def _confirmations(recorder):
    path, swimmer = f"{_MEET_APP}/confirm", {"id": "swimmer-7"}
    await recorder.ask(1, "POST", path, swimmer, idempotency_key="k-7")
    await recorder.ask(4, "POST", path, swimmer, idempotency_key="k-7")
    await recorder.ask(2, "POST", path, {"id": "other"}, idempotency_key="k-7")
    await recorder.ask(2, "POST", path, swimmer)


async def _refusals(recorder):
    unknown = {"model": "heat-draw-2", "messages": []}
    await recorder.ask(1, "POST", _CHAT, unknown)
    await recorder.ask(1, "POST", _CHAT, {"messages": []})
    await recorder.ask(1, "GET", "/v1/services/nowhere/x")
    await recorder.ask(1, "GET", "/elsewhere")
    await recorder.ask(1, "DELETE", "/v1/entries")


async def _rolls(recorder, text):
    second = text.replace("version: 1\n", "version: 2\n", 1)
    other = second.replace("default_patience_s: 15", "default_patience_s: 16")
    await recorder.roll(2, second, "version 2")
    await recorder.roll(3, second, "version 2 again")
    await recorder.roll(1, other, "another version 2")
    await recorder.roll(4, text, "version 1 again")


def _without_ports(text):
    return _SERVER_NUMBER.sub('"number":"N-', text)
