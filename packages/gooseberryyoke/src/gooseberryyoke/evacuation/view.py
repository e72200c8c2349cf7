"""Local view of the evacuated data centres."""

from gooseberryyoke.evacuation.state import EvacuationState
from gooseberryyoke.membership.confirmed_view import RevisionedView

__all__ = ["EvacuationView"]


class EvacuationView(RevisionedView):
    """
    Local view of the newest received state, and when a majority last confirmed it.

    Attributes
    ----------
    known : EvacuationState
        The state; at revision 0 while none is known.
    """

    __slots__ = ()

    def __init__(self):
        super().__init__(EvacuationState())

    @property
    def state(self):
        """The known `EvacuationState`."""
        return self.known

    def to_json(self, now):
        """
        Encode as a JSON-compatible value.

        Parameters
        ----------
        now : float
            Current time of this process's clock, in seconds.

        Returns
        -------
        list or None
            Revision, data centres and the age in milliseconds; None while no state is
            known.
        """
        if not self.is_known:
            return None
        return self._with_age(self.known.to_json(), now)

    def update_from_json(self, packed, now):
        """
        Update from a value that another process encoded with `to_json`.

        Parameters
        ----------
        packed : list or None
            The received value, not yet checked; None if the sender knew no state.
        now : float
            When the value was requested, on this process's clock, in seconds.

        Returns
        -------
        bool
            See `update`.

        Raises
        ------
        ValueError
            If the value is malformed or contradicts the known state; the view is
            unchanged then.
        """
        if packed is None:
            return False
        state, age_s = self._split_age(packed, 2)
        return self.update(EvacuationState.from_json(state), now - age_s)
