import re

import pytest

NORMALISED = (
    (r"[0-9a-f]{64}", "<digest>"),
    (r"\d{4}-\d\d-\d\dT[0-9:.]+(\+00:00|Z)", "<time>"),
    (r"<time> +", "<time>  "),
    (r"127\.0\.0\.1:\d+", "<address>"),
    # How many polls see a holder without the bundle depends on the moment.
    (r"  \d of \d holders have it\n", ""),
    (r"accepted +signed", "accepted  signed"),
)


class Session:
    def __init__(self, deployment):
        self.deployment = deployment
        self.parts = []

    def run(self, command, code=0):
        output = self.deployment.client(*command.split(), code=code)
        for pattern, new in NORMALISED:
            output = re.sub(pattern, new, output)
        self.parts.append(f"$ gooseberryyoke {command}\n{output}exit {code}\n")

    def edit(self, pattern, new):
        path = self.deployment.folder / "bundle.yaml"
        text, changes = re.subn(pattern, new, path.read_text(encoding="utf-8"))
        assert changes
        path.write_text(text, encoding="utf-8")


@pytest.fixture
def session(deployment):
    return Session(deployment)


def test_operators_roll_race_and_watch_across_processes(session, snapshot):
    """
    Operators roll again, race, roll on and try an old file, on a running deployment.

    The same roll again is accepted; another content under its version is a conflict;
    under a higher version it is in force; and the first file, sent once more, was in
    force but has been replaced.
    """
    sign = "sign bundle.yaml --signer anna --key anna.key.pem"
    session.run("check bundle.yaml")
    session.run("roll bundle.signed.json")
    session.edit("patience_s: 60", "patience_s: 59")
    session.run(f"{sign} --out other.signed.json")
    session.run("roll other.signed.json", code=4)
    session.edit("version: 1", "version: 2")
    session.run(f"{sign} --out other.signed.json")
    session.run("roll other.signed.json")
    session.run("roll bundle.signed.json")
    session.run("history")
    session.run("status")
    session.run("watch --until-version 2")
    session.run("show --version 3", code=8)
    session.edit("repeatable: false", "repeatable: maybe")
    session.run("check bundle.yaml", code=1)
    assert "\n".join(session.parts) == snapshot
