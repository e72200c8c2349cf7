"""Answers that only their connection ends, whole or broken off."""

from contextlib import aclosing
from itertools import count

__all__ = ["Unframed"]


class Unframed:
    """
    Takes length and chunks off answers.

    Parameters
    ----------
    cut_every : int
        Every so-manieth answer ends early, a stream within its second event; 0 for
        none.
    """

    def __init__(self, cut_every=0):
        self._cut_every = cut_every
        self._numbers = count(1)

    def __call__(self, response):
        """
        Change one answer.

        Parameters
        ----------
        response : Response

        Returns
        -------
        Response
        """
        is_cut = self._cut_every > 0 and next(self._numbers) % self._cut_every == 0
        body = response.body
        if is_cut:
            body = _half(body) if isinstance(body, bytes) else _within_event(body)
        return response.replace(body=body, until_close=True)


def _half(data):
    return data[: len(data) // 2]


async def _within_event(events):
    async with aclosing(events):
        yield await anext(events)
        yield _half(await anext(events))
