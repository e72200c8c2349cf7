"""Keep trials of different prompt parts at different servers.

A harmless part whose trial runs at the server that another trial crashes would be
blamed for that crash, and its requests refused.
"""

from hashlib import blake2b
from math import inf
from zlib import crc32

from gooseberryyoke.crash.history import TRIAL_TIMEOUT_S, CrashHistory

__all__ = ["TrialServers", "is_trial_server"]

_PREFIX = "server:"
_DIGEST_BYTES = 8
"""Of the server's address, which may be longer than a record allows."""
_MAX_SERVERS = 256
_NEXT_TRIAL_JITTER_S = 0.1
"""Upper bound in seconds of the delay of a trial after the end of another one. All
gateways learn of the end at once, and those that wait would begin theirs at once."""


def is_trial_server(subject):
    """
    Tell the subject of a server from prompt parts and fingerprints.

    Parameters
    ----------
    subject : str

    Returns
    -------
    bool
    """
    return subject.startswith(_PREFIX)


class TrialServers:
    """
    Servers at which requests are that may crash them, by all gateways.

    All times are in seconds on the clock of this gateway.

    Parameters
    ----------
    gateway : str
        Name of this gateway.
    """

    __slots__ = ("_gateway", "_histories", "_own", "_last_end_s")

    def __init__(self, gateway):
        self._gateway = gateway
        self._histories = {}
        self._own = {}
        self._last_end_s = -inf

    def begin(self, address, now):
        """
        Record that a request is sent to a server that it may crash.

        Parameters
        ----------
        address : str
            Of the server, in whatever incarnation.
        now : float

        Returns
        -------
        str
            Subject to be announced to other gateways; `end` must follow.
        """
        subject = _subject(address)
        self._own[subject] = self._own.get(subject, 0) + 1
        history = self._get_or_create(subject, now)
        history.trial_deadlines_s[self._gateway] = now + TRIAL_TIMEOUT_S
        return subject

    def end(self, subject, now):
        """
        Record that a request has left a server, or has proved harmless.

        Parameters
        ----------
        subject : str
            As returned by `begin`.
        now : float
        """
        self._last_end_s = now
        self._own[subject] -= 1
        if self._own[subject]:
            return
        del self._own[subject]
        history = self._histories.get(subject)
        if history is not None:
            history.trial_deadlines_s.pop(self._gateway, None)

    def next_trial_s(self, part):
        """
        Return the earliest time for a trial of a part after those that have ended.

        Parameters
        ----------
        part : str

        Returns
        -------
        float
            Different for each gateway and part.
        """
        share = crc32(f"{self._gateway}/{part}".encode()) / 2**32
        return self._last_end_s + share * _NEXT_TRIAL_JITTER_S

    def trial_until_s(self, address, now):
        """
        Return the time by which the trials at a server are over.

        Parameters
        ----------
        address : str
        now : float

        Returns
        -------
        float or None
            None if there is none.
        """
        if not self._histories:
            return None
        history = self._histories.get(_subject(address))
        return None if history is None else history.trial_until_s(now)

    def get(self, subject):
        """
        Return what is known of a server.

        Parameters
        ----------
        subject : str

        Returns
        -------
        CrashHistory or None
            Without crashes: those are counted for parts and requests.
        """
        return self._histories.get(subject)

    def last_success_s(self, subject):
        """Return ``-inf``: servers have no successes here."""
        return -inf

    def merge(self, subject, crashes_s, last_success_s, gateway, trial_until_s, now):
        """
        Merge what another gateway sent; see `RequestCrashes.merge`.

        Returns
        -------
        changed, is_behind : bool
            Whether a trial is over; the sender never lacks anything.
        """
        if subject not in self._histories and trial_until_s is None:
            return False, False
        history = self._get_or_create(subject, now)
        has_ended = history.merge({}, -inf, gateway, trial_until_s, now)
        if has_ended:
            self._last_end_s = now
        return has_ended, False

    def _get_or_create(self, subject, now):
        history = self._histories.get(subject)
        if history is None:
            if len(self._histories) >= _MAX_SERVERS:
                self._remove_idle(now)
            history = self._histories[subject] = CrashHistory()
        return history

    def _remove_idle(self, now):
        self._histories = {
            subject: history
            for subject, history in self._histories.items()
            if history.trial_until_s(now) is not None
        }


def _subject(address):
    digest = blake2b(address.encode(), digest_size=_DIGEST_BYTES)
    return _PREFIX + digest.hexdigest()
