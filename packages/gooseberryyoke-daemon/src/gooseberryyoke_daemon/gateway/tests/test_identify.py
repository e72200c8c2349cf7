import pytest

from gooseberryyoke.routing import RouteTable
from gooseberryyoke_daemon.testing.routed import run_routed, sample_table
from gooseberryyoke_daemon.wire import Limits, Response


async def sound(request):
    return Response(200, [], b"done")


def table_with(accounts):
    table = sample_table()
    return RouteTable(1, table.routes, table.services.values(), accounts)


@pytest.mark.parametrize(("accounts", "status"), [([], 401), (None, 200)])
def test_a_table_that_takes_the_last_account_away_lets_no_key_in(accounts, status):
    # Guards against routes that are open to any key, once the list of accounts has
    # become empty.
    async def main(session):
        server = await session.add("s1", sound)
        reply = await session.ask("/read/x", key="any-key")
        assert reply.status == status
        assert bool(server.requests) is (status == 200)

    run_routed(main, table=table_with(accounts))


@pytest.mark.parametrize("count", [70, 1000])
def test_many_short_headers_within_the_limit_of_bytes_are_taken(count):
    # Guards against requests that are refused for a number of headers of which no
    # caller was told.
    async def main(session):
        limits = Limits(header_count=2 * count)
        server = await session.add("s1", sound, limits=limits)
        headers = [(f"h{number}", "v") for number in range(count)]
        reply = await session.ask("/read/x", headers=headers)
        assert reply.status == 200
        (request,) = server.requests
        assert request.header("h69") == "v"

    run_routed(main)
