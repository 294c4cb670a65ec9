"""Which upstreams are kept though their entries are gone."""

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


def heard_each(contact, begin, end, pause=0.3):
    """Let the store answer now and then for some time."""
    now = begin
    while now < end:
        contact.record_answer(now)
        now += pause


def test_what_goes_while_the_store_answers_others_was_removed():
    contact = StoreAvailability()
    heard_each(contact, 10.0, 20.0)
    assert not contact.may_have_expired(20.0)


def test_what_goes_in_an_outage_for_all_or_soon_after_may_have_lapsed():
    contact = StoreAvailability()
    heard_each(contact, 10.0, 20.0)
    back = 20.0 + MIN_EXPIRY_OUTAGE
    assert contact.may_have_expired(back)
    heard_each(contact, back, back + 4.0)
    contact = StoreAvailability()
    heard_each(contact, 10.0, 20.0)
    contact.record_answer(back)
    assert contact.may_have_expired(back + 0.9 * EXPIRY_GRACE)
    later = back + EXPIRY_GRACE + MAX_CALL_SECONDS
    heard_each(contact, back, later)
    assert not contact.may_have_expired(later + 0.1)


def test_answers_to_calls_of_an_outages_last_second_hide_no_outage():
    contact = StoreAvailability()
    heard_each(contact, 10.0, 20.0)
    back = 20.0 + MIN_EXPIRY_OUTAGE
    contact.record_answer(back - 1.0)
    contact.record_answer(back)
    assert contact.may_have_expired(back + 0.1)


def test_older_news_of_the_store_change_nothing():
    contact = StoreAvailability()
    heard_each(contact, 10.0, 20.0)
    contact.record_answer(8.0)
    contact.merge(15.0, 16.0)
    assert (contact.since, contact.until > 19.0) == (10.0, True)


def test_who_heard_of_nobody_learns_that_there_was_no_outage():
    # A router on a full link: neither the store nor a peer answered it.
    contact = StoreAvailability()
    heard_each(contact, 10.0, 20.0)
    contact.record_answer(26.0)
    assert contact.may_have_expired(26.1)
    contact.merge(26.1 - 9.0, 26.1)
    assert not contact.may_have_expired(26.2)


def test_a_peer_that_heard_of_the_same_outage_disproves_nothing():
    contact = StoreAvailability()
    heard_each(contact, 10.0, 20.0)
    contact.record_answer(26.0)
    contact.merge(25.9, 26.1)
    assert contact.may_have_expired(26.2)


def test_a_guess_brings_nothing_back():
    retained = RetainedUpstreams()
    newer = by_name(upstream("one"), upstream("two", lapsing=True))
    taken = retained.apply(newer, by_name(upstream("one")), 10.0)
    assert set(taken) == {"one"}
    assert retained.pop_overdue(10.0 + 2 * EXPIRY_GRACE) == []


def test_a_guess_ends_by_itself_however_often_it_is_heard():
    retained = RetainedUpstreams()
    known = by_name(upstream("one"), upstream("two"))
    newer = by_name(upstream("one"), upstream("two", lapsing=True))
    for number in range(5):
        known = retained.apply(newer, known, 10.0 + 0.5 * number)
        assert set(known) == {"one", "two"}
    assert retained.pop_overdue(10.0 + 0.9 * EXPIRY_GRACE) == []
    assert retained.pop_overdue(10.0 + EXPIRY_GRACE) == ["two"]
    assert retained.pop_overdue(10.0 + EXPIRY_GRACE) == []


def test_an_entry_that_is_back_is_no_guess_any_more():
    retained = RetainedUpstreams()
    known = by_name(upstream("one"))
    known = retained.apply(by_name(upstream("one", lapsing=True)), known, 10.0)
    known = retained.apply(by_name(upstream("one")), known, 11.0)
    assert set(known) == {"one"}
    assert retained.pop_overdue(10.0 + 2 * EXPIRY_GRACE) == []


def test_what_a_router_concludes_is_older_than_the_stores_next_word():
    concluded = UpstreamList(100, [upstream("one")], step=1)
    assert UpstreamList(100).version < concluded.version
    assert concluded.version < UpstreamList(101).version
    packed = ChangeLog().delta(NO_LIST, concluded).pack()
    read = UpstreamDelta.unpack(packed).apply(UpstreamList())
    assert read.version == concluded.version
    assert read.upstreams == concluded.upstreams
