"""Waiting for what a gateway learns in its first seconds."""

import trio

__all__ = ["WarmUp"]

_WARM_UP_S = 6.0
"""From a process's start. Replicas that start at the same time read their disks and
vote within two seconds, and servers announce themselves each second or so."""
_LONGEST_WAIT_S = 1.4
"""For one request: callers of streams leave after two seconds without an event, and a
crowded server's first one takes some tenths of a second."""
_STEP_S = 0.02


class WarmUp:
    """
    Holds requests that a gateway can't serve yet, instead of refusing them.

    After a loss of power everything starts at once, and callers come back with the
    one retry that they have. A refusal would cost them the answer; the wait costs
    them a second. Later in its life a gateway that lacks something refuses at once.

    Parameters
    ----------
    start_s : float
        Of the process, on trio's clock.
    """

    __slots__ = ("_end_s",)

    def __init__(self, start_s):
        self._end_s = start_s + _WARM_UP_S

    async def wait_for(self, is_there, deadline_s):
        """
        Wait until something is there, as long as that makes sense.

        Parameters
        ----------
        is_there : callable
        deadline_s : float
            Of the request.

        Returns
        -------
        bool
            Whether it is there.
        """
        until_s = min(self._end_s, trio.current_time() + _LONGEST_WAIT_S, deadline_s)
        while not is_there() and trio.current_time() < until_s:
            await trio.sleep(_STEP_S)
        return is_there()
