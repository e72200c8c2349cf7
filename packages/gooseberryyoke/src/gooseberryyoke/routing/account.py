"""Client accounts of a route table."""

from gooseberryyoke.record import Record

__all__ = ["ClientAccount"]


class ClientAccount(Record):
    """
    Client account, identified by its API keys.

    Parameters
    ----------
    name : str
        Name of the account.
    keys : tuple of str
        Bearer keys; none of them belongs to another account.
    priority : int or None
        Priority of the account's requests, compared before the priorities of routes; 0
        is the most urgent. See `urgency`.
    """

    __slots__ = ("name", "keys", "priority")

    def __init__(self, name, keys, priority=None):
        self.name = name
        self.keys = tuple(keys)
        self.priority = priority
