"""What changed between two looks at the status."""

from functools import partial

__all__ = ["changes"]

_GROUPS = {"entries": "entry", "agents": "agent", "replicas": "replica"}
_WATCHED = ("address", "data_centre", "service", "state", "version")


def changes(before, after):
    """
    List the changes between two looks at the status.

    Parameters
    ----------
    before, after : dict
        As ``GET /operator/status`` shows them; an empty dict for "nothing known".

    Returns
    -------
    list of dict
        Each with ``event``, ``name`` and the fields that it is about.

    Examples
    --------
    >>> entry = {"name": "entry-1", "state": "serving"}
    >>> changes({"entries": [entry]}, {"entries": [{**entry, "state": "leaving"}]})
    [{'event': 'entry-changed', 'name': 'entry-1', 'state': 'leaving'}]
    """
    found = _bundle_changes(
        after.get("entry"), before.get("bundle"), after.get("bundle")
    )
    for group, noun in _GROUPS.items():
        old, new = (_by_name(status.get(group, ())) for status in (before, after))
        found.extend(_group_changes(noun, old, new))
    return found


def _bundle_changes(entry, before, after):
    if after is None or after == before:
        return []
    return [
        {
            "event": "bundle-in-force",
            "name": entry,
            "version": after["version"],
            "digest": after["digest"],
        }
    ]


def _by_name(members):
    return {member["name"]: member for member in members}


def _group_changes(noun, before, after):
    event = partial(_event, noun)
    for name in before.keys() - after.keys():
        yield event("gone", name)
    for name, member in after.items():
        watched = {key: member[key] for key in _WATCHED if key in member}
        if name not in before:
            yield event("new", name, **watched)
            continue
        old = before[name]
        changed = {
            key: value for key, value in watched.items() if old.get(key) != value
        }
        if changed:
            yield event("changed", name, **changed)


def _event(noun, change, name, **fields):
    return {"event": f"{noun}-{change}", "name": name, **fields}
