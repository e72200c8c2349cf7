from gooseberryyoke.routing.answer_times import AnswerTimes


def test_an_answer_is_expected_to_take_as_long_as_most_of_late():
    times = AnswerTimes()
    assert times.expected_s("r", 0.0) == 0.0
    for number in range(20):
        times.observe("r", 1.0 if number < 19 else 30.0, 0.0)
    assert times.expected_s("r", 1.0) == 1.0
    for _ in range(10):
        times.observe("r", 5.0, 1.0)
    assert times.expected_s("r", 2.0) == 5.0
    assert times.expected_s("other", 2.0) == 0.0


def test_answers_of_long_ago_and_of_dropped_routes_are_forgotten():
    times = AnswerTimes()
    times.observe("r", 5.0, 0.0)
    assert times.expected_s("r", 59.0) == 5.0
    assert times.expected_s("r", 61.0) == 0.0
    times.observe("r", 5.0, 61.0)
    times.use_routes(["q"])
    assert times.expected_s("r", 62.0) == 0.0
