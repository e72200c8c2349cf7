"""When a server would answer a request, and what that costs all of them."""

from gooseberryyoke.balance.choice import Choice
from gooseberryyoke.balance.demand import PREFIX_BLOCK_TOKENS
from gooseberryyoke.balance.report import LoadReport

__all__ = ["predict", "score"]

UNREPORTED = LoadReport(
    sequence=-1, age_s=0.0, running=0, queued=0, batch_slots=32, step_s=0.03
)
OTHER_DATA_CENTRE_S = 0.002
# The other entries read the same reports and send alike.
HERD_WEIGHT = 3


def predict(view, demand, mean_tokens, now, near=True, cached_blocks=0):
    """
    Predict when a server would answer a request.

    Parameters
    ----------
    view : ServerView
    demand : Demand
    mean_tokens : float
        Mean answer length of the requests that are ahead.
    now : float
        Time in seconds.
    near : bool
        Whether the server is in the entry's own data centre.
    cached_blocks : int
        Prefix blocks that the server is believed to hold.

    Returns
    -------
    Choice
    """
    report = view.report or UNREPORTED
    pending = view.pending(now)
    step_s = _step_s(view, report, pending)
    queue_s = _queue_s(report, pending, mean_tokens, step_s)
    ahead = pending - report.queued_behind(demand.priority)
    wait_s = max(0.0, _queue_s(report, ahead, mean_tokens, step_s))
    cached_tokens = min(cached_blocks * PREFIX_BLOCK_TOKENS, demand.prompt_tokens)
    tokens = demand.prompt_tokens - cached_tokens + view.awaited_tokens
    first_token_s = wait_s + tokens / report.prefill_tokens_per_s + step_s
    first_token_s += _distance_s(near)
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
    Tell what a request would cost at a server; the lowest cost is the best.

    Parameters
    ----------
    view, demand, mean_tokens, now, near, cached_blocks
        As for `predict`.

    Returns
    -------
    float
        Seconds.

    Notes
    -----
    This is the predicted time with two changes. Prefill holds up each request
    in the batch, so that it counts once for half of the slots; that keeps
    prompts with a common prefix together. Own attempts since the report count
    more than once, for the other entries do the same at the same time.
    """
    report = view.report or UNREPORTED
    pending = view.pending(now, HERD_WEIGHT)
    step_s = _step_s(view, report, pending)
    uncached = max(0, demand.prompt_tokens - cached_blocks * PREFIX_BLOCK_TOKENS)
    tokens = uncached * report.batch_slots / 2 + view.awaited_tokens
    ahead = pending - report.queued_behind(demand.priority)
    return (
        max(0.0, _queue_s(report, ahead, mean_tokens, step_s))
        + tokens / report.prefill_tokens_per_s
        + demand.expected_tokens * step_s
        + _distance_s(near)
    )


def _step_s(view, report, pending):
    slots = report.batch_slots
    return view.pace.slot_step_s(report) * (slots + min(pending, slots))


def _queue_s(report, pending, mean_tokens, step_s):
    over = pending - report.batch_slots + 1
    return over * mean_tokens * step_s / report.batch_slots


def _distance_s(near):
    return 0.0 if near else OTHER_DATA_CENTRE_S
