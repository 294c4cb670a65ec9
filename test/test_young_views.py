"""Which store calls a router makes right after its start.

Guards against each starting router listing and watching everything itself:
its watches returned whenever another router started, and each start of 18
routers took 8.5 store calls (by price).
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


class AlwaysReachable:
    """The reachability of a store that was never out."""

    is_probing = False
    recovered_at = None


class OldStore:
    """A store whose stale answers name the newest revision all the same."""

    def __init__(self):
        self.calls = []
        self.reach = AlwaysReachable()

    async def list(self, prefix, stale=False):
        self.calls.append(("list", stale))
        if prefix == "op/":
            item = _item("op/config", json.dumps(config()).encode())
            return Listing([item], NEWEST)
        return Listing([_item("servers/one", ENTRY)], NEWEST)

    async def watch(self, prefix, revision, fresh=False):
        self.calls.append(("watch", False))
        await asyncio.sleep(20.0)


def _item(key, data):
    item = Item({"private_key": key, "revision": 5, "gone": True})
    item.data = data
    return item


@pytest.mark.parametrize(
    "seeds, expected",
    (
        ([], [True, True, True]),
        (["own", "other"], [True, True, True]),
        (["other"], [False, True, True]),
    ),
)
def test_only_seeds_watch_the_store_right_after_the_first_start(
    seeds, expected
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
    assert found == expected


@pytest.mark.parametrize("count", (6, 19))
def test_a_router_of_a_fleet_that_ran_before_watches_the_store_at_once(count):
    # A router restarted while all others were cut off from the store.  It
    # polled them for 9 s, and answered 404 for a route that the store had
    # confirmed 4.2 s before, though only it could reach the store.  If all
    # routers lose power together, no peer has newer views either: 2 s with
    # stale views cost a fleet of seven .03 of worth.
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
def test_a_router_that_polls_peers_reads_the_store_once_and_stale(source):
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
def test_a_stale_list_does_not_hide_a_newer_one_of_a_peer(first):
    # A stale answer names the newest revision of the store.
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
