"""Local views of a state that a majority of replicas confirms."""

__all__ = ["ConfirmedView", "RevisionedView"]

_NEVER_S = float("-inf")


class ConfirmedView:
    """
    Base class of views that record when a majority last confirmed the known state.

    An encoded view carries its age instead of a time, so that the clocks of different
    processes are never compared.

    Attributes
    ----------
    confirmed_s : float
        Time of the last confirmation on this process's clock, in seconds; ``-inf``
        while no state is known.
    """

    __slots__ = ("confirmed_s",)

    def __init__(self):
        self.confirmed_s = _NEVER_S

    @property
    def is_known(self):
        """Whether any state was read or received."""
        return self.confirmed_s != _NEVER_S

    def age_s(self, now):
        """
        Return the time since a majority last confirmed the state.

        Parameters
        ----------
        now : float
            Current time of this process's clock, in seconds.

        Returns
        -------
        float
            Age in seconds; infinite while no state is known.
        """
        return now - self.confirmed_s

    def _confirm(self, confirmed_s):
        self.confirmed_s = max(self.confirmed_s, confirmed_s)

    def _with_age(self, fields, now):
        return [*fields, round(self.age_s(now) * 1000)]

    @staticmethod
    def _split_age(packed, count):
        """Split off the age; return the ``count`` fields and the age in seconds."""
        if not isinstance(packed, list) or len(packed) != count + 1:
            raise ValueError(
                f"{packed!r:.80} is not a list of {count} fields and an age"
            )
        *fields, age_ms = packed
        if type(age_ms) is not int or age_ms < 0:
            raise ValueError(
                f"age {age_ms!r:.40} is not an integer >= 0 of milliseconds"
            )
        return fields, age_ms / 1000


class RevisionedView(ConfirmedView):
    """
    View of the state with the highest revision.

    Parameters
    ----------
    initial : object
        State that applies while none is known; its ``revision`` is 0.

    Attributes
    ----------
    known : object
        The newest known state, or ``initial``.
    """

    __slots__ = ("known",)

    def __init__(self, initial):
        super().__init__()
        self.known = initial

    @property
    def revision(self):
        """Revision of the known state; None while no state is known."""
        return self.known.revision if self.is_known else None

    def update(self, state, confirmed_s):
        """
        Adopt a state that was read or received, unless its revision is lower.

        Parameters
        ----------
        state : object
            State of the same type as ``known``.
        confirmed_s : float
            When the state was known to be the newest, on this process's clock, in
            seconds.

        Returns
        -------
        bool
            Whether the state has a higher revision or is the first one.

        Raises
        ------
        ValueError
            If the known state has the same revision and other contents.
        """
        if state.revision < self.known.revision:
            # The source is out of date, so its confirmation time proves nothing either.
            return False
        if state.revision == self.known.revision and state != self.known:
            raise ValueError(f"revision {state.revision} has two different contents")
        is_newer = state.revision != self.revision
        self.known = state
        self._confirm(confirmed_s)
        return is_newer
