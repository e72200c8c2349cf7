from gooseberryyoke.placement import GroupPulse


def test_a_group_that_answers_takes_what_it_has_room_for():
    pulse = GroupPulse()
    pulse.sent(0.0)
    pulse.gave(0.1)
    assert pulse.places(6, 0.2) == 6


def test_a_group_that_forms_anew_is_tried_by_one_request_at_a_time():
    # All engines have started again, and refuse until their group has formed. Forty
    # callers wait with the one return that they have. Sent on together, each of them
    # is refused, and most have given up when the group opens a second later.
    pulse, tries, now = GroupPulse(), 0, 10.0
    pulse.refused(now)
    while now < 11.0:
        for _ in range(pulse.places(40, now)):
            pulse.sent(now)
            pulse.refused(now)
            pulse.ended(now)
            tries += 1
        now += 0.01
    assert 3 <= tries <= 6
    pulse.sent(11.0)
    pulse.gave(11.2)
    assert pulse.places(40, 11.2) == 40


def test_a_group_that_stands_still_gets_nothing_more_until_it_goes_on():
    # The process that holds a group's step is frozen for four seconds. Requests that
    # are sent meanwhile hang at the engines until their callers leave after two.
    pulse = GroupPulse()
    pulse.sent(0.0)
    pulse.gave(0.1)
    assert pulse.places(6, 0.5) == 6
    assert pulse.is_still(0.7)
    assert pulse.places(6, 0.7) == 0
    pulse.gave(4.0)
    assert pulse.places(6, 4.0) == 6


def test_a_group_that_gave_nothing_to_anyone_is_tried_by_one_request():
    # All streams at a group that is held were given up after two seconds. Forty callers
    # wait; sent on together, they would hang there as the others did.
    pulse = GroupPulse()
    pulse.sent(0.0)
    pulse.ended(1.8)
    assert pulse.places(40, 1.8) == 1
    pulse.sent(1.8)
    assert pulse.places(40, 2.0) == 0
    pulse.gave(2.3)
    assert pulse.places(40, 2.3) == 40


def test_a_group_without_requests_is_not_taken_for_one_that_stands_still():
    pulse = GroupPulse()
    pulse.sent(0.0)
    pulse.gave(0.1)
    pulse.ended(0.2)
    assert pulse.places(6, 60.0) == 6
    pulse.sent(60.0)
    assert not pulse.is_still(60.1)


def crowded_group(pulse, running, seconds, now=0.0):
    """
    Let a group run as many streams as it may, of at most ``running``.

    Its step takes 30 ms, and 1.6 ms more for each stream. Gives the gaps of the last
    second.
    """
    gaps, slots = [], 72
    end_s = now + seconds
    while now < end_s:
        allowed = pulse.places(slots, now, slots)
        gap_s = 0.030 + 0.0016 * min(running, allowed)
        now += gap_s
        pulse.gave(now)
        pulse.observe_gap(gap_s, 0.12, now)
        if now > end_s - 1.0:
            gaps.append(gap_s)
    return gaps


def test_gaps_of_a_crowded_group_stay_below_what_callers_bear():
    # Seventy streams in step have gaps of 0.14 s, so that all of them are late. With
    # fifty none is, and the others wait for a place or come back.
    pulse = GroupPulse()
    pulse.sent(0.0)
    assert max(crowded_group(pulse, 72, seconds=6.0)) < 0.12
    assert 0.5 <= pulse.limit_part < 1.0


def test_all_places_are_used_again_once_gaps_are_short():
    pulse = GroupPulse()
    pulse.sent(0.0)
    crowded_group(pulse, 72, seconds=6.0)
    crowded_group(pulse, 20, seconds=6.0, now=6.0)
    assert pulse.limit_part == 1.0


def test_a_slow_member_does_not_close_a_group():
    # Gaps of half a second have another cause than the number of streams.
    pulse = GroupPulse()
    pulse.sent(0.0)
    for step in range(40):
        pulse.gave(step * 0.5)
        pulse.observe_gap(0.5, 0.12, step * 0.5)
    assert pulse.places(72, 20.0, 72) >= 36


def test_a_link_that_loses_packets_does_not_close_a_group():
    # One stream in ten gets its events late over a bad link; the group's steps are
    # short. Fewer streams would not help those, and cost others their places.
    pulse = GroupPulse()
    pulse.sent(0.0)
    for number in range(400):
        gap_s = 0.25 if number % 10 == 0 else 0.07
        pulse.observe_gap(gap_s, 0.12, number * 0.007)
    assert pulse.limit_part == 1.0
