"""All routers together keep the rate limit that an upstream names."""

import asyncio
import bisect
from test.crash_world import crash_test

# Seconds after it is first named until a limit has to be kept.
CONTACT_SECONDS = 3.0
WINDOW_SECONDS = 4.0


def allowed(limit):
    """Return the number of requests that an upstream may get in a window."""
    return 1.5 * limit * WINDOW_SECONDS + 5


def most_in_window(upstream, since):
    """Return the most requests that an upstream got in a window."""
    times = [at for at, _body in upstream.runs if at >= since]
    return max(
        bisect.bisect_left(times, at + WINDOW_SECONDS) - number
        for number, at in enumerate(times)
    )


async def send_while_limited(world, upstream, text, seconds, rate=60):
    """Send requests while an upstream names a limit.

    :param text: the limit as the upstream writes it
    :param seconds: duration of the requests
    :param rate: requests per second
    :returns: monotonic time from which on the limit has to be kept
    """
    upstream.limit = text
    begun = world.now
    tasks = await world.ask_many(int(rate * seconds), 1 / rate, path="/safe/")
    await asyncio.gather(*tasks)
    return begun + CONTACT_SECONDS


async def check_limit_is_used(world, rate):
    """Check that a limit is kept and used up at a rate of requests."""
    upstream = world.busiest()
    since = await send_while_limited(world, upstream, "1.0", 60.0, rate)
    assert most_in_window(upstream, since) <= allowed(1.0)
    assert len(upstream.runs) >= 50
    assert set(world.answers.values()) == {200}


async def check_limit_has_ended(world, upstream, seconds):
    """Check that an upstream gets its usual share after its limit ends."""
    upstream.limit = None
    count = int(60 * seconds)
    tasks = await world.ask_many(count, 1 / 60, "after", path="/safe/")
    await asyncio.gather(*tasks)
    recent = [at for at, _ in upstream.runs if at > world.now - 5.0]
    # Its usual share is a sixth of all requests.
    assert len(recent) >= 300 / 6 / 2


@crash_test()
async def test_a_named_limit_is_kept_by_all_routers_together(world):
    await check_limit_is_used(world, rate=60)


@crash_test()
async def test_few_requests_of_many_routers_use_a_limit(world):
    await check_limit_is_used(world, rate=15)


@crash_test()
async def test_a_limit_ends_at_all_routers_once_no_answer_names_it(world):
    upstream = world.busiest()
    await send_while_limited(world, upstream, "0.5", 10.0)
    await check_limit_has_ended(world, upstream, 10.0)


@crash_test()
async def test_a_limit_of_zero_is_kept_and_its_end_is_detected(world):
    upstream = world.busiest()
    since = await send_while_limited(world, upstream, "0", 20.0)
    assert most_in_window(upstream, since) <= allowed(0)
    await check_limit_has_ended(world, upstream, 20.0)


async def check_while_routers_restart(world, rate, end):
    """Check that a limit is kept while the routers restart one by one.

    :param rate: the limit in requests per second
    :param end: coroutine function that ends the router of a host
    """
    upstream = world.busiest()
    asking = world.spawn(send_while_limited(world, upstream, str(rate), 30.0))
    for host in world.hosts:
        await asyncio.sleep(5.0)
        await end(host)
        await asyncio.sleep(1.0)
        await world.start_router(host)
    since = await asking
    assert most_in_window(upstream, since) <= allowed(rate)


@crash_test()
async def test_a_limit_is_kept_while_routers_are_killed_and_restarted(world):
    await check_while_routers_restart(world, 1.0, world.kill_router)


@crash_test()
async def test_a_limit_is_kept_during_planned_stops_of_routers(world):
    async def stop(host):
        world.spawn(world.gateways.pop(host).stop())

    await check_while_routers_restart(world, 10.0, stop)


@crash_test()
async def test_a_limit_is_kept_while_messages_are_lost(world):
    for gateway in world.gateways.values():
        gateway._peers.tell = lambda *_args: None
    upstream = world.busiest()
    since = await send_while_limited(world, upstream, "1.0", 20.0)
    assert most_in_window(upstream, since) <= allowed(1.0)


@crash_test()
async def test_malformed_limits_are_ignored(world):
    upstream = world.busiest()
    texts = ["fast", "-1", "nan", "inf", "1e3", "", "1,5", "9" * 40, "2 2"]
    for text in texts:
        upstream.limit = text
        tasks = await world.ask_many(60, 1 / 60, text or "no", path="/safe/")
        await asyncio.gather(*tasks)
    # Its usual share is a sixth of all requests.
    assert len(upstream.runs) >= 60 * len(texts) / 6 / 2
    assert set(world.answers.values()) == {200}


@crash_test()
async def test_a_restarted_upstream_has_no_limit(world):
    upstream = world.busiest()
    await send_while_limited(world, upstream, "0.5", 5.0)
    address = next(s for s, u in world.upstreams.items() if u is upstream)
    upstream.crash()
    await asyncio.sleep(5.0)
    tasks = await world.ask_many(600, 1 / 60, "after", path="/safe/")
    await asyncio.gather(*tasks)
    assert len(world.upstreams[address].runs) >= 600 / 6 / 2


@crash_test(upstreams=2)
async def test_requests_above_all_limits_are_rejected_at_once(world):
    for upstream in world.upstreams.values():
        upstream.limit = "1.0"
    await send_while_limited(world, upstream, "1.0", 2.0)
    begun = world.now
    status = {await world.ask(f"x{n}", b"x", "/safe/") for n in range(20)}
    assert 503 in status
    assert world.now - begun < 1.0


@crash_test(upstreams=2)
async def test_an_upstream_with_a_limit_gets_no_hedges(world):
    first, second = world.upstreams.values()
    second.limit = "0"
    await send_while_limited(world, second, "0", 2.0)
    asked = len(second.runs)
    first.script = ["hang"] * 3
    asking = [world.ask(f"s{n}", b"s", "/safe/") for n in range(3)]
    await asyncio.gather(*asking)
    assert len(second.runs) <= asked + 1


@crash_test()
async def test_a_limit_is_kept_after_routers_were_suspended(world):
    upstream = world.busiest()
    asking = world.spawn(send_while_limited(world, upstream, "5.0", 20.0))
    await asyncio.sleep(8.0)
    for host in world.hosts[:2]:
        world.clocks[host].slept = 6.0
        await asyncio.sleep(4.0)
    since = await asking
    assert most_in_window(upstream, since) <= allowed(5.0)
