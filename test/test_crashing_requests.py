"""A request that crashes upstreams is blocked after about three crashes."""

import asyncio
from test.crash_world import crash_test
from test.crash_world import LETHAL

# Seconds after the third crash until all routers have to block the request.
CONTACT_SECONDS = 3.0
MOST_CRASHES = 5
MOST_LATE_RUNS = 3


def late_runs(world):
    """Return the runs of the lethal request after it has to be blocked."""
    if len(world.crashes) < 3:
        return []
    known_at = world.crashes[2].at + CONTACT_SECONDS
    return [at for at in world.runs if at > known_at]


@crash_test()
async def test_a_request_that_crashes_upstreams_is_blocked_fleet_wide(world):
    others = world.spawn(world.ask_many(375, 1 / 15))
    lethal = world.spawn(world.ask_many(62, 0.4, "lethal", body=LETHAL))
    for tasks in (await others, await lethal):
        await asyncio.gather(*tasks)
    assert len(late_runs(world)) <= MOST_LATE_RUNS
    assert len(world.crashes) <= MOST_CRASHES
    assert world.outcomes["other", 200] >= 350, world.outcomes


# Blocked requests survive failures of routers, the store and messages


async def block_lethal_request(world):
    """Repeat a lethal request until all routers block it."""
    tasks = await world.ask_many(8, 0.4, "lethal", body=LETHAL)
    await asyncio.gather(*tasks)
    assert len(world.crashes) <= MOST_CRASHES
    assert await statuses(world) == {400}


async def check_blocked(world, crashed):
    """Check that all routers block the request without further crashes.

    :param crashed: number of crashes so far
    """
    await asyncio.sleep(2.0)
    assert await statuses(world) == {400}
    assert len(world.crashes) == crashed


async def statuses(world):
    """Return the statuses of a lethal request at all routers."""
    return {await world.ask("x", LETHAL, host=h) for h in list(world.gateways)}


@crash_test()
async def test_a_restarted_router_blocks_known_requests(world):
    await block_lethal_request(world)
    crashed = len(world.crashes)
    host = world.hosts[1]
    await world.kill_router(host)
    await world.start_router(host)
    await check_blocked(world, crashed)


@crash_test()
async def test_a_restarted_fleet_blocks_known_requests(world):
    await block_lethal_request(world)
    await asyncio.sleep(1.0)
    crashed = len(world.crashes)
    await world.restart_routers()
    await check_blocked(world, crashed)


@crash_test()
async def test_requests_blocked_during_a_store_outage_are_stored_later(world):
    world.store.fault = "silent"
    await block_lethal_request(world)
    crashed = len(world.crashes)
    world.store.fault = ""
    await asyncio.sleep(5.0)
    await world.restart_routers()
    await check_blocked(world, crashed)


@crash_test()
async def test_requests_are_blocked_even_if_messages_are_lost(world):
    for gateway in world.gateways.values():
        gateway._peers.tell = lambda *_args: None
    for number in range(8):
        await world.ask(f"l{number}", LETHAL)
        await asyncio.sleep(1.0)
    assert len(world.crashes) <= MOST_CRASHES
    assert await statuses(world) == {400}


@crash_test()
async def test_a_blocked_request_is_written_to_the_store_once(world):
    await block_lethal_request(world)
    await asyncio.sleep(20.0)
    record = world.store.items["rowanport/blocked"]
    assert await statuses(world) == {400}
    await asyncio.sleep(20.0)
    assert world.store.items["rowanport/blocked"] == record


# Harmless requests are not blocked


@crash_test(routers=4)
async def test_unrelated_crashes_block_nothing(world):
    # Each crash ends dozens of requests, which callers repeat.
    others = world.spawn(world.ask_many(600, 0.02, "innocent"))
    for _crash in range(4):
        await asyncio.sleep(2.5)
        world.crash_busiest()
    await asyncio.gather(*await others)
    assert len(world.crashes) == 4
    assert world.outcomes == {("innocent", 200): 600}


@crash_test(upstreams=8)
async def test_equal_requests_of_many_callers_are_not_blocked(world):
    # Polls have equal fingerprints, and some are always in flight.
    polls = world.spawn(
        world.ask_many(900, 0.01, "poll", body=b"poll", path="/safe/")
    )
    for _crash in range(4):
        await asyncio.sleep(1.0)
        world.crash_busiest()
    await asyncio.gather(*await polls)
    assert len(world.crashes) == 4
    assert world.outcomes == {("poll", 200): 900}


async def ask_beside_racks(world, spread):
    """Send long equal streams while three of twelve upstreams crash, twice.

    :param spread: seconds between two of these crashes
    """
    for upstream in world.upstreams.values():
        upstream.pause = 0.4
    tasks = world.spawn(world.ask_many(150, 0.1, "digest", body=b"digest"))
    await asyncio.sleep(3.0)
    for _rack in range(2):
        for _upstream in range(3):
            world.crash_busiest()
            await asyncio.sleep(spread)
        await asyncio.sleep(5.0)
    await asyncio.gather(*await tasks)
    assert len(world.crashes) == 6
    assert not world.outcomes["digest", 400], world.outcomes
    assert world.outcomes["digest", 200] >= 120, world.outcomes


@crash_test(upstreams=12)
async def test_a_rack_that_crashes_blocks_no_popular_stream(world):
    # Guards against 400 for a request that ran on each of its upstreams.
    await ask_beside_racks(world, 0.0)


@crash_test(upstreams=12)
async def test_a_rack_that_crashes_bit_by_bit_blocks_no_popular_stream(world):
    # Guards against the same if the rack takes some hundred milliseconds.
    await ask_beside_racks(world, 0.15)


@crash_test()
async def test_a_stream_that_brings_events_is_not_cut_by_a_verdict(world):
    # Guards against streams at sound upstreams that are cut for a verdict
    # which their whole answers disprove.
    for upstream in world.upstreams.values():
        upstream.pause = 0.4
    host, *others = world.hosts
    stream = world.spawn(world.ask("first", b"digest", host=host))
    await asyncio.sleep(1.5)
    crashes = world.gateways[host].crashes
    (sends,) = crashes._sends._open.values()
    (send,) = sends
    now = crashes._clock.steady()
    for number in range(3):
        crashes.table.record_crash(
            send.job.fingerprint, f"gone{number}", now, now - number
        )
    suspect = crashes.table.get(send.job.fingerprint)
    crashes._apply_changes([suspect])
    crashes.sync.announce([suspect])
    await asyncio.sleep(0.1)
    for other in others:
        assert await world.ask("next", b"digest", host=other) == 400
    assert await stream == 200
    await asyncio.sleep(0.1)
    assert await world.ask("last", b"digest", host=others[0]) == 200


@crash_test()
async def test_broken_answers_without_crashes_block_nothing(world):
    for number in range(6):
        for upstream in world.upstreams.values():
            upstream.script = ["break"]
        await world.ask("again", b"again")
    for upstream in world.upstreams.values():
        upstream.script = []
    assert not world.crashes
    assert await world.ask("again", b"again") == 200


@crash_test()
async def test_requests_beside_a_lethal_one_are_served(world):
    # All run on one upstream when the lethal request is sent to it.
    others = world.spawn(world.ask_many(200, 0.01))
    await asyncio.sleep(0.5)
    lethal = world.spawn(world.ask_many(20, 0.1, "lethal", body=LETHAL))
    for tasks in (await others, await lethal):
        await asyncio.gather(*tasks)
    assert len(world.crashes) <= MOST_CRASHES
    # Streams may be sent to two upstreams, so two crashes end a stream.
    caught = world.caught(2)
    cut = {name for name, status in world.answers.items() if status == "cut"}
    assert cut <= caught
    assert set(world.answers.values()) <= {200, 400, 502, "cut"}


# Suspended machines


@crash_test()
async def test_a_suspended_router_blocks_known_requests(world):
    await block_lethal_request(world)
    crashed = len(world.crashes)
    world.clocks[world.hosts[0]].slept = 6.0
    assert await statuses(world) == {400}
    await check_blocked(world, crashed)


@crash_test()
async def test_a_suspended_router_does_not_repeat_requests(world):
    host = world.hosts[0]
    asking = [world.ask(f"s{n}", b"s%d" % n, host=host) for n in range(12)]
    tasks = [world.spawn(one) for one in asking]
    await asyncio.sleep(0.4)
    # Shorter than the callers' deadline, longer than the time after which a
    # stream counts as stalled.
    world.clocks[host].slept = 2.5
    assert await asyncio.gather(*tasks) == [200] * 12
    assert sum(len(u.heads) for u in world.upstreams.values()) == 12
