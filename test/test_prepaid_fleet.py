"""Which routers draw and which borrow in small and large fleets."""

from test.prepaid_world import ADDRESSES
from test.prepaid_world import BUDGET
from test.prepaid_world import SettledFleet
from test.prepaid_world import World
from unittest import mock

from rowanport.hashing import rendezvous
from rowanport.prepaid import Account
from rowanport.prepaid import holders as holders_
from rowanport.prepaid.account import MIN_HELD_SHARE
from rowanport.prepaid.holders import DISCOVERY_SECONDS
from rowanport.prepaid.holders import HOLDERS
from rowanport.prepaid.holders import SMALL_FLEET
from rowanport.prepaid.loans import Loans


def test_a_router_that_knows_nobody_yet_does_not_draw_for_the_whole_fleet():
    # After a power failure the first router that was back drew half of each
    # budget, and the others refused requests for a second.
    world = World(1, 10000)
    world.start(ADDRESSES[0])
    world.advance(1.0)
    assert 0 < world.held() <= 10000 * MIN_HELD_SHARE / SMALL_FLEET
    world.advance(DISCOVERY_SECONDS)
    assert world.held() > 0.5 * 10000 * MIN_HELD_SHARE
    world.close()


def test_in_a_larger_fleet_few_routers_draw_and_the_others_borrow():
    world = World(1, 100000)
    fleet = [f"10.0.1.{number}:1" for number in range(20)]
    for address in fleet:
        world.start(address)
    world.advance(8.0)
    drawn = [one for one in world.routers.values() if holding(one)]
    assert len(drawn) == HOLDERS
    before = world.writes
    world.advance(10.0)
    # A holder writes a record each 0.7 s, other routers write nothing.
    assert world.writes - before < 10 * HOLDERS * 1.6
    for address in fleet:
        world.request(address, 100, 100, 0.1)
    world.advance(1.0)
    assert (world.served, world.refusals) == (20, 0)
    # A stop during an outage hands off borrowed tokens, too.
    world.store_down = True
    world.stop(next(a for a in fleet if world.routers[a] not in drawn))
    world.advance(6.0)
    world.check()
    world.close()


def test_in_a_small_fleet_every_router_draws():
    # Each has its own tokens while it is cut off from all others.
    world = World(1, 100000)
    fleet = [f"10.0.1.{number}:1" for number in range(SMALL_FLEET)]
    for address in fleet:
        world.start(address)
    world.advance(8.0)
    assert all(holding(one) for one in world.routers.values())
    world.close()


def test_a_router_that_suspects_all_others_does_not_count_a_small_fleet():
    # A router that is cut off for a moment would otherwise take every router
    # for a holder, draw tokens and return them a moment later.
    world = World(1, 100000)
    for number in range(20):
        world.start(f"10.0.1.{number}:1")
    world.advance(8.0)
    keeper = next(iter(world.routers.values())).keeper
    with mock.patch.object(keeper._members, "live_peers", lambda: []):
        assert len(keeper.holders(BUDGET)) == HOLDERS
    world.close()


def test_a_router_finds_the_holders_of_a_budget_once_for_the_same_fleet():
    # Ordering the routers took 50 us a budget in a fleet of 195, and a router
    # checks all its budgets several times a second.
    world = World(1, 100000)
    for number in range(20):
        world.start(f"10.0.1.{number}:1")
    world.advance(1.0)
    keeper = next(iter(world.routers.values())).keeper
    drawing_routers = list(world.routers)[: 3 * HOLDERS]
    with (
        mock.patch.object(
            keeper._members, "delegates", lambda *_: drawing_routers
        ),
        mock.patch.object(holders_, "rendezvous", wraps=rendezvous) as order,
    ):
        for _number in range(10):
            keeper.holders(BUDGET)
    assert order.call_count == 1
    world.close()


def test_a_lender_passes_on_what_its_borrowers_ask_for():
    # The limits of a lender without requests of its own were those of an idle
    # router: it held tokens, but its borrowers were refused.
    account = Account(BUDGET)
    account.set_total(100000)
    account.credit(30000)
    at_rest = account.allowance(4, 1.0), account.limit_growth(4, 1.0)
    for number in range(8):
        assert account.lend(1000, None, 1.0 + number / 4, draws=False)
    assert account.allowance(4, 3.0) > 2 * at_rest[0]
    assert account.limit_growth(4, 3.0) > 2 * at_rest[1]


def test_a_lender_raises_its_limit_for_a_borrower():
    # Four holders had 7,500 tokens each and limits of 525.  Limits were raised
    # for the lenders' own requests only, so borrowers got a few dozen tokens
    # from each: three of these eight requests were refused, though the holders
    # had enough for all.
    fleet = SettledFleet()
    world, borrowers = fleet.world, fleet.borrowers
    for borrower in borrowers[:8]:
        world.request(borrower, 6000, 3000, 0.1)
        world.advance(0.25)
    world.advance(0.5)
    assert (world.served, world.refusals) == (8, 0)
    world.check()
    world.close()


def test_a_borrower_borrows_few_tokens_that_it_does_not_need():
    # Borrowers asked three lenders at a time for the whole amount, and each
    # lent what it could.  The surplus stayed with the borrower, where a power
    # failure loses it: 24,356 idle tokens beside 48,000 used ones.
    fleet = SettledFleet()
    world, borrowers = fleet.world, fleet.borrowers
    for borrower in borrowers[:8]:
        world.request(borrower, 6000, 6000, 0.1)
        world.advance(0.25)
    world.advance(0.5)
    accounts = [fleet.account(address) for address in borrowers]
    idle = sum(account.available for account in accounts)
    assert world.served == 8
    assert idle < 0.1 * world.spent, idle
    world.check()
    world.close()


def test_a_borrower_asks_those_that_hold_tokens_before_all_others():
    # If limits held back a loan at first, a dozen routers without tokens were
    # asked before the holders again, too late for the waiting request.
    fleet = SettledFleet()
    world, holders = fleet.world, fleet.holders
    borrower = fleet.borrowers[0]
    asked = []
    ask = Loans._ask

    def record_ask(lender, account, address, tokens):
        asked.append(address)
        return ask(lender, account, address, tokens)

    with mock.patch.object(Loans, "_ask", record_ask):
        world.request(borrower, 6000, 3000, 0.1)
        world.advance(0.5)
    assert (world.served, world.refusals) == (1, 0)
    assert set(asked) <= set(holders)
    world.check()
    world.close()


def test_a_router_with_much_of_a_budgets_demand_draws_itself():
    # One router of 86 received half of an organisation's requests and borrowed
    # for each of them; its peers could not lend fast enough.
    world = World(1, 100000)
    for number in range(20):
        world.start(f"10.0.1.{number}:1")
    world.advance(8.0)
    busy = next(r for r in world.routers.values() if not holding(r))
    for _number in range(40):
        world.request(busy.address, 400, 400, 0.1)
        world.advance(0.1)
    assert busy.keeper.is_holder(BUDGET)
    world.cuts |= {frozenset((busy.address, a)) for a in world.routers}
    before = world.served
    for _number in range(10):
        world.request(busy.address, 400, 400, 0.1)
        world.advance(0.1)
    assert world.served - before >= 9
    # What it drew goes back to the store once its demand is gone.
    world.heal()
    world.advance(60.0)
    assert not busy.keeper.is_holder(BUDGET)
    assert not holding(busy)
    world.check()
    world.close()


def test_a_router_that_draws_none_is_served_once_its_lender_has_drawn():
    # After a power failure the holders have no tokens.  They refused their
    # borrowers until they drew for requests of their own.
    world = World(1, 100000)
    fleet = [f"10.0.1.{number}:1" for number in range(20)]
    for address in fleet:
        world.start(address)
    world.advance(0.1)
    holders = world.routers[fleet[0]].keeper.holders(BUDGET)
    borrower = next(a for a in fleet if a not in holders)
    world.request(borrower, 300, 300, 0.1)
    world.advance(0.5)
    assert (world.served, world.refusals) == (1, 0)
    world.check()
    world.close()


def holding(router):
    """Return whether a router holds tokens."""
    return any(a.available > 0 for a in router.keeper.accounts.values())


def test_unused_borrowed_tokens_are_available_to_other_routers():
    # A request reserves the most that it may use.  The unused rest stayed with
    # the borrowers: 30 of 195 routers held 100,798 of the 304,030 tokens of a
    # budget while its requests were refused.
    fleet = SettledFleet()
    world, borrowers = fleet.world, fleet.borrowers
    for borrower in borrowers * 2:
        world.request(borrower, 9000, 2500, 0.3)
        world.advance(1.0)
    assert (world.served, world.refusals) == (32, 0)
    world.advance(1.0)
    accounts = [fleet.account(address) for address in borrowers]
    assert sum(account.available for account in accounts) == 0
    assert world.taken() == world.spent + world.held()
    world.check()
    world.close()


class Waiter:
    """A request that waits for some tokens."""

    def __init__(self, tokens):
        self.tokens = tokens


def test_with_rare_requests_only_the_shortfall_is_borrowed():
    # Borrowers added a second of demand to each loan.  After a single request
    # of 9,000 tokens that was 4,500 more, which stayed idle and were returned.
    account = Account(BUDGET)
    account.credit(9000)
    account.record_demand(9000, 10.0)
    assert account.reserve(9000, None, 10.0)
    account.record_demand(8000, 11.0)
    account.waiters.append(Waiter(8000))
    assert account.loan_size(None, 11.0) == 8000
    for number in range(10):
        account.record_demand(8000, 11.0 + number / 10)
    assert account.loan_size(None, 12.0) > 8000
