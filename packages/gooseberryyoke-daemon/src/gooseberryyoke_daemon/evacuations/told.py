"""Evacuations as a process is told of them."""

from trio import current_time

from gooseberryyoke.evacuation import EvacuationView
from gooseberryyoke_daemon.logs import log_event

__all__ = ["ToldEvacuations"]

_FIRST_AGE_S = 2.0
"""A process that has just started goes by no state whose confirmation is older: the one
that it had before a restart may have been newer."""


class ToldEvacuations:
    """
    The evacuated data centres that this process has read or was told of.

    Parameters
    ----------
    on_newer : callable
        Takes each EvacuationState that is newer.

    Attributes
    ----------
    news : EvacuationView
    """

    __slots__ = ("news", "_on_newer", "_has_begun")

    def __init__(self, on_newer):
        self.news = EvacuationView()
        self._on_newer = on_newer
        self._has_begun = False

    @property
    def state(self):
        """The newest `EvacuationState` that is known."""
        return self.news.state

    def may_begin(self):
        """
        Tell whether a process that has just started may send requests.

        Returns
        -------
        bool
            Once it has been true it stays so: a process that is cut off goes on with
            the state that it has.
        """
        if not self._has_begun:
            self._has_begun = self.news.age_s(current_time()) <= _FIRST_AGE_S
        return self._has_begun

    def take(self, state, confirmed_s):
        """
        Take over what was read; see `EvacuationView.update`.

        Parameters
        ----------
        state : EvacuationState
        confirmed_s : float
        """
        self._take(self.news.update, state, confirmed_s)

    def hear(self, packed, told_s):
        """
        Take over what another process knew at a time; see
        `EvacuationView.update_from_json`.

        Parameters
        ----------
        packed : object
            As it was received. What is malformed is logged and ignored.
        told_s : float
        """
        self._take(self.news.update_from_json, packed, told_s)

    def _take(self, take, content, at_s):
        was_known, before = self.news.is_known, self.news.state
        try:
            is_newer = take(content, at_s)
        except ValueError as exc:
            log_event("evacuation-unreadable", level="warning", why=str(exc)[:200])
            return
        if not is_newer:
            return
        state = self.news.state
        if was_known or state != before:
            log_event(
                "evacuation-in-force",
                level="warning",
                revision=state.revision,
                evacuated=state.data_centres,
                before=before.data_centres,
            )
        self._on_newer(state)
