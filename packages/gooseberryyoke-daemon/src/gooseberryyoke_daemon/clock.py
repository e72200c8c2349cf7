"""The two clocks of a process."""

from time import time

from trio import current_time

__all__ = ["Clock"]


class Clock:
    """
    Monotonic and wall time.

    Parameters
    ----------
    wall : callable, optional
        Gives seconds since 1970. Tests pass one that follows trio's mock clock.
    """

    __slots__ = ("wall",)

    def __init__(self, wall=time):
        self.wall = wall

    def now(self):
        """
        Give the monotonic time of the running trio loop.

        Returns
        -------
        float
            Seconds.
        """
        return current_time()
