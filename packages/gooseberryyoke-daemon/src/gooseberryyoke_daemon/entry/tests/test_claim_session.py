from trio import open_nursery, sleep

from gooseberryyoke.claim import claim_key
from gooseberryyoke_daemon.testing import FakeService, run_session
from gooseberryyoke_daemon.testing.session import BUNDLE_TEXT

CONFIRM = "/v1/services/meet-app/confirm"
OTHERS = ("10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4")


async def with_service(session, service):
    await session.start(entries=4)
    await session.server("app1", "10.0.2.1", "meet-app", [], service)
    await sleep(1.2)


async def confirm(session, name="swimmer-1", key="key-1", entry=1):
    return await session.call(
        "POST", CONFIRM, {"id": name}, entry=entry, idempotency_key=key
    )


def test_repeat_gets_the_kept_answer_and_other_bodies_are_refused():
    async def body(session):
        service = FakeService()
        await with_service(session, service)
        first = await confirm(session)
        assert (first.status, first.verdict) == (201, "ran")
        again = await confirm(session, entry=3)
        assert (again.status, again.body) == (201, first.body)
        other = await confirm(session, name="swimmer-2")
        assert (other.status, other.verdict) == (422, "not-run")
        bare = await session.call("POST", CONFIRM, {"id": "swimmer-3"})
        assert bare.json()["reason"] == "no-idempotency-key"
        assert service.runs == {"swimmer-1": 1}

    run_session(body)


def test_one_run_for_two_callers_with_one_key_at_two_entries():
    """
    Both callers get the same answer; the swimmer is entered once.

    Two entries are given the same key at the same instant. One of them wins the
    claim; the other follows its attempt at the agent.
    """

    async def body(session):
        service = FakeService(call_s=0.5)
        await with_service(session, service)
        replies = []

        async def ask(entry):
            replies.append(await confirm(session, entry=entry))

        async with open_nursery() as nursery:
            for entry in (1, 2, 3, 4):
                nursery.start_soon(ask, entry)
        assert {(reply.status, reply.body) for reply in replies} == {
            (201, b'{"id":"swimmer-1","number":1}')
        }
        assert service.runs == {"swimmer-1": 1}

    run_session(body)


def test_entry_killed_while_the_call_runs():
    """
    The caller asks again at another entry and gets the answer of the one run.

    The entry dies after its dispatch. The claim names attempt and agent, so the
    second entry follows the attempt instead of starting another one.
    """

    async def body(session):
        service = FakeService(call_s=1.0)
        await with_service(session, service)
        async with open_nursery() as nursery:
            nursery.start_soon(ask_and_lose, session, 4)
            await sleep(0.5)
            session.kill("e4")
            nursery.cancel_scope.cancel()
        again = await confirm(session, entry=1)
        assert (again.status, again.verdict) == (201, "ran")
        assert service.runs == {"swimmer-1": 1}

    run_session(body)


async def ask_and_lose(session, entry):
    await confirm(session, entry=entry)


def test_entry_killed_between_claim_and_dispatch():
    """
    The caller asks again at another entry; the call runs, once.

    The first entry has written its claim but can't reach the agent, and dies.
    The second entry has the agent bar that attempt, and takes the claim over.
    """

    async def body(session):
        service = FakeService()
        await with_service(session, service)
        session.network.cut("10.0.0.4", "10.0.2.1")
        async with open_nursery() as nursery:
            nursery.start_soon(ask_and_lose, session, 4)
            await sleep(0.3)
            session.kill("e4")
            nursery.cancel_scope.cancel()
        assert not service.runs
        again = await confirm(session, entry=1)
        assert (again.status, again.verdict) == (201, "ran")
        assert service.runs == {"swimmer-1": 1}

    run_session(body)


def test_agent_killed_while_the_call_runs():
    """
    The caller is told may-have-run, now and whenever it asks again.

    The agent dies while the service works. Its successor can't tell what became
    of the attempt, so nobody runs it again.
    """

    async def body(session):
        service = FakeService(call_s=1.0)
        await with_service(session, service)
        replies = []
        async with open_nursery() as nursery:

            async def ask():
                replies.append(await confirm(session))

            nursery.start_soon(ask)
            await sleep(0.5)
            session.kill("app1")
        assert replies[0].verdict == "may-have-run"
        await session.agent("app1", "10.0.2.1", "meet-app", [])
        await sleep(1.5)
        again = await confirm(session, entry=2)
        assert again.verdict == "may-have-run"
        assert service.runs == {"swimmer-1": 1}

    run_session(body)


def test_answer_to_the_dispatch_lost():
    """
    The caller gets its answer; the call runs once.

    The connection between entry and agent goes silent just after the order got
    through. The entry asks after the attempt by its number on a new connection.
    """

    async def body(session):
        service = FakeService(call_s=0.5)
        await with_service(session, service)
        async with open_nursery() as nursery:
            nursery.start_soon(silence_soon, session)
            reply = await confirm(session)
        assert (reply.status, reply.verdict) == (201, "ran")
        assert service.runs == {"swimmer-1": 1}

    async def silence_soon(session):
        await sleep(0.1)
        session.network.silence("10.0.2.1", "10.0.0.1", one_way=True)

    run_session(body)


def test_one_replica_less_changes_nothing_two_less_refuse():
    """
    With one replica gone callers see nothing; with two they are told not-run.

    Without a majority no claim can be written, so nothing is dispatched.
    """

    async def body(session):
        service = FakeService()
        await with_service(session, service)
        session.kill("e3")
        reply = await confirm(session, key="a")
        assert (reply.status, reply.verdict) == (201, "ran")
        session.kill("e2")
        reply = await confirm(session, name="swimmer-2", key="b")
        assert (reply.status, reply.verdict) == (503, "not-run")
        assert service.runs == {"swimmer-1": 1}

    run_session(body)


def test_caller_that_leaves_finds_its_answer_later():
    """
    The caller hangs up, asks again and gets the answer of the one run.

    The work goes on without its caller, since nobody could tell afterwards
    whether a call that was cut had run.
    """

    async def body(session):
        service = FakeService(call_s=1.0)
        await with_service(session, service)
        async with open_nursery() as nursery:
            nursery.start_soon(ask_and_lose, session, 1)
            await sleep(0.3)
            nursery.cancel_scope.cancel()
        await sleep(2.0)
        again = await confirm(session, entry=2)
        assert (again.status, again.verdict) == (201, "ran")
        assert service.runs == {"swimmer-1": 1}

    run_session(body)


def test_call_longer_than_the_patience():
    """
    The caller is told may-have-run at its deadline, and gets the answer later.

    The service takes longer than the caller's patience of five seconds.
    """

    async def body(session):
        service = FakeService(call_s=6.0)
        await with_service(session, service)
        start_s = session.clock.now()
        reply = await confirm(session)
        assert (reply.status, reply.verdict) == (504, "may-have-run")
        assert session.clock.now() - start_s < 5.2
        await sleep(2.0)
        again = await confirm(session)
        assert (again.status, again.verdict) == (201, "ran")
        assert service.runs == {"swimmer-1": 1}

    run_session(body)


def test_service_that_cannot_be_reached_is_not_run_and_can_be_asked_again():
    """
    The caller is told not-run and the same key works afterwards.

    The service is down when the agent connects. The claim is released, and runs
    with the same key once the service is back.
    """

    async def body(session):
        service = FakeService()
        await with_service(session, service)
        session.kill("app1.server")
        reply = await confirm(session)
        assert (reply.status, reply.verdict) == (502, "not-run")
        await session.nursery.start(
            session._serve_fake, "app1.server", "10.0.2.1", service
        )
        await sleep(2.0)
        again = await confirm(session)
        assert (again.status, again.verdict) == (201, "ran")
        assert service.runs == {"swimmer-1": 1}

    run_session(body)


def test_backend_server_cannot_speak_in_the_name_of_the_system():
    """
    The caller sees one verdict, the entry's, also in a kept answer.

    The service adds a verdict header of its own to its answer. Callers took the
    first of the two, which said not-run for a call that had run.
    """

    async def body(session):
        service = FakeService()
        service.headers = (("gooseberryyoke-verdict", "not-run"),)
        await with_service(session, service)
        for entry in (1, 2):
            reply = await confirm(session, entry=entry)
            verdicts = [v for k, v in reply.headers if k == "gooseberryyoke-verdict"]
            assert verdicts == ["ran"]

    run_session(body)


def test_silent_connections_to_the_replicas():
    """
    The caller's confirmation is answered within its patience.

    The open connections from its entry to both other replicas lose every byte
    for good, while new ones work. Without an answer a call gives its connection
    up, and the next one opens another.
    """

    async def body(session):
        service = FakeService()
        await with_service(session, service)
        await confirm(session, name="before", key="before")
        for host in OTHERS[1:3]:
            session.network.silence(OTHERS[0], host)
        reply = await confirm(session)
        assert (reply.status, reply.verdict) == (201, "ran")
        assert service.runs == {"before": 1, "swimmer-1": 1}

    run_session(body)


def test_one_way_cut_of_the_own_replica():
    """
    Callers of the cut entry are refused or answered, and nothing runs twice.

    What the entry sends to the other replicas is lost, what they send arrives.
    Its lease runs out; the others go on. Healed, it answers again.
    """

    async def body(session):
        service = FakeService()
        await with_service(session, service)
        for host in OTHERS[1:]:
            session.network.cut(OTHERS[0], host, one_way=True)
        await sleep(3.0)
        refused = await confirm(session, entry=1)
        assert (refused.status, refused.verdict) == (503, "not-run")
        reply = await confirm(session, entry=2)
        assert (reply.status, reply.verdict) == (201, "ran")
        for host in OTHERS[1:]:
            session.network.heal(OTHERS[0], host)
        await sleep(3.0)
        again = await confirm(session, entry=1)
        assert again.body == reply.body
        assert service.runs == {"swimmer-1": 1}

    run_session(body)


SLOW_S = 0.05
IMPATIENT = BUNDLE_TEXT.replace(
    "    repeatable: false\n    default_patience_s: 5",
    "    repeatable: false\n    default_patience_s: 0.2",
)


def slow_replicas(session):
    for host in OTHERS[:3]:
        session.network.set_latency(OTHERS[3], host, SLOW_S)


def test_not_run_at_the_deadline_stays_true():
    """
    A caller that was told not-run is told the truth, however slow the replicas.

    The patience runs out while the claim is being written. The work went on in
    the background, wrote the claim and dispatched the call that its caller had
    been told did not run.
    """

    async def body(session):
        service = FakeService()
        await with_service(session, service)
        slow_replicas(session)
        reply = await confirm(session, entry=4)
        assert (reply.status, reply.verdict) == (504, "not-run")
        await sleep(2.0)
        assert not service.runs
        again = await confirm(session, entry=1)
        assert (again.status, again.verdict) == (201, "ran")
        assert service.runs == {"swimmer-1": 1}

    run_session(body, text=IMPATIENT)


def test_repeat_of_a_running_call_is_not_told_not_run():
    """
    A caller that asks again while its call runs is told may-have-run.

    Its patience runs out while its second request still follows the attempt of
    the first one, which goes on to its end.
    """

    async def body(session):
        service = FakeService(call_s=1.0)
        await with_service(session, service)
        for entry in (1, 2):
            reply = await confirm(session, entry=entry)
            assert (reply.status, reply.verdict) == (504, "may-have-run")
        await sleep(2.0)
        assert service.runs == {"swimmer-1": 1}

    run_session(body, text=IMPATIENT)


def test_fault_in_one_claim_does_not_end_the_entry():
    """
    One caller gets an error, the others are served as before.

    A register holds a claim that can't be read. The work on it ran outside of
    what guards a request, so that its error ended the whole process.
    """

    async def body(session):
        service = FakeService()
        await with_service(session, service)
        registers = session.daemons["e1"].registers
        key = claim_key("club", "key-1")
        await registers.write(key, 0, {"no": "claim"}, 5.0)
        reply = await confirm(session)
        assert (reply.status, reply.verdict) == (500, "may-have-run")
        other = await confirm(session, name="swimmer-2", key="key-2")
        assert (other.status, other.verdict) == (201, "ran")
        assert service.runs == {"swimmer-2": 1}

    run_session(body)


def test_failed_disk_of_the_own_replica():
    """
    Callers of the entry beside the failed disk see nothing of it.

    Its replica's disk fails on a write. The replica ends; it took the entry in
    the same process with it, and all connections of its callers.
    """

    async def body(session):
        service = FakeService()
        await with_service(session, service)
        session.disks["e1"].fail_next = True
        for number in range(3):
            reply = await confirm(session, f"swimmer-{number}", f"key-{number}")
            assert (reply.status, reply.verdict) == (201, "ran")
        assert service.runs.total() == 3

    run_session(body)
