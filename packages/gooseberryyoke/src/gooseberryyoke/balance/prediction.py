"""Prediction of a request's response time and cost at a backend server."""

from gooseberryyoke.balance.choice import Choice
from gooseberryyoke.balance.demand import PREFIX_BLOCK_TOKENS
from gooseberryyoke.balance.report import LoadReport

__all__ = ["predict", "score"]

DEFAULT_REPORT = LoadReport(
    sequence=-1, age_s=0.0, running=0, queued=0, batch_slots=32, step_s=0.03
)
CROSS_DATA_CENTRE_DELAY_S = 0.002
# Weight of own attempts since the last report. It is greater than 1 because the
# other entries read the same reports and send to the same servers at the same time.
HERD_EFFECT_WEIGHT = 3


def predict(view, demand, mean_tokens, now, near=True, cached_blocks=0):
    """
    Predict when a server would answer a request.

    Parameters
    ----------
    view : ServerView
    demand : Demand
    mean_tokens : float
        Mean answer length of the requests ahead in the queue.
    now : float
        Time in seconds.
    near : bool
        Whether the server is in the entry's own data centre.
    cached_blocks : int
        Prefix blocks expected to be in the server's cache.

    Returns
    -------
    Choice
    """
    report = view.report or DEFAULT_REPORT
    pending = view.pending(now)
    step_s = _step_s(view, report, pending)
    queue_s = _queue_s(report, pending, mean_tokens, step_s)
    ahead = pending - report.queued_behind(demand.priority)
    wait_s = max(0.0, _queue_s(report, ahead, mean_tokens, step_s))
    cached_tokens = min(cached_blocks * PREFIX_BLOCK_TOKENS, demand.prompt_tokens)
    tokens = demand.prompt_tokens - cached_tokens + view.pending_prefill_tokens
    first_token_s = wait_s + tokens / report.prefill_tokens_per_s + step_s
    first_token_s += _network_delay_s(near)
    return Choice(
        view.server_id,
        wait_s,
        first_token_s,
        first_token_s + max(0, demand.expected_tokens - 1) * step_s,
        queue_s,
        cached_tokens,
    )


def score(view, demand, mean_tokens, now, near=True, cached_blocks=0):
    """
    Return the cost of a request at a server; lower is better.

    Parameters
    ----------
    view, demand, mean_tokens, now, near, cached_blocks
        As for `predict`.

    Returns
    -------
    float
        Cost in seconds.

    Notes
    -----
    The cost is the predicted time with two changes. The request's prefill delays
    every request in the batch, so its duration is multiplied by half the number
    of batch slots; this keeps prompts with a common prefix on the same server.
    Own attempts since the last report count `HERD_EFFECT_WEIGHT` times because
    the other entries send to the same servers at the same time.
    """
    report = view.report or DEFAULT_REPORT
    pending = view.pending(now, HERD_EFFECT_WEIGHT)
    step_s = _step_s(view, report, pending)
    uncached = max(0, demand.prompt_tokens - cached_blocks * PREFIX_BLOCK_TOKENS)
    tokens = uncached * report.batch_slots / 2 + view.pending_prefill_tokens
    ahead = pending - report.queued_behind(demand.priority)
    return (
        max(0.0, _queue_s(report, ahead, mean_tokens, step_s))
        + tokens / report.prefill_tokens_per_s
        + demand.expected_tokens * step_s
        + _network_delay_s(near)
    )


def _step_s(view, report, pending):
    slots = report.batch_slots
    return view.step_time.slot_step_s(report) * (slots + min(pending, slots))


def _queue_s(report, pending, mean_tokens, step_s):
    excess = pending - report.batch_slots + 1
    return excess * mean_tokens * step_s / report.batch_slots


def _network_delay_s(near):
    return 0.0 if near else CROSS_DATA_CENTRE_DELAY_S
