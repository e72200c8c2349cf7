"""Pack and merge the crash records that gateways exchange by gossip."""

from math import inf

from gooseberryyoke.crash.history import MAX_CRASHES, TRIAL_TIMEOUT_S

__all__ = ["merge_record", "pack_record"]

_MAX_SUBJECT_LENGTH = 64
_MAX_INCARNATION_LENGTH = 128
_MAX_AGE_MS = 86_400_000
_MAX_TRIAL_MS = round(1000 * TRIAL_TIMEOUT_S)


def pack_record(table, subject, gateway, now):
    """
    Pack the state of a prompt part or request into a record.

    Parameters
    ----------
    table : Suspects or RequestCrashes
    subject : str
        Prompt part or fingerprint.
    gateway : str
        Name of the sending gateway.
    now : float

    Returns
    -------
    list
        Subject, ages of the crashes by server incarnation, age of the last success or
        None, and time left of the sender's own trial or None. Times are in
        milliseconds.
    """
    history = table.get(subject)
    last_success_s = table.last_success_s(subject)
    crashes_s, trial_until_s = {}, None
    if history is not None:
        crashes_s = history.crashes_s
        last_success_s = max(last_success_s, history.last_success_s)
        trial_until_s = history.trial_deadlines_s.get(gateway)
    ages = {
        incarnation: _bounded_ms(now - at_s) for incarnation, at_s in crashes_s.items()
    }
    success_age = None if last_success_s == -inf else _bounded_ms(now - last_success_s)
    trial_left = None if trial_until_s is None else _bounded_ms(trial_until_s - now)
    return [subject, ages, success_age, trial_left]


def merge_record(table, packed, gateway, now):
    """
    Merge a record that another gateway packed with `pack_record`.

    Parameters
    ----------
    table : Suspects or RequestCrashes
    packed : list
    gateway : str
        Name of the sending gateway.
    now : float

    Returns
    -------
    changed, is_behind : bool
        See `Suspects.merge` and `RequestCrashes.merge`.

    Raises
    ------
    TypeError, ValueError, AttributeError
        If the record is malformed; nothing is merged then.
    """
    subject, ages, success_age, trial_left = packed
    _check_id(subject, _MAX_SUBJECT_LENGTH)
    if len(ages) > MAX_CRASHES:
        raise ValueError(f"{len(ages)} crashes for one part, at most {MAX_CRASHES}")
    for incarnation, age in ages.items():
        _check_id(incarnation, _MAX_INCARNATION_LENGTH)
        _check_ms(age, _MAX_AGE_MS)
    crashes_s = {incarnation: now - age / 1000 for incarnation, age in ages.items()}
    last_success_s, trial_until_s = -inf, None
    if success_age is not None:
        last_success_s = now - _check_ms(success_age, _MAX_AGE_MS) / 1000
    if trial_left is not None:
        trial_until_s = now + _check_ms(trial_left, _MAX_TRIAL_MS) / 1000
    return table.merge(subject, crashes_s, last_success_s, gateway, trial_until_s, now)


def _bounded_ms(seconds):
    return min(_MAX_AGE_MS, max(0, round(1000 * seconds)))


def _check_id(text, max_length):
    if type(text) is not str or not 0 < len(text) <= max_length:
        raise ValueError(
            f"{str(text)[:80]!r} is not an id of 1 to {max_length} characters"
        )


def _check_ms(value, max_ms):
    if type(value) is not int or not 0 <= value <= max_ms:
        raise ValueError(f"{str(value)[:80]!r} is not an integer from 0 to {max_ms} ms")
    return value
