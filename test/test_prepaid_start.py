"""Draws in a larger fleet whose routers all start at the same time.

A fleet of 23 routers lost power, and requests arrived as soon as the routers
were back.  None knew of another yet, so each acted as the only router and drew
tokens itself: 93 store calls in half a second, most of them refused as another
router had drawn meanwhile.  These tokens were returned 3 s later in 46 more
calls, and until then they were held where no request needed them.
"""

from test.prepaid_world import BUDGET
from test.prepaid_world import FakeMembers
from test.prepaid_world import World
from unittest import mock

from rowanport.hashing import rendezvous
from rowanport.incarnation import address_of

FLEET = [f"10.0.1.{number}:1" for number in range(20)]
LEARN_DELAY = 1.5


class LateMembers(FakeMembers):
    """Members of a router that learns of its peers after some time.

    Until then it knows the delegates by the platform's list only.
    """

    def __init__(self, world, incarnation):
        super().__init__(world, incarnation)
        self._learned_at = world.loop.now + LEARN_DELAY

    @property
    def _has_learned(self):
        return self._world.loop.now >= self._learned_at

    def live_peers(self):
        return super().live_peers() if self._has_learned else []

    def ready_peers(self):
        return super().ready_peers() if self._has_learned else []

    def is_presumed_live(self, address):
        listed = set(rendezvous("store", FLEET)[:9])
        return not self._has_learned and address in listed

    def delegates(self, kind, least, share):
        own = address_of(self._incarnation)
        known = FLEET
        if not self._has_learned:
            known = {*rendezvous("store", FLEET)[:9], own}
        count = max(least, int(share * len(FLEET)))
        return rendezvous("store", known)[:count]


def start_again(down, seed=1):
    """Return a World just after a power failure, and the old holders."""
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
def test_only_holders_draw_when_all_routers_start_together():
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
    # The holders before the failure do not come back.
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
