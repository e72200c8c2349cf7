from gooseberryyoke_daemon.control import EntryPresence, Presences, Roster

NEAR = EntryPresence("e-1", "10.1.0.1:80", "10.1.0.1:71", "a", True)
FAR = EntryPresence("e-2", "10.2.0.1:80", "10.2.0.1:71", "b", True)
OWN = EntryPresence("e-9", "10.9.0.1:80", "10.9.0.1:71", "a", True)


def roster(own=OWN):
    return Roster(lambda: own)


def test_an_entry_counts_as_there_until_it_is_silent():
    presences = Presences()
    assert presences.hear(NEAR, 0.0)
    assert not presences.hear(NEAR, 1.0)
    assert presences.there(3.0) == [NEAR]
    assert presences.there(3.6) == []


def test_an_entry_whose_report_broke_off_is_soon_out_unless_it_calls_again():
    presences = Presences()
    presences.hear(NEAR, 0.0)
    presences.broke_off("e-1", 0.1)
    assert presences.there(0.5) == [NEAR]
    assert presences.there(0.9) == []
    presences.hear(NEAR, 0.9)
    assert presences.there(2.0) == [NEAR]


def test_near_entries_come_first():
    told = roster()
    told.hear("c-1", [FAR.as_list(), NEAR.as_list()], 0.0)
    assert told.addresses("a", 0.1) == [NEAR.address, OWN.address, FAR.address]
    assert told.addresses("b", 0.1) == [FAR.address, NEAR.address, OWN.address]


def test_an_entry_is_there_if_one_control_process_says_so():
    told = roster()
    told.hear("c-1", [NEAR.as_list()], 0.0)
    told.hear("c-2", [FAR.as_list()], 0.5)
    assert len(told.addresses("a", 1.0)) == 3


def test_the_last_word_holds_while_no_control_process_is_heard():
    told = roster()
    told.hear("c-1", [NEAR.as_list()], 0.0)
    assert NEAR.address in told.addresses("a", 500.0)


def test_the_word_of_a_control_process_that_fell_silent_is_dropped():
    told = roster()
    told.hear("c-1", [NEAR.as_list()], 0.0)
    told.hear("c-2", [FAR.as_list()], 5.0)
    assert NEAR.address not in told.addresses("a", 5.1)


def test_an_entry_that_stops_leaves_itself_out_at_once():
    leaving = OWN.replace(is_open=False)
    told = roster(leaving)
    told.hear("c-1", [OWN.as_list(), NEAR.as_list()], 0.0)
    assert told.addresses("a", 0.1) == [NEAR.address]
