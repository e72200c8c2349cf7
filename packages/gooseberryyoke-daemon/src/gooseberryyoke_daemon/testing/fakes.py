"""Fakes of a model engine and of a plain service, as handlers of requests."""

from collections import Counter

from orjson import dumps, loads
from trio import Event, sleep

from gooseberryyoke_daemon.wire import Response, json_response

__all__ = ["FakeEngine", "FakeService"]

_EVENTS = (("content-type", "text/event-stream"),)


class FakeEngine:
    """
    Answers chat completions with the words of the question, one a step.

    Parameters
    ----------
    step_s : float
        Time between two words, in seconds.

    Attributes
    ----------
    runs : collections.Counter
        How often each question was begun.
    finished : collections.Counter
        How often each question was answered to the end.
    leaving : bool
        Told in the load report.
    stalled : bool
        Whether to say nothing more in any answer.
    most_words : int or None
        After how many words to end an answer.
    broken : bool
        Whether to answer everything with 503.
    """

    def __init__(self, step_s=0.01):
        self.step_s = step_s
        self.runs = Counter()
        self.finished = Counter()
        self.running = 0
        self.leaving = False
        self.stalled = False
        self.broken = False
        self.most_words = None

    async def __call__(self, request):
        """Answer ``/load`` and chat completions."""
        if request.path == "/load":
            return json_response(200, self._load())
        body = loads(request.body)
        question = body["messages"][-1]["content"]
        self.runs[question] += 1
        if self.broken:
            return json_response(503, {"error": "out of order"})
        if body.get("stream"):
            return Response(200, _EVENTS, self._events(question))
        words = [word async for word in self._words(question)]
        message = {"role": "assistant", "content": " ".join(words)}
        return json_response(200, {"choices": [{"message": message}]})

    def _load(self):
        return {
            "running": self.running,
            "queued": 0,
            "batch_slots": 8,
            "step_ms": self.step_s * 1000,
            "leaving": self.leaving,
        }

    async def _words(self, question):
        self.running += 1
        try:
            for word in question.split()[: self.most_words]:
                await sleep(self.step_s)
                if self.stalled:
                    await Event().wait()
                yield word
            self.finished[question] += 1
        finally:
            self.running -= 1

    async def _events(self, question):
        async for word in self._words(question):
            yield b"data: " + dumps({"delta": word}) + b"\n\n"
        yield b"data: [DONE]\n\n"


class FakeService:
    """
    Numbers each POST and counts how often it ran for each business key.

    Parameters
    ----------
    call_s : float
        Time of one call, in seconds.
    runs : collections.Counter, optional
        Shared by the servers of one service, as their database is.

    Attributes
    ----------
    headers : tuple of (str, str)
        Added to each answer to a POST.
    """

    def __init__(self, call_s=0.02, runs=None):
        self.call_s = call_s
        self.runs = Counter() if runs is None else runs
        self.leaving = False
        self.finished = 0
        self.headers = ()

    async def __call__(self, request):
        """Answer ``/load`` and any call."""
        if request.path == "/load":
            return json_response(
                200, {"batch_slots": 8, "step_ms": 10, "leaving": self.leaving}
            )
        if request.method == "POST":
            name = loads(request.body)["id"]
            self.runs[name] += 1
            number = sum(self.runs.values())
            await sleep(self.call_s)
            self.finished += 1
            answer = {"id": name, "number": number}
            return json_response(201, answer, self.headers)
        return json_response(200, {"path": request.target})
