"""Loans whose answers are lost."""

from test.prepaid_world import ADDRESSES
from test.prepaid_world import BUDGET
from test.prepaid_world import World


def test_a_loan_on_a_connection_that_turned_silent_comes_in_late():
    # Symptom: tokens that a peer had lent were nowhere any more.  Sequence:
    # the open connection to it went silent for good, the loan was asked for
    # once more 0.1 s later, and its answer was lost as well.  Cause: a silent
    # connection is replaced within a second, and the second ask gave up after
    # 0.4 s, though the lender remembers what it answered for 30 s.
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
