"""By which entries news travels between data centres."""

__all__ = ["far_receivers", "relays_of"]

_RELAYS = 2
"""Of a data centre; the news goes two ways, as either may be cut off or frozen."""


def relays_of(entries, data_centre):
    """
    List the entries of a data centre that pass news on.

    Parameters
    ----------
    entries : iterable of EntryPresence
        Those that are there.
    data_centre : str

    Returns
    -------
    list of EntryPresence
        In the same order for everybody who knows the same entries.
    """
    there = [entry for entry in entries if entry.data_centre == data_centre]
    return sorted(there, key=lambda entry: entry.name)[:_RELAYS]


def far_receivers(name, entries, data_centre):
    """
    Tell to whom an entry passes on the news of its data centre.

    Parameters
    ----------
    name : str
        Of the entry.
    entries : iterable of EntryPresence
        Those that are there, this one included.
    data_centre : str
        Of the entry.

    Returns
    -------
    list of EntryPresence
        One of each other data centre, the counterpart of this one among its relays;
        none if this entry is no relay.
    """
    entries = list(entries)
    own_relays = [entry.name for entry in relays_of(entries, data_centre)]
    if name not in own_relays:
        return []
    place = own_relays.index(name)
    far = {entry.data_centre for entry in entries} - {data_centre}
    counterparts = [relays_of(entries, other) for other in sorted(far)]
    return [relays[place % len(relays)] for relays in counterparts]
