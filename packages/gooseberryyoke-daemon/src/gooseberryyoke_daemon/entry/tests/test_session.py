import pytest
from trio import move_on_after, sleep

from gooseberryyoke_daemon.testing import FakeEngine, FakeService, run_session
from gooseberryyoke_daemon.testing.session import chat
from gooseberryyoke_daemon.wire import Address, ExchangeBroken


async def small_system(session, engines, services=()):
    await session.start()
    for index, engine in enumerate(engines):
        name, host = f"llm{index + 1}", f"10.0.1.{index + 1}"
        await session.server(name, host, "draw-llm", ["heat-draw"], engine)
    for index, service in enumerate(services):
        name, host = f"app{index + 1}", f"10.0.2.{index + 1}"
        await session.server(name, host, "meet-app", [], service)
    await sleep(1.2)


def test_whole_and_streamed_answers_reach_their_callers():
    async def body(session):
        engine = FakeEngine()
        await small_system(session, [engine], [FakeService()])
        whole = await session.draw("seed the heats")
        assert whole.status == 200
        assert whole.verdict == "ran"
        content = whole.json()["choices"][0]["message"]["content"]
        assert content == "seed the heats"
        streamed = await session.draw("lane four", stream=True)
        assert streamed.body.count(b"data: ") == 3
        assert streamed.body.endswith(b"data: [DONE]\n\n")
        listed = await session.call("GET", "/v1/services/meet-app/list?page=2")
        assert listed.json() == {"path": "/list?page=2"}

    run_session(body)


@pytest.mark.parametrize(
    "target, headers, status, reason",
    [
        ("/v1/services/meet-app/x", {"authorization": "Bearer no"}, 401, "no-key"),
        ("/v1/services/other/x", {}, 404, "no-class"),
        ("/nowhere", {}, 404, "not-found"),
    ],
)
def test_refusals_name_their_reason_and_are_not_run(target, headers, status, reason):
    async def body(session):
        await small_system(session, [], [FakeService()])
        if headers:
            session.request = without_key(session.request)
        reply = await session.call("GET", target)
        assert (reply.status, reply.json()["reason"]) == (status, reason)
        assert reply.verdict == "not-run"

    run_session(body)


def without_key(make):
    def request(*args, **kwargs):
        req = make(*args, **kwargs)
        return req.replace(headers=req.headers[1:])

    return request


def test_agent_killed_mid_stream_another_engine_goes_on():
    """
    The caller sees one whole answer.

    Two engines give the same answer. The agent beside the first one dies after
    some words; the entry looks for it, gives up, and the second engine's answer
    is compared with what was sent and passed on from there.
    """

    async def body(session):
        engines = [FakeEngine(step_s=0.2), FakeEngine(step_s=0.2)]
        await small_system(session, engines)
        question = " ".join(str(number) for number in range(20))
        got, killed = b"", None
        async with session.stream(chat(question, stream=True)) as reply:
            async for chunk in reply.chunks():
                got += chunk
                if killed is None and b'"3"' in got:
                    killed = next(i for i, e in enumerate(engines, 1) if e.running)
                    session.kill(f"llm{killed}")
        assert got.count(b"delta") == 20
        assert got.endswith(b"data: [DONE]\n\n")
        assert [sum(engine.runs.values()) for engine in engines] == [1, 1]

    run_session(body)


def test_silent_connection_mid_stream_is_replaced():
    """
    The caller sees a whole answer and the engine runs once.

    The bytes of the connection between entry and agent vanish for good while
    new connections work. No heartbeat comes, so the entry opens a new one and
    resumes the same attempt by its number.
    """

    async def body(session):
        engine = FakeEngine(step_s=0.2)
        await small_system(session, [engine])
        question = " ".join(str(number) for number in range(20))
        got = b""
        async with session.stream(chat(question, stream=True)) as reply:
            async for chunk in reply.chunks():
                if not got:
                    session.network.silence("10.0.0.1", "10.0.1.1")
                got += chunk
        assert got.count(b"delta") == 20
        assert engine.runs == {question: 1}

    run_session(body)


def test_caller_that_leaves_cancels_its_work():
    """
    The engine stops working for a caller that has left.

    The caller closes its connection mid-stream. The entry cancels the attempt
    at the agent, which closes its connection to the engine.
    """

    async def body(session):
        engine = FakeEngine(step_s=0.2)
        await small_system(session, [engine])
        question = " ".join(str(number) for number in range(100))
        async with session.stream(chat(question, stream=True)) as reply:
            async for _chunk in reply.chunks():
                break
        await sleep(1.0)
        assert engine.running == 0
        assert not engine.finished

    run_session(body)


def test_answer_past_the_patience_is_refused_at_the_deadline():
    """
    The caller gets its final answer at the deadline, not later.

    The engine stalls after its prediction was good. When the patience of ten
    seconds has run out, the caller is told that the request may have run.
    """

    async def body(session):
        engine = FakeEngine()
        await small_system(session, [engine])
        engine.stalled = True
        start_s = session.clock.now()
        reply = await session.draw("seed the heats")
        assert reply.status == 504
        assert reply.verdict == "may-have-run"
        assert 9.9 < session.clock.now() - start_s < 10.1
        await sleep(1.0)
        assert engine.running == 0

    run_session(body)


def test_stream_that_cannot_go_on_is_never_taken_for_whole():
    """
    The caller sees an error event and a cut connection.

    The only engine stalls mid-stream until the deadline.
    """

    async def body(session):
        engine = FakeEngine(step_s=0.2)
        await small_system(session, [engine])
        got = b""
        with pytest.raises(ExchangeBroken):
            async with session.stream(chat("one two three", stream=True)) as reply:
                async for chunk in reply.chunks():
                    got += chunk
                    engine.stalled = True
        assert b"event: error" in got
        assert b"[DONE]" not in got
        # Each was logged as a fault of the entry, with a traceback.
        counts = session.daemons["e1"].nodes["entry"].callers_server.counts
        assert (counts["body-cut"], counts["handler-failed"]) == (1, 0)

    run_session(body)


def test_leaving_server_gets_no_new_work_and_finishes_the_old():
    """
    No caller notices that a server leaves.

    The agent of one engine is told to stop while it streams. Its answer is
    finished; everything new goes to the other engine.
    """

    async def body(session):
        engines = [FakeEngine(step_s=0.2), FakeEngine(step_s=0.2)]
        await small_system(session, engines)
        got = b""
        async with session.stream(chat("a b c d e f", stream=True)) as reply:
            async for chunk in reply.chunks():
                if not got:
                    busy = next(i for i, e in enumerate(engines) if e.running)
                    session.nursery.start_soon(session.stop, f"llm{busy + 1}")
                got += chunk
                if len(got) < 50:
                    other = await session.draw("new work")
                    assert other.status == 200
        assert got.endswith(b"data: [DONE]\n\n")
        assert engines[busy].runs == {"a b c d e f": 1}
        assert "a b c d e f" not in engines[1 - busy].runs

    run_session(body)


def test_entry_that_leaves_answers_until_callers_have_forgotten_it():
    """
    A caller that keeps the old address to the last second is served.

    The first entry is told to stop. It leaves the answers to "which address" at
    once, but takes requests for as long as callers may keep the old answer.
    """

    async def body(session):
        await small_system(session, [FakeEngine()])
        session.nursery.start_soon(session.stop, "e1")
        await sleep(0.5)
        for entry in (1, 2):
            listed = await session.call("GET", "/v1/entries", entry=entry)
            urls = set(listed.json()["entries"])
            assert urls == {"http://10.0.0.2:8000", "http://10.0.0.3:8000"}
        await sleep(4.4)
        assert (await session.draw("late", entry=1)).status == 200
        await sleep(3.0)
        with move_on_after(1.0):
            with pytest.raises(OSError):
                await session.network.connect(Address("10.0.0.1", 8000))

    run_session(body)


def test_engine_out_of_order_is_passed_over():
    """
    Callers get whole answers although one engine answers everything with 503.

    A repeatable request is attempted again at the other engine, streamed or not,
    and the broken one is avoided for a while.
    """

    async def body(session):
        engines = [FakeEngine(), FakeEngine()]
        engines[0].broken = True
        await small_system(session, engines)
        for number in range(6):
            reply = await session.draw(f"seed {number}", stream=number % 2 == 1)
            assert (reply.status, reply.verdict) == (200, "ran")
        engines[1].broken = True
        reply = await session.draw("seed", stream=True)
        assert (reply.status, reply.verdict) == (502, "may-have-run")

    run_session(body)


def test_metrics_tell_what_happened():
    async def body(session):
        await small_system(session, [FakeEngine()])
        await session.draw("seed the heats", stream=True)
        await session.call("GET", "/v1/services/other/x")
        await sleep(1.0)
        page = (await session.call("GET", "/metrics")).body.decode()
        for expected in (
            'verdicts_total{account="club",class="draw",verdict="ran"} 1',
            'refusals_total{account="club",class="none",reason="no-class"} 1',
            'first_token_seconds_count{account="club",class="draw"} 1',
            "gooseberryyoke_bundle_version 1",
            'gooseberryyoke_servers{service="draw-llm"} 1',
            "gooseberryyoke_requests_in_flight 0",
        ):
            assert expected in page

    run_session(body)


def test_all_engines_failing_makes_no_storm():
    """
    Callers are refused; the engines get hardly more attempts than requests.

    Every engine answers everything with 503, so that each request could be
    retried. The budget of the bundle keeps attempts close to requests.
    """

    async def body(session):
        engines = [FakeEngine() for _ in range(4)]
        for engine in engines:
            engine.broken = True
        await small_system(session, engines)
        for number in range(100):
            reply = await session.draw(f"seed {number}")
            assert reply.status in (502, 503)
        attempts = sum(sum(engine.runs.values()) for engine in engines)
        assert attempts <= 100 * 1.08 + 3

    run_session(body)


def test_shorter_answer_of_a_second_engine_is_no_end():
    """
    The caller is never given two halves of different answers as one whole.

    The first engine's agent dies after some words. The second engine answers the
    same question with fewer words than the caller has got. All of them agree, so
    that the stream was ended as if it were whole.
    """

    async def body(session):
        engines = [FakeEngine(step_s=0.2), FakeEngine(step_s=0.2)]
        await small_system(session, engines)
        question = " ".join(str(number) for number in range(20))
        got, killed = b"", None
        with pytest.raises(ExchangeBroken):
            async with session.stream(chat(question, stream=True)) as reply:
                async for chunk in reply.chunks():
                    got += chunk
                    if killed is None and b'"7"' in got:
                        killed = next(i for i, e in enumerate(engines) if e.running)
                        engines[1 - killed].most_words = 3
                        session.kill(f"llm{killed + 1}")
        assert b"event: error" in got

    run_session(body)


def test_backend_server_that_says_it_is_leaving_gets_no_new_work():
    """
    No caller notices that an engine is stopped as planned.

    The engine tells in its load report that it is leaving, while it streams.
    Within two seconds nothing new reaches it; it ends its stream and stops.
    """

    async def body(session):
        engines = [FakeEngine(step_s=0.25), FakeEngine(step_s=0.25)]
        await small_system(session, engines)
        question = " ".join(str(number) for number in range(20))
        got, busy = b"", None
        async with session.stream(chat(question, stream=True)) as reply:
            async for chunk in reply.chunks():
                got += chunk
                if busy is None:
                    busy = next(i for i, e in enumerate(engines) if e.running)
                    engines[busy].leaving = True
                    await sleep(2.0)
                    for number in range(6):
                        reply = await session.draw(f"new {number}", entry=2)
                        assert reply.status == 200
        session.kill(f"llm{busy + 1}.server")
        assert got.count(b"delta") == 20
        assert engines[busy].runs == {question: 1}
        assert (await session.draw("after", entry=3)).status == 200

    run_session(body)
