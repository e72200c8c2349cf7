from tools.bench.backoff import WAYS, measure

GATEWAYS = 4
SICK = 5
FOR_S = 5.0


def test_gateways_that_hint_at_pauses_meet_sick_servers_less_often():
    # Guards against each gateway finding out by itself which servers want nothing.
    alone = measure(WAYS["not told"], GATEWAYS, SICK, 1.0, for_s=FOR_S)
    hinted = measure(WAYS["hinted"], GATEWAYS, SICK, 1.0, for_s=FOR_S)
    assert (alone.faults, hinted.faults) == ([], [])
    assert hinted.turned_away < alone.turned_away
    assert hinted.statuses[200] >= alone.statuses[200]
    assert hinted.statuses.total() == alone.statuses.total()
