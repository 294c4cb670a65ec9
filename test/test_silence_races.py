"""Two upstreams that work on one request, and what is left of both."""

# A run is let go only once another one is sure to go on; each test says in its
# first lines what the caller, the engines or the books would lose else.

import asyncio
import gc
import json
from test.platform_world import config
from test.platform_world import route
from test.test_silence import end_tasks
from test.test_silence import run_on_net
from test.test_silence import settings
from test.test_silent_upstreams import FOREVER
from test.test_silent_upstreams import PausingUpstream
from test.test_silent_upstreams import Run
from test.test_silent_upstreams import Scene
from test.virtual import LoopClock
from test.virtual import VirtualLoop
from test.virtual_net import HOST
from test.virtual_net import VirtualNet
from unittest import mock

import h11
import pytest
from structlog.testing import capture_logs

from rowanport.errors import RequestError
from rowanport.platform.__main__ import build
from rowanport.router.chat import ChatRunner
from rowanport.router.runner import Job
from rowanport.upstreams import EngineClient
from rowanport.web import HttpClient
from rowanport.web import HttpServer
from rowanport.web.client import HttpAnswer

SECOND_ROUTER = "10.0.0.2"
# Seconds that an upstream may work on after its caller has left.
GONE_SECONDS = 0.5
END = b"\n\n"


class OddUpstream(PausingUpstream):
    """A pausing upstream with more ways to go on badly.

    :ivar asked: times of the requests that it was sent
    :ivar rejected: times of the requests that it rejected
    :ivar body_late: seconds between head and body of a plain answer
    :ivar half: whether a stream breaks off within its first event
    :ivar half_seconds: after how many seconds it does
    :ivar torn: whether a plain answer breaks off within its body
    """

    def __init__(self, name):
        super().__init__(name)
        self.asked = []
        self.rejected = []
        self.body_late = 0.0
        self.half = False
        self.half_seconds = 0.05
        self.torn = False

    async def _do_full(self, connection, writer, names, body):
        self.rejected.append(asyncio.get_running_loop().time())
        await super()._do_full(connection, writer, names, body)

    async def _do_ok(self, connection, writer, names, body):
        self.asked.append(asyncio.get_running_loop().time())
        plain = "x-rowanport-token-count" not in names
        if self.full or not (plain and (self.body_late or self.torn)):
            return await super()._do_ok(connection, writer, names, body)
        await asyncio.sleep(self.late)
        run = Run(self.name, names["x-rowanport-request-id"], 1)
        self.runs.append(run)
        data = b"body of " + run.request.encode()
        head = [*self._head(names), ("content-length", str(len(data)))]
        response = h11.Response(status_code=200, headers=head)
        writer.write(connection.send(response))
        await asyncio.sleep(self.body_late)
        if self.torn:
            writer.transport.abort()
            return
        writer.write(connection.send(h11.Data(data=data)))
        writer.write(connection.send(h11.EndOfMessage()))

    async def _make_events(self, run, connection, writer, names):
        if self.half:
            head = self._head(names, content_type="text/event-stream")
            response = h11.Response(status_code=200, headers=head)
            writer.write(connection.send(response))
            data = f"id: {run.first}\nda".encode()
            writer.write(connection.send(h11.Data(data=data)))
            await self._wait(self.half_seconds, writer)
            writer.transport.abort()
            return
        await super()._make_events(run, connection, writer, names)


class OddScene(Scene):
    """A Scene with more upstreams, sends and routers.

    :param count: upstreams
    :param sends: runs that a route allows
    """

    def __init__(self, loop, net, count=2, sends=2):
        super().__init__(loop, net)
        self.upstreams = [OddUpstream(f"u{n}") for n in range(count)]
        self.sends = sends
        self.net = net
        self.second = None

    def _config(self, prepaid):
        sends = {"max_attempts": self.sends}
        long = {"timeout_ms": 15000, "gap_aim_ms": 400, **sends}
        routes = [
            route("/stream/", "streaming", stream_resume=True, **long),
            route("/safe/", "idempotent", timeout_ms=4000, **sends),
            route("/once/", "non_idempotent", timeout_ms=4000, max_attempts=1),
        ]
        return config(1, prepaid, routes=routes)

    async def start_second(self):
        """Start a second router, and wait until both know each other."""
        HOST.set(SECOND_ROUTER)
        platform = settings(SECOND_ROUTER, ["10.0.0.1", SECOND_ROUTER])
        self.second = build(platform, self._clock)
        await self.second.start()
        HOST.set("caller")
        async with asyncio.timeout(20.0):
            while len(self.gateway.members.ready_peers()) < 1:
                await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)

    @property
    def outstanding(self):
        """Return the requests that are counted at upstreams."""
        pool = self.gateway.pool
        return [pool.get(u.name).outstanding for u in self.upstreams]


def odd_scene(count=2, sends=2, **options):
    """Return a decorator of tests that are given a started OddScene."""

    def decorate(body):
        def test():
            async def run(loop, net):
                reports = []
                loop.set_exception_handler(lambda _l, c: reports.append(c))
                scene = OddScene(loop, net, count, sends)
                scene.reports = reports
                await scene.start(**options)
                await body(scene)
                if scene.second is not None:
                    await scene.second.close()
                await scene.close()

            run_on_net(run)

        test.__name__ = body.__name__
        return test

    return decorate


# Repeats


@odd_scene(count=12)
async def test_a_silence_does_not_try_all_upstreams_at_once(scene):
    # A rejected second send is followed by the next one in the same moment,
    # and no limit of rejections applies to it.
    asking, first, others = await scene.begin()
    first.pauses = {4: 2.6}
    for other in others:
        other.full = True
    assert await asking == "whole"
    times = sorted(t for other in others for t in other.rejected)
    assert len(times) <= 3, [round(t - times[0], 3) for t in times]


@odd_scene(count=3, sends=3)
async def test_a_head_from_the_silent_one_is_a_sign(scene):
    # The first one's head ends the race, but is not counted as a sign: a
    # third run begins in the same moment.
    for upstream in scene.upstreams:
        upstream.late = 1.7
        upstream.body_late = 0.3
    assert await scene.ask("r", path="/safe/") == "whole"
    asked = sorted(t for u in scene.upstreams for t in u.asked)
    assert len(asked) <= 2, [round(t - asked[0], 3) for t in asked]


@odd_scene(count=3, sends=3)
async def test_a_third_upstream_is_asked_when_two_stay_silent(scene):
    # While two are raced nothing counts their silence.
    asking, first, others = await scene.begin()
    first.pauses = {4: FOREVER}
    for other in others:
        other.pauses = {4: FOREVER}
    async with asyncio.timeout(5.0):
        while len(scene.runs) < 2:
            await asyncio.sleep(0.01)
    for other in others:
        if not other.runs:
            other.pauses = {}
    await asyncio.wait({asking}, timeout=9.0)
    assert asking.done() and asking.result() == "whole"


# What is let go before its replacement is sure


@odd_scene()
async def test_a_late_plain_answer_outlives_a_torn_one(scene):
    # The head of the second answer ends the first run, which would have
    # answered 0.5 s later.
    first, second = scene.upstreams
    first.late = second.late = 2.2
    asking = asyncio.ensure_future(scene.ask("r", path="/safe/"))
    await asyncio.sleep(1.0)
    # Which one has it is seen by its connection count.
    busy = [n for n, c in enumerate(scene.outstanding) if c]
    other = scene.upstreams[1 - busy[0]]
    other.late = 0.1
    other.body_late = 0.1
    other.torn = True
    assert await asking == "whole"


@odd_scene()
async def test_half_an_event_is_no_sign_of_going_on(scene):
    # Half an event of the second run ends the first, which would have gone
    # on 0.7 s later.
    asking, first, (other,) = await scene.begin()
    first.pauses = {4: 2.2}
    other.half = True
    assert await asking == "whole"


# Tokens


@odd_scene()
async def test_a_dead_stream_moves_on_at_a_router_that_stops(scene):
    # At the signal all free tokens go to the other router, so that no second
    # run can be paid by the one that stops.
    await scene.start_second()
    asking, first, _ = await scene.begin()
    first.pauses = {4: FOREVER}
    stopping = asyncio.ensure_future(scene.gateway.stop())
    with capture_logs() as logs:
        done, _ = await asyncio.wait({asking}, timeout=3.2)
    silent = [e["why"] for e in logs if e.get("outcome") == "silent"]
    assert done and asking.result() == "whole", silent
    await stopping


@odd_scene(slack=0)
async def test_refused_repeats_do_not_count_as_granted_tokens(scene):
    # Each look for an allowance sets tokens aside and releases them; the
    # rate that sizes loans and limits counts all of them.
    account = scene.gateway.budgets.accounts["org"]
    asking, first, _ = await scene.begin(tokens="100,1000")
    first.pauses = {4: 2.9}
    await asyncio.sleep(1.4)
    before = account._granted.rate(scene.gateway.clock.steady())
    await asyncio.sleep(1.2)
    after = account._granted.rate(scene.gateway.clock.steady())
    assert after <= before, (before, after)
    assert await asking == "whole"


@odd_scene(count=4)
async def test_rejected_second_runs_are_paid_for_once(scene):
    # A rejected run makes nothing, but what was set aside for it stays so.
    account = scene.gateway.budgets.accounts["org"]
    before = account.outflow
    asking, first, others = await scene.begin(tokens="100,30")
    first.pauses = {4: FOREVER}
    for other in others[:]:
        other.full = True
    await asyncio.sleep(1.62)
    # 21 for one run beside the silent one; with all rejected, 0.
    assert account.outflow - before <= 130 + 21
    asking.cancel()


# What is logged and chosen


@odd_scene()
async def test_the_log_names_the_upstream_that_answered(scene):
    asking, first, (other,) = await scene.begin()
    first.pauses = {4: 2.2}
    other.full = True
    with capture_logs() as logs:
        assert await asking == "whole"
    (end,) = [e for e in logs if e.get("event") == "request"]
    assert end["upstream"] == first.name


@odd_scene()
async def test_prompts_of_one_moment_go_to_different_engines(scene):
    # The prompt of a send is counted only when its task runs, so requests of
    # one moment do not see each other.
    fields = {"tokens": "40000,30"}
    await asyncio.gather(scene.ask("a", **fields), scene.ask("b", **fields))
    assert len({run.upstream for run in scene.runs}) == 2


# The own interface


class PausingEngine:
    """An engine that pauses within a stream, and works on.

    :ivar cancelled: how often a run was cancelled
    """

    def __init__(self, pause):
        self.cancelled = 0
        self._pause = pause

    async def handle(self, request, responder):
        """Answer a chat completion, or the cancellation of one."""
        usage = {"prompt_tokens": 5, "completion_tokens": 2}
        chunk = {"id": "r-1", "created": 1, "choices": [{"delta": {}}]}
        if "/cancel" in request.path:
            self.cancelled += 1
            value = {"id": "r-1", "usage": usage, "finish": "cancelled"}
            return await responder.reply_json(200, value)
        await responder.start(200, [("x-request-id", "r")])
        await responder.write(b"data: " + json.dumps(chunk).encode() + END)
        await asyncio.sleep(self._pause)
        chunk["usage"] = usage
        await responder.write(b"data: " + json.dumps(chunk).encode() + END)
        await responder.write(b"data: [DONE]" + END)
        await responder.finish()


class PausingOnceEngine(PausingEngine):
    """An engine that pauses within its first stream only."""

    async def handle(self, request, responder):
        """Answer as a PausingEngine, the next time without a pause."""
        answer = super().handle(request, responder)
        asyncio.get_running_loop().call_later(0.5, self._end_pauses)
        await answer

    def _end_pauses(self):
        self._pause = 0.0


def own_router(loop, allowed):
    """Return what a ChatRunner needs of a router."""
    router = mock.MagicMock()
    router.clock = LoopClock(loop)
    router.pauses.count.return_value = 0
    group = router.group.return_value
    group.retries.acquire.return_value = allowed
    upstream = mock.MagicMock(address="10.9.0.9:80")
    group.acquire = mock.AsyncMock(return_value=upstream)
    return router


class OwnRun:
    """How the own interface served one chat completion.

    :ivar error: its RequestError, or None
    :ivar seconds: how long it took
    :ivar responder: a mock of its caller's Responder
    """

    def __init__(self, engine, allowed, left):
        self.error = None
        self.seconds = 0.0
        self.responder = mock.MagicMock(reply_json=mock.AsyncMock())
        self._engine = engine
        self._allowed = allowed
        self._left = left
        self._loop = VirtualLoop()
        asyncio.set_event_loop(self._loop)
        with VirtualNet(self._loop).installed():
            try:
                self._loop.run_until_complete(self._run())
            finally:
                end_tasks(self._loop)

    async def _run(self):
        loop = self._loop
        server = HttpServer(self._engine.handle)
        HOST.set("10.9.0.9")
        await server.start("10.9.0.9", 80)
        HOST.set("router")
        router = own_router(loop, self._allowed)
        runner = ChatRunner(router, EngineClient(HttpClient(), 1.0))
        call = mock.MagicMock(request="r", key="k", budget="b")
        call.repeatable = True
        call.deadline = loop.now + self._left
        decision = mock.MagicMock(group="m", priority=0)
        job = Job(call, {}, decision, 0, 1, "", loop.now, 0)
        try:
            await runner.run(job, self.responder)
        except RequestError as failure:
            self.error = failure
        self.seconds = loop.now - job.arrived
        # A run that is let go is cancelled in the background.
        await asyncio.sleep(1.0)


def test_a_pause_of_an_engine_ends_no_answer_of_the_own_interface():
    # Its silence ends and even cancels the run, and only then is it asked
    # whether a retry is allowed.
    engine = PausingEngine(1.5)
    run = OwnRun(engine, allowed=False, left=60)
    assert (run.error, engine.cancelled) == (None, 0)


def test_the_own_interface_moves_on_from_a_silence_where_it_may():
    # The same pause, with an allowance for another run: the silent one is
    # cancelled, and the caller has the second one's answer after 1 s of
    # silence in place of the whole pause.
    engine = PausingOnceEngine(50.0)
    run = OwnRun(engine, allowed=True, left=20)
    assert (run.error, engine.cancelled) == (None, 1)
    assert run.seconds < 2.0
    run.responder.reply_json.assert_awaited_once()


# What is left when a request ends in a race: nothing


@odd_scene()
async def test_a_caller_that_leaves_in_a_race_leaves_nothing(scene):
    asking, first, (other,) = await scene.begin()
    first.pauses = {4: FOREVER}
    other.pauses = {n: FOREVER for n in range(1, 9)}
    await asyncio.sleep(2.0)
    assert len(scene.runs) == 2
    asking.cancel()
    await asyncio.sleep(GONE_SECONDS)
    assert all(run.ended is not None for run in scene.runs)
    assert scene.outstanding == [0, 0]
    assert not scene.reports


@pytest.mark.parametrize("moment", [1.55, 1.6, 1.8])
def test_a_cut_in_a_race_leaves_nothing(moment):
    @odd_scene()
    async def body(scene):
        asking, first, (other,) = await scene.begin()
        first.pauses = {4: FOREVER}
        other.pauses = {n: FOREVER for n in range(1, 9)}
        await asyncio.sleep(moment)
        scene.gateway.stopping.begin(1.1)
        scene.gateway.forwarder.bound_open()
        assert await asking == "cut"
        await asyncio.sleep(0.4)
        assert all(run.ended is not None for run in scene.runs)
        assert scene.outstanding == [0, 0]
        assert scene.gateway.stopping.finished
        assert not scene.reports

    body()


@odd_scene()
async def test_both_failing_at_once_ends_the_request_once(scene):
    asking, first, (other,) = await scene.begin()
    first.pauses = {4: FOREVER}
    other.pauses = {n: FOREVER for n in range(1, 9)}
    await asyncio.sleep(2.0)
    net_links = [
        link
        for link in scene.net._links
        if link.names[0] == "10.0.0.1" and link.names[1].startswith("10.9.")
    ]
    for link in net_links:
        link.ends[1].abort()
    assert await asking == "cut"
    await asyncio.sleep(0.2)
    assert len(scene.runs) == 2
    assert scene.outstanding == [0, 0]
    gc.collect()
    assert not scene.reports, scene.reports


@odd_scene()
async def test_a_request_that_may_run_once_is_sent_once(scene):
    for upstream in scene.upstreams:
        upstream.late = 3.0
    assert await scene.ask("r", path="/once/") == "whole"
    assert len(scene.runs) == 1
    assert scene.outstanding == [0, 0]


@pytest.mark.parametrize("lag", [-0.003, -0.002, -0.001, 0.0, 0.001, 0.002])
def test_events_of_two_runs_at_one_moment_come_once(lag):
    # The silent one goes on at the moment at which the other one begins.
    @odd_scene()
    async def body(scene):
        asking, first, (other,) = await scene.begin()
        first.pauses = {4: 1.7 + lag}
        other.pauses = {4: 0.2}
        assert await asking == "whole"
        assert len(scene.runs) == 2
        await asyncio.sleep(0.5)
        assert scene.outstanding == [0, 0]
        gc.collect()
        assert not scene.reports, scene.reports

    body()


@pytest.mark.parametrize("tenths", range(0, 100, 5))
def test_a_rejection_at_the_moment_of_going_on_does_no_harm(tenths):
    # Tenths of a millisecond, from the silence on.
    @odd_scene()
    async def body(scene):
        asking, first, (other,) = await scene.begin()
        first.pauses = {4: 1.5 + tenths / 10000}
        other.full = True
        assert await asking == "whole"
        await asyncio.sleep(0.5)
        assert scene.outstanding == [0, 0]
        gc.collect()
        assert not scene.reports, scene.reports

    body()


@odd_scene()
async def test_an_unexpected_error_in_a_race_leaves_nothing(scene):
    asking, first, (other,) = await scene.begin()
    first.pauses = {4: FOREVER}
    other.pauses = {n: FOREVER for n in range(1, 9)}
    await asyncio.sleep(1.6)
    broken = mock.patch.object(
        HttpAnswer, "next_piece", side_effect=KeyError("odd")
    )
    with broken:
        other.pauses = {}
        first.pauses = {}
        for link in scene.net._links:
            if link.names == ("10.0.0.1", first.address.split(":")[0]):
                link.ends[1].write(b"")
        await asyncio.sleep(0.5)
    asking.cancel()
    await asyncio.sleep(GONE_SECONDS)
    assert scene.outstanding == [0, 0]
    assert all(run.ended is not None for run in scene.runs)


@odd_scene()
async def test_a_run_that_hangs_within_an_event_holds_no_other_one_up(scene):
    # The second run hands out half an event and no more; the first one goes
    # on 0.2 s later.
    asking, first, (other,) = await scene.begin()
    first.pauses = {4: 1.8}
    other.half = True
    other.half_seconds = FOREVER
    begun = scene.loop.time()
    assert await asking == "whole"
    assert scene.loop.time() - begun < 4.0


@odd_scene()
async def test_both_breaking_off_in_one_moment_end_as_one_failure(scene):
    # Two silent runs whose connections are reset together, as by the loss of
    # the router's own link: the race was left without any run.
    asking, first, (other,) = await scene.begin()
    first.pauses = {4: FOREVER}
    other.half = True
    other.half_seconds = FOREVER
    await asyncio.sleep(2.0)
    assert len(scene.runs) == 2
    with capture_logs() as logs:
        for link in scene.net._links:
            if link.names[1].startswith("10.9.0."):
                link.ends[1].abort()
        assert await asking == "cut"
    ends = [e["outcome"] for e in logs if e.get("event") == "request"]
    assert ends == ["upstream_failed"]
    assert scene.outstanding == [0, 0]
    assert not scene.reports, scene.reports
