import pytest

from gooseberryyoke_daemon.header_names import HeaderNames
from gooseberryyoke_daemon.server_report import ServerReport, read_report

NAMES = HeaderNames(limit=("limit", "x-limit"), leaving=("leaving", "x-leaving"))


def report(*headers, status=200):
    return read_report(status, headers, NAMES)


def test_an_answer_without_words_of_the_server_reports_nothing():
    assert report(("content-type", "text/plain")) == ServerReport()


@pytest.mark.parametrize(
    ("header", "expected"),
    [
        ((NAMES.load, "3,1,6"), ServerReport(load=(3, 1))),
        ((NAMES.load, "3,1"), ServerReport(unreadable=["load"])),
        ((NAMES.load, "a,b,c"), ServerReport(unreadable=["load"])),
        (("x-limit", "2.5"), ServerReport(rate=2.5)),
        (("limit", "many"), ServerReport(unreadable=["rate"])),
        (("leaving", "1"), ServerReport(is_leaving=True)),
        (("x-leaving", " 1 "), ServerReport(is_leaving=True)),
        (("leaving", "0"), ServerReport()),
        (("leaving", "yes"), ServerReport(unreadable=["is_leaving"])),
    ],
)
@pytest.mark.parametrize("status", [200, 503])
def test_each_word_is_decoded_or_named_as_unreadable(status, header, expected):
    assert report(header, status=status) == expected


@pytest.mark.parametrize(
    ("status", "expected"),
    [(503, 3.0), (429, 3.0), (200, None), (301, None), (500, None)],
)
def test_a_pause_is_asked_for_by_refusals_alone(status, expected):
    assert report(("retry-after", "3"), status=status).backoff_s == expected


def test_of_a_header_that_comes_twice_the_stricter_value_counts():
    twice = report(
        *(("retry-after", "1"), ("retry-after", "4")),
        *(("limit", "9"), ("x-limit", "2")),
        *(("leaving", "0"), ("x-leaving", "1")),
        status=503,
    )
    assert twice == ServerReport(rate=2.0, backoff_s=4.0, is_leaving=True)


def test_a_date_is_no_pause():
    # Guards against a pause reckoned on clocks that differ by more than it lasts.
    header = ("retry-after", "Wed, 21 Oct 2026 07:28:00 GMT")
    assert report(header, status=503) == ServerReport(unreadable=["backoff_s"])
