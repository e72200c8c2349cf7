"""Reference pages in Markdown, made from the code's own definitions."""

from gooseberryyoke.bundle.schema import BUNDLE
from gooseberryyoke.document import REQUIRED, ListOf, MapOf, Section, field_kinds
from gooseberryyoke_daemon.metrics import COUNTERS, GAUGES, HISTOGRAMS
from gooseberryyoke_daemon.settings.schema import SETTINGS
from tools.docs.log_events import log_events_page

__all__ = ["PAGES"]

_MADE = "Made by `python -m tools.docs.reference`; change the definitions instead."
_INFINITY = float("inf")


def _table(heads, rows):
    lines = [heads, ["---"] * len(heads), *rows]
    return "\n".join(
        "| " + " | ".join(cell.replace("|", "\\|") for cell in line) + " |"
        for line in lines
    )


def _below(path, field):
    """Follow lists and mappings down to a section, with the path to it."""
    while isinstance(field, (ListOf, MapOf)):
        path += "[]" if isinstance(field, ListOf) else ".<name>"
        field = field.item
    return path, field


def _sections(path, section):
    yield path, section
    for key in section.keys.values():
        child_path, field = _below(f"{path}.{key.name}".lstrip("."), key.field)
        if isinstance(field, Section):
            yield from _sections(child_path, field)


def _expected(key):
    path, field = _below("", key.field)
    if not isinstance(field, Section):
        each = f", each {field.expected()}" if isinstance(key.field, MapOf) else ""
        return f"{key.field.expected()}{each}"
    if path == "":
        return "keys below"
    return (
        "a mapping by name, keys below" if ".<name>" in path else "a list, keys below"
    )


def _default(key):
    if key.default is REQUIRED:
        return "required"
    value = key.default_value()
    if value is None or value in ((), {}):
        return "none"
    if isinstance(key.field, Section):
        return "as below"
    return f"`{key.field.content(value)}`".replace("True", "true").replace(
        "False", "false"
    )


def _key_tables(root):
    parts = []
    for path, section in _sections("", root):
        rows = [
            [f"`{key.name}`", _expected(key), _default(key), key.help]
            for key in section.keys.values()
        ]
        title = f"## `{path}`" if path else "## Top level"
        heads = ["key", "value", "default", "meaning"]
        parts.append(f"{title}\n\n{_table(heads, rows)}")
    return "\n\n".join(parts)


def _kinds_note():
    kinds = ", ".join(sorted(field_kinds()))
    return (
        "Every mistake of a document is named at once, by path and line. Unknown keys, "
        "keys that stand twice and YAML aliases are refused. Times of the day need no "
        f"quotes. Kinds of values: {kinds}."
    )


def settings_page():
    """
    Make the page of the settings.

    Returns
    -------
    str
    """
    return "\n\n".join(
        [
            "# Settings of a process",
            _MADE,
            "`gooseberryyoked` reads one YAML file. Paths in it start at its folder.",
            _kinds_note(),
            _key_tables(SETTINGS),
        ]
    )


def bundle_page():
    """
    Make the page of the bundle's keys.

    Returns
    -------
    str
    """
    return "\n\n".join(
        [
            "# Keys of a bundle",
            _MADE,
            "How they act together stands in [bundle](../bundle.md).",
            _kinds_note(),
            _key_tables(BUNDLE),
        ]
    )


def metrics_page():
    """
    Make the page of the metrics.

    Returns
    -------
    str
    """
    groups = (("Histograms", HISTOGRAMS), ("Counters", COUNTERS), ("Gauges", GAUGES))
    parts = [
        "# Metrics",
        _MADE,
        "`GET /metrics` gives the text exposition format. All names start with "
        "`gooseberryyoke_`. Each metric keeps 100 label sets apart; for further ones "
        "`account` becomes `other`, so that the page and the memory stay bounded. "
        "`none` stands for a request that was refused before its account or class was "
        "known.",
    ]
    for title, definitions in groups:
        rows = [
            [f"`{item.name}`", _labels(item), item.help, _buckets(item)]
            for item in definitions
        ]
        heads = ["name", "labels", "meaning", "buckets"]
        parts.append(f"## {title}\n\n{_table(heads, rows)}")
    return "\n\n".join(parts)


def _labels(definition):
    return ", ".join(f"`{name}`" for name in definition.labels) or "none"


def _buckets(definition):
    bounds = [f"{bound:g}" for bound in definition.buckets if bound != _INFINITY]
    return ", ".join(bounds)


PAGES = {
    "settings.md": settings_page,
    "bundle-reference.md": bundle_page,
    "metrics.md": metrics_page,
    "log-events.md": log_events_page,
}
