from tools.bench.quarantine import (
    change_bytes,
    memory_kb,
    news_rate,
    request_memory_kb,
    request_news_rate,
)


def test_news_of_a_suspicion_go_to_eight_others_each_second_at_most():
    # Guards against a bench that counts other traffic than gateways send.
    assert news_rate(4, 1)[0] == 3
    assert news_rate(47, 1)[0] == 8
    assert news_rate(350, 1)[0] == 8
    assert news_rate(4, 0) == (0, 0)


def test_a_change_goes_to_all_others_at_once():
    # Guards against a bench that leaves out what each end costs a large deployment.
    assert change_bytes(47) / change_bytes(4) == 46 / 3


def test_more_that_is_kept_takes_more_memory():
    # Guards against a measure that misses what is held.
    few, many = memory_kb(100, 10), memory_kb(1000, 100)
    assert many[0] > 5 * few[0] > 0
    assert many[1] > 5 * few[1] > 0


def test_news_of_requests_is_bounded_and_counted():
    # Guards against a bench that measures an empty table.
    assert request_news_rate(4, 0) == (0, 0)
    assert 0 < request_news_rate(47, 1)[1] < request_news_rate(47, 1024)[1]
    assert request_memory_kb(100) > 5 * request_memory_kb(10) > 0
