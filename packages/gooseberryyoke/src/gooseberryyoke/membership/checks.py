"""Checks of the contents of an announcement, before any of them is stored."""

from math import isfinite

__all__ = ["find_models_error", "find_report_error", "find_usage_error"]

_MAX_VALUE = 1e15
"""Largest valid number; a larger one is regarded as an error."""
_MAX_MODELS = 4096
_MAX_PRIORITIES = 256
_NUMERIC_FIELDS = (
    "running",
    "queued",
    "batch_slots",
    "step_ms",
    "prefill_tokens_per_s",
    "waiting_tokens",
)


def find_models_error(models):
    """
    Find an error in a list of model names.

    Parameters
    ----------
    models : list
        The list, whose elements are not yet checked.

    Returns
    -------
    str or None
        Description of the error; None if the list is valid.

    Examples
    --------
    >>> find_models_error(["a"]), find_models_error([1])
    (None, 'models holds 1, expected texts')
    """
    if len(models) > _MAX_MODELS:
        return f"{len(models)} models, expected at most {_MAX_MODELS}"
    invalid = [model for model in models if not isinstance(model, str)]
    return f"models holds {invalid[0]!r}, expected texts" if invalid else None


def find_report_error(report):
    """
    Find an error in a load report of a backend server.

    Parameters
    ----------
    report : dict
        The report as received. Unknown fields are not checked; the server may use them
        freely.

    Returns
    -------
    str or None
        Description of the error; None if the report is valid.

    Examples
    --------
    >>> find_report_error({"running": 2, "vendor": "x"}) is None
    True
    >>> find_report_error({"running": -1})
    'report: running is -1, expected a number from 0'
    """
    for name in _NUMERIC_FIELDS:
        if name in report and not is_amount(report[name]):
            return f"report: {name} is {report[name]!r}, expected a number from 0"
    pairs = report.get("queued_by_priority", [])
    if not isinstance(pairs, list) or len(pairs) > _MAX_PRIORITIES:
        return f"report: queued_by_priority is no list of {_MAX_PRIORITIES} at most"
    for pair in pairs:
        match pair:
            case [int() | float(), amount] if is_amount(amount):
                continue
        return f"report: queued_by_priority holds {pair!r}, expected two numbers"
    return None


def find_usage_error(usage):
    """
    Find an error in the usage of accounts that an entry announces.

    Parameters
    ----------
    usage : dict
        The usage as ``{service: {account: [weight, in_flight_s]}}``.

    Returns
    -------
    str or None
        Description of the error; None if the usage is valid.

    Examples
    --------
    >>> find_usage_error({"llm": {"club": [1, 0.5]}}) is None
    True
    >>> find_usage_error({"llm": 5})
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
    Return whether a value is a finite number from 0 to 1e15.

    Parameters
    ----------
    value : object
        The value, which may have any type.

    Returns
    -------
    bool
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return isfinite(value) and 0 <= value <= _MAX_VALUE
