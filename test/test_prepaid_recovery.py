"""Which reads a start costs, and records that a cheap one misses."""

from test.prepaid_world import ADDRESSES
from test.prepaid_world import SettledFleet
from test.prepaid_world import World

import pytest


def test_only_routers_with_a_record_pay_for_a_read_at_their_start():
    # Of 195 routers nine had one, and each paid for the read.
    fleet = SettledFleet()
    world = fleet.world
    assert world.reads == 0
    for address in fleet.addresses:
        world.kill(address, 1.0)
    world.advance(3.0)
    assert 0 < world.reads <= len(fleet.holders)
    world.close()


@pytest.mark.parametrize("seed", range(6))
def test_a_record_that_an_old_answer_misses_is_recovered_all_the_same(seed):
    world = World(seed, 100000)
    for address in ADDRESSES:
        world.start(address)
    world.advance(3.0)
    world.old_answers = 10.0
    for address in ADDRESSES:
        world.kill(address, 0.5)
    world.advance(12.0)
    assert world.held() > 0
    assert world.taken() - world.held() < 0.15 * 100000
    world.check()
    world.close()
