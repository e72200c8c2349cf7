"""Tables in plain text."""

__all__ = ["table"]

_GAP = "  "


def table(heads, rows):
    """
    Lay out rows under heads.

    Parameters
    ----------
    heads : tuple of str
    rows : list of tuple of str

    Returns
    -------
    list of str

    Examples
    --------
    >>> for line in table(("name", "state"), [("entry-1", "serving")]):
    ...     print(line)
    name     state
    entry-1  serving
    """
    lines = [heads, *rows]
    widths = [max(len(line[column]) for line in lines) for column in range(len(heads))]
    return [
        _GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    ]
