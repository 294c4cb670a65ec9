"""Budgets that are spent are called so, also by routers that only borrow.

What happened: two budgets of a fleet of 23 were used up but for 676 and 14,176
tokens.  Four routers draw on a budget; the others had served most requests and
told nobody how much these had used.  So nobody could tell a budget that is
spent from one that lacks tokens for now, and 419 requests in 20 s were refused
with the word to come back.
"""

from test.prepaid_world import BUDGET
from test.prepaid_world import refusal
from test.prepaid_world import SettledFleet

import pytest

from rowanport.errors import ErrorKind


def use(world, address, tokens):
    """Let a request use some tokens, surely."""
    keeper = world.routers[address].keeper
    world.loop.run_until_complete(keeper.reserve(BUDGET, tokens))
    keeper.settle(BUDGET, tokens, tokens, tokens)
    world.spent += tokens


@pytest.mark.parametrize("seed", range(4))
def test_a_spent_budget_is_called_so_by_those_that_only_borrow(seed):
    fleet = SettledFleet(seed=seed)
    world, borrowers = fleet.world, fleet.borrowers
    for number in range(19):
        use(world, borrowers[number % len(borrowers)], 5000)
        world.advance(0.5)
    world.advance(3.0)
    kinds = []
    for address in borrowers * 3:
        kinds.append(refusal(world, address, 9000).kind)
        world.advance(0.5)
    spent = kinds.count(ErrorKind.BUDGET_SPENT)
    assert spent > 0.7 * len(kinds), f"{spent} of {len(kinds)}"
    # Nobody says so of what is left.
    world.advance(2.0)
    use(world, borrowers[0], 1000)
    world.check()
    world.close()


@pytest.mark.parametrize("seed", range(4))
def test_no_more_is_called_spent_than_was(seed):
    # News of what was spent are lost, late and refused; routers stop and end.
    world = SettledFleet(400000, seed).world
    fates = ["", "lost", "answer lost", "repeated"]
    for number in range(60):
        address = world.random.choice(sorted(world.routers))
        world.peer_fates = world.random.choices(fates, (9, 1, 1, 1), k=5)
        if number % 7 == 0:
            world.fates = ["late", "answer lost"]
        if number % 20 == 13:
            world.kill(world.random.choice(sorted(world.routers)), 1.0)
        if address in world.routers:
            router = world.routers[address]
            world.loop.run_until_complete(try_to_use(world, router, 5000))
        world.advance(world.random.uniform(0.05, 0.4))
        for router in world.routers.values():
            known = router.keeper.accounts[BUDGET].known_spent
            assert known <= world.spent, (known, world.spent)
    world.check()
    world.close()


async def try_to_use(world, router, tokens):
    try:
        await router.keeper.reserve(BUDGET, tokens)
    except Exception:
        return
    router.keeper.settle(BUDGET, tokens, tokens, tokens)
    world.spent += tokens


def test_news_of_a_record_tell_who_draws_what_was_spent():
    # A router that draws knew what the others used by its own last draw only,
    # and near the end of a budget nobody draws any more.
    fleet = SettledFleet()
    world = fleet.world
    one, other = fleet.holders[:2]
    fleet.keeper(one).settle(BUDGET, 0, 0, 7000)
    world.spent += 7000
    fleet.account(one).take_out(20000)
    world.advance(1.0)
    assert fleet.account(other).known_spent == 7000
    world.close()
