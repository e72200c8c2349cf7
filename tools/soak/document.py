"""Configurations that soaks store."""

__all__ = ["DOCUMENT", "KEY", "make_document"]

KEY = "soak-key"
DOCUMENT = {
    "version": 1,
    "routes": [
        {
            "name": "read",
            "host": "soak.example",
            "path_prefix": "/read/",
            "kind": "idempotent",
            "timeout_ms": 2000,
            "max_attempts": 2,
            "service": "s",
        },
        {
            "name": "draw",
            "host": "soak.example",
            "path_prefix": "/draw/",
            "kind": "streaming",
            "timeout_ms": 5000,
            "max_attempts": 2,
            "resumable": True,
            "service": "s",
        },
    ],
    "services": [{"name": "s", "cold_per_s": 5, "cold_start_s": 1}],
    "tenants": [{"name": "soak", "api_keys": [KEY]}],
}


def make_document(services, max_attempts):
    """
    Make the configuration of services that are read, each on a route of its own.

    Parameters
    ----------
    services : list of str
    max_attempts : int

    Returns
    -------
    dict
    """
    read = {**DOCUMENT["routes"][0], "max_attempts": max_attempts}
    routes = [
        {**read, "name": name, "path_prefix": f"/{name}/", "service": name}
        for name in services
    ]
    return {
        **DOCUMENT,
        "routes": routes,
        "services": [{"name": name} for name in services],
    }
