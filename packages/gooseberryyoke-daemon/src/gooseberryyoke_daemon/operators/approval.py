"""Checks of an envelope before it is proposed: text, deployment and signatures."""

from returns.result import Failure, Success
from trio.to_thread import run_sync

from gooseberryyoke.bundle import Envelope, open_envelope
from gooseberryyoke.document import Mistake
from gooseberryyoke.record import Record

__all__ = ["Approval", "MistakesFound"]

_MOST_INLINE_CHARACTERS = 64 * 1024


class MistakesFound(Record):
    """
    An envelope or its text is wrong.

    Parameters
    ----------
    mistakes : list of Mistake
    """

    __slots__ = ("mistakes",)

    def __init__(self, mistakes):
        self.mistakes = mistakes


class Approval:
    """
    Decides whether an envelope may be proposed.

    Parameters
    ----------
    deployment : str
        From the settings.
    trusted_keys : dict of str to str
        Public keys in PEM by signer.
    needed : int
        Different signers that a bundle needs.
    """

    def __init__(self, deployment, trusted_keys, needed):
        self._deployment = deployment
        self._trusted_keys = trusted_keys
        self._needed = needed

    async def check(self, payload):
        """
        Check untrusted plain data.

        Parameters
        ----------
        payload : object

        Returns
        -------
        returns.result.Result
            ``Success`` of (Envelope, Bundle); ``Failure`` of `MistakesFound` or of
            `gooseberryyoke.bundle.SignatureProblem`.
        """
        envelope = Envelope.from_payload(payload)
        if isinstance(envelope, Failure):
            detail = envelope.failure()
            return Failure(MistakesFound([Mistake("envelope", 0, detail)]))
        envelope = envelope.unwrap()
        # Imported here: one program has all roles, and an agent, which never comes
        # this way, hasn't the memory to spare that cryptography takes.
        from gooseberryyoke.bundle.signature import verify

        # Signatures first: whoever can't sign shouldn't have long texts parsed.
        verified = verify(envelope, self._trusted_keys, self._needed)
        if isinstance(verified, Failure):
            return verified
        opened = await _open(envelope)
        if isinstance(opened, Failure):
            return Failure(MistakesFound(opened.failure()))
        return self._of_this_deployment(envelope, opened.unwrap())

    def _of_this_deployment(self, envelope, bundle):
        if bundle.deployment == self._deployment:
            return Success((envelope, bundle))
        detail = f"found {bundle.deployment!r}, expected {self._deployment!r}"
        return Failure(MistakesFound([Mistake("deployment", 0, detail)]))


async def _open(envelope):
    if len(envelope.text) <= _MOST_INLINE_CHARACTERS:
        return open_envelope(envelope)
    # Thousands of accounts take about a second to check. On the loop, that would hold
    # up the heartbeats of every open stream until their peers take them for broken.
    return await run_sync(open_envelope, envelope)
