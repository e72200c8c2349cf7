"""Estimate of expert loads from token counts that drift and arrive late."""

from gooseberryyoke.record import Record

__all__ = ["LoadEstimate", "LoadFilter"]


class LoadFilter(Record):
    """
    Smoothing parameters of a load estimate.

    Parameters
    ----------
    half_life_s : float
        Time after which a count has half its weight, in seconds.
    trend_half_life_s : float
        Half-life of the trend, in seconds.
    max_lead_s : float
        Longest time for which the trend is extrapolated, in seconds; 0 ignores the
        trend.
    """

    __slots__ = ("half_life_s", "trend_half_life_s", "max_lead_s")

    def __init__(self, half_life_s=600.0, trend_half_life_s=3600.0, max_lead_s=900):
        self.half_life_s = half_life_s
        self.trend_half_life_s = trend_half_life_s
        self.max_lead_s = max_lead_s


class LoadEstimate:
    """
    Estimate of the tokens per second that each expert of one layer processes.

    Parameters
    ----------
    expert_count : int
    load_filter : LoadFilter

    Notes
    -----
    Level and trend are smoothed exponentially (Holt's method). The weights depend on
    the time between counts, so that a missing report does not distort the estimate.
    The trend compensates for the lag of the reports.
    """

    def __init__(self, expert_count, load_filter):
        self.load_filter = load_filter
        self._levels = [0.0] * expert_count
        self._trends = [0.0] * expert_count
        self._observed_until = None

    def observe(self, counts, from_s, until_s):
        """
        Update the estimate with the counts of a time span.

        Parameters
        ----------
        counts : sequence of float
            Tokens by expert, shape (experts,).
        from_s, until_s : float
            Begin and end of the span in seconds, on the clock of `predict`. A span that
            begins before the end of the last one is ignored, as it was counted before.

        Returns
        -------
        bool
            Whether the counts were used.
        """
        span_s = until_s - from_s
        first = self._observed_until is None
        if span_s <= 0 or (not first and from_s < self._observed_until):
            return False
        rates = [count / span_s for count in counts]
        if first:
            self._levels = rates
        else:
            self._smooth(rates, until_s - self._observed_until)
        self._observed_until = until_s
        return True

    def _smooth(self, rates, elapsed_s):
        gain = 1 - 0.5 ** (elapsed_s / self.load_filter.half_life_s)
        trend_gain = 1 - 0.5 ** (elapsed_s / self.load_filter.trend_half_life_s)
        for expert, rate in enumerate(rates):
            level, trend = self._levels[expert], self._trends[expert]
            expected = level + trend * elapsed_s
            new_level = expected + gain * (rate - expected)
            slope = (new_level - level) / elapsed_s
            self._levels[expert] = new_level
            self._trends[expert] = trend + trend_gain * (slope - trend)

    def predict(self, at_s):
        """
        Predict the loads at a given time.

        Parameters
        ----------
        at_s : float
            Time in seconds.

        Returns
        -------
        list of float
            Tokens per second by expert, shape (experts,); never negative.
        """
        if self._observed_until is None:
            return list(self._levels)
        lead_s = min(at_s - self._observed_until, self.load_filter.max_lead_s)
        lead_s = max(lead_s, 0.0)
        return [
            max(level + trend * lead_s, 0.0)
            for level, trend in zip(self._levels, self._trends, strict=True)
        ]
