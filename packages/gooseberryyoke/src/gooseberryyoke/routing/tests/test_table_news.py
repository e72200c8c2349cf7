import pytest

from gooseberryyoke.routing.table_news import TableIndex, TableNews

OLD, NEW = TableIndex(3, "aa"), TableIndex(4, "bb")


def test_the_highest_version_stays_whatever_is_told_later():
    # Guards against a table that goes back: one control process has heard less.
    news = TableNews()
    assert news.take(NEW, 1.0)
    assert not news.take(OLD, 2.0)
    assert not news.take(None, 3.0)
    assert news.index == NEW
    # The word of one that has heard less proves nothing about the newer table.
    assert news.confirmed_s == 1.0


def test_the_same_version_again_confirms_it():
    news = TableNews()
    news.take(NEW, 1.0)
    assert not news.take(NEW, 5.0)
    assert not news.take(NEW, 4.0)
    assert news.age_s(6.0) == 1.0


def test_that_no_table_is_stored_is_news_too():
    news = TableNews()
    assert news.to_json(0.0) is None
    assert not news.take(None, 1.0)
    assert news.to_json(1.5) == [None, None, 500]


def test_ages_travel_and_not_times():
    # Guards against a comparison of two processes' clocks.
    told, heard = TableNews(), TableNews()
    told.take(NEW, 1000.0)
    assert heard.take_json(told.to_json(1000.25), 7.0)
    assert heard.index == NEW
    assert heard.confirmed_s == 6.75


@pytest.mark.parametrize(
    "packed",
    [[4, "bb"], [4, "bb", -1], [4, "bb", "1"], [4, "bb", 0.5], ["x", "bb", 1], 7, [4]],
)
def test_malformed_news_changes_nothing(packed):
    news = TableNews()
    with pytest.raises((TypeError, ValueError)):
        news.take_json(packed, 1.0)
    assert news.to_json(1.0) is None
