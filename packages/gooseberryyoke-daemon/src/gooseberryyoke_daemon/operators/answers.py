"""How refusals are told to the operators' client."""

from functools import singledispatch

from gooseberryyoke.bundle import SignatureProblem
from gooseberryyoke_daemon.operators.approval import MistakesFound
from gooseberryyoke_daemon.operators.keeper import Conflict, NoMajority, OlderVersion
from gooseberryyoke_daemon.wire import json_response

__all__ = ["problem", "refused"]


def problem(status, reason, detail, **members):
    """
    Make a response of problem JSON.

    Parameters
    ----------
    status : int
    reason : str
        Kebab case, stable across releases.
    detail : str
    **members
        Further members of the JSON object.

    Returns
    -------
    Response
    """
    payload = {
        "type": f"urn:gooseberryyoke:problem:{reason}",
        "title": reason.replace("-", " "),
        "status": status,
        "reason": reason,
        "detail": detail,
        **members,
    }
    response = json_response(status, payload)
    return response.replace(headers=[("content-type", "application/problem+json")])


@singledispatch
def refused(why):
    """
    Tell why a bundle isn't accepted.

    Parameters
    ----------
    why : Record

    Returns
    -------
    Response
    """
    raise NotImplementedError(f"found {type(why).__name__}, expected a known refusal")


@refused.register
def _mistakes(why: MistakesFound):
    found = [mistake.to_payload() for mistake in why.mistakes]
    detail = f"found {len(found)} mistakes, expected none"
    return problem(422, "mistakes", detail, mistakes=found)


@refused.register
def _signatures(why: SignatureProblem):
    members = {"good": list(why.good), "needed": why.needed}
    return problem(403, "signatures", why.detail, **members)


@refused.register
def _conflict(why: Conflict):
    detail = f"version {why.version} is another bundle, which was accepted before"
    return problem(409, "conflict", detail, winner=_winner(why.version, why))


@refused.register
def _older(why: OlderVersion):
    detail = f"version {why.newest} is in force, expected a higher version"
    return problem(409, "older", detail, winner=_winner(why.newest, why))


@refused.register
def _no_majority(why: NoMajority):
    detail = f"{why.reached} replicas answered, expected {why.needed}"
    members = {"reached": why.reached, "needed": why.needed}
    return problem(503, "no-majority", detail, **members)


def _winner(version, why):
    return {"version": version, "digest": why.digest, "signers": list(why.signers)}
