"""Views of the configuration and upstreams that are polled from peers."""

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
    """Peers of which some never answer, and the others after a delay."""

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
    """Two ready peers whose order alternates with each call."""

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

    def predates(self, address, protocol):
        return False


class Table:
    """The part of a RoutingTable that Views uses."""

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


def poll_for(silent, delay, seconds):
    """Return the active version after some seconds of polling."""
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


def test_an_unresponsive_peer_does_not_delay_polls_of_others():
    assert poll_for({"silent"}, 0.002, 0.6) == 7


def test_a_late_answer_is_applied():
    # With a time-out of 1 s, a router on a congested link abandoned each poll,
    # and sent a request to an upstream that had been leaving for 3 s.
    assert poll_for((), 1.5, 2.5) == 7


class OnePeer:
    """A peer that answers polls at once."""

    def __init__(self, views):
        self._views = views

    def last_trip(self, address):
        return 0.0

    async def call(self, address, message, timeout, repeatable):
        return self._views.handle(message)


# Guards against sending the configuration uncompressed.  With 86 routers on
# links of 10 Mbit/s, 26 of them cut off, a configuration of 240 routes changed
# three times in 4 s.  Four store watchers still received changes, and each
# sent the configuration to one peer every 0.1 s.  A version that the store
# confirmed at 21.2 s became active in one other router at 23.0 s and in the
# last at 26.4 s (config_in_force); all polls queued behind those bytes
# (link_congested 831 times in 28 s).  Eight requests were refused although
# their routes had been active for 4 s, and eight reached an upstream that had
# been leaving for 3 s.


def large_config():
    """Return a configuration with as many routes as users have."""
    routes = [route(f"/path-{n}/", "idempotent") for n in range(240)]
    return json.dumps(config(version=9, routes=routes)).encode()


def test_the_configuration_is_sent_compressed():
    loop = VirtualLoop()
    data = large_config()
    sender = make_views(loop, FewMembers(), None, decode_config)
    sender.apply_config(data, "store")
    give = sender.handle(ViewAsk(0, 0, "asker", 0.0, 0, NO_NEWS, [], 0))
    assert len(give.config_data) * 10 < len(data)
    loop.close()


def test_a_configuration_is_forwarded_between_routers():
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
    """A peer that sends bytes that are no configuration."""

    def last_trip(self, address):
        return 0.0

    async def call(self, address, message, timeout, repeatable):
        return ViewGive(9, b"{}", 0, b"", 0.0, [], NO_NEWS, [], 0, 0, 0, 0)


def test_an_unreadable_configuration_is_ignored():
    loop = VirtualLoop()
    views = make_views(loop, FewMembers(), UnreadablePeer(), decode_config)
    loop.run_until_complete(views.ask("peer"))
    assert views.table is None
    loop.close()


# Evacuated data centres


def poll_once(loop, views, address):
    loop.run_until_complete(views.ask(address))


def test_an_evacuation_and_its_end_reach_routers_over_others():
    loop = VirtualLoop()
    first = make_views(loop, FewMembers(), None)
    second = make_views(loop, FewMembers(), OnePeer(first))
    third = make_views(loop, FewMembers(), OnePeer(second))
    for revision, names in ((8, ["hall-a"]), (9, ["hall-a", "b"]), (12, [])):
        first.apply_evacuations(revision, names, "store")
        for views in (second, third):
            poll_once(loop, views, "x")
        assert third.evacuations.data_centres == set(names)
    # A copy that was under way meanwhile changes nothing.
    third.apply_evacuations(9, ["hall-a", "b"], "late")
    assert third.evacuations.data_centres == set()
    loop.close()


class OlderMembers(FewMembers):
    """Peers that speak an earlier protocol."""

    def predates(self, address, protocol):
        return True


def test_peers_of_an_earlier_build_get_the_answers_that_they_know():
    loop = VirtualLoop()
    views = make_views(loop, OlderMembers(), None)
    views.apply_evacuations(8, ["hall-a"], "store")
    ask = ViewAsk(0, 0, "asker", 0.0, 0, NO_NEWS, [], 0)
    assert len(views.handle(ask).to_wire()) == 12
    give = ViewGive.from_wire(views.handle(ask).to_wire())
    assert (give.evacuations, give.evacuated) == (0, [])
    loop.close()
