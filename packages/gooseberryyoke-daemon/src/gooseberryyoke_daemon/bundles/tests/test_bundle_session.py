from trio import open_nursery, sleep

from gooseberryyoke_daemon.testing import FakeEngine, run_session
from gooseberryyoke_daemon.testing.session import BUNDLE_TEXT

HOSTS = ("10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4")


def text(version, patience_s=10):
    changed = BUNDLE_TEXT.replace("version: 1", f"version: {version}")
    return changed.replace(
        "default_patience_s: 10", f"default_patience_s: {patience_s}"
    )


async def with_engine(session):
    await session.start(entries=4)
    await session.server("llm1", "10.0.1.1", "draw-llm", ["heat-draw"], FakeEngine())
    await sleep(1.2)


async def versions(session, entry):
    status = await session.operate("GET", "/operator/status", entry)
    return {peer["name"]: peer["version"] for peer in status.payload["entries"]}


def test_roll_is_in_force_everywhere_within_its_lease():
    async def body(session):
        await with_engine(session)
        reply = await session.roll(text(2), entry=2)
        assert (reply.status, reply.payload["again"]) == (200, False)
        await sleep(reply.payload["lease_s"])
        for entry in (1, 2, 3, 4):
            found = await session.operate("GET", "/operator/status", entry)
            assert found.payload["bundle"]["version"] == 2
        await sleep(1.0)
        assert await versions(session, 1) == {"e1": 2, "e2": 2, "e3": 2, "e4": 2}

    run_session(body)


def test_resend_conflict_and_older_version():
    """
    One of two racing operators wins; the other is told who.

    A bundle is sent twice, since its first answer was lost. Another operator
    sends a different bundle under the same version, and then an older one.
    """

    async def body(session):
        await with_engine(session)
        first = await session.roll(text(2))
        again = await session.roll(text(2), entry=3)
        assert again.payload["again"] is True
        assert again.payload["digest"] == first.payload["digest"]
        other = await session.roll(text(2, patience_s=20), entry=2)
        assert (other.status, other.payload["reason"]) == (409, "conflict")
        assert other.payload["winner"]["digest"] == first.payload["digest"]
        older = await session.roll(text(1, patience_s=20))
        assert (older.status, older.payload["reason"]) == (409, "older")

    run_session(body)


def test_operators_race_under_one_version():
    """
    Exactly one of the bundles is accepted, and all entries hold that one.

    Four operators send four bundles under the same version at the same instant,
    each to another entry.
    """

    async def body(session):
        await with_engine(session)
        replies = []

        async def send(entry):
            replies.append(await session.roll(text(2, patience_s=20 + entry), entry))

        async with open_nursery() as nursery:
            for entry in (1, 2, 3, 4):
                nursery.start_soon(send, entry)
        assert sorted(reply.status for reply in replies) == [200, 409, 409, 409]
        winner = next(r.payload["digest"] for r in replies if r.status == 200)
        await sleep(2.0)
        for entry in (1, 2, 3, 4):
            found = await session.operate("GET", "/operator/status", entry)
            assert found.payload["bundle"]["digest"] == winner

    run_session(body)


def test_isolated_entry_stops_admitting_within_its_lease():
    """
    A caller of an entry that is cut off is told not-run and where else to go.

    The entry can't reach any replica. Its lease runs out before a bundle that
    was rolled meanwhile counts as in force; the entry never serves by the old
    one after that. Healed, it serves by the new one.
    """

    async def body(session):
        await with_engine(session)
        for host in HOSTS[:3]:
            session.network.cut(HOSTS[3], host)
        rolled = await session.roll(text(2))
        await sleep(rolled.payload["lease_s"])
        reply = await session.draw("seed", entry=4)
        assert (reply.status, reply.verdict) == (503, "not-run")
        assert reply.json()["reason"] == "no-bundle"
        assert (await session.draw("seed", entry=1)).status == 200
        for host in HOSTS[:3]:
            session.network.heal(HOSTS[3], host)
        await sleep(3.0)
        assert (await session.draw("seed", entry=4)).status == 200
        assert (await versions(session, 4))["e4"] == 2

    run_session(body)


def test_restart_many_versions_behind():
    """
    A restarted entry serves by the newest bundle or not at all.

    While the entry was down sixty bundles were accepted. It answers nothing
    before it has read the newest from a majority.
    """

    async def body(session):
        await with_engine(session)
        session.kill("e4")
        for version in range(2, 62):
            assert (await session.roll(text(version))).status == 200
        for host in HOSTS[:3]:
            session.network.cut(HOSTS[3], host)
        await session.entry(4)
        await sleep(1.0)
        assert (await session.draw("seed", entry=4)).status == 503
        for host in HOSTS[:3]:
            session.network.heal(HOSTS[3], host)
        await sleep(3.0)
        assert (await versions(session, 4))["e4"] == 61
        history = await session.operate("GET", "/operator/history", 4)
        assert len(history.payload["versions"]) == 50
        assert (await session.draw("seed", entry=4)).status == 200

    run_session(body)


def test_roll_under_load_refuses_nothing():
    """
    No caller notices a roll.

    Callers ask all entries without a pause while bundle after bundle is rolled.
    An agent that knows the newer bundle refuses orders under the old one; the
    entry begins those requests again.
    """

    async def body(session):
        await with_engine(session)
        statuses = []

        async def ask(entry):
            for _ in range(40):
                reply = await session.draw("seed the heats", entry=entry)
                statuses.append(reply.status)

        async with open_nursery() as nursery:
            for entry in (1, 2, 3, 4):
                nursery.start_soon(ask, entry)
            for version in range(2, 6):
                await session.roll(text(version), entry=1 + version % 4)
                await sleep(0.3)
        assert set(statuses) == {200}

    run_session(body)


def test_two_replicas_may_not_change_at_once():
    async def body(session):
        await with_engine(session)
        changed = text(2).replace("10.0.0.2:9000", "10.0.0.4:9000")
        twice = changed.replace("10.0.0.3:9000", "10.0.0.5:9000")
        refused = await session.roll(twice)
        assert refused.status == 422
        assert "at most one replica" in str(refused.payload["mistakes"])
        assert (await session.roll(changed)).status == 200

    run_session(body)


def test_agents_tell_an_isolated_entry_of_a_roll():
    """
    An entry that meets only agents stops serving by the old bundle early.

    It is cut off from the replicas and from all other entries, with a lease of
    ten seconds to go. The agents pass on what the other entries told them; its
    own look for the newer bundle fails, so it admits nothing more.
    """

    async def body(session):
        await with_engine(session)
        for host in HOSTS[:3]:
            session.network.cut(HOSTS[3], host)
        long = text(2).replace("bundle_lease_s: 10", "bundle_lease_s: 9")
        await session.roll(long)
        await sleep(2.5)
        reply = await session.draw("seed", entry=4)
        assert reply.json()["reason"] == "no-bundle"

    leased = BUNDLE_TEXT.replace("bundle_lease_s: 2", "bundle_lease_s: 10")
    run_session(body, text=leased)
