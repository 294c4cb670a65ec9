"""The age of a router's view of the fleet, and when it is stale."""

import math

import pytest

from rowanport.gateway.freshness import AGE_LIMIT
from rowanport.gateway.freshness import AGING_THRESHOLD
from rowanport.gateway.freshness import CONTACT_LIMIT
from rowanport.gateway.freshness import Freshness
from rowanport.gateway.freshness import ViewAge
from rowanport.gateway.freshness import WatchAge

# Seconds after a change in the store by which no new request may reach an
# upstream that leaves.
DRAIN_SECONDS = 3.0


def polled(round_trip, seconds, peer_age=lambda now: 0.2, pause=0.25):
    """Return a ViewAge after polls that were answered for some time.

    :param round_trip: seconds from each poll to its answer
    :param seconds: how long peers are polled
    :param peer_age: function from a time to the age of the peers' own views
    :param pause: seconds between two polls
    """
    age = ViewAge()
    number = 0
    while (sent_at := pause * number) + round_trip <= seconds:
        number += 1
        age.record_contact(sent_at)
        arrives = sent_at + round_trip
        age.confirm(sent_at - peer_age(arrives), "peer")
    return age


def test_the_age_counts_from_the_query_plus_the_age_of_the_peers_view():
    age = ViewAge()
    age.confirm(10.0 - 0.3, "peer")
    assert math.isclose(age.age(10.5), 0.8)
    assert age.source == "peer"


def test_a_late_older_answer_does_not_make_the_view_fresher():
    age = ViewAge()
    age.confirm(10.0, "fast")
    age.confirm(9.0, "slow")
    assert (age.known_until, age.source) == (10.0, "fast")


def test_a_view_that_was_never_confirmed_is_stale():
    assert ViewAge().freshness(1000.0) is Freshness.STALE


def test_prompt_answers_keep_a_view_confirmed():
    age = polled(0.01, 20.0)
    assert age.freshness(20.0) is Freshness.CONFIRMED
    assert not age.is_aging(20.0)


def test_unanswered_queries_and_a_lost_store_are_told_apart():
    age = polled(0.01, 20.0)
    assert age.is_aging(20.0 + AGING_THRESHOLD)
    assert age.freshness(20.0 + AGE_LIMIT) is Freshness.STALE
    lost_at = 10.0
    age = polled(0.01, 20.0, lambda now: max(0.2, now - lost_at))
    assert age.age(20.0) > DRAIN_SECONDS
    assert age.freshness(20.0) is Freshness.LATEST_KNOWN


def test_late_answers_are_not_taken_for_a_store_outage():
    # Each answer reports no newer version, but as of seconds ago.
    for tenths in range(10, 40):
        round_trip = tenths / 10
        age = polled(round_trip, 60.0)
        assert age.freshness(60.0) is not Freshness.LATEST_KNOWN, round_trip
        if round_trip > AGE_LIMIT:
            assert age.freshness(60.0) is Freshness.STALE, round_trip


def test_a_request_gets_there_in_time_however_slow_the_link_is():
    # The request may take as long as a query and its answer.
    for tenths in range(1, 40):
        round_trip = tenths / 10
        age = polled(round_trip, 60.0)
        for moment in range(25):
            now = 60.0 + moment / 10
            if age.freshness(now) is Freshness.CONFIRMED:
                arrives = now + round_trip - age.known_until
                assert arrives <= DRAIN_SECONDS, (round_trip, now)


@pytest.mark.parametrize("inward", (0.0, 1.0))
def test_a_request_gets_there_in_time_while_the_link_fills_up(inward):
    # The delay of outgoing bytes grows by a second each second, as may that of
    # incoming bytes.
    pause = 0.25
    for begin in (0.0, 0.05, 0.1, 0.2):
        age = ViewAge()
        answers = []
        for number in range(60):
            sent_at = begin + pause * number
            reached = sent_at + sent_at
            answers.append((reached + inward * reached, sent_at))
        for moment in range(100):
            now = moment / 20
            for arrives, sent_at in answers:
                if arrives <= now:
                    age.record_contact(sent_at)
                    age.confirm(sent_at - 0.2, "peer")
            if age.freshness(now) is Freshness.CONFIRMED:
                reaches_upstream = now + now
                assert reaches_upstream - age.known_until <= DRAIN_SECONDS


def test_prompt_answers_keep_a_view_usable_for_a_limited_time():
    age = polled(0.01, 20.0, lambda now: now)
    last = age.contact_at
    assert age.freshness(last + CONTACT_LIMIT) is Freshness.LATEST_KNOWN
    assert age.freshness(last + CONTACT_LIMIT + 0.01) is Freshness.STALE


def test_a_watch_confirms_nothing_until_a_later_call_is_answered():
    watch = WatchAge()
    watch.record_read(10.0)
    watch.begin(11.0)
    assert watch.known_until(10.9) == 10.0
    assert watch.known_until(11.5) == 11.5


def test_an_answered_watch_confirms_nothing_until_the_next_one():
    watch = WatchAge()
    watch.record_read(10.0)
    watch.begin(11.0)
    watch.complete(contact_at=12.0)
    assert watch.known_until(15.0) == 12.0
    watch.begin(16.0)
    watch.abort(contact_at=13.0)
    assert watch.known_until(99.0) == 12.0


def test_an_answer_to_a_watch_confirms_the_time_of_its_sending():
    watch = WatchAge()
    watch.begin(11.0)
    watch.complete(contact_at=3.0)
    assert watch.known_until(3.0) == 11.0


def test_a_reset_watch_confirms_nothing():
    watch = WatchAge()
    watch.record_read(10.0)
    watch.begin(11.0)
    watch.reset()
    assert watch.known_until(20.0) == -math.inf
