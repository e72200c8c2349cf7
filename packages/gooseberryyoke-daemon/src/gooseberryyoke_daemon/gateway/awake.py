"""Notices that this process was stopped, and lets it learn what it missed."""

import trio

__all__ = ["AwakeCheck"]

_TICK_S = 0.25
_STOPPED_S = 0.5
"""Without a tick. Callers whose requests end servers come again about as soon."""
_FROZEN_S = 2.0
"""Without a tick. An evacuation is told within a second in calm and must be in force
within five, so that a shorter stop does no harm."""
_LONGEST_HOLD_S = 0.5
"""A process that nobody answers goes on with what it knows."""


class AwakeCheck:
    """
    Holds requests after a stop of the process until it has heard what it missed.

    What other gateways told during the stop waits in the socket. What was ordered while
    the process was frozen is told only by an answer to a call made after it. The
    requests that have gathered meanwhile would be sent before either is known.

    Parameters
    ----------
    ask_now : callable
        Has the control processes asked without waiting.
    has_unread : callable, optional
        Tells whether datagrams of other gateways wait to be read.
    """

    __slots__ = (
        "_ask_now",
        "_has_unread",
        "_seen_s",
        "_resumed_s",
        "_is_read",
        "_woke_s",
        "_heard",
    )

    def __init__(self, ask_now, has_unread=lambda: False):
        self._ask_now = ask_now
        self._has_unread = has_unread
        self._seen_s = trio.current_time()
        self._resumed_s = float("-inf")
        self._is_read = True
        self._woke_s = float("-inf")
        self._heard = trio.Event()
        self._heard.set()

    async def run(self):
        """Tick until cancelled."""
        while True:
            self._note()
            await trio.sleep(_TICK_S)

    def _note(self):
        now = trio.current_time()
        stopped_s = now - self._seen_s
        self._seen_s = now
        if stopped_s > _STOPPED_S:
            self._resumed_s, self._is_read = now, False
        if stopped_s > _FROZEN_S:
            self._woke_s = now
            self._heard = trio.Event()
            self._ask_now()

    def heard(self, told_s):
        """
        Note an answer of a control process.

        Parameters
        ----------
        told_s : float
            When it was made at the earliest.
        """
        self._note()
        if told_s >= self._woke_s:
            self._heard.set()

    async def until_heard(self):
        """Wait, after a stop, until this process knows again what holds."""
        self._note()
        await self._until_read()
        if not self._heard.is_set():
            with trio.move_on_at(self._woke_s + _LONGEST_HOLD_S):
                await self._heard.wait()

    async def _until_read(self):
        until_s = self._resumed_s + _LONGEST_HOLD_S
        while not self._is_read:
            self._is_read = not self._has_unread() or trio.current_time() >= until_s
            await trio.lowlevel.checkpoint()
