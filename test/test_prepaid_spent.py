"""Spent budgets are refused as such, also by routers that only borrow.

In a fleet of 23 routers two budgets were used up but for 676 and 14,176
tokens.  Four routers draw on a budget; the others had served most requests and
did not report how much these had used.  So no router could tell a spent budget
from one that lacks tokens for now, and 419 requests in 20 s were refused with
a time to retry.
"""

import itertools
from test.prepaid_world import ADDRESSES
from test.prepaid_world import BUDGET
from test.prepaid_world import refusal
from test.prepaid_world import SettledFleet
from test.prepaid_world import World
from unittest import mock

import pytest

from rowanport.errors import ErrorKind
from rowanport.errors import StoreUnavailable
from rowanport.prepaid import BudgetRecord
from rowanport.prepaid import HolderRecord
from rowanport.prepaid import holders
from rowanport.prepaid.batches import BUDGET_PREFIX
from rowanport.prepaid.batches import HOLDER_PREFIX
from rowanport.prepaid.holders import FALLBACK_SECONDS


def use(world, address, tokens):
    """Run a request that is known to use some tokens."""
    keeper = world.routers[address].keeper
    world.loop.run_until_complete(keeper.reserve(BUDGET, tokens))
    keeper.settle(BUDGET, tokens, tokens, tokens)
    world.spent += tokens


@pytest.mark.parametrize("seed", range(4))
def test_borrowers_refuse_a_spent_budget_as_spent(seed):
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
    # A request for tokens that are left is served.
    world.advance(2.0)
    use(world, borrowers[0], 1000)
    world.check()
    world.close()


@pytest.mark.parametrize("seed", range(4))
def test_no_router_counts_more_than_was_spent(seed):
    # Reports of spent tokens are lost, late or refused; routers are killed.
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


def test_updates_of_a_record_give_holders_the_spent_count():
    # A holder learned what the others had used with its own draws only, and
    # near the end of a budget no router draws any more.
    fleet = SettledFleet()
    world = fleet.world
    one, other = fleet.holders[:2]
    fleet.keeper(one).settle(BUDGET, 0, 0, 7000)
    world.spent += 7000
    fleet.account(one).debit(20000)
    world.advance(1.0)
    assert fleet.account(other).known_spent == 7000
    world.close()


class LostAnswers:
    """A store that commits one batch and whose answers are all lost."""

    def __init__(self, store):
        self._store = store
        self.commits = 0

    def __getattr__(self, name):
        return getattr(self._store, name)

    async def commit(self, writes):
        if not self.commits:
            await self._store.commit(writes)
        self.commits += 1
        raise StoreUnavailable("no answer")


def test_spent_tokens_in_an_uncertain_batch_are_not_reported_to_a_lender():
    # A router drew itself, as it reached no holder.  Its batch reported spent
    # tokens and was committed, but the answer was lost.  As a borrower again
    # it reported the same tokens to a lender, and the budget's record counted
    # them twice.
    fleet = SettledFleet()
    world = fleet.world
    address = fleet.borrowers[0]
    keeper = fleet.keeper(address)
    keeper.settle(BUDGET, 0, 0, 7000)
    world.spent += 7000
    keeper._holders.allow_fallback_draw(BUDGET)
    writer = keeper._refill._writer
    store = LostAnswers(writer._store)
    with mock.patch.object(writer, "_store", store):
        world.advance(FALLBACK_SECONDS + 2.0)
        assert writer.uncertain and store.commits > 1
    for other in fleet.holders:
        fleet.account(other).debit(fleet.account(other).available)
    world.advance(5.0)
    record = BudgetRecord.unpack(world.read(BUDGET_PREFIX + BUDGET).data)
    assert record.spent == 7000
    assert fleet.account(address).known_spent <= 7000
    world.close()


def test_spent_tokens_reported_to_a_lender_are_in_no_holder_record():
    # The next run reports the spent tokens in an ended run's record.  A router
    # that draws on one budget and borrows of another reported those of the
    # second to a lender, but had them in its record as well.
    share = mock.patch.object(holders, "DRAWING_SHARE", 0.5)
    with share, mock.patch.object(holders, "HOLDERS", 2):
        fleet = SettledFleet()
        world = fleet.world
        for address in fleet.addresses:
            totals = {BUDGET: 100000, "other": 100000}
            fleet.keeper(address).set_totals(totals, 2)
        world.advance(5.0)
        both = fleet.keeper(fleet.addresses[0]).holders("other")
        address = next(a for a in both if a in fleet.borrowers)
        keeper = fleet.keeper(address)
        for _number in range(10):
            fleet.account(address).granted_at = keeper._clock.steady()
            keeper.settle(BUDGET, 0, 0, 700)
            for _step in range(20):
                world.advance(0.05)
                stored = world.read(HOLDER_PREFIX + address)
                record = HolderRecord.unpack(stored.data)
                assert BUDGET not in record.spent
        reported = sum(fleet.account(a).known_spent for a in fleet.holders)
        assert reported >= 7000 - 700
        world.close()


def test_exchanged_spent_counts_are_not_added_up():
    # A peer's count may include the tokens that this router spent, but the
    # router added them again.  Four routers that asked each other in turn
    # counted 720 of 600 used tokens, and refused the budget as spent.
    world = World(1, 10000)
    for address in ADDRESSES:
        world.start(address)
    world.advance(3.0)
    for address in ADDRESSES:
        keeper = world.routers[address].keeper
        keeper.settle(BUDGET, 0, 0, 600)
        world.spent += 600
    keepers = [router.keeper for router in world.routers.values()]
    for one, other in list(itertools.permutations(keepers, 2)) * 3:
        other.merge_spent(BUDGET, one.no_loan(BUDGET).spent)
        assert 600 <= min(keeper.no_loan(BUDGET).spent for keeper in keepers)
        assert max(world.spent_as_known()) <= 2400
    world.close()
