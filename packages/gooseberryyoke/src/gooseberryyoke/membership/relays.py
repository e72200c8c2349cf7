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


def far_receivers(name, entries, data_centre, is_heard):
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
    is_heard : callable
        Takes a name, and tells whether that relay has sent news lately.

    Returns
    -------
    list of EntryPresence
        Of each other data centre the counterpart of this one, unless only the other
        relay is heard; both if neither is. None if this entry is no relay.
    """
    entries = list(entries)
    own_relays = [entry.name for entry in relays_of(entries, data_centre)]
    if name not in own_relays:
        return []
    place = own_relays.index(name)
    far = {entry.data_centre for entry in entries} - {data_centre}
    receivers = []
    for other in sorted(far):
        relays = relays_of(entries, other)
        relays = relays[place:] + relays[:place]
        heard = [relay for relay in relays if is_heard(relay.name)]
        receivers += heard[:1] or relays
    return receivers
