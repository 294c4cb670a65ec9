"""Selection of engines for prompts, and announcements of sends to peers."""

import asyncio

import pytest

from rowanport.gateway import backlog
from rowanport.gateway import stream_pauses
from rowanport.gateway.backlog import Backlog
from rowanport.gateway.backlog import DEFAULT_RATE
from rowanport.gateway.choice import NearestChoice
from rowanport.gateway.choice import PrefixChoice
from rowanport.gateway.job import Job
from rowanport.gateway.job import Tokens
from rowanport.gateway.load_sync import ANNOUNCEMENTS_PER_SECOND
from rowanport.gateway.load_sync import LoadSync
from rowanport.gateway.load_sync import MIN_ANNOUNCED_TOKENS
from rowanport.gateway.pool import UpstreamPool
from rowanport.gateway.prefix_map import KEEP_SECONDS
from rowanport.gateway.prefix_map import PrefixMap
from rowanport.gateway.upstream import Upstream
from rowanport.hashing import hash_of
from rowanport.hashing import rendezvous
from rowanport.incarnation import address_of
from rowanport.peers import PeerClient
from rowanport.routing.table import Route
from rowanport.routing.table import RouteKind
from rowanport.schema.messages import Ack
from rowanport.schema.messages import LoadNote
from rowanport.wire import PeerServer

SERVICE = "llm"
ENGINES = ("e1", "e2", "e3", "e4")
OBJECTIVE = 0.8


class FakeClock:
    def __init__(self):
        self.now = 100.0

    def steady(self):
        return self.now


class FakePeers:
    """Delivers LoadNotes to other routers immediately."""

    def __init__(self):
        self.routers = {}
        self.announced = []

    def tell(self, addresses, note):
        for address in addresses:
            self.announced.append(note)
            self.routers[address].load_sync.receive(note)


class FakeMembers:
    def __init__(self, others, own):
        self._others = others
        self._own = own

    def ready_peers(self):
        return list(self._others)

    live_peers = ready_peers

    def delegates(self, kind, least, share):
        names = [self._own, *map(address_of, self._others)]
        return rendezvous(kind, names)[: max(least, int(share * len(names)))]


class FakeRouter:
    """A router's view of the engines, without a network."""

    def __init__(self, clock, peers, name, others=()):
        self.clock = clock
        self.pool = UpstreamPool()
        self.pool.update(
            {
                name: Upstream(
                    name, SERVICE, f"{name}:1", f"hall-{index % 2}", 64, False
                )
                for index, name in enumerate(ENGINES)
            }
        )
        self.prefixes = PrefixMap()
        self.choice = PrefixChoice("hall-0", self.prefixes)
        self.load_sync = LoadSync(
            self.pool,
            self.prefixes,
            peers,
            FakeMembers(others, name),
            name,
            clock,
        )
        peers.routers[name] = self

    def send(self, job):
        """Send a job to the engine chosen for it; return the engine's id."""
        now = self.clock.now
        candidates = self.pool.candidates(SERVICE, (), now)
        state = self.choice.choose(candidates, job, now)
        unread = self.choice.uncached_tokens(state, job, now)
        self.load_sync.record_send(state, job.prefix, unread)
        return state.record.id


def make_route(gap_objective):
    targets = [(SERVICE, 1)]
    return Route(
        "r",
        "h",
        "/",
        RouteKind.STREAM,
        targets,
        12.0,
        OBJECTIVE,
        gap_objective=gap_objective,
    )


def make_job(prefix="night", shared=13000, own=4000, gap_objective=0.0):
    job = Job(None, "id", make_route(gap_objective), SERVICE, 100.0)
    job.tokens = Tokens(shared + own, 100)
    job.affinity = prefix
    job.prefix = hash_of(prefix)
    job.shared_tokens = shared
    return job


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def router(clock):
    return FakeRouter(clock, FakePeers(), "one")


# Backlogs


def test_a_backlog_shrinks_as_the_engine_reads():
    pending = Backlog()
    assert pending.add(DEFAULT_RATE, 10.0) == DEFAULT_RATE
    assert pending.tokens(10.5) == DEFAULT_RATE / 2
    assert pending.tokens(12.0) == 0


def test_the_rate_follows_measurements_within_bounds():
    pending = Backlog()
    for _send in range(20):
        pending.update_rate(10000, 10000 / (DEFAULT_RATE / 4))
    assert pending.rate == pytest.approx(DEFAULT_RATE / 4, rel=0.01)
    # Small prompts and cached ones do not change the rate.
    pending.update_rate(backlog.MIN_MEASURED_TOKENS - 1, 9.0)
    pending.update_rate(10000, 0.0)
    assert pending.rate == pytest.approx(DEFAULT_RATE / 4, rel=0.01)
    for _send in range(40):
        pending.update_rate(10000, 0.001)
    assert pending.rate <= backlog.MAX_RATE


# Choice


def test_a_prompt_goes_to_the_engine_that_has_it_cached(router):
    first = router.send(make_job())
    router.clock.now += 2.0
    assert {router.send(make_job()) for _send in range(3)} == {first}


def test_another_engine_is_used_once_a_prompt_would_be_late(router):
    sends = [router.send(make_job()) for _send in range(6)]
    assert sends[0] == sends[1] == sends[2]
    assert len(set(sends)) > 1


def test_a_prompt_that_is_late_everywhere_is_not_read_again(router):
    first = router.send(make_job())
    for name in ENGINES:
        router.pool.get(name).backlog.add(90000, router.clock.now)
    assert router.send(make_job()) == first


def test_uncached_prompts_spread_over_the_engines(router):
    sends = [router.send(make_job(f"prompt-{n}")) for n in range(4)]
    assert len(set(sends)) == 4


def test_after_a_restart_a_prompt_goes_to_the_first_in_its_order(router):
    job = make_job()
    order = rendezvous(job.affinity, ENGINES)
    router.pool.get(order[0]).backlog.add(3000, router.clock.now)
    assert router.send(job) == order[0]


def test_a_cached_prompt_expires(clock, router):
    router.prefixes.record(1, "e1", clock.now)
    assert set(router.prefixes.engines_with(1, clock.now)) == {"e1"}
    assert not router.prefixes.engines_with(1, clock.now + KEEP_SECONDS + 1)


def test_short_prompts_stay_in_the_own_data_centre_while_in_time(router):
    short = make_job("label", shared=300, own=1100)
    near = {"e1", "e3"}
    assert {router.send(short) for _send in range(4)} <= near
    for name in near:
        router.pool.get(name).backlog.add(60000, router.clock.now)
    assert router.send(short) not in near


# Guards against streams that pause although their first events are in time.
# A slow engine reads a long prompt in pieces between the tokens of its
# streams; three such steps, which make one event, took longer than the
# objective of 300 ms.  As only the wait for the first event was considered,
# the next short prompt went to the same engine.  On a deployment with engines
# of different speed, on a day of low load, 180 of 860 short prompts had such a
# pause, 122 of them at two of six engines (47 of 65 and 75 of 188).  It shows
# in first_ms, pause_ms and upstream of the "request" log lines.


def send_short(router, pause=0.0, count=1):
    """Send short prompts whose streams pause; return their engines."""
    sends = []
    for _send in range(count):
        job = make_job("label", shared=300, own=100, gap_objective=0.3)
        sends.append(router.send(job))
        job.longest_pause = pause
        job.complete = True
    return sends


def test_short_prompts_leave_an_engine_whose_streams_pause(clock, router):
    (paused,) = send_short(router, pause=0.4)
    (other,) = {"e1", "e3"} - {paused}
    assert set(send_short(router, count=4)) == {other}
    # Another data centre is preferred to engines with pauses.
    for _stream in range(stream_pauses.TRACKED_STREAMS):
        record_pause(router, paused)
        record_pause(router, other)
    assert not set(send_short(router, count=4)) & {paused, other}


def test_one_pause_among_many_streams_changes_nothing(router):
    engines = send_short(router, count=4)
    assert len(set(engines)) == 1
    assert send_short(router, pause=0.4) == engines[:1]
    assert send_short(router) == engines[:1]


def test_pauses_everywhere_change_nothing(clock, router):
    send_short(router, pause=0.4, count=40)
    assert set(send_short(router, count=4)) <= {"e1", "e3"}


def test_a_pause_expires(clock, router):
    paused = send_short(router, pause=0.4)
    clock.now += stream_pauses.KEEP_SECONDS + 1
    assert send_short(router) == paused


def test_a_long_prompt_goes_to_the_cache_with_the_fewest_pauses(router):
    for name in ("e1", "e2"):
        router.prefixes.record(hash_of("night"), name, router.clock.now)
    first = router.send(make_job())
    (other,) = {"e1", "e2"} - {first}
    router.clock.now += 2.0
    record_pause(router, first)
    assert router.send(make_job()) == other
    # Reading the prompt again at another engine costs more than a pause.
    record_pause(router, other)
    router.clock.now += 2.0
    assert router.send(make_job()) in ("e1", "e2")


def record_pause(router, engine):
    """Record a stream at an engine with a pause above its objective."""
    job = make_job(gap_objective=0.3)
    router.pool.get(engine).stream_pauses.track(job, router.clock.now)
    job.longest_pause = 0.4


def test_pauses_before_a_stream_is_resumed_do_not_count():
    job = make_job(gap_objective=0.3)
    job.events = 3
    job.longest_pause = 1.5
    pauses = stream_pauses.StreamPauses()
    pauses.track(job, 100.0)
    assert pauses.paused_share(100.0) == 0


def test_plain_upstreams_are_chosen_by_outstanding_requests(router):
    candidates = router.pool.candidates(SERVICE, (), 100.0)
    choice = NearestChoice("hall-0")
    job = make_job()
    job.affinity = ""
    first = choice.choose(candidates, job, 100.0)
    assert first.record.data_centre == "hall-0"
    for state in candidates:
        state.outstanding = 9 if state.record.data_centre == "hall-0" else 0
    assert choice.choose(candidates, job, 100.0).record.data_centre == "hall-1"


# Announcements to peers


def most_sends_to_one(clock, count, announced):
    """Send two prompts per router at once; return the most per engine."""
    peers = FakePeers()
    names = [f"r{number}" for number in range(count)]
    routers = [
        FakeRouter(
            clock, peers, f"x/{name}/1", _others(names, name, announced)
        )
        for name in names
    ]
    peers.routers = {name: r for name, r in zip(names, routers)}
    sends = [one.send(make_job(f"p{n}")) for n, one in enumerate(routers * 2)]
    return max(sends.count(name) for name in ENGINES)


def _others(names, own, announced):
    return [f"x/{name}/1" for name in names if announced and name != own]


def test_announcements_keep_routers_from_choosing_one_engine(clock):
    # When each router knew only its own sends, eight concurrent prompts went
    # to one engine, and the first events of all of them were late.
    assert most_sends_to_one(clock, 6, announced=True) == 3
    assert most_sends_to_one(clock, 6, announced=False) > 3


def test_short_prompts_are_not_announced(clock):
    peers = FakePeers()
    peers.routers["r2"] = FakeRouter(clock, peers, "other")
    router = FakeRouter(clock, peers, "one", ["x/r2/1"])
    router.send(make_job(shared=0, own=MIN_ANNOUNCED_TOKENS - 1))
    assert not peers.announced
    router.send(make_job(shared=0, own=MIN_ANNOUNCED_TOKENS))
    assert [note.tokens for note in peers.announced] == [MIN_ANNOUNCED_TOKENS]


def test_a_busy_router_announces_to_a_sample_of_peers(clock):
    peers = FakePeers()
    names = [f"r{number}" for number in range(100)]
    for name in names:
        peers.routers[name] = FakeRouter(clock, peers, "other")
    others = [f"x/{name}/1" for name in names]
    router = FakeRouter(clock, peers, "one", others)
    for _number in range(100):
        clock.now += 0.1
        router.send(make_job(shared=0, own=MIN_ANNOUNCED_TOKENS))
    announced = len(peers.announced) / (100 * 0.1)
    assert (
        0.8 * ANNOUNCEMENTS_PER_SECOND
        < announced
        < 1.6 * ANNOUNCEMENTS_PER_SECOND
    )


def test_an_announcement_of_an_unlisted_upstream_is_ignored(router):
    router.load_sync.apply(LoadNote("gone", 1, 5000, "peer"))
    assert all(
        router.pool.get(name).backlog.tokens(100.0) == 0 for name in ENGINES
    )


def test_messages_that_need_no_answer_get_none():
    received = []

    async def handle(message):
        received.append(message)
        return Ack()

    async def run():
        server = PeerServer(handle, "secret")
        await server.start("127.0.0.1", 0)
        port = server._server.sockets[0].getsockname()[1]
        address = f"127.0.0.1:{port}"
        peers = PeerClient("x/y/1", "secret")
        # Without an open connection the message is dropped.
        peers.tell([address], LoadNote("lost", 1, 1, "own"))
        await peers.call(address, Ack(), 5.0)
        peers.tell([address], LoadNote("e1", 2, 3, "own"))
        await peers.call(address, Ack(), 5.0)
        peers.close()
        await server.close()

    asyncio.run(run())
    notes = [one for one in received if isinstance(one, LoadNote)]
    assert [(n.upstream, n.prefix, n.tokens) for n in notes] == [("e1", 2, 3)]
