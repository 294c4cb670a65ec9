"""Which runs are copied, and at which one engine a copied run goes on."""

import itertools

import pytest

from rowanport.gateway.upstream import UpstreamRun
from rowanport.migration import MemoryBook
from rowanport.migration import Migration
from rowanport.migration import MovePolicy
from rowanport.migration import Phase
from rowanport.migration import Place

SOURCE = Place(UpstreamRun("one", 1), "10.0.0.1:80")
TARGET = Place(UpstreamRun("two", 1), "10.0.0.2:80")
# A middle request of deployment 1: 2,392 tokens of 18,432 bytes, 1.2 worth in
# time, about half a second.
SIZE = (568 + 1800 + 24) * 18432
WORTH = 1.2
SECONDS = 0.5
# With this cost of a gigabyte its copy costs .07 of its worth.
COPY_COST = 0.07 * WORTH / (SIZE / 1e9)


def backup():
    return Migration(SOURCE, TARGET, "v1", "r1")


def move():
    return Migration(SOURCE, TARGET, "v1")


# Sums


def test_copies_for_all_runs_do_not_pay_at_usual_failure_rates():
    """Guards against links filled with copies that are worth less."""
    an_hour = MovePolicy(COPY_COST, WORTH, 1 / 3600)
    assert not an_hour.backup_pays(SIZE, SECONDS)


def test_a_copy_pays_once_a_crash_is_more_probable_than_its_price():
    """Guards against a wrong unit in the sums.

    A probability of .07 within half a second is a failure in 6.9 s.
    """
    assert not MovePolicy(COPY_COST, WORTH, 1 / 7.5).backup_pays(SIZE, SECONDS)
    assert MovePolicy(COPY_COST, WORTH, 1 / 6.5).backup_pays(SIZE, SECONDS)


def test_a_run_that_its_engine_will_not_complete_is_moved():
    """Guards against a move being judged by the probability of a crash."""
    policy = MovePolicy(COPY_COST, WORTH, 0.0)
    assert policy.move_pays(SIZE)
    assert not policy.backup_pays(SIZE, SECONDS)


@pytest.mark.parametrize(
    "ends_at, leaves_at, in_time",
    ((10.0, 10.4, False), (10.0, 10.6, True), (None, 99.0, False)),
)
def test_a_run_stays_that_ends_before_its_engine_leaves(
    ends_at, leaves_at, in_time
):
    """Guards against moves for nothing, and ones that begin too late."""
    assert MovePolicy.ends_in_time(ends_at, leaves_at) is in_time
    assert not MovePolicy.ends_in_time(ends_at, None)


def test_nothing_is_copied_by_default():
    """Guards against free copies counting as worth while."""
    policy = MovePolicy(0.0, 0.0, 1.0)
    assert not policy.enabled
    assert not policy.backup_pays(0, 10.0)
    assert not policy.move_pays(0)


# Room


def test_a_copy_is_made_only_where_there_is_room():
    """Guards against copies that crowd out the runs of other routers."""
    book = MemoryBook()
    assert book.has_room("one", 800, 1000, 1)
    assert not book.has_room("one", 801, 1000, 1)
    book.reserve("job", "one", 100)
    assert not book.has_room("one", 200, 1000, 10)
    assert book.has_room("two", 200, 1000, 10)
    book.release("job")
    book.release("job")
    assert book.tokens("one") == 0
    assert book.has_room("one", 200, 1000, 10)


# The protocol


def test_a_backup_is_resumed_where_the_copy_is():
    migration = backup()
    assert migration.place is None
    migration.record_end(closed=True)
    assert migration.place is TARGET
    assert migration.copy_address == TARGET.address
    assert migration.handle == "r1"


def test_a_run_at_a_silent_engine_is_not_resumed():
    """Guards against two runs at once: a silent engine may run it still."""
    migration = backup()
    migration.record_end(closed=False)
    assert migration.phase is Phase.DROPPED


@pytest.mark.parametrize(
    "run, version",
    (
        (UpstreamRun("two", 2), "v1"),
        (UpstreamRun("two", 1), "v2"),
        (UpstreamRun("two", 1), ""),
        (UpstreamRun("one", 1), "v1"),
    ),
)
def test_a_run_goes_on_only_at_its_engine_and_version(run, version):
    """Guards against joined versions, and engines that lost their memory."""
    migration = backup()
    migration.record_end(closed=True)
    assert migration.fits(TARGET.run, "v1")
    assert not migration.fits(run, version)


def test_a_refused_backup_is_dropped():
    migration = backup()
    migration.record_end(closed=True)
    migration.record_refusal()
    assert migration.phase is Phase.DROPPED


def test_a_move_without_a_copy_stops_nothing():
    """Guards against a stopped run that can go on nowhere."""
    assert not move().begin_stop()


def test_a_moved_run_returns_to_the_source_that_stopped():
    migration = move()
    migration.record_copy("h1")
    assert migration.begin_stop()
    migration.record_stop("h2", copied=True)
    migration.record_end(closed=True)
    assert migration.place is TARGET
    assert (migration.copy_address, migration.handle) == (SOURCE.address, "h2")
    migration.record_refusal()
    assert migration.place is SOURCE
    migration.record_refusal()
    assert migration.phase is Phase.DROPPED


def test_a_stop_without_room_at_the_target_returns_at_once():
    migration = move()
    migration.record_copy("h1")
    migration.begin_stop()
    migration.record_stop("h2", copied=False)
    migration.record_end(closed=True)
    assert migration.place is SOURCE


def test_a_source_that_dies_while_it_copies_leaves_the_earlier_copy():
    migration = move()
    migration.record_copy("h1")
    migration.record_end(closed=True)
    assert migration.place is TARGET
    without = move()
    without.record_end(closed=True)
    assert without.phase is Phase.DROPPED


STEPS = {
    "copy": lambda m: m.record_copy("h1"),
    "begin": lambda m: m.begin_stop(),
    "stopped": lambda m: m.record_stop("h2", copied=True),
    "uncopied": lambda m: m.record_stop("h2", copied=False),
    "closed": lambda m: m.record_end(closed=True),
    "silent": lambda m: m.record_end(closed=False),
    "refused": lambda m: m.record_refusal(),
    "complete": lambda m: m.record_complete(),
    "drop": lambda m: m.drop(),
}
DEPTH = 5


def places(migration, steps):
    """Return the Places at which a run was to go on, as they changed."""
    seen = []
    for step in steps:
        ended = migration.ended
        STEPS[step](migration)
        assert not ended or migration.ended, steps
        if migration.place is not (seen[-1] if seen else None):
            seen.append(migration.place)
    return [place for place in seen if place]


@pytest.mark.parametrize("make", (backup, move))
def test_no_order_of_steps_lets_two_engines_run(make):
    """Guards against a second run in any order of messages and failures."""
    for steps in itertools.product(STEPS, repeat=DEPTH):
        order = places(make(), steps)
        assert order in ([], [TARGET], [TARGET, SOURCE], [SOURCE]), steps
        if order:
            stopped = {"stopped", "uncopied"} & {*steps}
            assert "closed" in steps or stopped, steps
        if SOURCE in order:
            assert "begin" in steps, steps
            assert "uncopied" in steps or "refused" in steps, steps
