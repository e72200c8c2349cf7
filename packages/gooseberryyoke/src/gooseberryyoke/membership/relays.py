"""Selection of the entries that relay updates between data centres."""

__all__ = ["remote_receivers", "relays_of"]

_RELAY_COUNT = 2
"""Relays of each data centre. Updates take two paths, as either relay may be
unreachable or frozen."""


def relays_of(entries, data_centre):
    """
    List the entries of a data centre that relay updates.

    Parameters
    ----------
    entries : iterable of EntryPresence
        Entries that are present.
    data_centre : str
        Name of the data centre.

    Returns
    -------
    list of EntryPresence
        The relays, in the same order in every process that knows the same entries.
    """
    candidates = [entry for entry in entries if entry.data_centre == data_centre]
    return sorted(candidates, key=lambda entry: entry.name)[:_RELAY_COUNT]


def remote_receivers(name, entries, data_centre, is_heard):
    """
    List the remote entries that an entry sends the updates of its data centre to.

    Parameters
    ----------
    name : str
        Name of the entry.
    entries : iterable of EntryPresence
        Entries that are present, including this one.
    data_centre : str
        Data centre of the entry.
    is_heard : callable
        Function of a relay's name that returns whether it has sent updates recently.

    Returns
    -------
    list of EntryPresence
        For each other data centre, the relay with the same position as this entry, or
        the other relay if only that one is heard; both relays if neither is heard. The
        list is empty if this entry is not a relay.
    """
    entries = list(entries)
    own_relays = [entry.name for entry in relays_of(entries, data_centre)]
    if name not in own_relays:
        return []
    position = own_relays.index(name)
    remote = {entry.data_centre for entry in entries} - {data_centre}
    receivers = []
    for other in sorted(remote):
        relays = relays_of(entries, other)
        relays = relays[position:] + relays[:position]
        working = [relay for relay in relays if is_heard(relay.name)]
        receivers += working[:1] or relays
    return receivers
