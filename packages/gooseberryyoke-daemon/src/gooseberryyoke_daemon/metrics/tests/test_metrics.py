import pytest

from gooseberryyoke_daemon.metrics import COUNTERS, GAUGES, HISTOGRAMS, Metrics


def lines(metrics, name):
    shown = metrics.render().decode().splitlines()
    return [line for line in shown if line.startswith(f"gooseberryyoke_{name}")]


def test_each_account_and_class_has_its_histogram():
    metrics = Metrics()
    metrics.observe("answer_seconds", 0.3, account="deck", request_class="draw")
    metrics.observe("answer_seconds", 70, account="deck", request_class="draw")
    metrics.observe("answer_seconds", 1, account="school", request_class="draw")
    shown = lines(metrics, "answer_seconds")
    labels = 'account="deck",class="draw"'
    assert f'gooseberryyoke_answer_seconds_bucket{{{labels},le="0.25"}} 0.0' in shown
    assert f'gooseberryyoke_answer_seconds_bucket{{{labels},le="0.5"}} 1.0' in shown
    assert f'gooseberryyoke_answer_seconds_bucket{{{labels},le="+Inf"}} 2.0' in shown
    assert f"gooseberryyoke_answer_seconds_sum{{{labels}}} 70.3" in shown


def test_accounts_beyond_the_bound_count_as_other():
    metrics = Metrics(most_series=3)
    for number in range(50):
        account = f"account-{number}"
        metrics.count(
            "verdicts_total", account=account, request_class="draw", verdict="ran"
        )
    shown = lines(metrics, "verdicts_total")
    assert len(shown) == 4
    other = 'gooseberryyoke_verdicts_total{account="other",class="draw",verdict="ran"}'
    assert f"{other} 47" in shown


def test_no_label_makes_series_without_bound():
    metrics = Metrics(most_series=3)
    for number in range(50):
        metrics.count(
            "refusals_total", account=number, request_class=number, reason=number
        )
        metrics.count("messages_refused_total", reason=number)
    assert len(lines(metrics, "refusals_total")) <= 7
    assert len(lines(metrics, "messages_refused_total")) == 4


def test_label_values_cannot_break_the_text_format():
    metrics = Metrics()
    metrics.count("messages_refused_total", reason='x"} 1\nforged 2')
    assert lines(metrics, "messages_refused_total") == [
        'gooseberryyoke_messages_refused_total{reason="x___1_forged_2"} 1'
    ]


def test_unknown_account_and_class_are_none():
    metrics = Metrics()
    metrics.count("refusals_total", account=None, request_class=None, reason="no-key")
    labels = 'account="none",class="none",reason="no-key"'
    assert lines(metrics, "refusals_total") == [
        f"gooseberryyoke_refusals_total{{{labels}}} 1"
    ]


def test_gauges_show_the_last_value():
    metrics = Metrics()
    metrics.set("bundle_version", 6)
    metrics.set("bundle_version", 7)
    assert lines(metrics, "bundle_version") == ["gooseberryyoke_bundle_version 7"]


def test_metric_names_are_unique():
    names = [item.name for item in (*HISTOGRAMS, *COUNTERS, *GAUGES)]
    assert len(set(names)) == len(names)


def test_an_unknown_metric_is_an_error():
    with pytest.raises(KeyError):
        Metrics().count("verdicts")
