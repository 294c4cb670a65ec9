"""Answers whose upstream falls silent for a while, and works on."""

# Four streams at one upstream were cut around a planned stop of their router.
# An upstream that pauses for more than 1.5 s within a stream that may be
# resumed was given up first, and only then was it asked whether the stream may
# go on elsewhere.  When that was refused the caller's stream was cut, though
# its upstream would have gone on a moment later.  With a pause of 1.8 s, 2.8 s
# after the signal to stop, the log says `send ... outcome=failed why="the
# answer fell silent"`, then `request ... outcome=cut_by_stop why="too late for
# a send" events=4`, 2.7 s before the cut; six streams at one upstream: six
# cut, with a pause of 1.2 s none.  Without a stop, six streams and an
# allowance of three repeats: three cut (`outcome=upstream_failed`).

import asyncio
from test.platform_world import config
from test.platform_world import HOST as NAME
from test.platform_world import ID_HEADER
from test.platform_world import KEY
from test.platform_world import route
from test.test_silence import run_on_net
from test.test_silence import settings
from test.test_silence import STORE
from test.virtual import LoopClock
from test.virtual_net import HOST

import h11

from rowanport.errors import UpstreamError
from rowanport.platform.__main__ import build
from rowanport.standins.kvstore import StoreStandin
from rowanport.standins.upstream import UpstreamStandin
from rowanport.web import HttpClient

ROUTER = "10.0.0.1"
GRACE = 8.0
# Seconds in which a run has to end once another one has begun.
OVERLAP = 0.4
FOREVER = 100.0
STREAMS = ("/stream/", "/plainstream/")


class Run:
    """One run at an upstream.

    :ivar begun: the loop's time of its first event, None before it
    :ivar ended: the loop's time of its end, None while it works
    :ivar broken_off: whether the router closed its connection
    """

    __slots__ = (
        "upstream",
        "request",
        "first",
        "begun",
        "ended",
        "broken_off",
    )

    def __init__(self, upstream, request, first):
        self.upstream = upstream
        self.request = request
        self.first = first
        self.begun = None
        self.ended = None
        self.broken_off = False


class PausingUpstream(UpstreamStandin):
    """An upstream that pauses before some events of its streams.

    :ivar pauses: seconds by the number of the event that they precede
    :ivar late: seconds before the first byte of an answer
    :ivar full: whether it takes nothing
    :ivar runs: its Runs
    """

    def __init__(self, name):
        super().__init__(name, events=8)
        self.pause = 0.1
        self.pauses = {}
        self.late = 0.0
        self.full = False
        self.runs = []

    async def _do_ok(self, connection, writer, names, body):
        if self.full:
            await self._do_full(connection, writer, names, body)
            return
        await asyncio.sleep(self.late)
        first = int(names.get("last-event-id", 0)) + 1
        run = Run(self.name, names[ID_HEADER], first)
        self.runs.append(run)
        try:
            if "x-rowanport-token-count" in names:
                await self._make_events(run, connection, writer, names)
            else:
                data = b"body of " + run.request.encode()
                self._send(connection, writer, 200, self._head(names), data)
        finally:
            run.ended = asyncio.get_running_loop().time()
            run.broken_off = writer.is_closing()

    async def _make_events(self, run, connection, writer, names):
        head = self._head(names, content_type="text/event-stream")
        response = h11.Response(status_code=200, headers=head)
        for number in range(run.first, self.events + 1):
            pause = self.pauses.get(number, self.pause)
            if not await self._wait(pause, writer):
                return
            if response is not None:
                run.begun = asyncio.get_running_loop().time()
                writer.write(connection.send(response))
                response = None
            data = f"id: {number}\ndata: {run.request}\n\n".encode()
            writer.write(connection.send(h11.Data(data=data)))
        writer.write(connection.send(h11.EndOfMessage()))

    async def _wait(self, seconds, writer):
        """Pause; return whether the connection is still open."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            if writer.is_closing():
                return False
            await asyncio.sleep(0.01)
        return True


class Scene:
    """A router, its store and two upstreams on a VirtualNet."""

    def __init__(self, loop, net):
        self.loop = loop
        self.store = StoreStandin()
        self.upstreams = [PausingUpstream("one"), PausingUpstream("two")]
        self.gateway = None
        self._clock = LoopClock(loop)

    @property
    def runs(self):
        """Return the Runs of all upstreams."""
        return [run for upstream in self.upstreams for run in upstream.runs]

    async def start(self, slack=50, prepaid=100000):
        """Start all, and wait until the router serves.

        :param slack: repeats that the router may make at any time
        """
        HOST.set(STORE)
        await self.store.start_at(STORE, 80)
        await self.store.put("op/config", self._config(prepaid))
        for number, upstream in enumerate(self.upstreams, 1):
            HOST.set(f"10.9.0.{number}")
            await upstream.start_at(HOST.get(), 80)
            await self.store.put(f"servers/{upstream.name}", upstream.entry())
        HOST.set(ROUTER)
        platform = settings(ROUTER, [ROUTER])
        platform.gateway.stop_grace = GRACE
        platform.gateway.retry_slack = slack
        platform.gateway.retry_ratio = 0.1
        self.gateway = build(platform, self._clock)
        await self.gateway.start()
        HOST.set("caller")
        await asyncio.sleep(8.0)
        assert self.gateway.ready

    def _config(self, prepaid):
        long = {"timeout_ms": 15000, "gap_aim_ms": 400}
        routes = [
            route("/stream/", "streaming", stream_resume=True, **long),
            route("/safe/", "idempotent", timeout_ms=4000),
        ]
        return config(1, prepaid, routes=routes)

    def pause_all(self, number, seconds):
        """Let all upstreams pause before an event."""
        for upstream in self.upstreams:
            upstream.pauses = {number: seconds}

    async def ask(self, name, path="/stream/", tokens="100,30"):
        """Send a request; return "whole" or what became of it."""
        fields = [
            ("host", NAME),
            (ID_HEADER, name),
            ("api-key", KEY),
            ("x-rowanport-deadline-ms", "15000"),
        ]
        if path in STREAMS:
            fields += [
                ("x-rowanport-token-count", tokens),
                ("x-rowanport-prompt-prefix", "aa:60,bb:40"),
                ("x-rowanport-model", "m"),
            ]
        client = HttpClient()
        try:
            answer = await client.request(
                f"{ROUTER}:80", "POST", path, b"q", fields
            )
            data = await answer.read()
        except UpstreamError:
            return "cut"
        if answer.status != 200:
            return answer.status
        self._check(name, path, data)
        return "whole"

    def _check(self, name, path, data):
        expected = b"body of " + name.encode()
        if path in STREAMS:
            events = [
                f"id: {number}\ndata: {name}\n\n".encode()
                for number in range(1, self.upstreams[0].events + 1)
            ]
            expected = b"".join(events)
        assert data == expected

    async def begin(self, **options):
        """Ask for a stream; return its task, its upstream, the others."""
        asking = asyncio.ensure_future(self.ask("r", **options))
        await asyncio.sleep(0.25)
        (run,) = self.runs
        first = next(u for u in self.upstreams if u.name == run.upstream)
        return asking, first, [u for u in self.upstreams if u is not first]

    async def ask_many(self, count, **options):
        """Send requests together; return what became of them, in order."""
        asking = [self.ask(f"r{n}", **options) for n in range(count)]
        return await asyncio.gather(*asking)

    def check_overlap(self):
        """Check that of two runs of a request the first one soon ends."""
        begun = [run for run in self.runs if run.begun is not None]
        for run in begun:
            for later in begun:
                if later.request == run.request and later.begun > run.begun:
                    assert run.ended <= later.begun + OVERLAP

    async def close(self):
        await self.gateway.close()
        await self.store.close()


def scene(**options):
    """Return a decorator of tests that are given a started Scene."""

    def decorate(body):
        def test():
            async def run(loop, net):
                scene = Scene(loop, net)
                await scene.start(**options)
                await body(scene)
                await scene.close()

            run_on_net(run)

        test.__name__ = body.__name__
        return test

    return decorate


async def stop_in_silence(scene, pause):
    """Stop the router while six streams pause; return their outcomes."""
    # Streams of this service usually take 3 s, as the router has seen.
    scene.gateway.stopping._durations.record("feed", 3.0)
    for upstream in scene.upstreams:
        upstream.pause = 0.7
    scene.pause_all(5, pause)
    asking = asyncio.ensure_future(scene.ask_many(6))
    # The fourth event comes 2.8 s after the signal.
    stopping = asyncio.ensure_future(scene.gateway.stop())
    outcomes = await asking
    await stopping
    return outcomes


# A stop


@scene()
async def test_a_pause_cuts_no_stream_of_a_router_that_stops(scene):
    assert await stop_in_silence(scene, 1.8) == ["whole"] * 6
    assert scene.gateway.stopping.cut == 0
    assert not any(run.broken_off for run in scene.runs)


@scene()
async def test_a_short_pause_cuts_no_stream_of_a_router_that_stops(scene):
    assert await stop_in_silence(scene, 1.2) == ["whole"] * 6


# The allowance of repeats


@scene(slack=4)
async def test_a_pause_cuts_no_stream_that_may_not_be_repeated(scene):
    scene.pause_all(4, 2.2)
    assert await scene.ask_many(6) == ["whole"] * 6
    scene.check_overlap()


@scene(slack=0)
async def test_a_late_first_event_ends_no_stream_without_a_repeat(scene):
    scene.pause_all(1, 1.5)
    assert await scene.ask_many(2) == ["whole"] * 2


@scene(slack=0)
async def test_a_late_answer_ends_no_plain_request_without_a_repeat(scene):
    for upstream in scene.upstreams:
        upstream.late = 2.5
    assert await scene.ask_many(2, path="/safe/") == ["whole"] * 2


# Who can take it


@scene()
async def test_a_pause_cuts_no_stream_that_nobody_else_takes(scene):
    asking, first, (second,) = await scene.begin()
    (run,) = scene.runs
    first.pauses = {4: 2.2}
    second.full = True
    assert await asking == "whole"
    assert not run.broken_off


@scene()
async def test_a_pause_cuts_no_stream_of_the_only_upstream(scene):
    await scene.store.remove("servers/two")
    await asyncio.sleep(4.0)
    scene.pause_all(4, 2.2)
    assert await scene.ask("r") == "whole"


@scene()
async def test_a_stream_goes_on_where_it_first_does(scene):
    # The one that paused is back before the other one has begun.
    asking, first, (second,) = await scene.begin()
    (run,) = scene.runs
    first.pauses = {4: 2.2}
    second.pauses = {number: 3.0 for number in range(1, 9)}
    assert await asking == "whole"
    assert not run.broken_off
    scene.check_overlap()


# What must still move on


@scene()
async def test_a_stream_moves_on_from_an_upstream_that_stays_silent(scene):
    asking, first, _others = await scene.begin()
    first.pauses = {4: FOREVER}
    begun = scene.loop.time()
    assert await asking == "whole"
    # Callers give a stream up after 3.2 s without an event.
    assert scene.loop.time() - begun < 3.2
    assert len(scene.runs) == 2
    scene.check_overlap()


@scene()
async def test_a_stream_moves_on_during_a_stop_while_there_is_time(scene):
    asking, first, _others = await scene.begin()
    first.pauses = {4: FOREVER}
    stopping = asyncio.ensure_future(scene.gateway.stop())
    assert await asking == "whole"
    assert len(scene.runs) == 2
    await stopping


@scene()
async def test_a_plain_request_moves_on_from_a_silent_upstream(scene):
    first = scene.upstreams[0]
    first.late = FOREVER
    assert await scene.ask_many(8, path="/safe/") == ["whole"] * 8


# Tokens


@scene()
async def test_a_repeat_beside_a_silent_run_is_paid_for(scene):
    account = scene.gateway.budgets.accounts["org"]
    before = account.outflow
    asking, first, _others = await scene.begin(tokens="100,30")
    assert account.outflow - before == 130
    first.pauses = {4: FOREVER}
    await asyncio.sleep(1.7)
    # Nine tokens of three events are passed on; the silent run may have made
    # the rest as well.
    assert account.outflow - before == 130 + 21
    assert await asking == "whole"
    assert account.outflow - before == 130 + 21


@scene(prepaid=150)
async def test_a_stream_waits_where_a_repeat_cannot_be_paid(scene):
    scene.pause_all(4, 2.2)
    assert await scene.ask("r") == "whole"
    assert len(scene.runs) == 1
