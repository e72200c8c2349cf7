import pytest

from tools.bench.capacity_fit import fit_line
from tools.bench.capacity_usage import Usage, parse_sockets, usage_rate

LISTED = (
    "0 0 127.0.0.1:50000 127.0.0.1:14000 "
    'users:(("gooseberryyoked",pid=71,fd=8)) cubic rto:204 '
    "bytes_sent:100 bytes_acked:100 bytes_received:50 segs_out:3\n"
    "0 0 127.0.0.1:14000 127.0.0.1:50000 "
    'users:(("gooseberryyoked",pid=72,fd=9)) cubic rto:204 '
    "bytes_sent:50 bytes_retrans:7 bytes_acked:50 bytes_received:101 segs_out:2\n"
)


def test_line_through_points_on_a_line():
    line = fit_line([(1, 3.0), (2, 5.0), (4, 9.0)])
    assert (line.slope, line.intercept, line.r_squared) == (2.0, 1.0, 1.0)
    assert line.at(350) == 701.0


def test_fit_tells_what_the_line_does_not_explain():
    line = fit_line([(0, 0.0), (1, 1.0), (2, 0.0), (3, 1.0)])
    assert line.slope == pytest.approx(0.2)
    assert line.r_squared == pytest.approx(0.2)


def test_one_size_makes_no_line():
    with pytest.raises(ValueError, match="one size only, 4"):
        fit_line([(4, 1.0), (4, 2.0)])


def test_rate_counts_connections_opened_meanwhile():
    before = Usage(1.0, 50_000_000, 30_000_000, {"a": 100, "closed": 900})
    after = Usage(1.5, 60_000_000, 40_000_000, {"a": 150, "opened": 50})
    assert usage_rate(before, after, 10.0) == {
        "cpu_ms_per_s": 50.0,
        "bytes_per_s": 10.0,
        "rss_mb": 60.0,
        "pss_mb": 40.0,
    }


def test_bytes_of_a_connection_are_those_of_its_own_end():
    assert parse_sockets(LISTED) == {
        71: {"127.0.0.1:50000 127.0.0.1:14000": 150},
        72: {"127.0.0.1:14000 127.0.0.1:50000": 151},
    }


def test_connections_to_an_ignored_port_are_left_out_at_their_client():
    assert parse_sockets(LISTED, (14000,)) == {
        72: {"127.0.0.1:14000 127.0.0.1:50000": 151}
    }
