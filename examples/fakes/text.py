"""Text that follows from a request and a seed, so that a checker can predict it."""

from hashlib import sha256
from random import Random

import orjson

__all__ = ["answer_words", "document_text"]

_WORDS = ("lane", "heat", "seed", "draw", "clock", "drift", "noise", "sheet")


def _digest(seed, *parts):
    return sha256(orjson.dumps([seed, *parts])).hexdigest()


def answer_words(seed, model, messages, count):
    """
    Give the words that a fake engine answers.

    Parameters
    ----------
    seed : int
        Of the engine; the same for all engines of a service.
    model : str
        Name of the model.
    messages : list
        Of the chat-completions request.
    count : int
        Number of words; each counts as one token.

    Returns
    -------
    list of str
        The first one is a digest of the request.

    Examples
    --------
    >>> len(answer_words(1, "m", [{"role": "user", "content": "x"}], 5))
    5
    """
    digest = _digest(seed, model, messages)
    rng = Random(digest)
    words = [digest[:12], *(rng.choice(_WORDS) for _ in range(count - 1))]
    return words[:count]


def document_text(seed, name):
    """
    Give the text of the document that a fake service keeps under a name.

    Parameters
    ----------
    seed : int
        Of the service.
    name : str
        Business key.

    Returns
    -------
    str
    """
    digest = _digest(seed, name)
    rng = Random(digest)
    words = " ".join(rng.choice(_WORDS) for _ in range(40))
    return f"{name} {digest[:12]} {words}"
