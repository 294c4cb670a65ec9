"""A request that crashes upstreams takes no more than three of them."""

import asyncio
from test.crash_world import crash_test
from test.crash_world import LETHAL

# Seconds after the third crash from which on all routers have to know.
CONTACT_SECONDS = 3.0
MOST_CRASHES = 5
MOST_LATE_RUNS = 3


def late_runs(world):
    """Return the runs of the lethal request after all have to know it."""
    if len(world.crashes) < 3:
        return []
    known_at = world.crashes[2].at + CONTACT_SECONDS
    return [at for at in world.runs if at > known_at]


@crash_test()
async def test_a_request_that_crashes_upstreams_is_stopped_fleet_wide(world):
    others = world.spawn(world.ask_many(375, 1 / 15))
    lethal = world.spawn(world.ask_many(62, 0.4, "lethal", body=LETHAL))
    for tasks in (await others, await lethal):
        await asyncio.gather(*tasks)
    assert len(late_runs(world)) <= MOST_LATE_RUNS
    assert len(world.crashes) <= MOST_CRASHES
    assert world.outcomes["other", 200] >= 350, world.outcomes


# What the fleet knows outlives routers, the store and messages


async def learn(world):
    """Let a lethal request come until all routers refuse it."""
    tasks = await world.ask_many(8, 0.4, "lethal", body=LETHAL)
    await asyncio.gather(*tasks)
    assert len(world.crashes) <= MOST_CRASHES
    assert await statuses(world) == {400}


async def lose_power(world):
    """Let all routers end without a word, and start again."""
    for host in world.hosts:
        await world.kill_router(host)
    await asyncio.sleep(1.0)
    for host in world.hosts:
        await world.start_router(host)


async def check_known(world, crashed):
    """Check that all routers refuse the request, and no upstream crashed.

    :param crashed: number of crashes before
    """
    await asyncio.sleep(2.0)
    assert await statuses(world) == {400}
    assert len(world.crashes) == crashed


async def statuses(world):
    """Return the statuses that a lethal request gets, over all routers."""
    return {await world.ask("x", LETHAL, host=h) for h in list(world.gateways)}


@crash_test()
async def test_a_router_that_starts_again_knows_what_to_refuse(world):
    await learn(world)
    crashed = len(world.crashes)
    host = world.hosts[1]
    await world.kill_router(host)
    await world.start_router(host)
    await check_known(world, crashed)


@crash_test()
async def test_a_fleet_that_lost_power_knows_what_to_refuse(world):
    await learn(world)
    await asyncio.sleep(1.0)
    crashed = len(world.crashes)
    await lose_power(world)
    await check_known(world, crashed)


@crash_test()
async def test_what_is_learned_while_the_store_is_out_lasts(world):
    world.store.fault = "silent"
    await learn(world)
    crashed = len(world.crashes)
    world.store.fault = ""
    await asyncio.sleep(5.0)
    await lose_power(world)
    await check_known(world, crashed)


@crash_test()
async def test_lost_messages_delay_what_the_fleet_knows_by_a_second(world):
    for gateway in world.gateways.values():
        gateway._peers.tell = lambda *_args: None
    for number in range(8):
        await world.ask(f"l{number}", LETHAL)
        await asyncio.sleep(1.0)
    assert len(world.crashes) <= MOST_CRASHES
    assert await statuses(world) == {400}


@crash_test()
async def test_a_verdict_costs_one_write_of_the_store(world):
    await learn(world)
    await asyncio.sleep(20.0)
    record = world.store.items["rowanport/blocked"]
    assert await statuses(world) == {400}
    await asyncio.sleep(20.0)
    assert world.store.items["rowanport/blocked"] == record


# The innocent


@crash_test(routers=4)
async def test_nothing_is_refused_after_ordinary_crashes_in_a_row(world):
    # Each crash takes dozens of requests with it, which callers repeat.
    others = world.spawn(world.ask_many(600, 0.02, "innocent"))
    for _crash in range(4):
        await asyncio.sleep(2.5)
        world.crash_busiest()
    await asyncio.gather(*await others)
    assert len(world.crashes) == 4
    assert world.outcomes == {("innocent", 200): 600}


@crash_test(upstreams=8)
async def test_the_same_request_of_many_callers_is_not_blamed(world):
    # A poll looks the same each time and is always under way somewhere.
    polls = world.spawn(
        world.ask_many(900, 0.01, "poll", body=b"poll", path="/safe/")
    )
    for _crash in range(4):
        await asyncio.sleep(1.0)
        world.crash_busiest()
    await asyncio.gather(*await polls)
    assert len(world.crashes) == 4
    assert world.outcomes == {("poll", 200): 900}


@crash_test()
async def test_broken_answers_of_upstreams_that_live_block_nothing(world):
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
    # All run at one upstream when the lethal request comes to it.
    others = world.spawn(world.ask_many(200, 0.01))
    await asyncio.sleep(0.5)
    lethal = world.spawn(world.ask_many(20, 0.1, "lethal", body=LETHAL))
    for tasks in (await others, await lethal):
        await asyncio.gather(*tasks)
    assert len(world.crashes) <= MOST_CRASHES
    # Streams may be sent to two upstreams, so two crashes end one.
    caught = world.caught(2)
    cut = {name for name, status in world.answers.items() if status == "cut"}
    assert cut <= caught
    assert set(world.answers.values()) <= {200, 400, 502, "cut"}


# A machine that was suspended


@crash_test()
async def test_a_router_that_was_suspended_knows_what_to_refuse(world):
    await learn(world)
    crashed = len(world.crashes)
    world.clocks[world.hosts[0]].slept = 6.0
    assert await statuses(world) == {400}
    await check_known(world, crashed)


@crash_test()
async def test_a_router_that_was_suspended_sends_nothing_again(world):
    host = world.hosts[0]
    asking = [world.ask(f"s{n}", b"s%d" % n, host=host) for n in range(12)]
    tasks = [world.spawn(one) for one in asking]
    await asyncio.sleep(0.4)
    # Shorter than callers wait, longer than a stream may be silent.
    world.clocks[host].slept = 2.5
    assert await asyncio.gather(*tasks) == [200] * 12
    assert sum(len(u.heads) for u in world.upstreams.values()) == 12
