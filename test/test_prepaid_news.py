"""Updates of budget records between the routers that draw on them."""

from test.prepaid_world import BUDGET
from test.prepaid_world import SettledFleet

import pytest

from rowanport.prepaid import BudgetRecord
from rowanport.prepaid.batches import BUDGET_PREFIX
from rowanport.schema.messages import BudgetNews


@pytest.mark.parametrize("size", [7, 20])
def test_few_draws_conflict_with_those_of_others(size):
    # Each draw is conditional on the record that its router saw last.  With
    # several routers drawing in turn that was hardly ever the newest one: half
    # of the draws were refused and repeated.
    world = SettledFleet(1000000, size=size).world
    before, conflicts = world.writes, world.conflicts
    for number in range(60):
        world.request(f"10.0.1.{number % size}:1", 4000, 4000, 0.1)
        world.advance(0.2)
    draws = world.writes - before
    refused = world.conflicts - conflicts
    assert world.served == 60
    assert refused < 0.05 * draws, f"{refused} of {draws} writes refused"
    world.check()
    world.close()


def test_false_updates_cost_one_call_and_no_token():
    world = SettledFleet(size=4).world
    record = BudgetRecord(taken=0, total=10**9, version=10**6)
    false_update = BudgetNews(BUDGET, world.revision + 1000, record.pack())
    malformed_update = BudgetNews(BUDGET, world.revision + 2000, b"\xc1")
    for router in world.routers.values():
        router.keeper.handle(false_update)
        router.keeper.handle(malformed_update)
    for number in range(20):
        world.request(f"10.0.1.{number % 4}:1", 9000, 9000, 0.1)
        world.advance(0.3)
        world.check()
    world.advance(3.0)
    stored = BudgetRecord.unpack(world.read(BUDGET_PREFIX + BUDGET).data)
    assert stored.total == 100000
    assert 80000 < world.spent <= 100000
    world.close()


def test_only_the_router_that_lacks_tokens_draws_in_a_small_fleet():
    # Six peers that were asked for a loan each drew the shortfall of the
    # seventh router.  Near the end of a budget its last tokens were then held
    # where no request needed them.
    world = SettledFleet(size=7).world
    one = world.routers["10.0.1.0:1"]
    held = {
        address: router.keeper.accounts[BUDGET].inflow
        for address, router in world.routers.items()
        if router is not one
    }
    world.request("10.0.1.0:1", 30000, 30000, 0.1)
    world.advance(0.3)
    assert world.served == 1
    for address, inflow in held.items():
        account = world.routers[address].keeper.accounts[BUDGET]
        assert account.inflow == inflow
    world.check()
    world.close()
