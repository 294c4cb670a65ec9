"""Views of configuration and upstreams, asked from peers."""

import asyncio
import json
from test.platform_world import config
from test.platform_world import route
from test.virtual import LoopClock
from test.virtual import VirtualLoop
import zlib

from rowanport.errors import PeerError
from rowanport.gateway.congestion import CongestionDetector
from rowanport.gateway.views import Views
from rowanport.platform.config import decode_config
from rowanport.prepaid import FleetClocks
from rowanport.schema.messages import SuspectNews
from rowanport.schema.messages import ViewAsk
from rowanport.schema.messages import ViewGive

NO_NEWS = SuspectNews(0, [])


class SlowPeers:
    """Peers of which some never answer and the others answer late."""

    def __init__(self, silent, delay):
        self.silent = silent
        self.delay = delay

    def last_trip(self, address):
        return self.delay

    async def call(self, address, message, timeout, repeatable):
        late = address in self.silent or self.delay > timeout
        await asyncio.sleep(timeout if late else self.delay)
        if late:
            raise PeerError("no answer")
        return ViewGive(
            7, zlib.compress(b"7"), 0, b"", 0.0, [], NO_NEWS, [], 0, 0, 0, 0
        )


class FewMembers:
    """Two ready peers, the one that is asked first before the other."""

    knows_peers = True

    def __init__(self):
        self._turn = 0
        self.version = 0

    def ready_peers(self):
        self._turn += 1
        return ["x/silent/1", "x/slow/1"][:: 1 if self._turn % 2 else -1]

    def delegates(self, kind, least, share):
        return ["silent", "slow"]

    def set_config(self, version):
        self.version = version


class Table:
    """What is needed of a RoutingTable."""

    def __init__(self, data):
        self.version = int(data)


def make_views(loop, members, peers, decode=Table):
    """Return the Views of one router."""
    clock = LoopClock(loop)
    clocks = FleetClocks(clock)
    views = Views(
        decode, members, peers, "own", clock, clocks, CongestionDetector(clock)
    )
    views.on_table = lambda table: None
    return views


def learn(silent, delay, seconds):
    """Return the version in force after some seconds."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    members = FewMembers()
    views = make_views(loop, members, SlowPeers(silent, delay))
    task = loop.create_task(views.run())
    loop.run_until_complete(asyncio.sleep(seconds))
    task.cancel()
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()
    return members.version


def test_a_peer_that_is_silent_holds_up_nobody():
    assert learn({"silent"}, 0.002, 0.6) == 7


def test_a_late_answer_is_taken():
    # Found on the bench: a router with a congested link gave up each question
    # after a second, and sent a request to an upstream that had been leaving
    # for 3 s.
    assert learn((), 1.5, 2.5) == 7


class OnePeer:
    """A peer that answers at once."""

    def __init__(self, views):
        self._views = views

    def last_trip(self, address):
        return 0.0

    async def call(self, address, message, timeout, repeatable):
        return self._views.handle(message)


# What happened: with 86 routers on links of 10 Mbit/s, eight requests were
# refused although their routes had been in force for 4 s, and eight reached an
# upstream that had been leaving for 3 s.  Sequence: 26 routers are cut off; of
# those that follow the store four still take changes; the configuration has
# 240 routes and changes three times in four seconds; each of the four serves
# one asker each 0.1 s, so of the version that the store confirmed at 21.2 s
# one router heard at 23.0 s and the last at 26.4 s (config_in_force), and all
# questions waited behind those bytes (link_congested 831 times in 28 s).
# Cause: the whole configuration went out as it is.


def large_config():
    """Return a configuration of as many routes as the users' have."""
    routes = [route(f"/path-{n}/", "idempotent") for n in range(240)]
    return json.dumps(config(version=9, routes=routes)).encode()


def test_a_configuration_costs_few_bytes_between_routers():
    loop = VirtualLoop()
    data = large_config()
    giver = make_views(loop, FewMembers(), None, decode_config)
    giver.apply_config(data, "store")
    give = giver.handle(ViewAsk(0, 0, "asker", 0.0, 0, NO_NEWS, [], 0))
    assert len(give.config_data) * 10 < len(data)
    loop.close()


def test_a_configuration_passes_from_router_to_router():
    loop = VirtualLoop()
    first = make_views(loop, FewMembers(), None, decode_config)
    first.apply_config(large_config(), "store")
    second = make_views(loop, FewMembers(), OnePeer(first), decode_config)
    third = make_views(loop, FewMembers(), OnePeer(second), decode_config)
    loop.run_until_complete(second.ask("first"))
    loop.run_until_complete(third.ask("second"))
    assert third.table.version == 9
    assert third.table.find_route("feed.example", "/path-239/x")
    loop.close()


class UnreadablePeer:
    """A peer that hands on bytes that are no configuration."""

    def last_trip(self, address):
        return 0.0

    async def call(self, address, message, timeout, repeatable):
        return ViewGive(9, b"{}", 0, b"", 0.0, [], NO_NEWS, [], 0, 0, 0, 0)


def test_bytes_that_cannot_be_read_change_nothing():
    loop = VirtualLoop()
    views = make_views(loop, FewMembers(), UnreadablePeer(), decode_config)
    loop.run_until_complete(views.ask("peer"))
    assert views.table is None
    loop.close()
