import json

from gooseberryyoke.bundle import Envelope, Signature, key_hash

SIGN = "sign bundle.yaml --signer anna --key anna.key.pem"
ROLL = "roll bundle.signed.json"


def test_first_roll_and_what_it_shows(shell, snapshot):
    shell.run("status")
    shell.run("history")
    shell.run("show", 8)
    shell.run("check bundle.yaml")
    shell.run(SIGN)
    shell.run(ROLL)
    shell.run("history")
    shell.run("show")
    shell.run("status")
    assert shell.transcript() == snapshot


def test_many_mistakes(shell, snapshot, bundle_file):
    bundle_file(service="drawllm", repeatable="maybe", time_zone="Riga", version="0")
    shell.run("check bundle.yaml", 1)
    shell.run(SIGN, 1)
    bundle_file(service="drawllm")
    shell.run("check bundle.yaml", 1)
    shell.run("check missing.yaml", 1)
    bundle_file()
    shell.run(f"{SIGN} --out nowhere/x.json", 1)
    shell.run("sign bundle.yaml --signer anna --key bundle.yaml", 1)
    shell.run("roll bundle.yaml", 1)
    assert shell.transcript() == snapshot


def test_lost_answer_then_the_same_roll_again(shell, snapshot):
    """
    The first answer to a roll is lost after the bundle was accepted.

    The client asks the next entry with the same bundle, which says "as it was before";
    the operator, who saw no end either, runs the command once more.
    """
    shell.run(SIGN)
    shell.deployment.lost_answers = 1
    shell.run(ROLL)
    shell.run(ROLL)
    shell.deployment.lost_answers = 2
    shell.run(ROLL, 3)
    shell.run(ROLL)
    assert shell.transcript() == snapshot
    assert list(shell.deployment.keeper.accepted) == [1]


def test_two_operators_race_under_one_version(shell, snapshot, bundle_file):
    """
    Anna and Janis each roll a bundle under version 1.

    Anna's is accepted first. Janis is told who won and how to go on; his bundle is in
    force nowhere, and under version 2 it is accepted. Rolling version 1 again then
    is refused as older for both of them, as versions never go back.
    """
    shell.run(SIGN)
    bundle_file("janis.yaml", default_patience_s="9")
    sign = "sign janis.yaml --signer janis --key janis.key.pem"
    shell.run(sign)
    shell.run(ROLL)
    shell.run("roll janis.signed.json", 4)
    bundle_file("janis.yaml", default_patience_s="9", version="2")
    shell.run(sign)
    shell.run("roll janis.signed.json")
    shell.run("roll janis.signed.json --json")
    bundle_file("bundle.yaml", default_patience_s="7", version="1")
    shell.run(SIGN)
    shell.run(ROLL, 5)
    shell.run("history")
    assert shell.transcript() == snapshot


def test_an_older_version_is_refused(shell, snapshot, bundle_file):
    bundle_file(version="7")
    shell.run(SIGN)
    shell.run(ROLL)
    bundle_file(version="6")
    shell.run(SIGN)
    shell.run(ROLL, 5)
    shell.run("show --version 6", 8)
    assert shell.transcript() == snapshot


def test_lost_answer_and_a_newer_roll_before_the_next_try(shell, snapshot, bundle_file):
    """
    Anna's version 1 is accepted, but every answer to her roll is lost.

    Before she tries again, Janis rolls version 2. She must not be told that her bundle
    was refused: it was in force, and Janis's roll came on top of it.
    """
    shell.run(SIGN)
    shell.deployment.lost_answers = 2
    shell.run(ROLL, 3)
    bundle_file("janis.yaml", default_patience_s="9", version="2")
    shell.run("sign janis.yaml --signer janis --key janis.key.pem")
    shell.run("roll janis.signed.json")
    shell.deployment.now = 0.0
    shell.run(ROLL)
    assert shell.deployment.now >= 4.0
    shell.run(f"{ROLL} --json")
    assert shell.transcript() == snapshot


def test_a_newer_roll_while_waiting_is_told(shell, snapshot):
    shell.run(SIGN)
    newer = Envelope("celins", 2, "cd" * 32, "", (Signature("janis", ""),))
    shell.deployment.accepted_meanwhile = {2: newer}
    shell.run(ROLL)
    assert shell.transcript() == snapshot


def test_signatures_that_are_not_enough(shell, snapshot):
    shell.deployment.require(2)
    shell.run(SIGN)
    shell.run(ROLL, 6)
    shell.run("sign bundle.yaml --signer janis --key janis.key.pem")
    shell.run(ROLL)
    assert shell.transcript() == snapshot


def test_a_signature_is_dropped_when_the_content_changes(shell, snapshot, bundle_file):
    shell.run(SIGN)
    bundle_file(default_patience_s="9")
    shell.run("sign bundle.yaml --signer janis --key janis.key.pem --json")
    assert shell.transcript() == snapshot


def test_no_majority_and_no_entry(shell, snapshot):
    shell.run(SIGN)
    shell.deployment.keeper.reachable = False
    shell.run(ROLL, 7)
    shell.run(f"{ROLL} --json", 7)
    shell.run("history", 7)
    shell.deployment.down = {"10.0.0.1:7201", "10.0.0.2:7201"}
    shell.run("status", 3)
    shell.run("status --json", 3)
    assert shell.transcript() == snapshot


def test_a_roll_ends_only_after_the_leases_on_older_bundles(shell, snapshot):
    """
    An entry is cut off from the replicas when a bundle is rolled.

    It can't learn of the new bundle, yet goes on serving by the old one until its
    lease ends. "Rolled" must not be said before that, or an operator would believe a
    withdrawn patience gone while the entry still grants it.
    """
    shell.deployment.stuck = {"entry-2": 0}
    shell.run(SIGN)
    shell.run(ROLL)
    assert shell.deployment.now >= 4.0
    assert shell.transcript() == snapshot


def test_watch_goes_on_at_the_next_entry(shell, snapshot):
    in_force = {"event": "bundle-in-force", "name": 1, "version": 1, "digest": "ab"}
    shell.deployment.watch_lines = {
        "10.0.0.1:7201": [
            {"event": "entry-new", "name": "entry-1", "state": "serving"},
            {"event": "still-here", "name": "entry-1"},
            {"event": "entry-stopping", "name": "entry-1"},
        ],
        "10.0.0.2:7201": [
            {"event": "entry-new", "name": "entry-2", "state": "serving"},
            in_force,
            {"event": "entry-gone", "name": "entry-1"},
        ],
    }
    shell.run("watch --until-version 1")
    shell.deployment.down = set()
    shell.run("watch --until-version 1 --json")
    shell.deployment.down = {"10.0.0.1:7201"}
    shell.run("watch --until-version 2", 3)
    assert shell.transcript() == snapshot


def test_keys_are_made_once_and_never_replaced(shell, snapshot, tmp_path):
    shell.run("keys sign-off liga")
    shell.run("keys sign-off liga", 1)
    shell.run("keys internal internal.yaml --id 2026-12")
    shell.run("keys internal internal.yaml", 1)
    shell.run("keys sign-off ../liga", 2)
    assert (tmp_path / "liga.key.pem").stat().st_mode & 0o077 == 0
    assert (tmp_path / "internal.yaml").stat().st_mode & 0o077 == 0
    assert shell.transcript() == snapshot


def test_an_account_key_and_the_hash_for_the_bundle_belong_together(shell):
    answer = json.loads(shell.run("keys account deck --json"))
    assert key_hash(answer["key"]) == answer["key_hash"]
    assert len(answer["key"]) >= 40
    assert "accounts.deck" in answer["next"]


def test_help_lists_every_exit_code(shell, snapshot):
    shell.run("--help")
    assert shell.transcript() == snapshot
