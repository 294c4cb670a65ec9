"""Announcements of long prompts in a fleet too large for direct messages."""

import asyncio
from test.test_choice import FakeClock
from test.test_choice import FakePeers
from test.test_choice import FakeRouter
from test.test_choice import make_job
from test.test_views import FewMembers
from test.test_views import make_views
from test.virtual import VirtualLoop

import pytest

from rowanport.gateway.load_history import ANSWER_LIMIT
from rowanport.gateway.load_sync import MIN_ANNOUNCED_TOKENS
from rowanport.gateway.store_watchers import store_watchers
from rowanport.schema.messages import LoadNote

SIZE = 100


@pytest.fixture
def clock():
    return FakeClock()


class LargeFleet:
    """A hundred routers, few of which receive a LoadNote directly."""

    def __init__(self, clock):
        self.peers = FakePeers()
        names = [f"r{number}" for number in range(SIZE)]
        self.routers = {}
        for name in names:
            others = [f"x/{other}/1" for other in names if other != name]
            router = FakeRouter(clock, self.peers, name, others)
            self.routers[name] = router
        self.watchers = store_watchers(self.routers["r0"].load_sync._members)
        self.others = [name for name in names if name not in self.watchers]

    def backlog(self, name, engine):
        pool = self.routers[name].pool
        return pool.get(engine).backlog.tokens(100.0)


def send(router):
    return router.send(make_job(shared=0, own=MIN_ANNOUNCED_TOKENS))


def test_a_router_that_polls_receives_announcements(clock):
    # When LoadNotes only went to peers with an open connection, 8 to about 60
    # of 194 routers got them, and the others sent to the same engines.
    fleet = LargeFleet(clock)
    sender, asker = fleet.others[:2]
    engine = send(fleet.routers[sender])
    assert fleet.backlog(asker, engine) == 0
    watcher = fleet.routers[fleet.watchers[0]]
    for note in watcher.load_sync.recent(0.25, asker):
        fleet.routers[asker].load_sync.apply(note)
    assert fleet.backlog(asker, engine) == MIN_ANNOUNCED_TOKENS


def test_answers_omit_own_sends_and_are_not_repeated(clock):
    fleet = LargeFleet(clock)
    sender, asker = fleet.others[:2]
    send(fleet.routers[sender])
    watcher = fleet.routers[fleet.watchers[0]]
    assert not watcher.load_sync.recent(0.25, sender)
    asks = fleet.routers[asker].load_sync
    clock.now += 0.25
    assert 0 < asks.advance_poll_window() <= 0.25
    clock.now += 0.25
    assert not watcher.load_sync.recent(asks.advance_poll_window(), asker)


def test_routers_with_direct_announcements_do_not_poll(clock):
    fleet = LargeFleet(clock)
    small = FakeRouter(clock, fleet.peers, "alone", ["x/r1/1"])
    clock.now += 0.25
    assert (
        fleet.routers[fleet.watchers[0]].load_sync.advance_poll_window() == 0
    )
    assert small.load_sync.advance_poll_window() == 0


def test_an_answer_is_limited_to_the_largest_prompts(clock):
    fleet = LargeFleet(clock)
    watcher = fleet.routers[fleet.watchers[0]].load_sync
    for number in range(5 * ANSWER_LIMIT):
        watcher.receive(
            LoadNote("e1", number, MIN_ANNOUNCED_TOKENS + number, "r")
        )
    notes = watcher.recent(0.25, "asker")
    assert len(notes) == ANSWER_LIMIT
    assert (
        min(note.tokens for note in notes)
        >= MIN_ANNOUNCED_TOKENS + 4 * ANSWER_LIMIT
    )
    clock.now += 5.0
    watcher.receive(LoadNote("e1", 1, MIN_ANNOUNCED_TOKENS, "r"))
    assert len(watcher.recent(10.0, "asker")) == 1


class Answerer:
    """A PeerClient whose calls are answered by another router's Views."""

    def __init__(self, views):
        self._views = views

    def last_trip(self, address):
        return 0.0

    async def call(self, address, message, timeout, repeatable):
        copy = type(message).unpack(message.pack())
        answer = self._views.handle(copy)
        return type(answer).unpack(answer.pack())


def test_answers_to_view_polls_contain_announcements(clock):
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    fleet = LargeFleet(clock)
    sender, asker = fleet.others[:2]
    answering = make_views(loop, FewMembers(), None)
    answering.loads = fleet.routers[fleet.watchers[0]].load_sync
    asking = make_views(loop, FewMembers(), Answerer(answering))
    asking.loads = fleet.routers[asker].load_sync
    clock.now += 0.1
    engine = send(fleet.routers[sender])
    clock.now += 0.1
    loop.run_until_complete(asking.ask("follower"))
    loop.close()
    pool = fleet.routers[asker].pool
    assert pool.get(engine).backlog.tokens(clock.now) > 0
