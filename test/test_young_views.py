"""Which calls to the store a router makes that just started.

Each start of 18 routers took 8.5 calls of the store (by price): each listed
and watched all for itself, and its watches returned as the others started.
"""

import asyncio
import json
from test.platform_world import config
from test.test_silence import UPSTREAM
from test.test_views import FewMembers
from test.test_views import make_views
from test.test_views import SlowPeers
from test.virtual import LoopClock
from test.virtual import VirtualLoop

import pytest

from rowanport.gateway.upstream import UpstreamList
from rowanport.gateway.views import DISCOVERY_SECONDS
from rowanport.gateway.views import SEEDED_WATCH_DELAY
from rowanport.hashing import rendezvous
from rowanport.platform.config import decode_config
from rowanport.platform.sources import ConfigSource
from rowanport.platform.sources import UpstreamSource
from rowanport.platform.store import Item
from rowanport.platform.store import Listing

ENTRY = json.dumps(UPSTREAM).encode()
NEWEST = 900


class SeededMembers(FewMembers):
    """A fleet whose settings name seeds."""

    def __init__(self, seeds, listed=()):
        super().__init__()
        self.seeds = seeds
        self.listed = listed

    def delegates(self, kind, least, share):
        known = sorted({"own", "silent", "slow", *self.listed})
        return rendezvous("store", known)[:least]


class WellReach:
    """A store that was never away."""

    in_doubt = False
    back_at = None


class OldStore:
    """A store of which each answer may be old, but names its newest state."""

    def __init__(self):
        self.calls = []
        self.reach = WellReach()

    async def get(self, key, stale=False):
        self.calls.append(("get", stale))
        return Listing([_item("op/config", json.dumps(config()).encode())], 7)

    async def list(self, prefix, stale=False):
        self.calls.append(("list", stale))
        return Listing([_item("servers/one", ENTRY)], NEWEST)

    async def watch(self, prefix, revision, fresh=False):
        self.calls.append(("watch", False))
        await asyncio.sleep(20.0)


def _item(key, data):
    item = Item({"private_key": key, "revision": 5, "gone": True})
    item.data = data
    return item


@pytest.mark.parametrize(
    "seeds, duties",
    (
        ([], [True, True, True]),
        (["own", "other"], [True, True, True]),
        (["other"], [False, True, True]),
    ),
)
def test_seeds_follow_the_store_from_the_start_and_others_do_not(
    seeds, duties
):
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    views = make_views(loop, SeededMembers(seeds), SlowPeers((), 0.1))
    found = [views.watches_store]
    loop.run_until_complete(asyncio.sleep(SEEDED_WATCH_DELAY + 0.1))
    found.append(views.watches_store)
    loop.run_until_complete(asyncio.sleep(DISCOVERY_SECONDS))
    found.append(views.watches_store)
    loop.close()
    assert found == duties


@pytest.mark.parametrize("count", (6, 19))
def test_a_router_of_a_fleet_that_ran_before_follows_the_store_at_once(count):
    # What happened: a router restarted while all others were cut off from the
    # store.  It asked these for 9 s, and refused requests of a route that the
    # store had confirmed 4.2 s before (404); it was the only one that could
    # have known.  And where all lost power together nobody has anything newer
    # to tell: two seconds by old views cost a fleet of seven .03 of worth.
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    listed = [f"10.0.1.{number}:1" for number in range(count)]
    members = SeededMembers(["other"], listed)
    views = make_views(loop, members, SlowPeers((), 0.1))
    assert views.watches_store
    loop.run_until_complete(asyncio.sleep(0.9 * DISCOVERY_SECONDS))
    assert views.watches_store
    loop.close()


@pytest.mark.parametrize("source", (ConfigSource, UpstreamSource))
def test_a_router_that_asks_others_reads_once_what_may_be_old(source):
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    members = SeededMembers(["other"])
    views = make_views(loop, members, SlowPeers((), 0.1), decode_config)
    views.on_upstreams = lambda upstreams: None
    store = OldStore()
    follower = source(store, LoopClock(loop))
    run = loop.create_task(follower._wait_for_duty(views))
    loop.run_until_complete(asyncio.sleep(0.9 * SEEDED_WATCH_DELAY))
    run.cancel()
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()
    assert [stale for _call, stale in store.calls] == [True]
    assert follower.is_known(views)


@pytest.mark.parametrize("first", ("store", "peer"))
def test_an_old_list_of_upstreams_hides_no_newer_one_of_a_peer(first):
    # An answer that is seconds old may say how new the store is by now.
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    members = SeededMembers(["other"])
    views = make_views(loop, members, SlowPeers((), 0.1))
    views.on_upstreams = lambda upstreams: None
    source = UpstreamSource(OldStore(), LoopClock(loop))
    newer = UpstreamList(NEWEST - 100, [])
    steps = [
        lambda: loop.run_until_complete(source.load_old(views)),
        lambda: views.apply_upstreams(newer, "peer"),
    ]
    for step in steps if first == "store" else reversed(steps):
        step()
    loop.close()
    assert views.upstreams.revision == NEWEST - 100
    assert not views.upstreams.upstreams
