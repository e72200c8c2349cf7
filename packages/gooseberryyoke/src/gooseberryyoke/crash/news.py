"""What gateways tell each other of parts that servers ended under."""

from math import inf

__all__ = ["pack_record", "take_record"]

_LONGEST_PART = 64
_LONGEST_LIFE = 128
_MOST_ENDS = 8
_LONGEST_AGE_MS = 86_400_000
_LONGEST_TRIAL_MS = 3000


def pack_record(suspects, part, gateway, now):
    """
    Pack what is known of a part.

    Parameters
    ----------
    suspects : Suspects
    part : str
    gateway : str
        The teller.
    now : float

    Returns
    -------
    list
        Part, ages in milliseconds of the ends by the lives of servers, age of the last
        proof or None, and what is left of the teller's own trial or None.
    """
    suspicion = suspects.get(part)
    proof_s = suspects.proof_s(part)
    ends_s, trial_until_s = {}, None
    if suspicion is not None:
        ends_s = suspicion.ends_s
        proof_s = max(proof_s, suspicion.proof_s)
        trial_until_s = suspicion.trials_s.get(gateway)
    ages = {life: _ms(now - at_s) for life, at_s in ends_s.items()}
    proof_age = None if proof_s == -inf else _ms(now - proof_s)
    trial_left = None if trial_until_s is None else _ms(trial_until_s - now)
    return [part, ages, proof_age, trial_left]


def take_record(suspects, packed, gateway, now):
    """
    Merge a record of another gateway; see `pack_record`.

    Parameters
    ----------
    suspects : Suspects
    packed : list
    gateway : str
        The teller.
    now : float

    Returns
    -------
    changed : bool
    is_behind : bool
        See `Suspects.take`.

    Raises
    ------
    TypeError, ValueError
        If it has another form; nothing is taken over then.
    """
    part, ages, proof_age, trial_left = packed
    _check_text(part, _LONGEST_PART)
    if len(ages) > _MOST_ENDS:
        raise ValueError(f"{len(ages)} ends of one part")
    for life, age in ages.items():
        _check_text(life, _LONGEST_LIFE)
        _check_ms(age, _LONGEST_AGE_MS)
    ends_s = {life: now - age / 1000 for life, age in ages.items()}
    proof_s, trial_until_s = -inf, None
    if proof_age is not None:
        proof_s = now - _check_ms(proof_age, _LONGEST_AGE_MS) / 1000
    if trial_left is not None:
        trial_until_s = now + _check_ms(trial_left, _LONGEST_TRIAL_MS) / 1000
    return suspects.take(part, ends_s, proof_s, gateway, trial_until_s, now)


def _ms(seconds):
    return min(_LONGEST_AGE_MS, max(0, round(1000 * seconds)))


def _check_text(text, longest):
    if type(text) is not str or not 0 < len(text) <= longest:
        raise ValueError(f"{str(text)[:80]!r} is no id of at most {longest} characters")


def _check_ms(value, most):
    if type(value) is not int or not 0 <= value <= most:
        raise ValueError(f"{str(value)[:80]!r} is no time within bounds")
    return value
