from inspect import signature
from pathlib import Path

import pytest

from gooseberryyoke.bundle.signature import make_key_pair
from gooseberryyoke_daemon.settings import (
    SignOff,
    internal_keys_text,
    load_internal_keys,
    load_settings,
    load_sign_off_keys,
    parse_settings,
)
from gooseberryyoke_daemon.wire import Address, Limits

ENTRY = """\
name: entry-1
data_centre: riga-1
roles: [entry, replica]
listen:
  internal: 127.0.0.1:7301
  callers: 127.0.0.1:7101
  operators: 127.0.0.1:7201
entries: [127.0.0.1:7302]
replicas: [{id: replica-a, address: 127.0.0.1:7301}]
data_folder: data/entry-1
internal_keys: keys/internal.yaml
sign_off: {keys: {anna: keys/anna.pem, janis: /etc/janis.pem}, needed: 2}
entry: {deployment: celins}
replica: {id: replica-a}
limits: {body_bytes: 1048576}
"""
# An X25519 key: of the same length, for another purpose.
OTHER_KIND = """\
-----BEGIN PUBLIC KEY-----
MCowBQYDK2VuAyEAAAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8=
-----END PUBLIC KEY-----
"""
AGENT = """\
name: agent-draw-1
data_centre: riga-1
roles: [agent]
listen: {internal: 127.0.0.1:7401}
entries: [127.0.0.1:7301, 127.0.0.1:7302]
internal_keys: internal.yaml
agent:
  server:
    name: draw-1
    address: 127.0.0.1:8001
    kind: engine
    service: draw-llm
    models: [heat-draw]
    load_path: /load
"""


def test_an_entry_with_a_replica(tmp_path):
    path = tmp_path / "entry.yaml"
    path.write_text(ENTRY, encoding="utf-8")
    settings = load_settings(path).unwrap()
    assert settings.listen.callers == Address("127.0.0.1", 7101)
    assert settings.data_folder == tmp_path / "data" / "entry-1"
    assert settings.sign_off.keys["anna"] == tmp_path / "keys" / "anna.pem"
    assert settings.sign_off.keys["janis"] == Path("/etc/janis.pem")
    assert settings.limits == Limits(body_bytes=1 << 20)
    assert settings.replicas[0].address == settings.listen.internal
    assert not settings.replica.may_found
    assert settings.agent is None


def test_an_agent():
    settings = parse_settings(AGENT).unwrap()
    assert settings.agent.server.address == Address("127.0.0.1", 8001)
    assert settings.agent.server.models == ("heat-draw",)
    assert settings.entries[1] == Address("127.0.0.1", 7302)
    assert settings.log_level == "info"


def test_every_mistake_of_the_settings_is_named(snapshot):
    text = """\
name: entry 1
role: [entry]
data_centre: riga-1
listen: {callers: "127.0.0.1"}
limits: {body_byte: 5, connections: 0}
internal_keys: ""
"""
    assert [str(mistake) for mistake in parse_settings(text).failure()] == snapshot


def test_every_contradiction_of_the_settings_is_named(snapshot):
    text = """\
name: entry-1
data_centre: riga-1
roles: [entry, agent, entry]
listen: {internal: 127.0.0.1:7301}
replicas: [{id: a, address: 127.0.0.1:1}, {id: a, address: 127.0.0.1:2}]
internal_keys: keys.yaml
sign_off: {keys: {anna: anna.pem}, needed: 2}
entry: {deployment: celins, silence_s: 1}
replica: {id: b}
limits: {idle_s: 5}
"""
    assert [str(mistake) for mistake in parse_settings(text).failure()] == snapshot


def test_each_limit_of_the_wire_has_a_key():
    for name, parameter in signature(Limits).parameters.items():
        value = parameter.default + 1
        text = f"{ENTRY.splitlines()[-1][:-1]}, {name}: {value:g}}}"
        if name == "body_bytes":
            text = f"limits: {{{name}: {value}}}"
        body = "\n".join([*ENTRY.splitlines()[:-1], text])
        assert getattr(parse_settings(body).unwrap().limits, name) == value


def test_a_file_that_cannot_be_read_is_a_mistake(tmp_path):
    (missing,) = load_settings(tmp_path / "none.yaml").failure()
    assert "No such file" in missing.message
    path = tmp_path / "latin.yaml"
    path.write_bytes("name: Celiņš".encode("iso8859-13"))
    assert "UTF-8" in load_settings(path).failure()[0].message


def test_internal_keys_keep_their_order(tmp_path):
    path = tmp_path / "internal.yaml"
    keys = {"new": bytes(range(32)), "a-old": bytes(32)}
    path.write_text(internal_keys_text(keys), encoding="utf-8")
    assert list(load_internal_keys(path).unwrap().items()) == list(keys.items())


@pytest.mark.parametrize("text", ["keys: {}", "keys: {a: 00}", "keys: {a: []}", "{}"])
def test_unusable_internal_keys_are_refused(tmp_path, text):
    path = tmp_path / "internal.yaml"
    path.write_text(text, encoding="utf-8")
    (mistake,) = load_internal_keys(path).failure()
    assert "expected" in mistake.message


def test_every_unusable_sign_off_key_is_named(tmp_path):
    """
    The settings name a private key, a key of another kind, and a file that isn't there.

    Found at the first roll only, each would refuse bundles with a fault of the entry;
    the check of the settings must name all three.
    """
    private_pem, public_pem = make_key_pair()
    texts = {"anna": public_pem, "janis": private_pem, "liga": OTHER_KIND}
    keys = {name: tmp_path / f"{name}.pem" for name in (*texts, "zane")}
    for name, text in texts.items():
        keys[name].write_text(text, encoding="utf-8")
    right = SignOff({"anna": keys["anna"]})
    assert load_sign_off_keys(right).unwrap() == {"anna": public_pem}
    mistakes = load_sign_off_keys(SignOff(keys)).failure()
    assert [item.path for item in mistakes] == [
        "sign_off.keys.janis",
        "sign_off.keys.liga",
        "",
    ]
    assert "zane.pem" in mistakes[2].message
