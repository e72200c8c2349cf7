"""How long answers of each route have taken of late."""

from collections import deque
from math import floor

__all__ = ["AnswerTimes"]

_MAX_ANSWERS = 64
"""Answers that are kept for each route."""
_MAX_AGE_S = 60.0
_QUANTILE = 0.9
"""What a request is expected to take at most. One that takes longer than nine in ten is
let begin; to expect the longest of all would turn too many away for a single one."""


class AnswerTimes:
    """Times from sending a request to the end of its answer, by route."""

    __slots__ = ("_answers",)

    def __init__(self):
        self._answers = {}

    def observe(self, route, taken_s, now):
        """
        Record an answer that has ended.

        Parameters
        ----------
        route : str
            Name of the route.
        taken_s : float
            Time from sending its request, in seconds.
        now : float
            Current time, in seconds.
        """
        answers = self._answers.get(route)
        if answers is None:
            answers = self._answers[route] = deque(maxlen=_MAX_ANSWERS)
        answers.append((now, taken_s))

    def expected_s(self, route, now):
        """
        Estimate how long an answer takes at most.

        Parameters
        ----------
        route : str
            Name of the route.
        now : float
            Current time, in seconds.

        Returns
        -------
        float
            In seconds; 0 if there was no answer of late.
        """
        answers = self._answers.get(route, ())
        recent = sorted(taken_s for at_s, taken_s in answers if now - at_s < _MAX_AGE_S)
        return recent[floor(_QUANTILE * (len(recent) - 1))] if recent else 0.0

    def use_routes(self, names):
        """Drop the answers of all routes but some, given by their names."""
        for route in self._answers.keys() - set(names):
            del self._answers[route]
