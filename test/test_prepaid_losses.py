"""What losses of power cost: tokens that nobody can account for."""

from test.prepaid_world import ADDRESSES
from test.prepaid_world import World

TOTAL = 1_000_000
# Tokens of a request, and seconds between two of them: a budget that lasts
# for 50 s.
REQUEST = 1000
REQUEST_GAP = 0.05
SEEDS = range(4)


def make_busy_world(seed):
    """Return a world whose routers have served for some seconds."""
    world = World(seed, TOTAL)
    for address in ADDRESSES:
        world.start(address)
    world.advance(3.0)
    serve(world, 8.0)
    return world


def serve(world, seconds):
    """Let requests come to the routers in turn."""
    for number in range(int(seconds / REQUEST_GAP)):
        address = ADDRESSES[number % len(ADDRESSES)]
        world.request(address, REQUEST, REQUEST, 0.3)
        world.advance(REQUEST_GAP)


def lose_power(world, addresses, down):
    """Let some machines lose power; return once they are back."""
    for address in addresses:
        world.kill(address, down, power=True)
    world.advance(down + 0.5)


def lost(world):
    """Return the part of the budget that is in no place any more."""
    used = world.spent + world.under_way()
    return (world.taken() - world.held() - used) / world.total


def worst_loss(addresses, down):
    """Return the part of the budget that two losses of power cost at most."""
    return max(lose_power_twice(seed, addresses, down) for seed in SEEDS)


def lose_power_twice(seed, addresses, down):
    """Return the part of the budget that two losses of power cost."""
    world = make_busy_world(seed)
    lose_power(world, addresses, down)
    serve(world, 8.0)
    lose_power(world, addresses, down)
    world.advance(5.0)
    world.check()
    part = lost(world)
    world.close()
    return part


def test_two_losses_of_all_power_cost_less_than_a_twentieth():
    # After the third return from a loss of power in one day callers were
    # served for four seconds and then refused for want of tokens, 101 of 131
    # of them 12 s after the return, while every router held none and the store
    # had none left.  What a router may have let go since its last record was
    # lost, and that grew from the record on, also while the machine was dark:
    # for 2 s where the clocks said 1.4 to 1.9.  The next runs' accounts showed
    # it: of 4,557,796 tokens 673,863 were "let_go" (by three losses), nearly
    # none of them used, 0 stranded, 590,611 "under_way".
    costs = {down: worst_loss(ADDRESSES, down) for down in (0.5, 1.2)}
    assert max(costs.values()) < 0.05, costs


def test_machines_that_were_dark_for_seconds_get_most_of_it_back():
    # Routers that came back after 4 or 5 s without power got nothing of what
    # they had held: their next runs logged "tokens_stranded", "age": null,
    # "wall_age": 5.0 to 5.4; 11 in 100 of all budgets were gone so (474,225 of
    # 4,431,165 "stranded").  Limits bound for 2.6 s and leases spanned no
    # more, so that beyond it nothing was known of what had gone out.
    world = make_busy_world(0)
    held_each = world.held() / len(ADDRESSES) / world.total
    world.close()
    for count in (2, 4):
        # Two losses, and half of what was held each time.
        most = count * held_each
        for down in (2.0, 4.0, 5.0):
            assert worst_loss(ADDRESSES[:count], down) < most, (count, down)
