"""Counts and times of a control process, for its metrics."""

from gooseberryyoke_daemon.lazy_metrics import LazyMetrics

__all__ = ["ControlObserver"]


class ControlObserver(LazyMetrics):
    """Puts what becomes of departures into the metrics of the process."""

    def departure_settled(self, is_settled, after_s):
        """
        Note the answer to a server's word that it leaves.

        Parameters
        ----------
        is_settled : bool
        after_s : float
            Since the call.
        """
        labels = {"outcome": "settled" if is_settled else "unsettled"}
        self._put("observe", "departure_answer_seconds", labels, after_s)

    def departure_told(self, told):
        """
        Note how many followers have taken a departure.

        Parameters
        ----------
        told : Told
        """
        outcome = "missing" if told.missing else "told"
        labels = {"outcome": outcome}
        self._put("observe", "departure_told_seconds", labels, told.after_s)
        self._put("set", "departure_followers_told", {}, told.told)
