from random import Random

import orjson
import pytest
import trio
import trio.testing

from examples.demonstration.caller import Caller
from examples.demonstration.job import Job, Outcome
from examples.demonstration.profile import PROFILES
from examples.demonstration.report import check_outcomes, class_table
from examples.demonstration.workload import make_jobs
from examples.fakes.batch import Batch
from examples.fakes.engine import FakeEngine
from examples.fakes.orders import Orders
from gooseberryyoke.outcome import Refusal, Verdict
from gooseberryyoke_daemon.wire import (
    Address,
    HttpServer,
    Request,
    json_response,
    problem_response,
)
from gooseberryyoke_daemon.wire.memory import MemoryNetwork

FIRST, SECOND = Address("10.0.0.1", 80), Address("10.0.0.2", 80)


def job(repeatable=False):
    request = Request("POST", "/v1/services/s/confirm", (), b"{}")
    return Job("confirm", "club", "confirm-1", request, repeatable, lambda body: True)


class FakeEntry:
    """Answers from a list, then with 201; notes what it was asked."""

    def __init__(self, urls, answers=()):
        self.urls = urls
        self.answers = list(answers)
        self.requests = []
        self.asked = 0

    async def __call__(self, request):
        if request.path == "/v1/entries":
            self.asked += 1
            headers = [("cache-control", "max-age=5")]
            return json_response(200, {"entries": self.urls}, headers)
        self.requests.append((trio.current_time(), request))
        if self.answers:
            return self.answers.pop(0)
        return json_response(201, {})


def refuse(**kwargs):
    return problem_response(Refusal(Verdict.NOT_RUN, 503, "full", "full", **kwargs))


def call(entries, known, count=1):
    """Send the job through the fake entries; the outcomes."""
    outcomes = []

    async def main():
        network = MemoryNetwork()
        caller = Caller("celins", "club", known, Random(1), network)
        async with trio.open_nursery() as nursery:
            for address, entry in entries.items():
                listeners = await network.listen(address)
                await nursery.start(HttpServer(entry).run, listeners)
            for _ in range(count):
                outcomes.append(await caller.send(job()))
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return outcomes


def test_caller_keeps_the_addresses_for_their_age():
    entry = FakeEntry([f"http://{FIRST}"])
    outcomes = call({FIRST: entry}, [FIRST], count=3)
    assert all(outcome.is_whole for outcome in outcomes)
    assert entry.asked == 1
    assert entry.requests[0][1].header("authorization") == "Bearer demo-celins-club"


def test_caller_comes_back_when_told_to_with_the_same_key():
    entry = FakeEntry([f"http://{FIRST}"], [refuse(retry_after_s=3)])
    (outcome,) = call({FIRST: entry}, [FIRST])
    (early_s, first), (late_s, second) = entry.requests
    assert late_s - early_s == pytest.approx(3, abs=0.1)
    keys = [request.header("idempotency-key") for request in (first, second)]
    assert keys == ["confirm-1", "confirm-1"]
    assert outcome.verdicts == [Verdict.NOT_RUN, Verdict.RAN]
    assert outcome.verdict is Verdict.RAN
    assert entry.asked == 2


def test_caller_goes_at_once_where_it_is_sent():
    first = FakeEntry([f"http://{FIRST}"], [refuse(alternatives=[f"http://{SECOND}"])])
    second = FakeEntry([f"http://{SECOND}"])
    call({FIRST: first, SECOND: second}, [FIRST])
    assert second.requests[0][0] == pytest.approx(first.requests[0][0], abs=0.01)


def test_caller_leaves_a_dead_entry():
    second = FakeEntry([f"http://{FIRST}", f"http://{SECOND}"])
    (outcome,) = call({SECOND: second}, [FIRST, SECOND])
    assert outcome.is_whole
    assert set(outcome.verdicts[:-1]) <= {Verdict.NOT_RUN}


def ended(verdicts, repeatable=False, is_whole=True, is_right=True):
    outcome = Outcome(job(repeatable))
    outcome.verdicts = verdicts
    outcome.is_whole, outcome.is_right = is_whole, is_right
    outcome.latency_s = 0.1 if is_whole else None
    return outcome


@pytest.mark.parametrize(
    "outcome, ran, failed",
    [
        (ended([Verdict.RAN]), 1, []),
        (ended([Verdict.RAN]), 2, ["none of these ran twice"]),
        (ended([Verdict.RAN]), 0, ["what was told to have run did run"]),
        (
            ended([Verdict.RAN], is_right=False),
            1,
            ["each answer is whole and its own request's"],
        ),
        (
            ended([Verdict.NOT_RUN], is_whole=False),
            1,
            [
                "each call that may not be repeated is answered",
                "what was told not to have run did not run",
            ],
        ),
        (
            ended([Verdict.MAY_HAVE_RUN], repeatable=True, is_whole=False),
            2,
            ["each repeatable request is answered"],
        ),
        (ended([Verdict.MAY_HAVE_RUN, Verdict.RAN], repeatable=True), 2, []),
    ],
)
def test_points_fail_when_callers_were_told_wrong(outcome, ran, failed):
    points = check_outcomes([outcome], {"a": {"confirm-1": ran}, "b": {}})
    assert [point.text for point in points if point.faults] == failed


def test_table_has_a_line_for_each_class():
    lines = class_table([ended([Verdict.NOT_RUN, Verdict.RAN])]).splitlines()
    assert " ".join(lines[1].split()) == "confirm 1 1 1 1 0 1 100 100 100"


@pytest.mark.parametrize("profile", PROFILES, ids=lambda profile: profile.name)
def test_jobs_know_the_right_answer_of_the_fakes_and_no_other(profile):
    jobs = make_jobs(profile, 60, Random(1))
    chats = [job for job in jobs if job.request.path == "/v1/chat/completions"]
    wanted = {name for name, _ in profile.chat_classes}
    wanted |= {profile.once_class, profile.fetch_class}
    assert {job.class_name for job in jobs} == wanted
    assert {orjson.loads(job.request.body)["stream"] for job in chats} == {True, False}

    async def main():
        engine = FakeEngine(7, Batch(8, 0.01, 0.001), Orders(False))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(engine.run)
            bodies = [await read(await engine.handle(job.request)) for job in chats]
            nursery.cancel_scope.cancel()
        for index, chat in enumerate(chats):
            right = [chat.is_right(body) for body in bodies if same(body, chat)]
            assert chat.is_right(bodies[index])
            assert sum(right) == 1

    def same(body, chat):
        return body.startswith(b"data: ") is orjson.loads(chat.request.body)["stream"]

    async def read(response):
        if isinstance(response.body, bytes):
            return response.body
        return b"".join([part async for part in response.body])

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
