"""A fake model engine: chat completions, batching, load, orders, cache events."""

from collections import Counter

import click
import orjson

from examples.fakes.batch import Batch, Sequence
from examples.fakes.orders import Orders
from examples.fakes.pauses import Pauses
from examples.fakes.prefix_cache import PrefixCache
from examples.fakes.runner import run_fake
from examples.fakes.text import answer_words
from examples.fakes.unframed import Unframed
from gooseberryyoke_daemon.header_names import HeaderNames
from gooseberryyoke_daemon.wire import Response, json_response

__all__ = ["FakeEngine"]

_DEFAULT_TOKENS = 24
_MAX_TOKENS = 4096
_PREFILL_CHARACTERS_PER_S = 200_000.0
_LOWEST_PRIORITY = 9


class FakeEngine:
    """
    Answers as a model engine would, with text that follows from the seed.

    Parameters
    ----------
    seed : int
        The same for all engines of a service.
    batch : Batch
        Does the steps.
    orders : Orders
        Takes orders.
    frame : callable
        Takes each answer to a chat completion and changes how it ends.

    Attributes
    ----------
    executions : collections.Counter
        How often each ``metadata.id`` of a request was begun.
    is_leaving : bool
        Told in the load report.
    """

    def __init__(self, seed, batch, orders, frame=lambda response: response):
        self.executions = Counter()
        self.is_leaving = False
        self._seed = seed
        self._batch = batch
        self._orders = orders
        self._frame = frame
        self._cache = PrefixCache()
        self._cancelled = 0
        self._pauses = Pauses()
        self._routes = {
            ("GET", "/load"): self._load,
            ("GET", "/executions"): self._show_executions,
            ("GET", "/cache-events"): self._feed,
            ("POST", "/orders"): self._orders.take,
            ("POST", "/pauses"): self._pauses.begin,
            ("GET", "/pauses"): self._pauses.show,
        }

    async def run(self):
        """Step the batch until cancelled."""
        await self._batch.run()

    async def handle(self, request):
        """
        Answer a request.

        Parameters
        ----------
        request : Request
            Of the engine's interface.

        Returns
        -------
        Response
        """
        key = (request.method, request.path)
        if key == ("POST", "/v1/chat/completions"):
            response = self._pauses.refusal() or await self._complete(request)
            return self._frame(self._marked(response))
        route = self._routes.get(key)
        if route is None:
            return json_response(404, {"error": f"no route {request.path}"})
        return route(request)

    def _marked(self, response):
        """Say in each answer that this engine leaves, if it does."""
        if not self.is_leaving:
            return response
        headers = [*response.headers, *((name, "1") for name in HeaderNames().leaving)]
        return response.replace(headers=headers)

    def _load(self, request):
        return json_response(
            200,
            {
                "running": self._batch.running,
                "queued": self._batch.queued,
                "batch_slots": self._batch.slots,
                "step_ms": round(self._batch.last_step_s * 1000, 3),
                "leaving": self.is_leaving,
            },
        )

    def _show_executions(self, request):
        return json_response(
            200,
            {
                "executions": self.executions,
                "cancelled": self._cancelled,
                "orders": self._orders.executed,
            },
        )

    def _feed(self, request):
        since = request.query.get("since", "0")
        if not since.isdigit():
            return json_response(400, {"error": f"since {since!r} is no number"})
        return json_response(200, self._cache.feed(int(since)))

    async def _complete(self, request):
        try:
            body = orjson.loads(request.body)
            model, messages = body["model"], body["messages"]
            tokens = min(int(body.get("max_tokens", _DEFAULT_TOKENS)), _MAX_TOKENS)
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
            return json_response(400, {"error": "expected a chat completion"})
        self.executions[(body.get("metadata") or {}).get("id", "")] += 1
        words = answer_words(self._seed, model, messages, tokens)
        sequence = self._sequence(request, messages, words)
        self._batch.add(sequence)
        if body.get("stream"):
            return Response(
                200,
                [("content-type", "text/event-stream")],
                self._events(model, sequence, len(words)),
            )
        text = " ".join([word async for word in self._words(sequence)])
        return json_response(200, _completion(model, text, len(words)))

    def _sequence(self, request, messages, words):
        prompt = orjson.dumps(messages).decode()
        left = len(prompt) * (1.0 - self._cache.take(prompt))
        priority = request.header("x-request-priority", "")
        return Sequence(
            words,
            left / _PREFILL_CHARACTERS_PER_S,
            int(priority) if priority.isdigit() else _LOWEST_PRIORITY,
        )

    async def _words(self, sequence):
        whole = False
        try:
            async for word in sequence.receive:
                yield word
            whole = True
        finally:
            # The peer is gone: its place in the batch goes to the next one.
            if not whole:
                self._cancelled += 1
                self._batch.cancel(sequence)

    async def _events(self, model, sequence, tokens):
        separator = ""
        words = self._words(sequence)
        try:
            async for word in words:
                yield _event(model, {"content": separator + word}, None)
                separator = " "
        finally:
            await words.aclose()
        yield _event(model, {}, "stop", {"completion_tokens": tokens})
        yield b"data: [DONE]\n\n"


def _completion(model, text, tokens):
    message = {"role": "assistant", "content": text}
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    return {
        "id": "fake",
        "object": "chat.completion",
        "model": model,
        "choices": [choice],
        "usage": {"completion_tokens": tokens},
    }


def _event(model, delta, finish_reason, usage=None):
    choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
    payload = {
        "id": "fake",
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [choice],
    }
    if usage is not None:
        payload["usage"] = usage
    return b"data: " + orjson.dumps(payload) + b"\n\n"


@click.command()
@click.option("--listen", required=True, help="Address, host:port.")
@click.option("--seed", default=1, show_default=True, help="Of the text.")
@click.option("--slots", default=8, show_default=True, help="Sequences in a batch.")
@click.option("--step-ms", default=10.0, show_default=True, help="One sequence's step.")
@click.option(
    "--step-per-sequence-ms",
    default=1.0,
    show_default=True,
    help="Added to the step for each further sequence.",
)
@click.option("--ignore-fencing", is_flag=True, help="Execute old orders too.")
@click.option("--no-framing", is_flag=True, help="End answers with the connection.")
@click.option(
    "--cut-every",
    default=0,
    show_default=True,
    help="Which answers without framing to break off; 0 for none.",
)
@click.option("--linger-s", default=2.0, show_default=True, help="After SIGTERM.")
def main(
    listen,
    seed,
    slots,
    step_ms,
    step_per_sequence_ms,
    ignore_fencing,
    no_framing,
    cut_every,
    linger_s,
):
    """Run a fake model engine."""
    batch = Batch(slots, step_ms / 1000, step_per_sequence_ms / 1000)
    options = [Unframed(cut_every)] if no_framing else []
    fake = FakeEngine(seed, batch, Orders(ignore_fencing), *options)
    run_fake(fake, listen, linger_s)


if __name__ == "__main__":
    main()
