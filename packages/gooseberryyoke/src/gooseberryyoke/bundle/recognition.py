"""Rules that match requests to request classes."""

from urllib.parse import unquote

from gooseberryyoke.record import Record

__all__ = ["Recognition", "canonical_path"]

_REFUSED_SEGMENTS = frozenset(("", ".", ".."))
_REFUSED_CHARACTERS = frozenset(";\\%?#")


def canonical_path(path):
    """
    Decode the path of a request, or refuse it if it is ambiguous.

    A service may decode ``/%69ssue`` or ``/x/../issue`` to ``/issue``. Without
    normalisation, such a path would match another class, and a call that must run at
    most once would be retried after a failure. Paths that a service might interpret
    differently from the entry (dot and empty segments, encoded slashes, path
    parameters, doubly encoded text) therefore have no canonical form.

    Parameters
    ----------
    path : str
        Path of the request target, without the query.

    Returns
    -------
    str or None
        Percent-decoded path without a trailing slash; None if refused.

    Examples
    --------
    >>> canonical_path("/v1/services/cert-registry/%69ssue/")
    '/v1/services/cert-registry/issue'
    >>> canonical_path("/v1/services/cert-registry/x/../issue") is None
    True
    """
    if not path.startswith("/"):
        return None
    segments = [unquote(segment) for segment in path[1:].split("/")]
    if len(segments) > 1 and segments[-1] == "":
        segments.pop()
    if segments == [""]:
        return "/"
    if any(map(_is_refused, segments)):
        return None
    return f"/{'/'.join(segments)}"


def _is_refused(segment):
    return (
        segment in _REFUSED_SEGMENTS
        or "/" in segment
        or not segment.isprintable()
        or not _REFUSED_CHARACTERS.isdisjoint(segment)
    )


class Recognition(Record):
    """
    Conditions that a request must meet to belong to a class; None matches anything.

    Parameters
    ----------
    path_prefix : str, optional
        Leading segments of the path, matched as a whole.
    method : str, optional
        HTTP method in upper case.
    model : str, optional
        Model requested by a chat completion.
    label : str, optional
        Value of the header ``Gooseberryyoke-Class``, or of ``metadata.class`` in the
        body of a chat completion.
    """

    __slots__ = ("path_prefix", "method", "model", "label")

    def __init__(self, path_prefix=None, method=None, model=None, label=None):
        self.path_prefix = path_prefix
        self.method = method
        self.model = model
        self.label = label

    def matches(self, method, path, model, label):
        """
        Return whether a request meets all conditions.

        Parameters
        ----------
        method : str
        path : str
            Canonical path, as returned by `canonical_path`.
        model, label : str or None

        Returns
        -------
        bool
        """
        return (
            self.method in (None, method)
            and self.model in (None, model)
            and self.label in (None, label)
            and self._has_prefix(path)
        )

    def specificity(self):
        """
        Return the sort key by which the greatest of several matches wins.

        The path comes first, so that a label chosen by the caller can't turn a
        non-repeatable call into a repeatable one.

        Returns
        -------
        tuple
            Length of the path prefix, then whether model, method and label are set.
        """
        return (
            len(self.path_prefix or ""),
            self.model is not None,
            self.method is not None,
            self.label is not None,
        )

    def _has_prefix(self, path):
        if self.path_prefix is None or path == self.path_prefix:
            return True
        return path.startswith(f"{self.path_prefix.rstrip('/')}/")
