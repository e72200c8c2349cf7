"""The jobs of a run, in the order in which they are sent."""

import orjson

from examples.demonstration.deployment import SEED
from examples.demonstration.job import Job
from examples.fakes.text import answer_words, document_text
from gooseberryyoke_daemon.wire import Request

__all__ = ["make_jobs"]

_CHAT_PATH = "/v1/chat/completions"
_JSON = ("content-type", "application/json")
_TOKENS = 24
_CHAT_SHARE = 0.5
_ONCE_SHARE = 0.3


def make_jobs(profile, count, rng):
    """
    Make jobs of each class, mixed.

    Parameters
    ----------
    profile : Profile
        Names the classes.
    count : int
        Number of jobs.
    rng : random.Random
        Mixes them.

    Returns
    -------
    list of Job
    """
    return [_make_job(profile, number, rng) for number in range(count)]


def _make_job(profile, number, rng):
    account = rng.choice(profile.accounts)
    draw = rng.random()
    if draw < _CHAT_SHARE:
        return _chat_job(profile, number, account, rng)
    if draw < _CHAT_SHARE + _ONCE_SHARE:
        return _once_job(profile, number, account)
    return _fetch_job(profile, number, account, rng)


def _chat_job(profile, number, account, rng):
    class_name, label = rng.choice(profile.chat_classes)
    name = f"{class_name}-{number}"
    body = {
        "model": profile.model,
        "messages": [
            {"role": "system", "content": f"You write for {profile.name}. " * 8},
            {"role": "user", "content": f"Write {class_name} number {number}."},
        ],
        "max_tokens": _TOKENS,
        "stream": rng.random() < 0.5,
        "metadata": {"id": name},
    }
    if label is not None:
        body["metadata"]["class"] = label
    words = answer_words(SEED, profile.model, body["messages"], _TOKENS)
    read = _streamed_text if body["stream"] else _whole_text
    request = Request("POST", _CHAT_PATH, [_JSON], orjson.dumps(body))
    return Job(
        class_name,
        account,
        name,
        request,
        True,
        lambda answer: read(answer) == " ".join(words),
    )


def _once_job(profile, number, account):
    name = f"{profile.once_class}-{number}"
    path = f"/v1/services/{profile.plain_service}/{profile.once_path}"
    request = Request("POST", path, [_JSON], orjson.dumps({"id": name}))

    def is_right(answer):
        payload = orjson.loads(answer)
        return (payload["id"], payload["execution"]) == (name, 1)

    return Job(profile.once_class, account, name, request, False, is_right)


def _fetch_job(profile, number, account, rng):
    key = f"{profile.once_class}-{rng.randrange(number + 1)}"
    path = f"/v1/services/{profile.plain_service}/{profile.fetch_path}/{key}"

    def is_right(answer):
        return orjson.loads(answer) == {"id": key, "text": document_text(SEED, key)}

    name = f"{profile.fetch_class}-{number}"
    return Job(profile.fetch_class, account, name, Request("GET", path), True, is_right)


def _whole_text(answer):
    return orjson.loads(answer)["choices"][0]["message"]["content"]


def _streamed_text(answer):
    events = [line.removeprefix(b"data: ") for line in answer.split(b"\n\n")]
    if events[-2:] != [b"[DONE]", b""]:
        return None
    deltas = [orjson.loads(event)["choices"][0]["delta"] for event in events[:-2]]
    return "".join(delta.get("content", "") for delta in deltas)
