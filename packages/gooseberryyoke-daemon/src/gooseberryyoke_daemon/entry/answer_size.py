"""How long answers are, learned by class."""

__all__ = ["AnswerSizes"]

_FIRST_GUESS_TOKENS = 64.0
_WEIGHT = 0.1


class AnswerSizes:
    """
    Moving means of answer lengths.

    Notes
    -----
    A caller's limit on tokens is only a bound, often a very wide one. Taken for
    the length, it makes the predicted answer too late for any patience, and
    requests that would be answered in time are refused.
    """

    __slots__ = ("_means",)

    def __init__(self):
        self._means = {}

    def expected(self, request_class, limit):
        """
        Predict the length of an answer.

        Parameters
        ----------
        request_class : str
        limit : int or None
            The caller's own bound, in tokens.

        Returns
        -------
        int
            Tokens, at least 1.
        """
        mean = self._means.get(request_class, _FIRST_GUESS_TOKENS)
        expected = mean if limit is None else min(mean, limit)
        return max(1, round(expected))

    def learn(self, request_class, tokens):
        """
        Take the length of a whole answer.

        Parameters
        ----------
        request_class : str
        tokens : int
        """
        mean = self._means.get(request_class, float(tokens))
        self._means[request_class] = mean + _WEIGHT * (tokens - mean)
