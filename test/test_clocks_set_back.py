"""Prepaid budgets whose proof of age is wrong.

docs/design/prepaid.md and docs/proofs.md name the one case in which a machine
that lost power gives back too much.
"""

from test.prepaid_world import ADDRESSES
from test.test_prepaid_losses import lose_power
from test.test_prepaid_losses import make_busy_world
from test.test_prepaid_losses import serve

# Seconds for which the store is down before all machines lose power, by which
# limits have expired, and by which all clocks are then set back.
DOWN_SECONDS = 8.0
JUMP = -8.0


def test_no_token_exists_twice_after_all_clocks_are_set_back():
    # Guards against tokens that are used twice: leases wait while the store
    # is down, and the clocks call the last records younger than they are.
    world = make_busy_world(0)
    world.store_down = True
    serve(world, DOWN_SECONDS)
    for address in ADDRESSES:
        world.jumps[address] = JUMP
    world.loop.call_later(1.0, setattr, world, "store_down", False)
    lose_power(world, ADDRESSES, 0.5)
    world.advance(3.0)
    world.check()
    world.close()
