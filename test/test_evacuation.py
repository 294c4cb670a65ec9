"""A data centre that operators evacuate gets no new requests.

The operator writes a record to the store, and the store's answer starts the
bound.  Each test names what the record meets: running streams, routers that
learn of it from peers only, late copies, lost history, a store that is out.
"""

import asyncio
from test.platform_world import Platform
from test.test_platform import events
from test.test_platform import read_events
from test.test_platform import scenario

# Seconds after the store's answer after which a router that watches the store
# sends nothing more there.
WATCHER_SECONDS = 0.5
# The router prefers upstreams of its own data centre.
EVACUATED = "op/evacuate/hall-a"
LOCAL = {"stamp-one"}
REMOTE = {"stamp-two"}


async def move_two_to_hall_b(platform):
    """Let the second upstream be the only one of another data centre."""
    entry = {**platform.upstreams[1].entry(), "zone": "hall-b"}
    await platform.store.put("servers/two", entry)
    pool = platform.gateway.pool
    await platform.wait(lambda: pool.get("two").record.data_centre == "hall-b")


async def ask_often(platform, count=20):
    """Send some requests; return the names of the upstreams that ran them."""
    names = set()
    for number in range(count):
        answer = await platform.ask("/safe/x", f"often-{number}")
        names.add(answer.headers["x-rowanport-server-stamp"])
        await answer.read()
    return names


@scenario
async def test_an_evacuated_data_centre_gets_no_new_requests(platform):
    await move_two_to_hall_b(platform)
    assert await ask_often(platform) == LOCAL
    await platform.store.put(EVACUATED, {})
    await asyncio.sleep(WATCHER_SECONDS)
    assert await ask_often(platform) == REMOTE
    await platform.store.remove(EVACUATED)
    await asyncio.sleep(WATCHER_SECONDS)
    assert await ask_often(platform) == LOCAL


@scenario
async def test_what_runs_in_an_evacuated_data_centre_is_finished(platform):
    for upstream in platform.upstreams:
        upstream.pause = 0.2
    await move_two_to_hall_b(platform)
    answer = await platform.stream("/stream/x", "running", tokens="100,18")
    await platform.store.put(EVACUATED, {})
    await platform.store.put("op/evacuate/hall-b", {})
    assert await read_events(answer) == (events("running", range(1, 7)), True)
    assert len(platform.runs) == 1


@scenario
async def test_a_service_without_another_data_centre_is_refused(platform):
    await move_two_to_hall_b(platform)
    for name in ("hall-a", "hall-b"):
        await platform.store.put(f"op/evacuate/{name}", {})
    await asyncio.sleep(WATCHER_SECONDS)
    answer = await platform.ask("/safe/x")
    assert answer.status == 503
    assert "retry-after" in answer.headers
    assert platform.runs == []


@scenario
async def test_a_record_with_any_content_is_in_force(platform):
    await move_two_to_hall_b(platform)
    for content in (b"", b"not json", b"x" * 100000, b"[]"):
        await platform.store.put(EVACUATED, content)
        await asyncio.sleep(WATCHER_SECONDS)
        assert await ask_often(platform) == REMOTE
    await platform.store.put("op/evacuate/no-such-place", {})
    await asyncio.sleep(WATCHER_SECONDS)
    assert await ask_often(platform) == REMOTE


@scenario
async def test_a_record_outlives_lost_history_and_is_withdrawn(platform):
    await move_two_to_hall_b(platform)
    await platform.store.put(EVACUATED, {})
    await asyncio.sleep(WATCHER_SECONDS)
    platform.store.forget_history()
    await asyncio.sleep(2 * WATCHER_SECONDS)
    assert await ask_often(platform) == REMOTE
    await platform.store.remove(EVACUATED)
    platform.store.forget_history()
    await asyncio.sleep(2 * WATCHER_SECONDS)
    assert await ask_often(platform) == LOCAL


def test_a_router_that_starts_in_an_evacuation_knows_of_it():
    async def run():
        platform = Platform()
        await platform.store.put(EVACUATED, {})
        async with platform:
            await move_two_to_hall_b(platform)
            assert await ask_often(platform) == REMOTE

    asyncio.run(run())
