"""Checks of what an announcement carries, before any of it is kept."""

from math import isfinite

__all__ = ["mistake_in_models", "mistake_in_report", "mistake_in_usage"]

_MOST_VALUE = 1e15
_MOST_MODELS = 4096
_MOST_PRIORITIES = 256
_NUMBERS = (
    "running",
    "queued",
    "batch_slots",
    "step_ms",
    "prefill_tokens_per_s",
    "waiting_tokens",
)


def mistake_in_models(models):
    """
    Check a list of model names.

    Parameters
    ----------
    models : list

    Returns
    -------
    str or None
        What is wrong.

    Examples
    --------
    >>> mistake_in_models(["a"]), mistake_in_models([1])
    (None, 'models holds 1, expected texts')
    """
    if len(models) > _MOST_MODELS:
        return f"{len(models)} models, expected at most {_MOST_MODELS}"
    wrong = [model for model in models if not isinstance(model, str)]
    return f"models holds {wrong[0]!r}, expected texts" if wrong else None


def mistake_in_report(report):
    """
    Check a load report as a backend server gave it.

    Parameters
    ----------
    report : dict
        Fields that this system doesn't know are left to the server.

    Returns
    -------
    str or None
        What is wrong.

    Examples
    --------
    >>> mistake_in_report({"running": 2, "vendor": "x"}) is None
    True
    >>> mistake_in_report({"running": -1})
    'report: running is -1, expected a number from 0'
    """
    for name in _NUMBERS:
        if name in report and not is_amount(report[name]):
            return f"report: {name} is {report[name]!r}, expected a number from 0"
    pairs = report.get("queued_by_priority", [])
    if not isinstance(pairs, list) or len(pairs) > _MOST_PRIORITIES:
        return f"report: queued_by_priority is no list of {_MOST_PRIORITIES} at most"
    for pair in pairs:
        match pair:
            case [int() | float(), amount] if is_amount(amount):
                continue
        return f"report: queued_by_priority holds {pair!r}, expected two numbers"
    return None


def mistake_in_usage(usage):
    """
    Check what an entry tells of its accounts.

    Parameters
    ----------
    usage : dict
        ``{service: {account: [weight, in_flight_s]}}``.

    Returns
    -------
    str or None
        What is wrong.

    Examples
    --------
    >>> mistake_in_usage({"llm": {"club": [1, 0.5]}}) is None
    True
    >>> mistake_in_usage({"llm": 5})
    'usage of llm is 5, expected an object'
    """
    for service, accounts in usage.items():
        if not isinstance(accounts, dict):
            return f"usage of {service} is {accounts!r}, expected an object"
        for account, pair in accounts.items():
            match pair:
                case [weight, used_s] if is_amount(weight) and is_amount(used_s):
                    continue
            return f"usage of {account} is {pair!r}, expected weight and seconds"
    return None


def is_amount(value):
    """
    Tell whether a value is a finite number from 0, and not beyond reason.

    Parameters
    ----------
    value : object

    Returns
    -------
    bool
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return isfinite(value) and 0 <= value <= _MOST_VALUE
