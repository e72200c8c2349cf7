import pytest

from gooseberryyoke_daemon.gateway import retries
from gooseberryyoke_daemon.testing.routed import NAMES, run_routed
from gooseberryyoke_daemon.wire import Response

REQUESTS = 6


@pytest.fixture
def logged(monkeypatch):
    """List the events that decisions on retries log, with their fields."""
    lines = []

    def log(event, level="info", **fields):
        lines.append((event, fields))

    monkeypatch.setattr(retries, "log_event", log)
    return lines


async def failing(request):
    echo = (NAMES.attempt_id, request.header(NAMES.attempt_id))
    return Response(500, [echo], b"")


def test_a_retry_that_the_budget_refuses_is_logged_and_counted(logged):
    # Guards against failures that no line explains: the request was not tried again
    # because the budget of its service was spent.
    texts = []

    async def main(session):
        session.node.observer.load()
        for id in ("one", "two"):
            await session.add(id, failing)
        for number in range(REQUESTS):
            await session.ask("/read/x", attempt=f"a{number}")
        texts.append(session.node.render_metrics().decode())

    run_routed(main)
    counted = {
        outcome: f'cause="server-error",outcome="{outcome}",service="s"' in texts[0]
        for outcome in ("retry", "budget-spent")
    }
    assert counted == {"retry": True, "budget-spent": True}
    spent = [fields for event, fields in logged if event == "retry-budget-spent"]
    assert spent
    assert all(line["service"] == "s" for line in spent)
    assert all(line["cause"] == "server-error" for line in spent)
