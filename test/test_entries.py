"""Entries of upstreams: what names one to use, and which run it is."""

import asyncio
import json
from test.test_choice import FakeClock
from test.test_choice import FakePeers
from test.test_choice import FakeRouter
from test.test_choice import make_job
from test.test_silence import UPSTREAM
from test.test_sources import NAMES
from test.test_sources import on_follower

import pytest

from rowanport.errors import MessageError
from rowanport.gateway.upstream import Upstream
from rowanport.gateway.upstream import UpstreamList
from rowanport.gateway.upstream_delta import ChangeLog
from rowanport.gateway.upstream_delta import NO_LIST
from rowanport.gateway.upstream_delta import UpstreamDelta
from rowanport.platform.entries import decode_entry
from rowanport.platform.entries import ENTRY_LIMIT
from rowanport.platform.entries import EntryBook
from rowanport.platform.entries import OBJECTION_SECONDS

# Longest time in seconds from a write to the lists of a router that follows.
KNOWN_SECONDS = 0.5
HUGE = json.dumps({**UPSTREAM, "pad": "x" * ENTRY_LIMIT}).encode()
UNFIT_BYTES = (
    b"",
    b"not json",
    b"\xff\xfe\x00",
    b"null",
    b"[]",
    b"7",
    b'"text"',
    b"[" * 5000,
    HUGE,
)
# An upstream that does not say whether it is cold is used all the same.
NEEDED_FIELDS = [field for field in UPSTREAM if field != "cold_left_ms"]
UNFIT_FIELDS = (
    ("service", None),
    ("service", 7),
    ("address", None),
    ("address", 80),
    ("address", "10.9.0.1"),
    ("address", ":80"),
    ("address", "10.9.0.1:http"),
    ("address", "10.9.0.1:0"),
    ("address", "10.9.0.1:70000"),
    ("zone", None),
    ("zone", ["hall-a"]),
    ("version", 1),
    ("slots", "8"),
    ("slots", 0),
    ("slots", True),
    ("slots", 1.5),
    ("state", None),
    ("state", "gone"),
    ("state", "READY"),
    ("state", True),
    ("seq_num", "1"),
    ("born", "1700000000000"),
    ("born", 1700000000000.5),
    ("born", None),
    ("born", True),
)


def encode(**fields):
    """Return the bytes of an entry with some fields changed."""
    return json.dumps({**UPSTREAM, **fields}).encode()


@pytest.mark.parametrize("data", UNFIT_BYTES, ids=range(len(UNFIT_BYTES)))
def test_bytes_that_are_no_entry_name_no_upstream(data):
    with pytest.raises(MessageError):
        decode_entry("one", data)


@pytest.mark.parametrize("field, value", UNFIT_FIELDS)
def test_a_field_of_another_type_names_no_upstream(field, value):
    with pytest.raises(MessageError, match=field):
        decode_entry("one", encode(**{field: value}))


@pytest.mark.parametrize("field", NEEDED_FIELDS)
def test_a_missing_field_names_no_upstream(field):
    row = {name: UPSTREAM[name] for name in UPSTREAM if name != field}
    with pytest.raises(MessageError, match=field):
        decode_entry("one", json.dumps(row).encode())


def test_a_whole_entry_names_its_upstream_and_run():
    upstream = decode_entry("one", encode(born=12, more="unknown")).upstream
    assert (upstream.id, upstream.born, upstream.leaving) == ("one", 12, False)
    assert decode_entry("one", encode()).upstream.born == 0


def test_a_list_of_an_older_router_still_unpacks():
    old = UpstreamList(3, [Upstream("one", "s", "a:1", "z", 1, False)])
    assert _passed_on(old).upstreams == old.upstreams


# Which run is in force


def entry(**fields):
    return decode_entry("one", encode(**fields))


def test_a_beat_of_the_same_run_that_comes_late_is_passed_over():
    # It would call an upstream ready that leaves.
    book = EntryBook()
    assert book.take(entry(born=5, seq_num=7), 0.0)
    assert book.take(entry(born=5, seq_num=8, state="draining"), 0.1)
    assert not book.take(entry(born=5, seq_num=7), 0.2)
    assert book.take(entry(born=5, seq_num=9, state="draining"), 0.3)
    assert book.settle(100.0) == []


def test_a_newer_run_is_in_force_at_once():
    book = EntryBook()
    assert book.take(entry(born=5, seq_num=700), 0.0)
    assert book.take(entry(born=6, seq_num=1), 0.1)
    assert not book.take(entry(born=5, seq_num=701), 0.2)


def test_an_older_run_is_in_force_where_the_newest_one_is_silent():
    # Its clock may have gone back before it started again.
    book = EntryBook()
    assert book.take(entry(born=5, seq_num=700), 0.0)
    assert not book.take(entry(born=4, seq_num=1), 1.0)
    assert not book.take(entry(born=4, seq_num=2), 2.0)
    assert book.settle(1.0 + OBJECTION_SECONDS - 0.1) == []
    (settled,) = book.settle(1.0 + OBJECTION_SECONDS)
    assert settled.upstream.born == 4
    assert book.settle(100.0) == []
    assert book.take(entry(born=4, seq_num=3), 101.0)


def test_a_late_write_of_an_older_run_is_dropped_at_the_newest_ones_word():
    book = EntryBook()
    assert book.take(entry(born=5, seq_num=700), 0.0)
    assert not book.take(entry(born=4, seq_num=9), 1.0)
    assert book.take(entry(born=5, seq_num=701), 2.0)
    assert book.settle(100.0) == []


def test_an_upstream_that_is_gone_begins_anew():
    book = EntryBook()
    assert book.take(entry(born=5, seq_num=7), 0.0)
    book.forget("one")
    assert book.take(entry(born=4, seq_num=1), 0.1)


def test_only_upstreams_that_are_there_are_remembered():
    book = EntryBook()
    assert book.take(entry(born=5, seq_num=7), 0.0)
    book.keep({"one"})
    assert not book.take(entry(born=4, seq_num=1), 0.1)
    book.keep({"two"})
    assert book.take(entry(born=4, seq_num=1), 0.2)
    assert book.settle(100.0) == []


# At a router that follows the store


@on_follower
async def test_an_unfit_entry_takes_its_upstream_out_and_no_other(follower):
    for data in (*UNFIT_BYTES, encode(state="odd"), encode(slots="8")):
        await follower.standin.put("servers/two", data)
        await asyncio.sleep(KNOWN_SECONDS)
        assert follower.known == set(NAMES) - {"two"}, data[:40]
        await follower.standin.put("servers/two", UPSTREAM)
        await asyncio.sleep(KNOWN_SECONDS)
        assert follower.known == set(NAMES)


@on_follower
async def test_an_unfit_entry_that_was_there_before_names_nothing(follower):
    await follower.standin.put("servers/odd", b"\xff")
    await follower.standin.remove("servers/one")
    await asyncio.sleep(KNOWN_SECONDS)
    assert follower.known == set(NAMES) - {"one"}


@on_follower
async def test_a_restart_under_the_same_id_has_its_new_address(follower):
    await follower.standin.put("servers/two", {**UPSTREAM, "born": 5})
    again = {**UPSTREAM, "born": 6, "address": "10.9.0.7:81"}
    await follower.standin.put("servers/two", again)
    await asyncio.sleep(KNOWN_SECONDS)
    two = follower.views.upstreams.upstreams["two"]
    assert (two.born, two.address) == (6, "10.9.0.7:81")


@on_follower
async def test_a_late_beat_does_not_call_a_leaving_upstream_ready(follower):
    late = {**UPSTREAM, "born": 5, "seq_num": 3}
    leaving = {**late, "seq_num": 4, "state": "draining"}
    for fields in (late, leaving, late):
        await follower.standin.put("servers/two", fields)
        await asyncio.sleep(KNOWN_SECONDS)
    assert follower.views.upstreams.upstreams["two"].leaving


@on_follower
async def test_a_restart_with_a_clock_that_went_back_is_known_soon(follower):
    before = {**UPSTREAM, "born": 9, "seq_num": 50}
    again = {**UPSTREAM, "born": 5, "seq_num": 1, "address": "10.9.0.7:81"}
    await follower.standin.put("servers/two", before)
    await asyncio.sleep(KNOWN_SECONDS)
    await follower.standin.put("servers/two", again)
    await asyncio.sleep(OBJECTION_SECONDS + KNOWN_SECONDS)
    two = follower.views.upstreams.upstreams["two"]
    assert (two.born, two.address) == (5, "10.9.0.7:81")


@on_follower
async def test_what_is_in_doubt_does_not_outlive_its_entry(follower):
    before = {**UPSTREAM, "born": 9, "seq_num": 50}
    late = {**UPSTREAM, "born": 5, "seq_num": 1}
    for end in (b"unfit", None):
        await follower.standin.put("servers/two", before)
        await asyncio.sleep(KNOWN_SECONDS)
        await follower.standin.put("servers/two", late)
        await asyncio.sleep(KNOWN_SECONDS)
        if end is None:
            await follower.standin.remove("servers/two")
        else:
            await follower.standin.put("servers/two", end)
        await asyncio.sleep(OBJECTION_SECONDS + KNOWN_SECONDS)
        assert follower.known == set(NAMES) - {"two"}


# What a router knows of a run


def restart(router, name, born):
    """Let a FakeRouter hear that an engine started again."""
    records = {
        state.record.id: state.record for state in router.pool._states.values()
    }
    old = records[name]
    records[name] = Upstream(
        name, old.service, "10.0.0.9:9", old.data_centre, 64, False, born
    )
    for one in router.pool.update(records):
        router.prefixes.remove_engine(one)


def test_a_run_that_began_anew_has_no_past():
    router = FakeRouter(FakeClock(), FakePeers(), "a")
    job = make_job()
    name = router.send(job)
    state = router.pool.get(name)
    state.record_failure(router.clock.now, weight=2)
    state.outstanding = 3
    restart(router, name, born=7)
    fresh = router.pool.get(name)
    assert fresh is not state
    assert (fresh.outstanding, fresh.failures, fresh.ejected_until) == (
        0,
        0,
        0,
    )
    assert fresh.backlog.tokens(router.clock.now) == 0
    assert name not in router.prefixes.engines_with(
        job.prefix, router.clock.now
    )
    assert fresh.record.address == "10.0.0.9:9"


def test_a_run_that_only_changed_keeps_its_past():
    router = FakeRouter(FakeClock(), FakePeers(), "a")
    name = router.send(make_job())
    state = router.pool.get(name)
    restart(router, name, born=0)
    assert router.pool.get(name) is state


def test_an_upstream_of_a_service_that_nobody_named_gets_nothing():
    router = FakeRouter(FakeClock(), FakePeers(), "a")
    odd = Upstream("odd", "unheard", "10.0.0.9:9", "hall-0", 64, False)
    records = {s.record.id: s.record for s in router.pool._states.values()}
    router.pool.update({**records, "odd": odd})
    names = {s.record.id for s in router.pool.candidates("llm", (), 0.0)}
    assert names == set(records)


def test_a_request_may_meet_the_next_run_of_an_upstream_it_tried():
    router = FakeRouter(FakeClock(), FakePeers(), "a")
    tried = {state.record.run for state in router.pool._states.values()}
    assert router.pool.candidates("llm", tried, 0.0) == []
    restart(router, "e2", born=7)
    (state,) = router.pool.candidates("llm", tried, 0.0)
    assert state.record.id == "e2"


def _passed_on(upstreams):
    """Return an UpstreamList as a peer reads it."""
    packed = ChangeLog().delta(NO_LIST, upstreams).pack()
    return UpstreamDelta.unpack(packed).apply(UpstreamList())
