from gooseberryyoke.crash import ClearanceKind, Suspects


def test_a_proof_that_another_gateway_knows_ends_the_wait_at_once():
    """A part that is proven elsewhere must not wait here until a trial may begin."""
    suspects = Suspects("g1")
    suspects.end("i-1/1", ["part"], 100.0)
    assert suspects.clearance(["part"], 100.1).kind is ClearanceKind.WAIT
    changed, _ = suspects.take("part", {"i-1/1": 100.0}, 95.0, "g2", None, 100.1)
    assert changed
    assert suspects.clearance(["part"], 100.1).kind is ClearanceKind.FREE
