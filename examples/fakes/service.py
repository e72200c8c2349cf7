"""A fake plain service: POST executes and numbers, GET fetches."""

from collections import Counter
from random import Random

import click
import orjson
import trio

from examples.fakes.runner import run_fake
from examples.fakes.text import document_text
from examples.fakes.unframed import Unframed
from gooseberryyoke_daemon.wire import json_response

__all__ = ["FakeService"]


class FakeService:
    """
    Executes each POST, whether or not its business key was seen before.

    Parameters
    ----------
    seed : int
        Of documents and times.
    name : str
        Starts the numbers that it gives.
    call_s : float
        Mean time of a call, in seconds.
    slots : int
        Calls at one time; the rest queue.
    frame : callable
        Takes each answer to a call and changes how it ends.

    Attributes
    ----------
    executions : collections.Counter
        How often each business key was executed.
    is_leaving : bool
        Told in the load report.
    """

    def __init__(self, seed, name, call_s, slots, frame=lambda response: response):
        self.executions = Counter()
        self.is_leaving = False
        self._seed = seed
        self._rng = Random(f"{seed} {name}")
        self._name = name
        self._call_s = call_s
        self._frame = frame
        self._max_slots = slots
        self._slots = trio.CapacityLimiter(slots)

    async def run(self):
        """Do nothing besides answering."""

    async def handle(self, request):
        """
        Answer a request.

        Parameters
        ----------
        request : Request
            POST with the JSON body ``{"id": ...}``, or GET of ``/<any>/<id>``.

        Returns
        -------
        Response
        """
        if request.path == "/load":
            return self._load()
        if request.path == "/executions":
            return json_response(200, {"executions": self.executions})
        async with self._slots:
            await trio.sleep(self._rng.uniform(0.5, 1.5) * self._call_s)
            is_post = request.method == "POST"
            return self._frame((self._execute if is_post else self._fetch)(request))

    def _load(self):
        stats = self._slots.statistics()
        return json_response(
            200,
            {
                "running": stats.borrowed_tokens,
                "queued": stats.tasks_waiting,
                "batch_slots": self._max_slots,
                "step_ms": self._call_s * 1000,
                "leaving": self.is_leaving,
            },
        )

    def _execute(self, request):
        try:
            name = str(orjson.loads(request.body)["id"])
        except (orjson.JSONDecodeError, KeyError, TypeError):
            return json_response(400, {"error": "expected a JSON object with id"})
        self.executions[name] += 1
        number = f"{self._name}-{self.executions.total()}"
        payload = {"id": name, "number": number, "execution": self.executions[name]}
        return json_response(201, payload)

    def _fetch(self, request):
        name = request.path.rpartition("/")[2]
        text = document_text(self._seed, name)
        return json_response(200, {"id": name, "text": text})


@click.command()
@click.option("--listen", required=True, help="Address, host:port.")
@click.option("--seed", default=1, show_default=True, help="Of documents and times.")
@click.option("--call-ms", default=15.0, show_default=True, help="Mean time of a call.")
@click.option("--slots", default=16, show_default=True, help="Calls at one time.")
@click.option("--no-framing", is_flag=True, help="End answers with the connection.")
@click.option(
    "--cut-every",
    default=0,
    show_default=True,
    help="Which answers without framing to break off; 0 for none.",
)
@click.option("--linger-s", default=2.0, show_default=True, help="After SIGTERM.")
def main(listen, seed, call_ms, slots, no_framing, cut_every, linger_s):
    """Run a fake plain service."""
    name = listen.rpartition(":")[2]
    options = [Unframed(cut_every)] if no_framing else []
    fake = FakeService(seed, name, call_ms / 1000, slots, *options)
    run_fake(fake, listen, linger_s)


if __name__ == "__main__":
    main()
