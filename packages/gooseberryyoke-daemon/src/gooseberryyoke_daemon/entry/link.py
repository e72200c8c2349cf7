"""The way from an entry to an agent: dispatch, read, resume, ask after."""

from orjson import dumps
from trio import Cancelled

from gooseberryyoke_daemon.entry.remote_attempt import AttemptReference, RemoteAttempt
from gooseberryyoke_daemon.wire import Address

__all__ = ["AgentLink"]


class AgentLink:
    """
    Runs attempts at agents.

    Parameters
    ----------
    client : HttpClient
        Signs what it sends.
    clock : Clock
    nursery : trio.Nursery
        Runs the cancelling of attempts that nobody waits for any more.
    silence_s : float
        Longest silence on an open stream before a new connection is tried, in
        seconds; several heartbeats of the agent.
    recover_s : float
        How long to look for an agent that can't be reached, in seconds, while
        the attempt may be repeated elsewhere.
    """

    def __init__(self, client, clock, nursery, silence_s, recover_s):
        self._client = client
        self._nursery = nursery
        self._clock = clock
        self._silence_s = silence_s
        self._recover_s = recover_s

    async def run(self, server, order, delivery, deadline_s):
        """
        Dispatch an attempt and read its answer to the end.

        Parameters
        ----------
        server : ServerAnnouncement
        order : AttemptOrder
        delivery : Delivery
            Takes the pieces as they come.
        deadline_s : float
            Monotonic time until which a lost agent is looked for.

        Returns
        -------
        Result of None, Refusal
            Success once the answer is whole.
        """
        reference = AttemptReference(
            Address.parse(server.address),
            order.attempt,
            order.incarnation,
            order.ordered_s,
            order.repeatable,
        )
        attempt = RemoteAttempt(self, reference, delivery)
        try:
            return await attempt.run(dumps(order.to_json()), deadline_s)
        except (Cancelled, Exception):
            # In the background: the caller's final answer must not wait for it.
            self._nursery.start_soon(attempt.cancel)
            raise

    async def follow(self, reference, delivery, deadline_s):
        """
        Bar an attempt that another request dispatched, or read its answer.

        Parameters
        ----------
        reference : AttemptReference
            Of an attempt that may not be repeated.
        delivery : Delivery
        deadline_s : float
            Monotonic time until which a lost agent is looked for.

        Returns
        -------
        Result of None, Refusal
            A refusal with the verdict not-run proves that the attempt is barred.
        """
        return await RemoteAttempt(self, reference, delivery).recover(None, deadline_s)

    def open(self, address, request, fresh):
        """Open an exchange whose head must come before the silence is too long."""
        return self._client.open(address, request, self._silence_s, fresh=fresh)

    async def ask(self, address, path, payload):
        """Send a small question that may be asked again."""
        return await self._client.json(
            "POST", address, path, payload, timeout_s=self._silence_s, repeatable=True
        )

    def now(self):
        """Give the monotonic time, in seconds."""
        return self._clock.now()

    @property
    def silence_s(self):
        """Longest silence on an open stream, in seconds."""
        return self._silence_s

    def give_up_s(self, repeatable, deadline_s):
        """
        Tell until when a lost agent is looked for.

        Work that may not be repeated can't be done elsewhere, so that it pays to
        look until the deadline.
        """
        if repeatable:
            return min(deadline_s, self._clock.now() + self._recover_s)
        return deadline_s
