"""What happens to a deployment, and when, drawn from a seed."""

from functools import singledispatch

from gooseberryyoke.record import Record

__all__ = [
    "Cut",
    "Delay",
    "Kill",
    "Pause",
    "Reset",
    "Roll",
    "Term",
    "TurnAway",
    "describe",
    "draw_faults",
    "draw_refusals",
]

_FAULTS_A_SECOND = 0.8
_LONGEST_DOWN_S = 3.0
_LONGEST_CUT_S = 4.0
"""Longer than the timeouts of calls between processes, shorter than a run."""
_LONGEST_DELAY_S = 0.4
_WIPE_SHARE = 0.3


class Kill(Record):
    """SIGKILL a process, perhaps empty its folder, and start it again later."""

    __slots__ = ("name", "down_s", "is_wiped")

    def __init__(self, name, down_s, is_wiped=False):
        self.name = name
        self.down_s = down_s
        self.is_wiped = is_wiped


class Pause(Record):
    """SIGSTOP a process, and SIGCONT it later."""

    __slots__ = ("name", "for_s")

    def __init__(self, name, for_s):
        self.name = name
        self.for_s = for_s


class Term(Record):
    """SIGTERM a process, and start it again once it has ended."""

    __slots__ = ("name",)

    def __init__(self, name):
        self.name = name


class Reset(Record):
    """Reset all connections to a process."""

    __slots__ = ("name",)

    def __init__(self, name):
        self.name = name


class Cut(Record):
    """Hold back data to a process, from it, or both."""

    __slots__ = ("name", "directions", "for_s")

    def __init__(self, name, directions, for_s):
        self.name = name
        self.directions = directions
        self.for_s = for_s


class Delay(Record):
    """Delay data to and from a process."""

    __slots__ = ("name", "delay_s", "for_s")

    def __init__(self, name, delay_s, for_s):
        self.name = name
        self.delay_s = delay_s
        self.for_s = for_s


class TurnAway(Record):
    """Let an engine turn requests away and ask for pauses."""

    __slots__ = ("name", "for_s", "pause_s")

    def __init__(self, name, for_s, pause_s):
        self.name = name
        self.for_s = for_s
        self.pause_s = pause_s


class Roll(Record):
    """Roll the next version of the bundle."""

    __slots__ = ()


@singledispatch
def describe(fault):
    """
    Put a fault into words for the list of a run.

    Parameters
    ----------
    fault : Record

    Returns
    -------
    str
    """
    fields = " ".join(f"{name}={getattr(fault, name)}" for name in fault.__slots__)
    return f"{type(fault).__name__.lower()} {fields}".rstrip()


def draw_faults(rng, entries, agents, backends, seconds):
    """
    Draw the faults of a run.

    Parameters
    ----------
    rng : random.Random
    entries, agents, backends : list of str
        Names of the processes. Backends lose nothing but their connections and time:
        what they have counted is needed for the checks.
    seconds : float

    Returns
    -------
    list of (float, Record)
        Seconds from the start of the run, and the fault, in order of time.
    """
    found = [(rng.uniform(0.2, 0.8) * seconds, Roll())]
    for _ in range(round(seconds * _FAULTS_A_SECOND)):
        found.append((rng.uniform(0.0, seconds), _draw(rng, entries, agents, backends)))
    return sorted(found, key=lambda item: item[0])


def draw_refusals(rng, engines, seconds):
    """
    Draw when engines turn work away and ask for pauses.

    Parameters
    ----------
    rng : random.Random
    engines : list of str
    seconds : float
        Of the run; all pauses are over before its end.

    Returns
    -------
    list of (float, TurnAway)
        As of `draw_faults`; some engine is always left.
    """
    names = rng.sample(engines, rng.randint(1, len(engines) - 1))
    return sorted(
        (
            (
                rng.uniform(0.05, 0.4) * seconds,
                TurnAway(
                    name,
                    round(rng.uniform(0.1, 0.25) * seconds, 2),
                    round(rng.uniform(0.1, 0.3) * seconds, 2),
                ),
            )
            for name in names
        ),
        key=lambda item: item[0],
    )


def _draw(rng, entries, agents, backends):
    kind = rng.choice((Kill, Kill, Pause, Term, Reset, Cut, Delay))
    own = rng.choice((*entries, *entries, *agents))
    reached = rng.choice((*entries, *backends))
    for_s = round(rng.uniform(0.3, _LONGEST_CUT_S), 2)
    if kind is Kill:
        is_wiped = own in entries and rng.random() < _WIPE_SHARE
        return Kill(own, round(rng.uniform(0.1, _LONGEST_DOWN_S), 2), is_wiped)
    if kind is Pause:
        return Pause(rng.choice((own, reached)), for_s)
    if kind is Term:
        return Term(own)
    if kind is Reset:
        return Reset(reached)
    if kind is Cut:
        return Cut(reached, rng.choice(((), ("there",), ("back",))), for_s)
    return Delay(reached, round(rng.uniform(0.02, _LONGEST_DELAY_S), 3), for_s)
