"""Tables of requests that crash upstreams, and isolation of suspects."""

import random

import pytest

from rowanport.errors import MessageError
from rowanport.gateway.pool import UpstreamState
from rowanport.gateway.upstream import Upstream
from rowanport.schema.messages import CrashSeen
from rowanport.schema.messages import SuspectRow
from rowanport.suspects import InFlightSends
from rowanport.suspects import pack_blocked
from rowanport.suspects import select_isolated
from rowanport.suspects import SuspectRuns
from rowanport.suspects import SuspectTable
from rowanport.suspects import unpack_blocked
from rowanport.suspects.blame import MOST_RUNNING
from rowanport.suspects.blame import STORM_SECONDS
from rowanport.suspects.blame import STORM_SUSPECTS
from rowanport.suspects.blame import TOGETHER_SECONDS
from rowanport.suspects.stored_record import RECORD_LIMIT
from rowanport.suspects.table import CLEARED_SECONDS
from rowanport.suspects.table import CRASH_LIMIT
from rowanport.suspects.table import KEEP_SECONDS
from rowanport.suspects.table import NEWEST_LIMIT
from rowanport.suspects.table import SETTLE_SECONDS
from rowanport.suspects.table import SUSPECT_SECONDS
from rowanport.suspects.table import TABLE_LIMIT

FINGERPRINT = 2**64 - 1
NOW = 100.0
# Seconds between two crashes that do not happen together.
APART_SECONDS = 2 * TOGETHER_SECONDS


@pytest.fixture
def table():
    return SuspectTable("here")


def crash(table, *runs, fingerprint=FINGERPRINT, now=NOW):
    """Record separate crashes of upstreams during a request, the last one now.

    Those that happen together are one event.
    """
    for number, run in enumerate(runs, 1 - len(runs)):
        at = now + number * APART_SECONDS
        table.record_crash(fingerprint, run, now, at)


def rows_of(table, now=NOW):
    return [table.row(suspect, now) for suspect in table.suspects]


# Crashes and answers


def test_three_crashes_block_a_request(table):
    crash(table, "a", "b", now=NOW - 1.0)
    assert not table.is_blocked(FINGERPRINT)
    crash(table, "c")
    assert table.is_blocked(FINGERPRINT)


def test_a_crash_counts_once_however_often_it_is_seen(table):
    crash(table, "a", "a")
    assert table.crash_count(FINGERPRINT) == 1
    assert table.record_crash(FINGERPRINT, "a", NOW) is None


def test_a_complete_answer_clears_a_request(table):
    crash(table, "a", "b")
    assert table.record_success(FINGERPRINT, NOW)
    crash(table, "c")
    assert table.crash_count(FINGERPRINT) == 1
    assert table.record_success(2, NOW) is None


def test_crashes_after_a_complete_answer_count_again(table):
    crash(table, "a")
    table.record_success(FINGERPRINT, NOW)
    crash(table, "b", "c", "d")
    assert table.is_blocked(FINGERPRINT)


def test_a_blocked_request_clears_others_of_its_crashes(table):
    crash(table, "a", "b", "c", fingerprint=1)
    crash(table, "a", "b", fingerprint=2)
    crash(table, "c", "d", fingerprint=3)
    assert not table.clear_bystanders(NOW + SETTLE_SECONDS)
    changed = table.clear_bystanders(NOW + SETTLE_SECONDS + 0.1)
    assert [suspect.fingerprint for suspect in changed] == [2, 3]
    assert table.crash_count(1) == 3
    assert table.crash_count(2) == 0
    assert table.crash_count(3) == 1
    assert not table.clear_bystanders(NOW + SETTLE_SECONDS + 0.2)


def test_a_storm_of_crashes_blocks_nothing(table):
    for number in range(STORM_SUSPECTS):
        crash(table, "a", "b", "c", fingerprint=number, now=NOW + number)
    assert not table.blocked
    assert table.crash_count(1) == 3
    assert not table.clear_bystanders(NOW + 30)
    # A single one after the storm is blocked again.
    late = NOW + STORM_SECONDS + STORM_SUSPECTS
    crash(table, "e", "f", "g", fingerprint=1000, now=late)
    assert table.blocked == {1000}


def test_a_storm_ends_as_its_requests_are_answered(table):
    for number in range(STORM_SUSPECTS):
        crash(table, "a", "b", "c", fingerprint=number)
    for number in range(1, STORM_SUSPECTS):
        table.record_success(number, NOW)
    assert table.blocked == {0}


def test_crashes_of_a_rack_do_not_block_a_popular_request(table):
    # Guards against 400 for a request that ran on three upstreams of a rack,
    # at routers that had not heard of each other's crashes.
    for name in "abc":
        peer = SuspectTable(name)
        peer.record_crash_of(FINGERPRINT, (), name, NOW, NOW)
        for row in rows_of(peer):
            table.merge(row, NOW)
    assert table.crash_count(FINGERPRINT) == 3
    assert not table.blocked


def test_separate_crashes_do_not_block_a_request_that_runs_everywhere(table):
    # Guards against 400 for a request that each crash meets by chance.
    busy = {FINGERPRINT: 6}
    for number, run in enumerate("abcdef"):
        at = NOW + number
        table.record_crash_of(FINGERPRINT, (), run, at, at, (), busy)
    assert table.crash_count(FINGERPRINT) == 1
    assert not table.blocked


def test_crashes_of_a_request_that_runs_apart_block_it(table):
    # Guards against a lethal request that goes on as it began on many
    # upstreams.
    busy = {FINGERPRINT: 6}
    for number, run in enumerate("abcd"):
        table.record_crash_of(FINGERPRINT, (), run, NOW, NOW, (), busy)
    for number, run in enumerate("ef"):
        assert not table.blocked
        at = NOW + 1.0 + number
        table.record_crash_of(FINGERPRINT, (), run, at, at)
    assert table.blocked == {FINGERPRINT}


# Merging


class UndoesClearances(SuspectTable):
    """Faulty table: a merged row can undo clearances."""

    def merge(self, row, now):
        suspect = super().merge(row, now)
        if suspect is not None:
            suspect.cleared &= set(row.cleared)
            suspect.refresh(now)
        return suspect


def merge_at_random(make, seed):
    """Return three tables after random events and merges."""
    draw = random.Random(seed)
    tables = [make(f"r{n}") for n in range(3)]
    messages = []
    for _step in range(30):
        table = draw.choice(tables)
        kind = draw.random()
        if kind < 0.4:
            crash(table, draw.choice("abcde"), fingerprint=draw.randint(1, 2))
        elif kind < 0.55:
            table.record_success(draw.randint(1, 2), NOW)
        else:
            messages += rows_of(table)
        if messages and draw.random() < 0.7:
            # Messages are repeated, reordered and lost.
            draw.choice(tables).merge(draw.choice(messages), NOW)
    for _round in range(2):
        for table in tables:
            for other in tables:
                for row in rows_of(other):
                    table.merge(row, NOW)
    return tables


def differ(tables):
    known = [
        sorted(
            (s.fingerprint, sorted(s.crashes), sorted(s.cleared))
            for s in table.suspects
        )
        for table in tables
    ]
    return known[1:] != known[:-1] or len({t.digest for t in tables}) > 1


def test_tables_converge_whatever_the_order_of_messages():
    for seed in range(300):
        assert not differ(merge_at_random(SuspectTable, seed)), seed


def test_a_table_that_undoes_clearances_does_not_converge():
    assert any(
        differ(merge_at_random(UndoesClearances, s)) for s in range(300)
    )


def test_replication_keeps_the_age_of_crashes(table):
    crash(table, "a")
    other = SuspectTable("there")
    row = table.row(table.get(FINGERPRINT), NOW + 50)
    other.merge(row, NOW + 60)
    assert other.get(FINGERPRINT).crashes == {"a": NOW + 10}
    # The row that comes back is known already.
    assert (
        table.merge(other.row(other.get(FINGERPRINT), NOW + 60), NOW + 60)
        is None
    )


def test_the_source_of_a_crash_is_replicated(table):
    crash(table, "a")
    other = SuspectTable("there")
    other.merge(table.row(table.get(FINGERPRINT), NOW), NOW)
    assert other.get(FINGERPRINT).source == "here"


def test_rows_with_invalid_values_are_bounded(table):
    old = SuspectRow(1, [CrashSeen("a", KEEP_SECONDS)], [], "x", True)
    assert table.merge(old, NOW) is None
    assert table.merge(SuspectRow(1, [], ["a"], "x", True), NOW) is None
    young = SuspectRow(1, [CrashSeen("a", -1e9)], [], "x", False)
    assert table.merge(young, NOW).crashes == {"a": NOW}
    many = [CrashSeen(str(n), 0.0) for n in range(1000)]
    table.merge(SuspectRow(2, many, [], "x", False), NOW)
    assert len(table.get(2).crashes) == CRASH_LIMIT


def test_routers_that_saw_many_crashes_keep_the_same_few():
    tables = [SuspectTable(f"r{n}") for n in range(5)]
    for number, table in enumerate(tables):
        crash(table, *[f"u{number}-{n}" for n in range(CRASH_LIMIT)])
    for _round in range(2):
        for table in tables:
            for other in tables:
                for row in rows_of(other):
                    table.merge(row, NOW)
    assert len(tables[0].get(FINGERPRINT).crashes) == CRASH_LIMIT
    assert not differ(tables)


# Bounds


def test_suspects_expire(table):
    crash(table, "a", fingerprint=1)
    crash(table, "a", "b", "c", fingerprint=2)
    crash(table, "a", fingerprint=3)
    table.record_success(3, NOW)
    table.expire(NOW + CLEARED_SECONDS)
    assert [s.fingerprint for s in table.suspects] == [1, 2]
    table.expire(NOW + SUSPECT_SECONDS)
    assert [s.fingerprint for s in table.suspects] == [2]
    assert [s.fingerprint for s in table.expire(NOW + KEEP_SECONDS)] == [2]
    assert table.digest == 0


def test_a_full_table_keeps_what_is_blocked(table):
    crash(table, "a", "b", "c", fingerprint=1)
    for number in range(2, TABLE_LIMIT + 10):
        crash(table, "a", fingerprint=number)
    assert len(table) == TABLE_LIMIT
    assert table.is_blocked(1)
    assert not table.crash_count(2)


def test_repeated_messages_contain_all_rows(table):
    for number in range(200):
        crash(table, "a", fingerprint=number)
    other = SuspectTable("there")
    for _question in range(20):
        rows = table.next_rows(NOW)
        assert len(rows) <= 2 * NEWEST_LIMIT
        for row in rows:
            other.merge(row, NOW)
    assert other.digest == table.digest


def test_rows_since_contains_recent_changes_only(table):
    crash(table, "a", fingerprint=1)
    crash(table, "a", fingerprint=2, now=NOW + 5)
    (row,) = table.rows_since(NOW, NOW + 5)
    assert row.fingerprint == 2


# Isolation


def state(name):
    record = Upstream(name, "feed", "10.0.0.1:80", "hall-a", 8, False)
    return UpstreamState(record)


def isolated(table, runs, states, fingerprint=FINGERPRINT):
    ids = (fingerprint,)
    chosen = select_isolated(states, ids, table.crash_count, runs, NOW)
    return [one.record.id for one in chosen]


def test_suspects_run_apart_from_each_other(table):
    runs = SuspectRuns()
    states = [state("u1"), state("u2"), state("u3")]
    crash(table, "a", fingerprint=1)
    crash(table, "a", "b", fingerprint=2)
    crash(table, "a")
    runs.add(1, "u1", "there", NOW + 5)
    runs.add(2, "u2", "there", NOW + 5)
    assert isolated(table, runs, states) == ["u3"]
    # If none is free, beside the suspect with fewer crashes.
    assert isolated(table, runs, states[:2]) == ["u1"]


def test_a_suspect_is_not_sent_where_the_same_request_runs(table):
    runs = SuspectRuns()
    crash(table, "a")
    crash(table, "a", "b", fingerprint=2)
    runs.add(FINGERPRINT, "u1", "there", NOW + 5)
    runs.add(2, "u2", "there", NOW + 5)
    assert isolated(table, runs, [state("u1"), state("u2")]) == ["u2"]


def test_a_likely_crash_goes_to_the_least_busy_upstream(table):
    states = [state("u1"), state("u2")]
    states[0].outstanding = 3
    crash(table, "a")
    assert isolated(table, SuspectRuns(), states) == ["u1", "u2"]
    crash(table, "b")
    assert isolated(table, SuspectRuns(), states) == ["u2"]


def test_other_requests_avoid_a_likely_crash(table):
    runs = SuspectRuns()
    states = [state("u1"), state("u2")]
    crash(table, "a", "b", fingerprint=2)
    runs.add(2, "u1", "there", NOW + 5)
    assert isolated(table, runs, states) == ["u2"]
    assert isolated(table, runs, states[:1]) == ["u1"]


def test_a_run_without_an_announced_end_counts_until_its_limit():
    runs = SuspectRuns()
    runs.add(1, "u1", "there", NOW + 5)
    runs.add(1, "u2", "here", NOW + 9)
    assert runs.count(1, NOW) == 2
    assert runs.remove(1, "u2", "here")
    assert not runs.remove(1, "u2", "here")
    assert runs.fingerprints_at("u1", NOW) == [1]
    assert runs.count(1, NOW + 5) == 0
    runs.expire(NOW + 5)
    assert not len(runs)


# Requests in flight


class Job:
    """Stub of a Job."""

    def __init__(self, fingerprint):
        self.fingerprint = fingerprint
        self.suspect_ids = (fingerprint,)


def test_requests_are_tracked_until_they_end():
    sends = InFlightSends()
    run = state("u1").record.run
    first = sends.add(Job(1), run, NOW)
    second = sends.add(Job(2), run, NOW)
    third = sends.add(Job(3), run, NOW)
    sends.remove(first)
    sends.remove(first)
    sends.mark_ended(second, NOW + 1)
    assert sends.first_ended_at("u1") == NOW + 1
    assert sends.runs_that_ended(2) == ["u1"]
    assert sends.sends_of(3) == [third]
    assert sends.collect_all("u1") == [second, third]
    assert not sends.runs_that_ended(2)


def test_requests_that_ended_long_ago_do_not_count():
    sends = InFlightSends()
    run = state("u1").record.run
    sends.mark_ended(sends.add(Job(1), run, NOW), NOW)
    sends.mark_ended(sends.add(Job(2), run, NOW), NOW + 10)
    assert [f.job.fingerprint for f in sends.collect_all("u1")] == [2]


# The stored record


def test_the_record_restores_blocked_requests(table):
    crash(table, "a", "b", "c")
    data = pack_blocked(rows_of(table), 5000.0)
    (row,) = unpack_blocked(data, 5010.0)
    other = SuspectTable("there")
    other.merge(row, NOW)
    assert other.is_blocked(FINGERPRINT)
    assert other.get(FINGERPRINT).stored
    assert other.get(FINGERPRINT).crashes["c"] == NOW - 10.0
    first = NOW - 10.0 - 2 * APART_SECONDS
    assert other.get(FINGERPRINT).crashes["a"] == pytest.approx(first)
    assert unpack_blocked(data, 5000.0 + KEEP_SECONDS) == []


def test_a_wall_clock_set_back_loses_nothing(table):
    crash(table, "a", "b", "c")
    (row,) = unpack_blocked(pack_blocked(rows_of(table), 5000.0), 4000.0)
    ages = [0.0, APART_SECONDS, 2 * APART_SECONDS]
    assert sorted(c.age for c in row.crashes) == pytest.approx(ages)
    other = SuspectTable("there")
    other.merge(row, NOW)
    assert other.is_blocked(FINGERPRINT)


def test_crashes_that_do_not_count_are_not_stored(table):
    # Guards against a request that is blocked for more after a restart than
    # before it.
    table.record_crash_of(FINGERPRINT, (), "a", NOW, NOW - 3.0)
    busy = {FINGERPRINT: MOST_RUNNING}
    table.record_crash_of(FINGERPRINT, (), "b", NOW, NOW - 2.0, (), busy)
    crash(table, "c", "d")
    assert table.is_blocked(FINGERPRINT)
    (row,) = unpack_blocked(pack_blocked(rows_of(table), 5000.0), 5000.0)
    assert {crash.upstream for crash in row.crashes} == {"a", "c", "d"}


def test_the_record_is_bounded(table):
    for number in range(RECORD_LIMIT + 5):
        crash(table, "a", "b", "c", fingerprint=number)
    rows = unpack_blocked(pack_blocked(rows_of(table), 0.0), 0.0)
    assert len(rows) == RECORD_LIMIT
    assert rows[-1].fingerprint == RECORD_LIMIT + 4


@pytest.mark.parametrize(
    "data", [b"\xc1", b"\x01", b"\x91\x01", b"\x91\x92\x01\x91\x01", b"text"]
)
def test_malformed_records_are_an_error(data):
    with pytest.raises(MessageError):
        unpack_blocked(data, 0.0)


def test_an_empty_record_blocks_nothing():
    assert unpack_blocked(b"", 0.0) == []
