"""Validation across several sections of a bundle."""

from itertools import combinations

from gooseberryyoke.bundle.service import ENGINE, PLAIN

__all__ = ["CONSISTENCY_CHECKS"]


def _check_services(bundle, report):
    for service in bundle.services.values():
        path = f"services.{service.name}.models"
        if service.kind == PLAIN and service.models:
            report.add(
                path,
                f"found {service.models[0]!r}, expected no model of "
                f"a service of kind {PLAIN}",
            )
        if service.kind == ENGINE and not service.models:
            report.add(
                path,
                "found none, expected at least one model of a service of "
                f"kind {ENGINE}",
            )


def _check_classes(bundle, report):
    for request_class in bundle.classes.values():
        path = f"classes.{request_class.name}"
        service = bundle.services.get(request_class.service)
        if service is None:
            names = ", ".join(bundle.services)
            message = f"found {request_class.service!r}, expected one of {names}"
            report.add(f"{path}.service", message)
        else:
            _check_match(request_class.recognition, service, f"{path}.match", report)
        _check_windows(request_class.windows, f"{path}.patience", report)


def _check_match(recognition, service, path, report):
    if recognition.path_prefix is None and recognition.model is None:
        report.add(path, "found neither, expected path_prefix, model or both")
    if service.kind == PLAIN:
        root = f"/v1/services/{service.name}"
        prefix = recognition.path_prefix or ""
        if prefix != root and not prefix.startswith(f"{root}/"):
            found = repr(prefix) if prefix else "none"
            message = f"found {found}, expected {root} or a path below it"
            report.add(f"{path}.path_prefix", message)
    if recognition.model not in (None, *service.models):
        models = ", ".join(service.models) or f"no model, as {service.name} has none"
        message = f"found {recognition.model!r}, expected {models}"
        report.add(f"{path}.model", message)


def _check_recognitions_unique(bundle, report):
    first_by_recognition = {}
    for request_class in bundle.classes.values():
        other = first_by_recognition.setdefault(
            request_class.recognition, request_class
        )
        if other is not request_class:
            message = (
                f"matches the same requests as classes.{other.name}.match, "
                "expected a difference"
            )
            report.add(f"classes.{request_class.name}.match", message)


def _check_accounts(bundle, report):
    path_by_key_hash = {}
    for account in bundle.accounts.values():
        path = f"accounts.{account.name}"
        for index, key_hash in enumerate(account.key_hashes):
            first_path = path_by_key_hash.setdefault(
                key_hash, f"{path}.key_hashes[{index}]"
            )
            if first_path != f"{path}.key_hashes[{index}]":
                message = f"found the hash of {first_path}, expected each hash once"
                report.add(f"{path}.key_hashes[{index}]", message)
        for name, patience in account.patience.items():
            class_path = f"{path}.patience.{name}"
            if name not in bundle.classes:
                names = ", ".join(bundle.classes)
                report.add(class_path, f"found {name!r}, expected one of {names}")
            _check_windows(patience.windows, f"{class_path}.windows", report)


def _check_windows(windows, path, report):
    for index, window in enumerate(windows):
        if window.start_minute == window.until_minute:
            message = "found from and until equal, expected a window of some length"
            report.add(f"{path}[{index}]", message)
    for (first_index, first), (second_index, second) in combinations(
        enumerate(windows), 2
    ):
        if first.overlaps(second):
            message = (
                f"overlaps {path}[{first_index}], expected windows without overlap"
            )
            report.add(f"{path}[{second_index}]", message)


def _check_replicas(bundle, report):
    for name in ("id", "address"):
        first_indexes = {}
        for index, replica in enumerate(bundle.durable.replicas):
            value = getattr(replica, name)
            if first_indexes.setdefault(value, index) != index:
                message = (
                    f"found {value!r} as in durable.replicas[{first_indexes[value]}], "
                    "expected each once"
                )
                report.add(f"durable.replicas[{index}].{name}", message)


def _check_claim_retention(bundle, report):
    # If a claim expires before the caller's last retry, that retry executes the call a
    # second time.
    longest_s = max(_all_patience_s(bundle))
    retention_s = bundle.durable.claim_retention_s
    if retention_s < longest_s:
        message = (
            f"found {retention_s:g}, "
            f"expected at least the longest patience, {longest_s:g}"
        )
        report.add("durable.claim_retention_s", message)


def _all_patience_s(bundle):
    for request_class in bundle.classes.values():
        yield request_class.default_patience_s
        yield from (window.patience_s for window in request_class.windows)
    for account in bundle.accounts.values():
        for patience in account.patience.values():
            yield patience.default_s or 0
            yield from (window.patience_s for window in patience.windows)


CONSISTENCY_CHECKS = (
    _check_services,
    _check_classes,
    _check_recognitions_unique,
    _check_accounts,
    _check_replicas,
    _check_claim_retention,
)
