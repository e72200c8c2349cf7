from gooseberryyoke.balance import PrefixIndex


def test_longest_prefix_by_server():
    index = PrefixIndex()
    index.stored("a", [1, 2, 3])
    index.stored("b", [1])
    assert index.matches([1, 2, 3, 4]) == {"a": 3, "b": 1}
    index.evicted("a", [3])
    assert index.matches([1, 2, 3, 4]) == {"a": 2, "b": 1}


def test_events_with_a_gap():
    """
    The event that a prefix was evicted is lost.

    The index goes on believing in it: requests with that prefix still go to one
    server, which prefills it once and holds it again. Nothing else is wrong,
    and the belief ends with the server's incarnation.
    """
    index = PrefixIndex()
    index.stored("a", [1, 2])
    assert index.matches([1, 2]) == {"a": 2}
    index.forget("a")
    assert index.matches([1, 2]) == {}
    index.stored("a", [1])
    assert index.matches([1, 2]) == {"a": 1}


def test_size_is_bounded():
    index = PrefixIndex(max_digests=10, max_holders=2)
    for digest in range(100):
        for server in "abc":
            index.stored(server, [digest])
    assert len(index) == 10
    assert index.matches([99]) == {"b": 1, "c": 1}
    assert index.matches([5]) == {}
