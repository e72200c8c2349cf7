"""
Backend servers' reports of their remaining cold time.

A server is cold for some time, usually after its start. While it is cold,
`RoutedService.cold_per_s` limits its requests.
"""

from gooseberryyoke.record import Record

__all__ = ["MAX_COLD_MS", "ColdReport", "LocalColdReport", "parse_cold_ms"]

MAX_COLD_MS = 120_000
"""Upper bound of a cold time, in milliseconds. Servers are cold for seconds; a longer
time is an error, and would limit the load of a server for as long."""
_SIGNIFICANT_CHANGE_S = 0.5
"""Largest shift of the end of the cold time that counts as no change, in seconds.
Heartbeats are delayed by up to this time."""
_MAX_AGE_MS = 2**53


def parse_cold_ms(value):
    """
    Check and bound the cold time that a server states.

    Parameters
    ----------
    value : object
        Stated time, in milliseconds.

    Returns
    -------
    int or None
        At most `MAX_COLD_MS`; None if the value is not an integer >= 0.
    """
    if type(value) is not int or value < 0:
        return None
    return min(value, MAX_COLD_MS)


class ColdReport(Record):
    """
    A server's report of its remaining cold time, as it is sent between processes.

    It carries ages instead of times, so that the clocks of different processes are
    never compared.

    Parameters
    ----------
    left_ms : int or None
        Cold time that remained when the server reported it, in milliseconds; None if it
        has reported none.
    age_ms : int
        Time since that report, in milliseconds.
    incarnation_age_ms : int
        Time since any process first heard of this incarnation of the server, in
        milliseconds.
    """

    __slots__ = ("left_ms", "age_ms", "incarnation_age_ms")

    def __init__(self, left_ms=None, age_ms=0, incarnation_age_ms=0):
        self.left_ms = left_ms
        self.age_ms = age_ms
        self.incarnation_age_ms = incarnation_age_ms

    @classmethod
    def from_json(cls, packed):
        """
        Decode the result of `as_list`.

        Parameters
        ----------
        packed : list
            Values of the fields, not yet checked.

        Returns
        -------
        ColdReport

        Raises
        ------
        TypeError, ValueError
            If the list is malformed or a value is out of bounds.
        """
        left_ms, *ages_ms = packed
        if len(ages_ms) != len(cls.__slots__) - 1:
            raise ValueError(
                f"found {len(ages_ms)} ages, expected those of report and incarnation"
            )
        if left_ms is not None and parse_cold_ms(left_ms) != left_ms:
            raise ValueError(f"cold time {left_ms!r} is not an integer within bounds")
        for age_ms in ages_ms:
            if type(age_ms) is not int or not 0 <= age_ms <= _MAX_AGE_MS:
                raise ValueError(f"age {age_ms!r} ms is not an integer within bounds")
        return cls(left_ms, *ages_ms)


class LocalColdReport(Record):
    """
    A report in times of the clock of the process that received it.

    Parameters
    ----------
    left_s : float or None
        Cold time that remained at ``reported_s``, in seconds; None if the server has
        reported none.
    reported_s : float
        When the server reported it.
    first_heard_s : float
        When any process first heard of this incarnation of the server.
    """

    __slots__ = ("left_s", "reported_s", "first_heard_s")

    def __init__(self, left_s, reported_s, first_heard_s):
        self.left_s = left_s
        self.reported_s = reported_s
        self.first_heard_s = first_heard_s

    @classmethod
    def from_report(cls, report, now):
        """
        Convert a report that has just arrived.

        Parameters
        ----------
        report : ColdReport or None
            None from a process that forwards no reports.
        now : float
            Time of arrival, in seconds. The report counts as sent then, so that the
            transmission delay lengthens the cold time.

        Returns
        -------
        LocalColdReport
        """
        report = report or ColdReport()
        left_s = None if report.left_ms is None else report.left_ms / 1000
        return cls(
            left_s, now - report.age_ms / 1000, now - report.incarnation_age_ms / 1000
        )

    def to_report(self, now):
        """
        Convert back to a report that can be sent to other processes.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        ColdReport
        """
        left_ms = None if self.left_s is None else round(1000 * self.left_s)
        ages_s = (now - self.reported_s, now - self.first_heard_s)
        return ColdReport(left_ms, *(max(0, round(1000 * age_s)) for age_s in ages_s))

    def merge(self, later, now):
        """
        Merge with a report of the same incarnation that arrived later.

        Parameters
        ----------
        later : LocalColdReport
            The report that arrived later.
        now : float
            Current time, in seconds.

        Returns
        -------
        LocalColdReport
            This report if the later one only counts down or was made before it, else
            the later one; with the earlier ``first_heard_s`` of both. A difference too
            small to be forwarded to followers leaves this report in place, so that many
            small differences add up to one that is forwarded.
        """
        first_heard_s = min(self.first_heard_s, later.first_heard_s)
        newest = later if self._is_significant_change(later, now) else self
        return newest.replace(first_heard_s=first_heard_s)

    def _is_significant_change(self, later, now):
        if later.left_s is None or later.reported_s < self.reported_s:
            return False
        if self.left_s is None:
            return True
        ends_s = (report.reported_s + report.left_s for report in (self, later))
        before_s, after_s = (max(end_s, now) for end_s in ends_s)
        return abs(after_s - before_s) > _SIGNIFICANT_CHANGE_S
