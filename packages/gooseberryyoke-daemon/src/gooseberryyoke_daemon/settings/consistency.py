"""Checks that involve several parts of the settings."""

from gooseberryyoke.bundle import PLAIN
from gooseberryyoke_daemon.settings.schema import ROLES

__all__ = ["CONSISTENCY_CHECKS"]

_NEEDED = {
    "entry": ("listen.callers", "listen.operators", "sign_off", "replicas"),
    "agent": ("entries",),
    "replica": ("data_folder", "replicas"),
}


def _check_roles(settings, report):
    if len(set(settings.roles)) != len(settings.roles):
        report.add("roles", f"found {list(settings.roles)}, expected each role once")
    if "agent" in settings.roles and len(settings.roles) > 1:
        # The agent's instance belongs to the backend server, with a slot for one
        # small process; a role beside it would take the memory that it is held to.
        report.add("roles", "found agent with another role, expected it alone")


def _check_sections(settings, report):
    for role in ROLES:
        section = getattr(settings, role)
        if role in settings.roles and section is None:
            report.add(role, f"is missing, expected a section for the role {role}")
        if role not in settings.roles and section is not None:
            report.add(role, f"found a section, expected {role} among the roles")


def _check_needed(settings, report):
    for role in dict.fromkeys(settings.roles):
        for path in _NEEDED[role]:
            value = settings
            for name in path.split("."):
                value = getattr(value, name)
            if value in (None, ()):
                report.add(path, f"is missing, expected one for the role {role}")


def _check_sign_off(settings, report):
    sign_off = settings.sign_off
    if sign_off is not None and sign_off.needed > len(sign_off.keys):
        message = (
            f"found {sign_off.needed}, expected at most {len(sign_off.keys)}, "
            "the number of keys"
        )
        report.add("sign_off.needed", message)


def _check_replicas(settings, report):
    ids = [replica.id for replica in settings.replicas]
    for index, replica in enumerate(settings.replicas):
        if ids.index(replica.id) != index:
            path = f"replicas[{index}].id"
            report.add(path, f"found {replica.id!r} twice, expected each once")
    if settings.replica and settings.replicas and settings.replica.id not in ids:
        message = f"found {settings.replica.id!r}, expected one of {', '.join(ids)}"
        report.add("replica.id", message)


def _check_intervals(settings, report):
    # A silence shorter than two intervals takes one lost message for a death.
    entry, agent = settings.entry, settings.agent
    if entry is not None and entry.silence_s < 2 * entry.announce_interval_s:
        message = (
            f"found {entry.silence_s:g}, expected at least two announce intervals, "
            f"{2 * entry.announce_interval_s:g}"
        )
        report.add("entry.silence_s", message)
    if agent is not None and agent.server.kind == PLAIN and agent.server.models:
        message = f"found models, expected none of a server of kind {PLAIN}"
        report.add("agent.server.models", message)


def _check_limits(settings, report):
    limits = settings.limits
    if limits.pool_idle_s >= limits.idle_s:
        message = (
            f"found {limits.pool_idle_s:g}, expected less than idle_s, "
            f"{limits.idle_s:g}"
        )
        report.add("limits.pool_idle_s", message)


CONSISTENCY_CHECKS = (
    _check_roles,
    _check_sections,
    _check_needed,
    _check_sign_off,
    _check_replicas,
    _check_intervals,
    _check_limits,
)
