import pytest

from gooseberryyoke.order import (
    LoadModel,
    Order,
    OrderGate,
    OrderOutcome,
    UnloadModel,
    order_number,
)

LOAD = LoadModel("draw-llm", "v2")
UNLOAD = UnloadModel("draw-llm", "v1")


class ObedientEngine:
    """An engine that ignores fencing numbers and does whatever it is told."""

    def __init__(self):
        self.did = []


def send(gate, engine, fence, number, action, life="life-1"):
    reply = gate.submit(Order(fence, life, number, action))
    if reply.outcome is OrderOutcome.ACCEPTED:
        engine.did.append(action)
        reply = gate.finish(number, None)
    return reply.outcome


def test_thawed_sender_is_refused_before_an_engine_that_obeys_all():
    """
    A lease holder freezes with an unload on the wire.

    Its successor has loaded models since; the engine would unload one of them,
    as it does not look at fencing numbers. The gate refuses in its place.
    """
    gate, engine = OrderGate("life-1"), ObedientEngine()
    assert send(gate, engine, 2, 20, LOAD) is OrderOutcome.DONE
    assert send(gate, engine, 1, 10, UNLOAD) is OrderOutcome.OLD_FENCE
    assert engine.did == [LOAD]


def test_repeat_by_the_successor_gets_the_same_answer():
    gate, engine = OrderGate("life-1"), ObedientEngine()
    assert send(gate, engine, 1, 10, LOAD) is OrderOutcome.DONE
    assert send(gate, engine, 2, 10, LOAD) is OrderOutcome.DONE
    assert engine.did == [LOAD]


def test_failure_is_remembered_with_its_detail():
    gate = OrderGate("life-1")
    gate.submit(Order(1, "life-1", 10, LOAD))
    gate.finish(10, "no memory left")
    reply = gate.submit(Order(1, "life-1", 10, LOAD))
    assert (reply.outcome, reply.detail) == (OrderOutcome.FAILED, "no memory left")


def test_order_to_an_earlier_life_is_refused():
    """
    An old unload arrives after the agent has lost its memory.

    Nothing is left to compare the fencing number with; the order names the life
    that it was meant for.
    """
    gate, engine = OrderGate("life-2"), ObedientEngine()
    outcome = send(gate, engine, 1, 10, UNLOAD, life="life-1")
    assert outcome is OrderOutcome.OLD_INCARNATION
    assert engine.did == []


def test_orders_of_two_senders_do_not_cross_in_the_engine():
    gate = OrderGate("life-1")
    gate.submit(Order(1, "life-1", 10, LOAD))
    assert gate.submit(Order(2, "life-1", 20, UNLOAD)).outcome is OrderOutcome.BUSY
    assert gate.submit(Order(2, "life-1", 10, LOAD)).outcome is OrderOutcome.RUNNING
    gate.finish(10, None)
    accepted = gate.submit(Order(2, "life-1", 20, UNLOAD))
    assert accepted.outcome is OrderOutcome.ACCEPTED


def test_number_with_another_action_is_a_conflict():
    gate, engine = OrderGate("life-1"), ObedientEngine()
    send(gate, engine, 1, 10, LOAD)
    assert send(gate, engine, 1, 10, UNLOAD) is OrderOutcome.CONFLICT


def test_forgotten_order_does_not_run_again():
    gate, engine = OrderGate("life-1", remembered=2), ObedientEngine()
    for number in range(4):
        send(gate, engine, 1, number, LOAD)
    assert send(gate, engine, 1, 1, LOAD) is OrderOutcome.OLD_NUMBER
    assert len(engine.did) == 4


def test_finish_of_another_order_is_an_error():
    with pytest.raises(ValueError, match="order 5"):
        OrderGate("life-1").finish(5, None)
    with pytest.raises(ValueError, match="counter"):
        order_number(1, 1 << 20)
