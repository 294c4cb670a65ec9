"""What a router takes while it stops, and what becomes of it."""

# What happened: streams were taken 5.2 and 5.9 s after SIGTERM and cut in the
# middle.  A router of three in its data centre got the signal at 3.55 s and
# said that it is not ready.  Others of the fleet were stopped at 2.45, 4.65
# and 5.75 s, so that from 6.89 s on fewer than half of the data centre's
# routers were ready; the balancer then uses all of them again, those that
# stop as well.  Nothing bounded what a stopping router takes: it sent streams
# on at 8.72, 9.43 and 10.36 s, was never idle, and gave all up at the end of
# the grace period (``gateway_stopped busy=4`` at 10.76 s).

import asyncio
import functools
from test.platform_world import config
from test.platform_world import HOST
from test.platform_world import ID_HEADER
from test.platform_world import KEY
from test.platform_world import Platform
from test.platform_world import STAMP_HEADER
import types

import pytest

from bench.ports import free_ports
from rowanport.clock import ManualClock
from rowanport.errors import ErrorKind
from rowanport.errors import RequestError
from rowanport.errors import UpstreamError
from rowanport.gateway import stopping as stops
from rowanport.gateway.stopping import GracefulStop
from rowanport.gateway.views import DISCOVERY_SECONDS
from rowanport.metrics import Metrics
from rowanport.router.callers import CallerServer

GRACE = 8.0
# Seconds between two requests of a caller that never pauses.
PAUSE = 0.05
# Seconds after the signal at which a router no longer lets callers linger.
LINGERED = 3.3
# Seconds that a caller waits for an answer.
WAIT = 5.0


def scenario(body):
    """Return a test that runs a coroutine function with a Platform."""

    def test():
        async def run():
            async with Platform() as platform:
                platform.gateway.settings.stop_grace = GRACE
                await body(platform)

        asyncio.run(run())

    test.__name__ = body.__name__
    test.__doc__ = body.__doc__
    return test


def begin_stop(platform):
    return asyncio.ensure_future(platform.gateway.stop())


async def outcome(asking):
    """Return what a caller may conclude from the answer to a request."""
    try:
        answer = await asking
    except UpstreamError:
        return "unanswered"
    try:
        await answer.read()
    except UpstreamError:
        return "cut"
    if answer.status == 503:
        assert 0 <= float(answer.headers["retry-after"]) <= WAIT / 2
        assert answer.headers["connection"] == "close"
        return "refused"
    return "whole" if answer.status == 200 else answer.status


async def keep_asking(platform, make, stopping):
    """Send requests without a pause until the stop is over.

    :param make: function from a request's id to the coroutine that sends it
    :returns: outcomes by request id
    """
    asked = {}
    while not stopping.done():
        name = f"r{len(asked)}"
        asked[name] = asyncio.ensure_future(outcome(make(name)))
        await asyncio.sleep(PAUSE)
    return {name: await task for name, task in asked.items()}


def run_ids(platform):
    return {head[ID_HEADER] for head in platform.runs}


def sent(platform):
    """Return the number of requests that upstreams have in hand."""
    states = platform.gateway.pool.candidates("feed", (), 0.0)
    return sum(state.outstanding for state in states)


def check_none_cut(platform, outcomes):
    """Check that each was answered whole, or never ran."""
    assert set(outcomes.values()) <= {"whole", "refused", "unanswered"}
    whole = {name for name, end in outcomes.items() if end == "whole"}
    assert run_ids(platform) & set(outcomes) == whole


class RawCaller:
    """A caller that sends bytes as it likes on one connection."""

    def __init__(self, address):
        self._address = address
        self._reader = None
        self._writer = None

    async def open(self):
        host, _, port = self._address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(
            host, int(port)
        )

    async def send(self, data):
        self._writer.write(data)
        await self._writer.drain()

    async def read_answer(self):
        """Return status and headers of an answer, its body read as well."""
        async with asyncio.timeout(20):
            head = await self._reader.readuntil(b"\r\n\r\n")
            first, *rest = head.decode().strip().split("\r\n")
            fields = dict(line.lower().split(": ", 1) for line in rest)
            size = int(fields.get("content-length", 0))
            await self._reader.readexactly(size)
        return int(first.split()[1]), fields

    def close(self):
        self._writer.close()


def head_of(name, path="/once/", size=0):
    lines = (
        f"POST {path} HTTP/1.1",
        f"host: {HOST}",
        f"{ID_HEADER}: {name}",
        f"api-key: {KEY}",
        f"content-length: {size}",
    )
    return "\r\n".join([*lines, "", ""]).encode()


async def answer_late(upstream, connection, writer, names, body):
    """Run a request, and begin its answer a while later."""
    await asyncio.sleep(0.3)
    await upstream._do_ok(connection, writer, names, body)


async def hold_open(platform, name="held"):
    """Begin a stream that lasts beyond the linger; return its outcome."""
    first = platform.upstreams[0]
    for upstream in platform.upstreams:
        upstream.pause = 0.8
    answer = await platform.stream("/stream/", name)
    assert answer.status == 200
    for upstream in platform.upstreams:
        upstream.pause = 0.01
    assert first.events * 0.8 > LINGERED

    async def give():
        return answer

    return asyncio.ensure_future(outcome(give()))


# What is taken.  The route is public: what draws on a budget may be refused
# for want of tokens, which a stopping router hands over.


@scenario
async def test_a_router_that_is_sent_streams_all_along_cuts_none(platform):
    for upstream in platform.upstreams:
        upstream.pause = 0.1
    stopping = begin_stop(platform)
    outcomes = await keep_asking(
        platform,
        lambda name: platform.stream("/open/", name),
        stopping,
    )
    check_none_cut(platform, outcomes)
    assert outcomes["r0"] == "whole"


@scenario
async def test_a_request_is_not_taken_while_the_router_hands_over(platform):
    handed = platform.gateway.budgets.hand_off
    calls = []

    async def hand_over_slowly():
        calls.append(platform)
        if len(calls) > 1:
            await asyncio.sleep(0.6)
        await handed()

    platform.gateway.budgets.hand_off = hand_over_slowly
    for upstream in platform.upstreams:
        upstream.pause = 0.3
    stopping = begin_stop(platform)
    await platform.wait(lambda: len(calls) > 1, 10.0)
    late = await outcome(platform.stream("/open/", "late"))
    assert late == "refused"
    assert run_ids(platform) == set()
    await stopping


class Others:
    """Members of which some others may be ready."""

    def __init__(self):
        self.ready = ["another"]

    def ready_peers(self):
        return self.ready


class Asked:
    """What a GracefulStop sees of a job."""

    def __init__(self, clock, seconds, service="feed"):
        self.arrived = clock.steady()
        self.deadline = self.arrived + seconds
        self.service = service
        self.runs = 0


class Stop:
    """A GracefulStop on a clock that is moved by hand."""

    def __init__(self):
        self.clock = ManualClock()
        self.others = Others()
        self.state = GracefulStop(self.others, self.clock)

    def take(self, seconds, service="feed"):
        """Take a job that has some seconds; return it."""
        job = Asked(self.clock, seconds, service)
        self.state.accept(job)
        return job

    def refusal(self, seconds, service="feed"):
        with pytest.raises(RequestError) as refused:
            self.take(seconds, service)
        assert refused.value.kind is ErrorKind.STOPPING
        return refused.value


def test_after_the_linger_only_what_surely_ends_is_taken():
    stop = Stop()
    held = stop.take(12.0)
    stop.state.begin(GRACE)
    lingering = stop.take(12.0)
    stop.clock.now += stops.DEREGISTRATION_SECONDS + 0.1
    assert stop.refusal(12.0).come_back_at is None
    late = stop.take(1.0)
    stop.state.release(held)
    stop.state.release(lingering)
    # A stream that it waited for is over: such requests prolong it no more.
    stop.refusal(1.0)
    assert not stop.state.finished
    stop.state.release(late)
    assert stop.state.finished
    assert stop.state.refused == 2


def test_a_stop_of_an_idle_router_ends_with_the_linger():
    stop = Stop()
    stop.state.begin(GRACE)
    assert not stop.state.finished
    stop.clock.now += stops.DEREGISTRATION_SECONDS + 0.1
    assert stop.state.finished


def test_what_surely_ends_has_to_end_before_the_cut():
    stop = Stop()
    stop.take(12.0)
    stop.state.begin(GRACE)
    stop.clock.now = stop.state.cutoff_at - 1.0
    stop.refusal(1.0)
    stop.take(0.5)


def test_with_no_time_left_not_even_the_linger_takes_a_request():
    stop = Stop()
    slow = stop.take(12.0, "slow")
    stop.clock.now += 6.0
    stop.state.record_complete(slow)
    stop.state.begin(GRACE)
    stop.take(12.0, "slow")
    stop.clock.now += 2.0
    stop.refusal(12.0, "slow")
    stop.take(12.0, "feed")
    stop.take(1.0, "slow")


def test_a_send_that_hardly_ends_before_the_cut_is_not_made():
    stop = Stop()
    usual = stop.take(12.0)
    stop.clock.now += 1.0
    stop.state.record_complete(usual)
    stop.state.begin(GRACE)
    job = stop.take(12.0)
    stop.state.check_send(job)
    stop.clock.now = stop.state.cutoff_at - 0.5
    with pytest.raises(RequestError) as waited:
        stop.state.check_send(job)
    assert waited.value.kind is ErrorKind.STOPPING
    job.runs = 1
    with pytest.raises(RequestError) as repeated:
        stop.state.check_send(job)
    assert repeated.value.kind is ErrorKind.CUT_BY_STOP


def test_callers_come_back_soon_if_others_are_ready_else_when_one_is():
    stop = Stop()
    stop.state.begin(GRACE)
    stop.clock.now += stops.DEREGISTRATION_SECONDS + 0.1
    assert stop.refusal(12.0).come_back_at is None
    stop.others.ready = []
    back = stop.refusal(12.0).come_back_at
    assert back == stop.clock.now + stops.RESTART_SECONDS


def test_a_short_grace_leaves_time_for_what_is_taken_last():
    stop = Stop()
    stop.state.begin(3.0)
    assert stop.state.deregistered_at < stop.state.cutoff_at - 1.0
    stop.take(12.0)
    stop.clock.now = stop.state.deregistered_at
    stop.refusal(12.0)


@pytest.mark.parametrize("grace", [3.0, 4.0, 5.0, 8.0, 30.0])
def test_nothing_is_cut_before_the_last_sixth_of_the_grace(grace):
    # Up to there an upstream that works on is no reason to cut its answer.
    # With a grace of 3 s answers were cut after 2.0 s, with 5 s after 4.0 s.
    stop = Stop()
    begun_at = stop.clock.steady()
    stop.state.begin(grace)
    assert stop.state.cutoff_at >= begun_at + grace * 5 / 6
    assert stop.state.cutoff_at < begun_at + grace


# Kept connections


@scenario
async def test_a_head_that_is_half_read_is_no_idle_connection(platform):
    caller = RawCaller(platform.callers)
    await caller.open()
    held = await hold_open(platform)
    stopping = begin_stop(platform)
    # A head may take 3 s: the rest comes within that time.
    await asyncio.sleep(1.5)
    await caller.send(head_of("half")[:-2])
    await asyncio.sleep(LINGERED - 1.5)
    await caller.send(b"\r\n")
    status, fields = await caller.read_answer()
    assert status == (200 if "half" in run_ids(platform) else 503)
    assert fields["connection"] == "close"
    caller.close()
    assert await held == "whole"
    await stopping


@scenario
async def test_a_body_that_is_half_read_when_the_linger_ends_is_answered(
    platform,
):
    caller = RawCaller(platform.callers)
    await caller.open()
    await caller.send(head_of("half", size=8) + b"ques")
    held = await hold_open(platform)
    stopping = begin_stop(platform)
    # A body may take 3 s: the rest comes within that time.
    await asyncio.sleep(1.0)
    second = RawCaller(platform.callers)
    await second.open()
    await second.send(head_of("late", size=8) + b"ques")
    await caller.send(b"tion")
    status, _fields = await caller.read_answer()
    assert status == 200
    await asyncio.sleep(LINGERED - 1.0)
    await second.send(b"tion")
    status, fields = await second.read_answer()
    assert status == (200 if "late" in run_ids(platform) else 503)
    assert fields["connection"] == "close"
    caller.close()
    second.close()
    assert await held == "whole"
    await stopping


@scenario
async def test_an_answer_that_begins_after_the_signal_says_close(platform):
    for upstream in platform.upstreams:
        upstream.script = ["delay"]
        upstream._do_delay = functools.partial(answer_late, upstream)
    asking = asyncio.ensure_future(platform.ask("/once/", "before"))
    await platform.wait(lambda: sent(platform) == 1)
    stopping = begin_stop(platform)
    answer = await asking
    assert answer.status == 200
    assert answer.headers["connection"] == "close"
    await answer.read()
    await stopping


@scenario
async def test_a_kept_connection_is_answered_during_the_stop(platform):
    caller = RawCaller(platform.callers)
    await caller.open()
    await caller.send(head_of("first"))
    status, fields = await caller.read_answer()
    assert (status, fields.get("connection")) == (200, None)
    stopping = begin_stop(platform)
    await caller.send(head_of("second"))
    status, fields = await caller.read_answer()
    assert (status, fields["connection"]) == (200, "close")
    caller.close()
    await stopping


# The end of the grace period


@scenario
async def test_what_is_still_running_at_the_end_is_answered_if_it_can_be(
    platform,
):
    platform.gateway.settings.stop_grace = 3.0
    for upstream in platform.upstreams:
        upstream.script = ["hang"]
    asking = asyncio.ensure_future(
        outcome(platform.ask("/open/", "run", x_rowanport_deadline_ms="9000"))
    )
    platform.gateway.table.find_route(HOST, "/open/").timeout = 9.0
    await platform.wait(lambda: run_ids(platform) == {"run"})
    await begin_stop(platform)
    # It may have run: neither a promise nor a closed connection.
    assert await asking in (502, 504)


# Signals


@scenario
async def test_a_router_that_stops_does_not_become_ready_again(platform):
    gateway = platform.gateway
    stopping = begin_stop(platform)
    await asyncio.sleep(0.05)
    await gateway._become_ready()
    gateway.reload(platform.settings(1).gateway)
    answer = await platform.client.request(platform.health, "GET", "/readyz")
    assert (answer.status, gateway.ready) == (503, False)
    assert STAMP_HEADER not in answer.headers
    await stopping


# The own interface


class StoppingRouter:
    """What a CallerServer sees of a router that stops."""

    def __init__(self):
        self.stopping = False
        self.ready = True
        self.metrics = Metrics()


async def own_front(router):
    """Return a CallerServer that listens, and a raw caller of it."""
    (port,) = free_ports(1)
    settings = types.SimpleNamespace(
        callers=types.SimpleNamespace(
            header_limit=16384,
            body_limit=10000,
            header_timeout=5.0,
            body_timeout=5.0,
            connections=10,
        ),
        scheduling=types.SimpleNamespace(retry_after=1.0),
    )
    front = CallerServer(router, settings)
    await front.start("127.0.0.1", port)
    caller = RawCaller(f"127.0.0.1:{port}")
    await caller.open()
    return front, caller


def test_the_own_interface_closes_what_it_refuses_in_a_stop():
    # What happened: a refused caller was not told that the connection goes,
    # and sent its next request into the close.
    async def run():
        router = StoppingRouter()
        front, caller = await own_front(router)
        await caller.send(head_of("first"))
        status, fields = await caller.read_answer()
        assert (status, fields.get("connection")) == (404, None)
        router.stopping = True
        front.drain()
        await caller.send(head_of("second"))
        status, fields = await caller.read_answer()
        assert (status, fields["connection"]) == (503, "close")
        caller.close()
        await front.close()

    asyncio.run(run())


def test_the_own_interface_answers_a_head_that_is_half_read():
    # What happened: a request of which a part had come did not count as in
    # hand, and a stop dropped it without an answer.
    async def run():
        router = StoppingRouter()
        front, caller = await own_front(router)
        await caller.send(head_of("half")[:-2])
        while not front.busy:
            await asyncio.sleep(0.01)
        router.stopping = True
        front.drain()
        finishing = asyncio.ensure_future(front.finish(5.0))
        await asyncio.sleep(0.1)
        await caller.send(b"\r\n")
        status, _fields = await caller.read_answer()
        assert status == 503
        await finishing
        assert front.busy == 0
        caller.close()
        await front.close()

    asyncio.run(run())


# Views


@scenario
async def test_a_router_that_stops_with_all_others_follows_the_store(platform):
    # What happened: a router that leaves is no follower of the store, and
    # asks others only while they are ready.  When all stopped together none
    # learned of a change, while they served for up to 7 s.
    views = platform.gateway._views
    views._started -= 2 * DISCOVERY_SECONDS
    assert not views.starting_up and views.watches_store
    held = await hold_open(platform)
    stopping = begin_stop(platform)
    # A question to the store that is open already still has its answer.
    for version in (9, 10):
        await platform.store.put("op/config", config(version=version))
        await platform.wait(lambda: views.table.version == version, 4.0)
    assert await held == "whole"
    await stopping
