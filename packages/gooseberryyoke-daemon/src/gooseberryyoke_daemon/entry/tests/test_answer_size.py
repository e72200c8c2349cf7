from gooseberryyoke_daemon.entry.answer_size import AnswerSizes


def test_wide_limit_is_not_taken_for_the_length():
    """
    A request with a wide limit on tokens is admitted.

    Answers of the class have had ten tokens; the caller allows 4,096. With the
    limit as length the answer would be predicted minutes late and refused.
    """
    sizes = AnswerSizes()
    for _ in range(20):
        sizes.learn("draw", 10)
    assert sizes.expected("draw", 4096) == 10
    assert sizes.expected("draw", 3) == 3
    assert sizes.expected("unseen", None) == 64
