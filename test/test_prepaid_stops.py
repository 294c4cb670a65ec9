"""Planned stops in quick succession, and handoffs of tokens."""

from test.prepaid_world import ADDRESSES
from test.prepaid_world import BUDGET
from test.prepaid_world import FAR
from test.prepaid_world import make_world
from test.prepaid_world import STOP_LINGER
from test.prepaid_world import World
from unittest import mock

import pytest

from rowanport.errors import ErrorKind
from rowanport.errors import PeerError
from rowanport.incarnation import address_of
from rowanport.prepaid.handoff import ATTEMPT_TIMEOUT
from rowanport.prepaid.handoff import Handoffs
from rowanport.schema.messages import Refused

# Enough budgets to need several batches for their return.
MANY = [f"org-{number}" for number in range(40)]


def make_fleet(count):
    """Return a world of some routers that have drawn."""
    world = World(1, 10000)
    for address in ADDRESSES[:count]:
        world.start(address)
    world.advance(4.0)
    return world


def stranded(world):
    """Return the tokens drawn that are neither held nor used."""
    used = world.spent + world.under_way()
    return world.taken() - world.held() - used


@pytest.mark.parametrize("gap", (0.1, 0.5, 1.1))
def test_stops_of_all_routers_in_series_make_no_task_fail(gap):
    # Routers stopped at intervals shorter than a stop takes, so that for a
    # moment none was ready.  Leaving routers are no holders, so the count of
    # holders was 0 and Account.limit_growth divided by it.  The loops of the
    # stopping routers ended with "task_failed ZeroDivisionError" (7 and 4
    # times in two runs of stops 0.5 s apart over seven routers), and from then
    # on a third of all requests was refused as budget_exhausted.
    world = make_world()
    world.stop_all(gap)
    world.advance(4 * gap + 1.0)
    world.check()
    world.advance(6.0)
    world.check()
    world.close()


def test_the_last_router_to_stop_returns_its_tokens():
    # The last router to stop logged "no_heir", and its next run logged
    # tokens_stranded.  No other router was ready, and a handoff without a
    # recipient returned at once.  The router then ended with its last request,
    # and the tokens released since the last batch were lost.
    world = make_fleet(1)
    router = world.routers[ADDRESSES[0]]
    keeper = router.keeper
    world.loop.run_until_complete(keeper.reserve(BUDGET, 150))
    router.leaving = True
    world.loop.run_until_complete(keeper.hand_off())
    world.advance(STOP_LINGER)
    keeper.settle(BUDGET, 150, 50)
    world.loop.run_until_complete(keeper.hand_off())
    assert world.taken() == 50
    world.close()


def test_the_last_router_to_stop_returns_many_budgets():
    # A batch holds a dozen budgets; later ones return the rest.
    world = make_fleet(1)
    keeper = world.routers[ADDRESSES[0]].keeper
    keeper.set_totals({name: 10000 for name in MANY}, 2)
    world.advance(6.0)
    assert all(keeper.accounts[name].available for name in MANY)
    world.stop(ADDRESSES[0])
    world.advance(STOP_LINGER + 1.5)
    assert ADDRESSES[0] in world.routers
    assert stranded(world) == 0
    world.close()


def test_a_router_without_a_recipient_serves_until_it_ends():
    # Tokens that no peer can accept are used here while requests arrive.
    world = make_fleet(1)
    world.stop(ADDRESSES[0])
    world.advance(1.5)
    world.request(ADDRESSES[0], 150, 150, 0.1)
    world.advance(1.0)
    assert (world.served, world.refusals) == (1, 0)
    world.close()


def test_a_stopping_router_accepts_no_handoff():
    # A router that had been stopping for half a second accepted tokens of
    # another stopping router: it logged tokens_inherited 0.53 s after
    # gateway_stopping.  Peers learn late that a router is leaving, and tokens
    # that it gets after its last handoff are lost.
    world = make_fleet(3)
    world.news_delay = FAR
    first, second = ADDRESSES[:2]
    world.stop(first)
    world.advance(0.5)
    inherited = world.routers[first].keeper.accounts[BUDGET].inflow
    world.stop(second)
    world.advance(1.0)
    assert world.routers[first].keeper.accounts[BUDGET].inflow == inherited
    assert stranded(world) == 0
    world.advance(6.0)
    assert stranded(world) == 0
    world.check()
    world.close()


def stop_with_a_stalled_connection(fate, at_the_end):
    """Stop a router whose connection to its recipient stalls for a while.

    :param fate: what happens to calls on it
    :param at_the_end: whether it stalls at the last handoff, not at the first
    """
    world = make_fleet(2)
    one, recipient = ADDRESSES[:2]
    if at_the_end:
        # Until then it has no recipient at all.
        world.cuts.add(frozenset((one, recipient)))
        world.loop.call_later(STOP_LINGER - 0.1, world.cuts.clear)
        world.silent[one, recipient] = (
            fate,
            world.loop.now + STOP_LINGER + 1.2,
        )
    else:
        stall_once_tokens_arrive(world, one, recipient, fate)
    world.request(one, 150, 50, STOP_LINGER - 0.2)
    world.stop(one)
    world.advance(STOP_LINGER + 4.0)
    world.check()
    left = stranded(world)
    world.close()
    return left


def stall_once_tokens_arrive(world, one, recipient, fate):
    """Make a connection stall as the first tokens arrive."""
    keeper = world.routers[recipient].keeper
    accept = keeper.accept_handoff

    def accept_without_answer(name, tokens, sender):
        if (one, recipient) not in world.silent:
            world.silent[one, recipient] = (fate, world.loop.now + 1.15)
        accept(name, tokens, sender)

    keeper.accept_handoff = accept_without_answer


@pytest.mark.parametrize("fate", ("lost", "answer lost"))
@pytest.mark.parametrize("at_the_end", (False, True))
def test_a_stalled_connection_strands_nothing(fate, at_the_end):
    # An open connection may stall for good; a new one replaces it within a
    # second.  Handoffs were retried for 1.6 s, but the last one has 0.8 s.
    assert stop_with_a_stalled_connection(fate, at_the_end) == 0


async def refused_if_unanswered(self, recipient, message):
    """Send a handoff once, and treat a missing answer as a refusal."""
    try:
        address = address_of(recipient)
        return await self._peers.call(address, message, ATTEMPT_TIMEOUT)
    except PeerError:
        return Refused(ErrorKind.STOPPING.value, "")


def test_tokens_of_an_unanswered_handoff_go_to_no_one_else():
    broken = mock.patch.object(Handoffs, "_send", refused_if_unanswered)
    with broken, pytest.raises(AssertionError, match="exist"):
        stop_with_a_stalled_connection("answer lost", False)


def hand_off_to_two_runs():
    """Hand off tokens to a router that accepts them and restarts."""
    world = make_fleet(2)
    one, recipient = ADDRESSES[:2]
    stall_once_tokens_arrive(world, one, recipient, "answer lost")
    world.stop(one)
    world.loop.call_later(1.0, world.kill, recipient, 0.1)
    world.advance(8.0)
    world.check()
    world.close()


def test_another_run_of_a_recipient_does_not_accept_the_same_tokens():
    # Replies to repeated messages are remembered only while a run lasts.  A
    # recipient accepted a handoff whose answer was lost, wrote its record and
    # was killed.  Its next run recovered the tokens in the record and accepted
    # the repeated message as well, so more tokens existed than were drawn.
    hand_off_to_two_runs()
    taken = mock.patch.object(Handoffs, "_is_for_this_run", lambda *_: True)
    with taken, pytest.raises(AssertionError, match="exist"):
        hand_off_to_two_runs()
