"""Least-squares lines through measured sizes."""

from statistics import fmean

from gooseberryyoke.record import Record

__all__ = ["Line", "fit_line"]


class Line(Record):
    """
    A straight line through measured points.

    Parameters
    ----------
    slope : float
        Per unit of size.
    intercept : float
        At size 0.
    r_squared : float
        Share of the variance that the line explains; 1 for points on it.
    """

    __slots__ = ("slope", "intercept", "r_squared")

    def __init__(self, slope, intercept, r_squared):
        self.slope = slope
        self.intercept = intercept
        self.r_squared = r_squared

    def at(self, size):
        """Give the line's value at a size."""
        return self.intercept + self.slope * size

    def to_json(self):
        """Give the fields as a JSON object."""
        return {name: getattr(self, name) for name in self.fields()}


def fit_line(points):
    """
    Fit a line by least squares.

    Parameters
    ----------
    points : list of (float, float)
        Sizes, at least two different ones, and values.

    Returns
    -------
    Line

    Examples
    --------
    >>> fit_line([(1, 3.0), (2, 5.0), (3, 7.0)]).at(10)
    21.0
    """
    mean_x = fmean(x for x, _ in points)
    mean_y = fmean(y for _, y in points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if spread == 0:
        raise ValueError(f"found one size only, {mean_x:g}, expected at least two")
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    total = sum((y - mean_y) ** 2 for _, y in points)
    left = sum((y - intercept - slope * x) ** 2 for x, y in points)
    return Line(slope, intercept, 1.0 if total == 0 else 1 - left / total)
