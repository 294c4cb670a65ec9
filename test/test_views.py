"""Views of configuration and upstreams, asked from peers."""

import asyncio
from test.virtual import LoopClock
from test.virtual import VirtualLoop

from rowanport.errors import PeerError
from rowanport.gateway.congestion import Congestion
from rowanport.gateway.views import Views
from rowanport.prepaid import FleetClocks
from rowanport.schema.messages import ViewGive


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
        return ViewGive(7, b"7", 0, b"", 0.0)


class FewMembers:
    """Two ready peers, the one that is asked first before the other."""

    def __init__(self):
        self._turn = 0
        self.version = 0

    def ready_others(self):
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


def learn(silent, delay, seconds):
    """Return the version in force after some seconds."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    clock = LoopClock(loop)
    members = FewMembers()
    views = Views(
        Table,
        members,
        SlowPeers(silent, delay),
        "own",
        clock,
        FleetClocks(clock),
        Congestion(clock),
    )
    views.on_table = lambda table: None
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
