"""Loans whose answers are lost."""

from test.prepaid_world import ADDRESSES
from test.prepaid_world import BUDGET
from test.prepaid_world import World


def test_a_loan_on_a_stalled_connection_arrives_late():
    # Tokens lent by a peer were lost when the open connection to it stalled.
    # The request was repeated 0.1 s later and gave up after 0.4 s, but it may
    # take a second until a stalled connection is replaced.  The lender
    # remembers its reply for 30 s, so later attempts get the loan.
    world = World(1, 10000)
    one, lender = ADDRESSES[:2]
    for address in (one, lender):
        world.start(address)
    world.advance(4.0)
    world.store_down = True
    world.advance(4.0)
    world.silent[one, lender] = ("answer lost", world.loop.now + 1.0)
    account = world.routers[one].keeper.accounts[BUDGET]
    account.debit(account.available)
    before = world.held()
    world.request(one, 100, 100, 0.1)
    world.advance(4.0)
    assert world.held() == before
    assert account.available > 0
    world.check()
    world.close()
