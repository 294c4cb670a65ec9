"""Which upstreams are retained while their entries are missing."""

from rowanport.gateway.expired_entries import EXPIRY_GRACE
from rowanport.gateway.expired_entries import MAX_CALL_SECONDS
from rowanport.gateway.expired_entries import MIN_EXPIRY_OUTAGE
from rowanport.gateway.expired_entries import RetainedUpstreams
from rowanport.gateway.expired_entries import StoreAvailability
from rowanport.gateway.upstream import Upstream
from rowanport.gateway.upstream import UpstreamList
from rowanport.gateway.upstream_delta import ChangeLog
from rowanport.gateway.upstream_delta import NO_LIST
from rowanport.gateway.upstream_delta import UpstreamDelta


def upstream(name, lapsing=False):
    address = "10.0.0.1:80"
    return Upstream(name, "feed", address, "hall-a", 8, False, 0, lapsing)


def by_name(*upstreams):
    return {upstream.id: upstream for upstream in upstreams}


def record_answers(availability, begin, end, pause=0.3):
    """Record an answer of the store every ``pause`` seconds."""
    now = begin
    while now < end:
        availability.record_answer(now)
        now += pause


def test_an_entry_missing_while_the_store_answers_was_removed():
    availability = StoreAvailability()
    record_answers(availability, 10.0, 20.0)
    assert not availability.may_have_expired(20.0)


def test_an_entry_missing_in_an_outage_or_soon_after_may_have_expired():
    availability = StoreAvailability()
    record_answers(availability, 10.0, 20.0)
    back = 20.0 + MIN_EXPIRY_OUTAGE
    assert availability.may_have_expired(back)
    record_answers(availability, back, back + 4.0)
    availability = StoreAvailability()
    record_answers(availability, 10.0, 20.0)
    availability.record_answer(back)
    assert availability.may_have_expired(back + 0.9 * EXPIRY_GRACE)
    later = back + EXPIRY_GRACE + MAX_CALL_SECONDS
    record_answers(availability, back, later)
    assert not availability.may_have_expired(later + 0.1)


def test_calls_sent_in_the_last_second_of_an_outage_do_not_hide_it():
    availability = StoreAvailability()
    record_answers(availability, 10.0, 20.0)
    back = 20.0 + MIN_EXPIRY_OUTAGE
    availability.record_answer(back - 1.0)
    availability.record_answer(back)
    assert availability.may_have_expired(back + 0.1)


def test_merging_an_older_span_changes_nothing():
    availability = StoreAvailability()
    record_answers(availability, 10.0, 20.0)
    availability.record_answer(8.0)
    availability.merge(15.0, 16.0)
    assert (availability.since, availability.until > 19.0) == (10.0, True)


def test_a_cut_off_router_learns_that_there_was_no_outage():
    # Its link was congested: neither the store nor a peer answered.
    availability = StoreAvailability()
    record_answers(availability, 10.0, 20.0)
    availability.record_answer(26.0)
    assert availability.may_have_expired(26.1)
    availability.merge(26.1 - 9.0, 26.1)
    assert not availability.may_have_expired(26.2)


def test_a_peer_that_saw_the_same_outage_does_not_disprove_it():
    availability = StoreAvailability()
    record_answers(availability, 10.0, 20.0)
    availability.record_answer(26.0)
    availability.merge(25.9, 26.1)
    assert availability.may_have_expired(26.2)


def test_a_lapsing_upstream_that_was_dropped_stays_dropped():
    retained = RetainedUpstreams()
    newer = by_name(upstream("one"), upstream("two", lapsing=True))
    taken = retained.apply(newer, by_name(upstream("one")), 10.0)
    assert set(taken) == {"one"}
    assert retained.pop_overdue(10.0 + 2 * EXPIRY_GRACE) == []


def test_a_lapsing_upstream_is_dropped_in_time_however_often_it_is_listed():
    retained = RetainedUpstreams()
    known = by_name(upstream("one"), upstream("two"))
    newer = by_name(upstream("one"), upstream("two", lapsing=True))
    for number in range(5):
        known = retained.apply(newer, known, 10.0 + 0.5 * number)
        assert set(known) == {"one", "two"}
    assert retained.pop_overdue(10.0 + 0.9 * EXPIRY_GRACE) == []
    assert retained.pop_overdue(10.0 + EXPIRY_GRACE) == ["two"]
    assert retained.pop_overdue(10.0 + EXPIRY_GRACE) == []


def test_an_upstream_whose_entry_returns_is_not_dropped():
    retained = RetainedUpstreams()
    known = by_name(upstream("one"))
    known = retained.apply(by_name(upstream("one", lapsing=True)), known, 10.0)
    known = retained.apply(by_name(upstream("one")), known, 11.0)
    assert set(known) == {"one"}
    assert retained.pop_overdue(10.0 + 2 * EXPIRY_GRACE) == []


def test_a_step_of_a_router_is_older_than_the_next_revision():
    stepped = UpstreamList(100, [upstream("one")], step=1)
    assert UpstreamList(100).version < stepped.version
    assert stepped.version < UpstreamList(101).version
    packed = ChangeLog().delta(NO_LIST, stepped).pack()
    read = UpstreamDelta.unpack(packed).apply(UpstreamList())
    assert read.version == stepped.version
    assert read.upstreams == stepped.upstreams
