"""Runs that are on no bill, of docs/proofs.md, "Not proved"."""

from test.test_ledger import add_cell
from test.test_ledger import BUDGET
from test.world import World

import pytest


def check_billed(world, seconds=60.0):
    """Check that what was served is on bills once all is settled."""
    world.advance(seconds)
    assert world.served[BUDGET] > 0
    assert world.spent == world.served
    world.check()


def test_a_run_at_a_recovered_home_is_billed_if_its_entry_dies():
    # Guards against a run on no bill, as a home that others recovered while
    # it lives forgets its reservations.
    world = World(seed=1)
    try:
        home, entry, _other = add_cell(world, "north", 3)
        add_cell(world, "south", 2)
        world.add_budget(BUDGET, 1000)
        world.advance(3.0)
        world.request(entry, "request", BUDGET, 50, 15.0)
        world.advance(1.0)
        world.suspected.add(home.incarnation)
        world.advance(8.0)
        world.heal()
        world.advance(1.0)
        assert not world.served[BUDGET]
        world.kill(entry)
        check_billed(world)
    finally:
        world.close()


def test_a_run_without_a_witness_is_billed_if_its_router_dies():
    # Guards against a run on no bill, as its router found no witness within
    # the second before it was killed.
    world = World(seed=1)
    try:
        home, witness = add_cell(world, "north", 2)
        (other,) = add_cell(world, "south", 1)
        world.add_budget(BUDGET, 1000)
        world.advance(3.0)
        world.frozen.update((witness.address, other.address))
        world.request(home, "request", BUDGET, 50, 4.0)
        world.advance(2.5)
        assert world.runs
        world.kill(home)
        world.heal()
        check_billed(world)
    finally:
        world.close()


def test_a_run_is_billed_if_its_home_and_witness_die_together():
    # Guards against a run on no bill after two kills within a second, while
    # routers of another cell live.
    world = World(seed=1)
    try:
        home, witness = add_cell(world, "north", 2)
        add_cell(world, "south", 2)
        world.add_budget(BUDGET, 1000)
        world.advance(3.0)
        world.request(home, "request", BUDGET, 50, 4.0)
        world.advance(1.0)
        assert world.runs
        world.kill(home)
        world.advance(0.3)
        world.kill(witness)
        check_billed(world)
    finally:
        world.close()


def test_what_an_engine_served_before_it_crashed_is_debited():
    # Guards against served tokens that are given back: an engine that lost
    # its list of runs within 8 s of a start is taken to have served nothing.
    world = World(seed=1)
    try:
        _home, entry = add_cell(world, "north", 2)
        world.add_budget(BUDGET, 1000)
        world.advance(3.0)
        world.request(entry, "request", BUDGET, 50, 0.5)
        world.advance(0.3)
        world.kill(entry)
        world.advance(0.5)
        # The engine restarts and knows no run.
        world.runs.clear()
        check_billed(world)
    finally:
        world.close()


@pytest.mark.parametrize("offset", (-700.0, -100.0, 100.0))
def test_a_run_at_a_router_with_a_wrong_clock_is_billed(offset):
    # Guards against a run on no bill, as its home takes the deadline that its
    # router reckons for one that has passed.
    world = World(seed=1)
    try:
        home, entry, _other = add_cell(world, "north", 3)
        world.add_budget(BUDGET, 1000)
        for part in (entry.client, entry.keeper):
            part._clock.offset = offset
        world.advance(3.0)
        deadline = world.loop.now + offset + 30.0
        asked = entry.client.reserve("request", BUDGET, 50, deadline)
        asked = world.spawn(entry.address, asked)
        world.advance(0.5)
        running = world.run_reserved(entry, asked.result(), None, 4.0)
        world.spawn(entry.address, running)
        world.advance(60.0)
        assert world.served[BUDGET] > 0
        assert world.record.budgets[BUDGET].settled == world.served[BUDGET]
        assert list(world.record.bills) == ["request"]
        world.check()
    finally:
        world.close()
