"""Tokens of a larger fleet whose routers start again all at once.

What happened, in a fleet of 23 routers that lost power together: requests came
with the first moments of each router.  None had heard of another yet, so each
took itself for alone and drew tokens for itself, in 93 calls of the store in
half a second, most of them refused because another one had drawn meanwhile.
What they held was given back 3 s later in 46 more calls, and until then lay
where nobody asked for it.
"""

from test.prepaid_world import BUDGET
from test.prepaid_world import FakeMembers
from test.prepaid_world import World
from unittest import mock

from rowanport.hashing import rendezvous
from rowanport.incarnation import address_of

FLEET = [f"10.0.1.{number}:1" for number in range(20)]
HEARD_AFTER = 1.5


class LateMembers(FakeMembers):
    """A router that hears of the others some time after its start.

    Until then it knows by the platform's list who did something for all.
    """

    def __init__(self, world, incarnation):
        super().__init__(world, incarnation)
        self._heard_at = world.loop.now + HEARD_AFTER

    @property
    def _heard(self):
        return self._world.loop.now >= self._heard_at

    def live_peers(self):
        return super().live_peers() if self._heard else []

    def ready_peers(self):
        return super().ready_peers() if self._heard else []

    def is_presumed_live(self, address):
        listed = set(rendezvous("store", FLEET)[:9])
        return not self._heard and address in listed

    def delegates(self, kind, least, share):
        own = address_of(self._incarnation)
        known = FLEET
        if not self._heard:
            known = {*rendezvous("store", FLEET)[:9], own}
        count = max(least, int(share * len(FLEET)))
        return rendezvous("store", known)[:count]


def start_again(down, seed=1):
    """Return a World whose routers just lost power, and their holders."""
    world = World(seed, 600000)
    for address in FLEET:
        world.start(address)
    world.advance(10.0)
    for number in range(20):
        world.request(FLEET[number], 3000, 3000, 0.1)
        world.advance(0.1)
    holders = world.routers[FLEET[0]].keeper.holders(BUDGET)
    for address in FLEET:
        delay = 1.0 + world.random.uniform(0.0, 0.3)
        world.kill(address, 100.0 if address in down else delay, power=True)
    world.advance(1.31)
    return world, holders


@mock.patch("test.prepaid_world.FakeMembers", LateMembers)
def test_routers_that_start_together_draw_for_each_other_at_once():
    world, holders = start_again(down=())
    writes, served = world.writes, world.served
    for address in FLEET:
        world.request(address, 3000, 3000, 0.1)
    world.advance(1.0)
    drawn = {a for a in FLEET if world.routers[a].keeper._refill._drawn}
    assert world.served - served == 20, world.refusals
    assert drawn <= set(holders)
    assert world.writes - writes < 40
    world.check()
    world.close()


@mock.patch("test.prepaid_world.FakeMembers", LateMembers)
def test_a_router_that_reaches_no_holder_draws_for_itself():
    # Those that drew before may never come back.
    holders = rendezvous("store", FLEET)[:4]
    world, _holders = start_again(down=holders)
    served = world.served
    alive = [address for address in FLEET if address not in holders]
    for address in alive[:6]:
        world.request(address, 3000, 3000, 0.1)
    world.advance(1.0)
    assert world.served - served == 6
    world.check()
    world.close()
