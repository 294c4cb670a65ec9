"""Requests that run although their answers will be late."""

import pytest

from rowanport.admission import begin_by
from rowanport.admission import LateAnswers
from rowanport.scheduling import Overload

NOW = 100.0


def test_callers_wait_for_the_longest_of_three_times():
    # Half of it is left for the answer to begin.
    assert begin_by(NOW, NOW + 60, 0.3, 0.2) == NOW + 1.0
    assert begin_by(NOW, NOW + 60, 1.0, 0.2) == NOW + 2.0
    assert begin_by(NOW, NOW + 60, 0.3, 0.4) == pytest.approx(NOW + 1.6)


def test_callers_wait_no_longer_than_their_time_limit():
    assert begin_by(NOW, NOW + 1.2, 0.3, 0.2) == pytest.approx(NOW + 0.6)


def test_a_request_that_begins_too_late_for_its_caller_is_not_sent():
    answers = LateAnswers()
    assert answers.accepts(0.9, 0.0, NOW + 1.0, NOW)
    assert not answers.accepts(1.1, 0.0, NOW + 1.0, NOW)


def test_what_arrives_meanwhile_goes_first():
    # Guards against late requests that wait until their callers give up:
    # while all capacity was in demand none of them began.
    answers = LateAnswers()
    assert answers.accepts(0.4, 0.5, NOW + 1.0, NOW)
    assert not answers.accepts(0.4, 0.7, NOW + 1.0, NOW)
    assert not answers.accepts(0.0, 1.0, NOW + 1.0, NOW)


def test_the_wait_of_earlier_late_requests_counts():
    # They yield to more urgent work, so estimates of backlogs are too low.
    answers = LateAnswers()
    for number in range(6):
        answers.record_send(number, NOW)
        answers.record_end(number, NOW + 2.0)
    assert not answers.accepts(0.1, 0.0, NOW + 3.0, NOW + 2.0)
    assert answers.accepts(0.1, 0.0, NOW + 9.0, NOW + 8.0)


def test_a_late_request_that_still_waits_counts():
    # Guards against sends without end while none of them begins.
    answers = LateAnswers()
    answers.record_send("one", NOW)
    assert answers.accepts(0.1, 0.0, NOW + 1.0, NOW)
    assert not answers.accepts(0.1, 0.0, NOW + 3.0, NOW + 2.0)


def test_the_end_of_a_request_counts_once():
    answers = LateAnswers()
    answers.record_send("one", NOW)
    answers.record_end("one", NOW + 1.0)
    known = answers.expected_wait(NOW + 1.0)
    answers.record_end("one", NOW + 9.0)
    answers.record_end("other", NOW + 9.0)
    assert answers.expected_wait(NOW + 1.0) == known


def test_what_cannot_begin_within_half_the_patience_is_late():
    # Also if that is before its objective, as on a short time limit.
    overload = Overload()
    assert overload.late_start([0.5], 1.0, 0, NOW) is None
    assert overload.late_start([0.5], 1.0, 0, NOW, NOW + 0.6) is None
    late = overload.late_start([0.5], 1.0, 0, NOW, NOW + 0.4)
    assert late.due == pytest.approx(0.4)
