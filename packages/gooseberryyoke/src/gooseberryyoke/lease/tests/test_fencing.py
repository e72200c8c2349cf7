from gooseberryyoke.lease import FencingGate, StaleNumber


def test_order_of_a_replaced_holder_is_refused():
    """
    An engine that ignores fencing numbers gets no stale order. The first holder
    froze past its lease, the second gave an order, the first wakes up.
    """
    gate = FencingGate()
    gate.admit("group", 1).unwrap()
    gate.admit("group", 2).unwrap()
    assert gate.admit("group", 1).failure() == StaleNumber("group", 1, 2)
    assert gate.admit("other", 1).unwrap() == 1


def test_learnt_number_refuses_older_orders():
    gate = FencingGate()
    gate.learn("group", 5)
    gate.learn("group", 3)
    assert gate.admit("group", 4).failure() == StaleNumber("group", 4, 5)
