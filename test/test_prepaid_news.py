"""News of budgets' records between the routers that draw on them."""

from test.prepaid_world import BUDGET
from test.prepaid_world import SettledFleet

import pytest

from rowanport.prepaid import BudgetRecord
from rowanport.prepaid.batches import BUDGET_PREFIX
from rowanport.schema.messages import BudgetNews


@pytest.mark.parametrize("size", [7, 20])
def test_few_draws_are_refused_as_others_have_drawn(size):
    # Each draw builds on the record that its router saw last.  In turns of
    # several routers that was nearly never the newest one: of the calls that
    # drew, half were refused and made again.
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


def test_news_that_are_not_true_cost_one_call_and_no_token():
    world = SettledFleet(size=4).world
    record = BudgetRecord(taken=0, total=10**9, version=10**6)
    lies = BudgetNews(BUDGET, world.revision + 1000, record.pack())
    noise = BudgetNews(BUDGET, world.revision + 2000, b"\xc1")
    for router in world.routers.values():
        router.keeper.handle(lies)
        router.keeper.handle(noise)
    for number in range(20):
        world.request(f"10.0.1.{number % 4}:1", 9000, 9000, 0.1)
        world.advance(0.3)
        world.check()
    world.advance(3.0)
    stored = BudgetRecord.unpack(world.read(BUDGET_PREFIX + BUDGET).data)
    assert stored.total == 100000
    assert 80000 < world.spent <= 100000
    world.close()


def test_only_the_router_that_lacks_tokens_draws_them_in_a_small_fleet():
    # Each of six that were asked drew what the seventh lacked, and near the
    # end of a budget what was left of it lay where nobody needed it.
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
