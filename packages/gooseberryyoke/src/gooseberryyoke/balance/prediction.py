"""When a server would answer a request."""

from gooseberryyoke.balance.choice import Choice
from gooseberryyoke.balance.demand import PREFIX_BLOCK_TOKENS
from gooseberryyoke.balance.report import LoadReport

__all__ = ["STALE_AFTER_S", "predict"]

STALE_AFTER_S = 5.0
"""Age from which a report says nothing on the queue any more."""

UNREPORTED = LoadReport(
    sequence=-1, age_s=0.0, running=0, queued=0, batch_slots=32, step_s=0.03
)
OTHER_DATA_CENTRE_S = 0.002


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
    pending = view.pending()
    if now - view.taken_at_s > STALE_AFTER_S:
        pending = len(view.in_flight)
    step_s = report.step_s
    ahead = pending - report.batch_slots + 1
    wait_s = max(0.0, ahead * mean_tokens * step_s / report.batch_slots)
    cached_tokens = min(cached_blocks * PREFIX_BLOCK_TOKENS, demand.prompt_tokens)
    prefill_s = (demand.prompt_tokens - cached_tokens) / report.prefill_tokens_per_s
    first_token_s = wait_s + prefill_s + step_s + (0.0 if near else OTHER_DATA_CENTRE_S)
    finish_s = first_token_s + max(0, demand.expected_tokens - 1) * step_s
    return Choice(view.server_id, wait_s, first_token_s, finish_s, cached_tokens)
