"""The other control processes, as one control process hears of them."""

from gooseberryyoke.register.identity import Incarnation

__all__ = ["VACANT_S", "HeardControls"]

VACANT_S = 2.5
"""Silence of a holder after which a process without a seat takes it. Longer than a
process takes to start again; a holder that returns later finds that it has lost the
seat, and its votes count no more, so that too short a time costs a copy, not state."""
_LIVE_S = 4 * VACANT_S
_FORGET_S = 60.0


class HeardControls:
    """
    When each control process was heard of last, and what it told of itself.

    Parameters
    ----------
    address : str
        Of this process.

    Attributes
    ----------
    withdrawn : set of Incarnation
        Identities that have not joined and never will, by any other's word.
    """

    __slots__ = (
        "withdrawn",
        "_address",
        "_handing_over",
        "_stopping",
        "_successors",
        "_offering",
        "_heard_s",
        "_told_s",
        "_nonces",
    )

    def __init__(self, address):
        self.withdrawn = set()
        self._address = address
        self._heard_s = {}
        self._told_s = {}
        self._nonces = {}
        self._handing_over = set()
        self._stopping = set()
        self._successors = set()
        self._offering = set()

    def note(self, address, payload, now):
        """
        Take over what a process tells in a greeting.

        Parameters
        ----------
        address : str
        payload : dict
            With ``controls`` that it knows, its ``nonce`` while it may become a
            founder, the identities that it has ``withdrawn``, whether it
            ``hands_over`` its seat to anybody, whether it ``stops`` or ``may_succeed``
            a holder, and the ``successor`` to which it offers its seat. One of an
            earlier release doesn't tell the last four.
        now : float
            In seconds.

        Returns
        -------
        bool
            Whether it had not been heard of for long.
        """
        before_s = self._heard_s.get(address, float("-inf"))
        self._heard_s[address] = now
        for other in payload.get("controls", ()):
            self._told_s[str(other)] = now
        self._note_nonce(address, payload.get("nonce"))
        _note_flag(self._handing_over, address, payload.get("hands_over"))
        _note_flag(self._stopping, address, payload.get("stops"))
        _note_flag(self._successors, address, payload.get("may_succeed"))
        is_offer = payload.get("successor") == self._address
        _note_flag(self._offering, address, is_offer)
        self.withdrawn |= {Incarnation(*i) for i in payload.get("withdrawn", ())}
        return now - before_s > VACANT_S

    def _note_nonce(self, address, nonce):
        if nonce is None:
            self._nonces.pop(address, None)
        else:
            self._nonces[address] = str(nonce)

    def at_s(self, address, default_s):
        """
        Tell when a process was heard of last.

        Parameters
        ----------
        address : str
        default_s : float
            Given if it never was.

        Returns
        -------
        float
            In seconds.
        """
        return self._heard_s.get(address, default_s)

    def is_handing_over(self, address):
        """
        Tell whether a process that stops waits for a successor in its seat.

        Parameters
        ----------
        address : str

        Returns
        -------
        bool
        """
        return address in self._handing_over

    def successors(self, now):
        """
        List those that would take the seat of a holder that stops.

        Parameters
        ----------
        now : float
            In seconds.

        Returns
        -------
        list of str
            In order.
        """
        return sorted(self._successors.intersection(self.staying(now)))

    def offering(self, now):
        """
        List those that offer their seat to this process.

        Parameters
        ----------
        now : float
            In seconds.

        Returns
        -------
        list of str
            In order.
        """
        return sorted(self._offering.intersection(self.lately(now)))

    def staying(self, now):
        """
        List those heard of lately that aren't about to end.

        Whoever is chosen for something must still be there to do it.

        Parameters
        ----------
        now : float
            In seconds.

        Returns
        -------
        list of str
        """
        return [a for a in self.lately(now) if a not in self._stopping]

    def known(self):
        """Give the addresses of all that were heard, or that others have told of."""
        return self._heard_s.keys() | self._told_s.keys()

    def lately(self, now):
        """
        List those whose seats would not count as vacant.

        Parameters
        ----------
        now : float
            In seconds.

        Returns
        -------
        list of str
        """
        return [a for a, at_s in self._heard_s.items() if now - at_s <= VACANT_S]

    def live(self, now):
        """
        List those that are there, this process included.

        Parameters
        ----------
        now : float
            In seconds.

        Returns
        -------
        list of str
            In order.
        """
        live = (a for a, at_s in self._heard_s.items() if now - at_s < _LIVE_S)
        return sorted([self._address, *live])

    def nonces(self, now):
        """
        Give the nonces of those heard of lately that may become founders.

        Parameters
        ----------
        now : float
            In seconds.

        Returns
        -------
        dict of str to str
            By address.
        """
        return {a: self._nonces[a] for a in self.lately(now) if a in self._nonces}

    def forget_silent(self, now):
        """
        Drop those that have been silent for long.

        Machines are replaced at other addresses; greeting all that ever were would hold
        each round up. One that others still hear is told by them again.

        Parameters
        ----------
        now : float
            In seconds.
        """
        for times in (self._heard_s, self._told_s):
            for address, at_s in list(times.items()):
                if now - at_s > _FORGET_S:
                    del times[address]


def _note_flag(addresses, address, flag):
    if flag is True:
        addresses.add(address)
    else:
        addresses.discard(address)
