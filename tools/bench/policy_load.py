"""Seeded loads shaped like the two deployments."""

from functools import cache
from math import exp, log, pi, sin
from random import Random

from xxhash import xxh64_intdigest

from gooseberryyoke.balance import PREFIX_BLOCK_TOKENS
from tools.bench.policy_engine import (
    BASE_STEP_S,
    BATCH_SLOTS,
    PREFILL_TOKEN_S,
    SLOT_STEP_S,
)

__all__ = ["AUSTRAL", "CELINS", "Arrival", "Kind", "Load", "arrivals", "capacity_rps"]

ACCOUNT_PARTS = (0.25, 0.2, 0.15, 0.08, 0.08, 0.06, 0.06, 0.05, 0.04, 0.03)
LARGE_ACCOUNTS = 3
CALLERS_LARGE, CALLERS_SMALL = 40, 4
LENGTH_SIGMA = 0.6
WAVE_S = 40.0
WAVE = 0.25
ASSUMED_HITS = 0.5


class Kind:
    """One class of requests: lengths, patience and prompt prefixes."""

    __slots__ = (
        "name",
        "patience_s",
        "answer_tokens",
        "shared_blocks",
        "document_blocks",
        "own_tokens",
        "documents",
        "priority",
    )

    def __init__(
        self,
        name,
        patience_s,
        answer_tokens,
        shared_blocks,
        document_blocks,
        own_tokens,
        documents,
        priority,
    ):
        self.name = name
        self.patience_s = patience_s
        self.answer_tokens = answer_tokens
        self.shared_blocks = shared_blocks
        self.document_blocks = document_blocks
        self.own_tokens = own_tokens
        self.documents = documents
        self.priority = priority

    @property
    def prompt_tokens(self):
        """Length of a prompt."""
        blocks = self.shared_blocks + self.document_blocks
        return blocks * PREFIX_BLOCK_TOKENS + self.own_tokens


class Load:
    """A deployment's mix: parts of the kinds at the start and at the end."""

    __slots__ = ("name", "kinds", "first_parts", "last_parts")

    def __init__(self, name, kinds, first_parts, last_parts):
        self.name = name
        self.kinds = kinds
        self.first_parts = first_parts
        self.last_parts = last_parts


class Arrival:
    """One request of the load."""

    __slots__ = (
        "at_s",
        "account",
        "caller",
        "kind",
        "digests",
        "answer_tokens",
    )

    def __init__(self, at_s, account, caller, kind, digests, answer_tokens):
        self.at_s = at_s
        self.account = account
        self.caller = caller
        self.kind = kind
        self.digests = digests
        self.answer_tokens = answer_tokens


CELINS = Load(
    "celins",
    (
        Kind("night", 30.0, 160, 6, 18, 128, 12, 1),
        Kind("dawn", 5.0, 60, 6, 18, 96, 12, 0),
    ),
    (0.85, 0.15),
    (0.15, 0.85),
)
AUSTRAL = Load(
    "austral",
    (
        Kind("draft", 40.0, 300, 4, 20, 512, 20, 1),
        Kind("crew", 12.0, 180, 4, 20, 256, 20, 0),
    ),
    (0.7, 0.3),
    (0.7, 0.3),
)


def capacity_rps(load, engines, straggler_slowness):
    """
    Work out the requests a second that full engines answer.

    Assumes full batches and that half of the prompt tokens are cached.

    Parameters
    ----------
    load : Load
    engines : int
    straggler_slowness : float
        Of one of the engines.

    Returns
    -------
    float
    """
    step_s = BASE_STEP_S + SLOT_STEP_S * BATCH_SLOTS
    service_s = 0.0
    for kind, first, last in zip(
        load.kinds, load.first_parts, load.last_parts, strict=True
    ):
        decode_s = kind.answer_tokens * step_s / BATCH_SLOTS
        prefill_s = kind.prompt_tokens * (1 - ASSUMED_HITS) * PREFILL_TOKEN_S
        service_s += (first + last) / 2 * (decode_s + prefill_s)
    return (engines - 1 + 1 / straggler_slowness) / service_s


def arrivals(load, rate_rps, duration_s, seed, flood=1.0):
    """
    Draw the requests of a load.

    Parameters
    ----------
    load : Load
    rate_rps : float
        Mean rate of all accounts.
    duration_s : float
    seed : int
    flood : float
        Factor on the rate of the largest account. The other accounts'
        requests are the same with each factor.

    Returns
    -------
    list of Arrival
    """
    found = []
    for account, part in enumerate(ACCOUNT_PARTS):
        rng = Random(f"{load.name}/{seed}/{account}")
        factor = flood if account == 0 else 1.0
        found += _account(load, account, part * rate_rps * factor, duration_s, rng)
    return sorted(found, key=lambda arrival: arrival.at_s)


def _account(load, account, rate_rps, duration_s, rng):
    at_s = 0.0
    peak_rps = rate_rps * (1 + WAVE)
    callers = CALLERS_LARGE if account < LARGE_ACCOUNTS else CALLERS_SMALL
    while True:
        at_s += rng.expovariate(peak_rps)
        if at_s >= duration_s:
            return
        wave = 1 + WAVE * sin(2 * pi * at_s / WAVE_S)
        if rng.random() * (1 + WAVE) > wave:
            continue
        kind = _kind(load, at_s / duration_s, rng)
        caller = account * 1000 + rng.randrange(callers)
        document = int(rng.paretovariate(1.0)) % kind.documents
        yield Arrival(
            at_s,
            f"account-{account}",
            caller,
            kind,
            _digests(kind, account, document),
            _length(kind, rng),
        )


def _kind(load, part, rng):
    weights = [
        first + (last - first) * part
        for first, last in zip(load.first_parts, load.last_parts, strict=True)
    ]
    return rng.choices(load.kinds, weights)[0]


def _digests(kind, account, document):
    shared = [(kind.name, block) for block in range(kind.shared_blocks)]
    own = [
        (kind.name, account, document, block) for block in range(kind.document_blocks)
    ]
    return tuple(_digest(part) for part in shared + own)


@cache
def _digest(part):
    return xxh64_intdigest(repr(part).encode())


def _length(kind, rng):
    median = kind.answer_tokens / exp(LENGTH_SIGMA**2 / 2)
    return max(1, round(exp(rng.gauss(log(median), LENGTH_SIGMA))))
