"""Decides which requests may be sent while a part of a prompt may crash servers.

The load that this answers: requests of one kind end each server that begins to answer
them, one after the other; each end stops a whole group, and sound requests share all
other parts with them.
"""

from collections import OrderedDict
from enum import Enum
from math import inf
from zlib import crc32

from gooseberryyoke.crash.suspicion import Suspicion
from gooseberryyoke.record import Record

__all__ = ["Clearance", "ClearanceKind", "Suspects"]

TRIAL_S = 3.0
"""A request on trial that has not ended by then counts no more."""
_SPREAD_S = 0.5
"""Over which gateways begin their trials, each after a time of its own: all learn of an
end at the same moment, and news of a trial takes some milliseconds."""
_SOLE_FIRST_S = 0.7
"""By which requests with several suspected parts wait longer: an answer to one with a
sound part alone holds by then, so that it is not blamed for an end of the other."""
_SAME_PROOF_S = 0.05
"""Ages grow by what a datagram takes; without a margin a proof would seem later with
each gateway that tells of it, and two would correct each other for ever."""
_MOST_PROOFS = 4096
_MOST_SUSPICIONS = 256
_FORGOTTEN_S = 600.0
_REFUSED_FORGOTTEN_S = 86_400.0
"""Of a part whose requests are refused: forgotten sooner, it would end as many servers
again after each quiet spell."""


class ClearanceKind(Enum):
    """What a request may do."""

    FREE = "free"
    TRIAL = "trial"
    """It may be sent, alone of those with a part of its."""
    WAIT = "wait"
    """It is soon known whether it may be sent."""
    REFUSED = "refused"


class Clearance(Record):
    """
    Whether a request may be sent now.

    Parameters
    ----------
    kind : ClearanceKind
    until_s : float
        When to ask again; for a refusal, when the next trial may be.
    part : str or None
        That decided.
    """

    __slots__ = ("kind", "until_s", "part")

    def __init__(self, kind, until_s=-inf, part=None):
        self.kind = kind
        self.until_s = until_s
        self.part = part


_FREE = Clearance(ClearanceKind.FREE)


class Suspects:
    """
    The parts that servers ended under, as this gateway knows them.

    Parameters
    ----------
    gateway : str
        Name of this one.
    """

    __slots__ = ("_gateway", "_proofs_s", "_suspicions")

    def __init__(self, gateway):
        self._gateway = gateway
        self._proofs_s = OrderedDict()
        self._suspicions = {}

    def __len__(self):
        return len(self._suspicions)

    def parts(self):
        """
        List the parts that ends are held against.

        Returns
        -------
        list of str
        """
        return list(self._suspicions)

    def get(self, part):
        """
        Give what is held against a part.

        Parameters
        ----------
        part : str

        Returns
        -------
        Suspicion or None
        """
        return self._suspicions.get(part)

    def proof_s(self, part):
        """
        Tell when an answer to a request with a part last held.

        Parameters
        ----------
        part : str

        Returns
        -------
        float
            ``-inf`` if that is not known.
        """
        return self._proofs_s.get(part, -inf)

    def count(self, now):
        """
        Count the parts that requests wait for, and those that are refused.

        Parameters
        ----------
        now : float

        Returns
        -------
        suspected, quarantined : int
        """
        counts = [suspicion.count(now) for suspicion in self._suspicions.values()]
        return counts.count(1), sum(count > 1 for count in counts)

    def clearance(self, parts, now):
        """
        Decide whether a request may be sent.

        Parameters
        ----------
        parts : sequence of str
            That its prompt shares with others.
        now : float

        Returns
        -------
        Clearance
            Of the part that allows least.
        """
        if not self._suspicions:
            return _FREE
        held = self._held(parts, now)
        after_s = _SOLE_FIRST_S if len(held) > 1 else 0.0
        found = _FREE
        for part, suspicion in held:
            delay_s = after_s + self._offset_s(part)
            clearance = _clearance(part, suspicion, now, delay_s)
            if _ORDER.index(clearance.kind) > _ORDER.index(found.kind):
                found = clearance
        return found

    def _held(self, parts, now):
        """Give the parts that ends count against."""
        held = []
        for part in parts:
            suspicion = self._suspicions.get(part)
            if suspicion is not None:
                suspicion.seen_s = now
                if suspicion.count(now):
                    held.append((part, suspicion))
        return held

    def _offset_s(self, part):
        return crc32(f"{self._gateway}/{part}".encode()) / 2**32 * _SPREAD_S

    def begin_trial(self, parts, now):
        """
        Note that a request is sent on trial.

        Parameters
        ----------
        parts : sequence of str
        now : float

        Returns
        -------
        list of str
            The suspected ones, of which others have to be told.
        """
        tried = [
            part
            for part in parts
            if part in self._suspicions and self._suspicions[part].count(now)
        ]
        for part in tried:
            self._suspicions[part].trials_s[self._gateway] = now + TRIAL_S
        return tried

    def end_trial(self, parts):
        """
        Note that a trial of this gateway is over, whatever it showed.

        Parameters
        ----------
        parts : sequence of str

        Returns
        -------
        list of str
            Of which others have to be told.
        """
        ended = []
        for part in parts:
            suspicion = self._suspicions.get(part)
            if suspicion is not None and suspicion.trials_s.pop(self._gateway, None):
                ended.append(part)
        return ended

    def prove(self, parts, now):
        """
        Note that an answer has held.

        Parameters
        ----------
        parts : sequence of str
        now : float

        Returns
        -------
        list of str
            Parts that ends were held against before.
        """
        cleared = []
        for part in parts:
            self._note_proof(part, now)
            suspicion = self._suspicions.get(part)
            if suspicion is not None and suspicion.prove(now):
                cleared.append(part)
        return cleared

    def _note_proof(self, part, at_s):
        before_s = self._proofs_s.get(part, -inf)
        self._proofs_s[part] = max(before_s, at_s)
        self._proofs_s.move_to_end(part)
        if len(self._proofs_s) > _MOST_PROOFS:
            self._proofs_s.popitem(last=False)

    def end(self, life, parts, at_s):
        """
        Note that a server ended under a request.

        Parameters
        ----------
        life : str
            Of the server.
        parts : sequence of str
        at_s : float

        Returns
        -------
        list of str
            Parts against which that is new, but for those that had to make room.
        """
        new = [part for part in parts if self._suspicion(part).add_end(life, at_s)]
        return [part for part in new if part in self._suspicions]

    def _suspicion(self, part):
        suspicion = self._suspicions.get(part)
        if suspicion is None:
            self._make_room()
            suspicion = self._suspicions[part] = Suspicion(self.proof_s(part))
        return suspicion

    def _make_room(self):
        if len(self._suspicions) >= _MOST_SUSPICIONS:
            least = min(self._suspicions, key=self._weight)
            del self._suspicions[least]

    def _weight(self, part):
        suspicion = self._suspicions[part]
        return len(suspicion.ends_s), suspicion.last_end_s

    def take(self, part, ends_s, proof_s, gateway, trial_until_s, now):
        """
        Merge what another gateway knows of a part.

        Parameters
        ----------
        part : str
        ends_s : dict of str to float
            By the lives of servers.
        proof_s : float
            ``-inf`` for none.
        gateway : str
            The teller.
        trial_until_s : float or None
            Of the teller's own request on trial.
        now : float

        Returns
        -------
        changed : bool
        is_behind : bool
            The teller lacks a later proof that is known here.
        """
        if proof_s - self.proof_s(part) > _SAME_PROOF_S:
            self._note_proof(part, proof_s)
        proof_s_here = self.proof_s(part)
        is_behind = bool(ends_s) and proof_s_here - proof_s > _SAME_PROOF_S
        known = self._suspicions.get(part)
        if known is None and not any(at > proof_s_here for at in ends_s.values()):
            return False, is_behind
        suspicion = self._suspicion(part)
        changed = proof_s_here > suspicion.proof_s
        suspicion.prove(proof_s_here)
        for life, at_s in ends_s.items():
            changed |= suspicion.add_end(life, at_s)
        suspicion.seen_s = max(suspicion.seen_s, suspicion.last_end_s)
        before = suspicion.trials_s.pop(gateway, None)
        if trial_until_s is not None and trial_until_s > now:
            suspicion.trials_s[gateway] = trial_until_s
        changed |= before is not None and trial_until_s is None
        return changed, is_behind

    def forget(self, now):
        """
        Drop what is old, or is held against nobody any more.

        Parameters
        ----------
        now : float
        """
        for part, suspicion in list(self._suspicions.items()):
            is_refused = suspicion.count(now) > 1
            kept_s = _REFUSED_FORGOTTEN_S if is_refused else _FORGOTTEN_S
            known_s = max(suspicion.seen_s, suspicion.last_end_s, suspicion.proof_s)
            if now - known_s > kept_s or not suspicion.ends_s:
                del self._suspicions[part]


_ORDER = (
    ClearanceKind.FREE,
    ClearanceKind.TRIAL,
    ClearanceKind.WAIT,
    ClearanceKind.REFUSED,
)


def _clearance(part, suspicion, now, delay_s):
    count = suspicion.count(now)
    from_s = suspicion.may_try_from_s(now) + delay_s
    under_way_s = suspicion.trial_until_s(now)
    if under_way_s is None and now >= from_s:
        return Clearance(ClearanceKind.TRIAL, now, part)
    until_s = from_s if under_way_s is None else max(from_s, under_way_s)
    kind = ClearanceKind.WAIT if count == 1 else ClearanceKind.REFUSED
    return Clearance(kind, until_s, part)
