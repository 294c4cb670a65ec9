"""Answers without a length: races, callers that leave, limits, budgets."""

import asyncio
from test.test_silent_upstreams import ROUTER
from test.unframed_world import MIDDLE
from test.unframed_world import unframed_test

# Seconds after which a request to "/safe/" without an answer is hedged.
STALL = 1.6
# Seconds from the end of an answer until its confirmation is surely under way.
UNDER_WAY = 0.03
# Tasks of a send and of a confirmation.
TASKS = {
    "JobSender._open",
    "JobSender._confirm_end",
    "_NewConnection._open",
}
PROMPT = 100
EVENTS = 8
# Most tokens in an event.
STRIDE = 3
MOST = 130


async def begin(scene, name="r", **options):
    """Send a request; return its task and the upstream that runs it."""
    asking = asyncio.ensure_future(scene.ask(name, **options))
    while not any(name in one.runs for one in scene.upstreams):
        await asyncio.sleep(0.005)
    (first,) = [one for one in scene.upstreams if name in one.runs]
    return asking, first


async def wait_for_end(upstream):
    """Wait until an upstream has ended an answer."""
    while upstream.ended_at is None:
        await asyncio.sleep(0.005)


async def check_nothing_left(scene, cut=0):
    """Check that requests that ended have left nothing behind.

    :param cut: number of answers that ended early
    """
    await asyncio.sleep(1.0)
    assert not any(scene.outstanding)
    gateway = scene.gateway
    for upstream in scene.upstreams:
        idle = gateway.client.idle_count(upstream.address)
        assert scene.open_to(upstream) == idle
        assert gateway.connections.counts.count(upstream.address) == idle
    assert sum(map(len, gateway.ends._ends._ends.values())) == cut
    names = {task.get_coro().__qualname__ for task in asyncio.all_tasks()}
    assert not names & TASKS
    assert scene.reports == []


# Races


@unframed_test()
async def test_half_an_answer_of_a_killed_upstream_wins_no_race(scene):
    # Guards against half an answer that comes first and looks whole.
    for upstream in scene.upstreams:
        upstream.late, upstream.middle = STALL + 0.1, 0.5
    asking, first = await begin(scene, path="/safe/")
    (second,) = [one for one in scene.upstreams if one is not first]
    second.late, second.middle = 0.0, 1.0
    await asyncio.sleep(STALL + 0.3)
    assert second.runs
    first.kill()
    assert await asking == "whole"
    await check_nothing_left(scene, cut=1)


@unframed_test()
async def test_half_an_answer_of_a_leaving_upstream_wins_no_race(scene):
    # Guards against a guess that the upstream left behind its last answer,
    # where the other run of the race can prove it.
    for upstream in scene.upstreams:
        upstream.late, upstream.middle = STALL + 0.1, 0.5
    asking, first = await begin(scene, path="/safe/")
    (second,) = [one for one in scene.upstreams if one is not first]
    second.late, second.middle = 0.0, 1.0
    await scene.drain(first)
    await asyncio.sleep(STALL + 0.25)
    assert second.runs
    first.kill()
    assert await asking == "whole"


@unframed_test()
async def test_a_whole_answer_is_not_hedged_as_its_end_is_confirmed(scene):
    # Guards against a whole answer that is lost as the wait for its
    # confirmation times out, and against a run that nobody needs.
    for upstream in scene.upstreams:
        upstream.late, upstream.middle, upstream.mute = 0.1, 0.1, True
    asking, first = await begin(scene, path="/brief/")
    (second,) = [one for one in scene.upstreams if one is not first]
    await wait_for_end(first)
    begun = scene.loop.time()
    assert await asking == "whole"
    assert not second.runs and scene.loop.time() - begun < 0.6
    await check_nothing_left(scene)


@unframed_test(count=1)
async def test_a_confirmation_is_waited_for_again_without_a_hedge(scene):
    # Guards against a confirmation that begins anew, or an answer that is
    # read beyond its end, each time the wait for it times out.
    (only,) = scene.upstreams
    only.late, only.middle, only.mute = 3.0, 0.1, True
    assert await scene.ask("r", path="/safe/") == "whole"
    checks = [at for at in only.checks if at > only.ended_at]
    assert len(checks) == 1 and len(only.runs) == 1
    await check_nothing_left(scene)


# Callers that leave, and deadlines


@unframed_test()
async def test_a_caller_that_leaves_during_a_confirmation_leaves_nothing(
    scene,
):
    # Guards against a run that stays counted at its upstream, a connection
    # that stays open, and an end that counts against other answers.
    for upstream in scene.upstreams:
        upstream.mute = True
    asking, first = await begin(scene, path="/once/")
    await wait_for_end(first)
    await asyncio.sleep(UNDER_WAY)
    assert sum(scene.outstanding) == 1
    asking.cancel()
    await check_nothing_left(scene)


@unframed_test()
async def test_a_deadline_that_passes_during_a_confirmation_leaves_nothing(
    scene,
):
    # Guards against the same when the time of the request is over.
    for upstream in scene.upstreams:
        upstream.mute = True
    asking, first = await begin(scene, path="/short/")
    assert await asking == 504
    assert first.ended_at is not None
    await check_nothing_left(scene)


@unframed_test()
async def test_requests_of_a_large_fleet_find_connections_after_confirmations(
    scene,
):
    # Guards against a share that is used up by connections of answers whose
    # callers have left.
    scene.gateway.settings.large_fleet = True
    scene.gateway.table.services["feed"].max_connections = 3
    for upstream in scene.upstreams:
        upstream.mute = True
    for number in range(6):
        asking, first = await begin(scene, f"r{number}", path="/once/")
        await asyncio.sleep(MIDDLE + UNDER_WAY)
        assert not asking.done()
        asking.cancel()
    await check_nothing_left(scene)
    for upstream in scene.upstreams:
        upstream.mute = False
    assert await scene.ask("last", path="/once/") == "whole"


# Limits


@unframed_test(count=1)
async def test_a_rate_limited_upstream_gets_no_health_check(scene):
    # Guards against health checks that count as requests at its limit, and
    # against whole answers that count as broken without them.
    (only,) = scene.upstreams
    only.limit = "20.0"
    assert await scene.ask("r1", path="/once/") == "whole"
    state = scene.state(only)
    assert not scene.gateway.limits.unlimited([state])
    only.checks.clear()
    assert await scene.ask("r2", path="/once/") == "whole"
    assert only.checks == []


@unframed_test(count=1)
async def test_an_upstream_that_asked_for_rest_gets_no_health_check(scene):
    # Guards against questions to an upstream that wants none.
    (only,) = scene.upstreams
    asking, _first = await begin(scene, path="/once/")
    only.backoff_text = "5"
    only.script = ["full"]
    assert await scene.ask("r2", path="/once/") == 503
    only.checks.clear()
    assert await asking == "whole"
    assert only.checks == []


@unframed_test(count=1)
async def test_resets_at_the_limit_of_an_upstream_break_no_answer(scene):
    # Guards against whole answers that count as broken as their upstream
    # resets new connections while earlier ones live.
    (only,) = scene.upstreams
    only.middle = 2.0
    other, _first = await begin(scene, "r0", path="/once/")
    only.middle = MIDDLE
    asking, _first = await begin(scene, "r1", path="/once/")
    host = only.address.partition(":")[0]
    scene.net._accepting.add((ROUTER, host))
    assert await asking == "whole"
    scene.net.recover(ROUTER, host)
    assert await other == "whole"


@unframed_test()
async def test_a_stop_of_the_router_cuts_no_answer_that_is_confirmed(scene):
    # Guards against whole answers that a planned stop cuts, as their
    # confirmation is under way.
    for upstream in scene.upstreams:
        upstream.mute = True
    asking, first = await begin(scene, path="/once/")
    await wait_for_end(first)
    await asyncio.sleep(UNDER_WAY)
    stopping = asyncio.ensure_future(scene.gateway.stop())
    assert await asking == "whole"
    await stopping


# Prepaid budgets


@unframed_test()
async def test_a_whole_run_settles_what_it_used(scene):
    # Guards against a budget that pays for a whole answer as for a broken one.
    assert await scene.ask("r") == "whole"
    (row,) = scene.settled
    assert row[:3] == ("org", MOST, PROMPT + EVENTS * STRIDE)


@unframed_test()
async def test_a_cut_run_settles_what_it_may_have_used_once(scene):
    # Guards against a run that is billed as complete, and so for less than
    # its upstream may have generated.
    asking, first = await begin(scene, path="/plainstream/")
    await asyncio.sleep(0.1)
    first.kill()
    assert await asking == "cut"
    (row,) = scene.settled
    assert row[:3] == ("org", MOST, MOST)


@unframed_test()
async def test_a_stream_that_goes_on_elsewhere_settles_once(scene):
    # Guards against a budget that pays twice, or for less than both runs.
    asking, first = await begin(scene)
    await asyncio.sleep(0.1)
    first.kill()
    assert await asking == "whole"
    (row,) = scene.settled
    budget, reserved, used = row[:3]
    assert budget == "org" and reserved == used
    # The prompt counts once, and what came of the first run is not run again.
    assert reserved == MOST
    await check_nothing_left(scene, cut=1)


@unframed_test(prepaid=MOST)
async def test_a_cut_run_overspends_no_budget(scene):
    # Guards against a run that goes on without tokens left for it.
    asking, first = await begin(scene)
    await asyncio.sleep(0.1)
    first.kill()
    assert await asking == "whole"
    (row,) = scene.settled
    assert row[2] <= row[1] <= MOST
    assert await scene.ask("r2") in (402, 429)
