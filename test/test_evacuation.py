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
# sends nothing more there, also one that has just started.
WATCHER_SECONDS = 3.0
# The router prefers upstreams of its own data centre.
EVACUATED = "op/evacuate/hall-a"
HALLS = ("hall-a", "hall-b")
LOCAL = {"stamp-one"}
REMOTE = {"stamp-two"}


async def move_two_to_hall_b(platform):
    """Let the second upstream be the only one of another data centre."""
    entry = {**platform.upstreams[1].entry(), "zone": "hall-b"}
    await platform.store.put("servers/two", entry)
    pool = platform.gateway.pool
    await platform.wait(lambda: pool.get("two").record.data_centre == "hall-b")


async def wait_for(platform, *names):
    """Wait until just these data centres are evacuated."""
    views = platform.gateway.views
    await platform.wait(
        lambda: views.evacuations.data_centres == set(names), WATCHER_SECONDS
    )


async def evacuate(platform, *names, content=b"{}"):
    """Write records of data centres, and wait until they are in force."""
    for name in names:
        await platform.store.put(f"op/evacuate/{name}", content)
    await wait_for(platform, *names)


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
    await evacuate(platform, "hall-a")
    assert await ask_often(platform) == REMOTE
    await platform.store.remove(EVACUATED)
    await wait_for(platform)
    assert await ask_often(platform) == LOCAL


@scenario
async def test_what_runs_in_an_evacuated_data_centre_is_finished(platform):
    for upstream in platform.upstreams:
        upstream.pause = 0.1
    await move_two_to_hall_b(platform)
    answer = await platform.stream("/stream/x", "running", tokens="100,18")
    views = platform.gateway.views
    views.apply_evacuations(views.evacuations.revision + 1, HALLS, "test")
    assert await read_events(answer) == (events("running", range(1, 7)), True)
    assert len(platform.runs) == 1


@scenario
async def test_a_service_without_another_data_centre_is_refused(platform):
    await move_two_to_hall_b(platform)
    await evacuate(platform, *HALLS)
    answer = await platform.ask("/safe/x")
    assert answer.status == 503
    assert "retry-after" in answer.headers
    assert platform.runs == []


@scenario
async def test_a_record_with_any_content_is_in_force(platform):
    await move_two_to_hall_b(platform)
    for content in (b"", b"not json", b"x" * 100000, b"[]"):
        await evacuate(platform, "hall-a", content=content)
        assert await ask_often(platform) == REMOTE
        await platform.store.remove(EVACUATED)
        await wait_for(platform)
    await evacuate(platform, "no-such-place")
    assert await ask_often(platform) == LOCAL


@scenario
async def test_a_record_outlives_lost_history_and_is_withdrawn(platform):
    await move_two_to_hall_b(platform)
    await evacuate(platform, "hall-a")
    platform.store.forget_history()
    await asyncio.sleep(WATCHER_SECONDS)
    assert await ask_often(platform) == REMOTE
    await platform.store.remove(EVACUATED)
    platform.store.forget_history()
    await wait_for(platform)
    assert await ask_often(platform) == LOCAL


def test_a_router_that_starts_in_an_evacuation_knows_of_it():
    async def run():
        platform = Platform()
        await platform.store.put(EVACUATED, {})
        async with platform:
            await move_two_to_hall_b(platform)
            assert await ask_often(platform) == REMOTE

    asyncio.run(run())
