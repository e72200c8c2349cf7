"""Consistency checks of a whole route table."""

from collections import Counter

__all__ = ["find_errors"]


def find_errors(table):
    """
    Find the errors that make a table unusable.

    Parameters
    ----------
    table : RouteTable
        The table to check.

    Returns
    -------
    list of str
        Descriptions of the errors, each with the location, the actual value and the
        expected one; empty if the table is valid.
    """
    return [error for check in _CHECKS for error in check(table)]


def _unknown_services(table):
    for route in table.routes:
        for split in route.splits:
            if split.service not in table.services:
                yield (
                    f"route {route.name!r}: service {split.service!r}, expected one of "
                    f"the table's {len(table.services)} services"
                )


def _duplicate_prefixes(table):
    prefixes = Counter((route.host, route.path_prefix) for route in table.routes)
    for (host, prefix), count in prefixes.items():
        if count > 1:
            yield f"host {host!r}, prefix {prefix!r}: {count} routes, expected one"


def _invalid_weights(table):
    for route in table.routes:
        if any(split.weight < 0 for split in route.splits):
            yield f"route {route.name!r}: a weight is below 0"
        if sum(split.weight for split in route.splits) <= 0:
            yield f"route {route.name!r}: weights add up to 0, expected more"


def _invalid_timeouts(table):
    for route in table.routes:
        if route.timeout_s <= 0:
            yield f"route {route.name!r}: timeout {route.timeout_s:g} s, expected more"


def _malformed_prefixes(table):
    for route in table.routes:
        prefix = route.path_prefix
        if not (prefix.startswith("/") and prefix.endswith("/")):
            yield (
                f"route {route.name!r}: prefix {prefix!r}, expected a slash at both "
                "ends"
            )


def _shared_keys(table):
    holders = Counter(key for account in table.accounts for key in set(account.keys))
    shared = sum(1 for count in holders.values() if count > 1)
    if shared:
        yield f"{shared} keys belong to more than one account, expected none"


def _duplicate_names(table):
    names = Counter(account.name for account in table.accounts)
    for name, count in names.items():
        if count > 1:
            yield f"account {name!r}: named {count} times, expected once"


_CHECKS = (
    _unknown_services,
    _duplicate_prefixes,
    _invalid_weights,
    _invalid_timeouts,
    _malformed_prefixes,
    _shared_keys,
    _duplicate_names,
)
