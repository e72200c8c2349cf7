"""Expert loads estimated from counts that drift and arrive late."""

from gooseberryyoke.record import Record

__all__ = ["LoadEstimate", "LoadFilter"]


class LoadFilter(Record):
    """
    How fast an estimate follows the counts.

    Parameters
    ----------
    half_life_s : float
        Time in which an old count loses half its weight.
    trend_half_life_s : float
        The same for the trend.
    longest_lead_s : float
        How far a trend is followed at most; 0 ignores it.
    """

    __slots__ = ("half_life_s", "trend_half_life_s", "longest_lead_s")

    def __init__(self, half_life_s=600.0, trend_half_life_s=3600.0, longest_lead_s=900):
        self.half_life_s = half_life_s
        self.trend_half_life_s = trend_half_life_s
        self.longest_lead_s = longest_lead_s


class LoadEstimate:
    """
    Estimate the tokens a second that each expert of one layer takes.

    Parameters
    ----------
    expert_count : int
    load_filter : LoadFilter

    Notes
    -----
    Level and trend are smoothed exponentially (Holt's method), with weights
    from the time between counts, so that a missing report does no harm. The
    trend makes up for the lag of the reports.
    """

    def __init__(self, expert_count, load_filter):
        self.load_filter = load_filter
        self._levels = [0.0] * expert_count
        self._trends = [0.0] * expert_count
        self._counted_until = None

    def observe(self, counts, from_s, until_s):
        """
        Take the counts of a span of time.

        Parameters
        ----------
        counts : sequence of float
            Tokens by expert.
        from_s, until_s : float
            The span, on the clock of `predict`. One that begins before the end
            of the last is dropped: it was counted before.

        Returns
        -------
        bool
            Whether the counts were taken.
        """
        span_s = until_s - from_s
        first = self._counted_until is None
        if span_s <= 0 or (not first and from_s < self._counted_until):
            return False
        rates = [count / span_s for count in counts]
        if first:
            self._levels = rates
        else:
            self._follow(rates, until_s - self._counted_until)
        self._counted_until = until_s
        return True

    def _follow(self, rates, passed_s):
        gain = 1 - 0.5 ** (passed_s / self.load_filter.half_life_s)
        trend_gain = 1 - 0.5 ** (passed_s / self.load_filter.trend_half_life_s)
        for expert, rate in enumerate(rates):
            level, trend = self._levels[expert], self._trends[expert]
            expected = level + trend * passed_s
            new_level = expected + gain * (rate - expected)
            slope = (new_level - level) / passed_s
            self._levels[expert] = new_level
            self._trends[expert] = trend + trend_gain * (slope - trend)

    def predict(self, at_s):
        """
        Predict the loads.

        Parameters
        ----------
        at_s : float

        Returns
        -------
        list of float
            Tokens a second by expert, shape (experts,); none is negative.
        """
        if self._counted_until is None:
            return list(self._levels)
        lead_s = min(at_s - self._counted_until, self.load_filter.longest_lead_s)
        lead_s = max(lead_s, 0.0)
        return [
            max(level + trend * lead_s, 0.0)
            for level, trend in zip(self._levels, self._trends, strict=True)
        ]
