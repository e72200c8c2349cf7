"""The load: a server cuts many requests off at once, or one by one."""

from types import SimpleNamespace

import trio
import trio.testing

from gooseberryyoke_daemon.gateway.server_ends import ServerEnds

SERVER = SimpleNamespace(entry=SimpleNamespace(id="s", born_ms=1), address=None)


class Listener:
    """Says at each look whether the server's port refuses connections."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.looks = 0

    async def is_refused(self, address):
        self.looks += 1
        await trio.sleep(0.001)
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]


def look(listener, requests=1, leave_s=None):
    """Give the answers for requests that broke at once, and how long they took."""
    found = []

    async def ask(ends, leave_s):
        with trio.move_on_after(float("inf") if leave_s is None else leave_s):
            found.append(await ends.has_ended(SERVER, trio.current_time()))

    async def main():
        ends, begin_s = ServerEnds(listener), trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(requests):
                nursery.start_soon(ask, ends, None if number else leave_s)
                await trio.testing.wait_all_tasks_blocked()
        return trio.current_time() - begin_s

    took_s = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return found, took_s


def test_a_server_that_closes_connections_before_it_stops_listening_has_ended():
    """A process that ends may close what it has in any order."""
    assert look(Listener(False, True))[0] == [True]


def test_a_server_that_resets_requests_but_lives_has_not_ended():
    assert look(Listener(False))[0] == [False]


def test_many_requests_cut_off_by_a_live_server_are_looked_after_at_once():
    """Each looked in turn: the last of fifty waited for seconds to be sent again."""
    listener = Listener(False)
    found, took_s = look(listener, requests=50)
    assert found == [False] * 50
    assert took_s < 0.1
    assert listener.looks == 2


def test_a_caller_that_leaves_does_not_take_the_answer_with_it():
    """Others wait for the look of a request whose caller may leave meanwhile."""
    found, _ = look(Listener(False, True), requests=5, leave_s=0.01)
    assert found == [True] * 4


def test_a_server_that_started_again_unannounced_has_a_life_of_its_own():
    """Its end was taken for the one before, and the request sent once more."""
    found = []

    async def main():
        ends = ServerEnds(Listener(True, False, False, True))
        for _ in range(3):
            sent_s = trio.current_time()
            await trio.sleep(0.1)
            life = ends.life_at(SERVER, sent_s)
            found.append((life, await ends.has_ended(SERVER, sent_s)))
            await trio.sleep(1.0)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert found == [("s/1", True), ("s/1+", False), ("s/1+", True)]
