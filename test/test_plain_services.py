"""Plain services of a gateway in a large fleet, against real stand-ins."""

import asyncio
from test.platform_world import config
from test.platform_world import Platform

# With one router known each upstream may have two connections: .9 of three.
MOST = 3
REQUESTS = 16


def play(scenario, large_fleet=True):
    """Run a coroutine function with a Platform on narrow connections."""

    async def run():
        async with Platform() as platform:
            platform.gateway.settings.large_fleet = large_fleet
            services = config()["services"]
            services[0]["max_connections"] = MOST
            await platform.store.put(
                "op/config", config(version=2, services=services)
            )
            await platform.wait(lambda: platform.gateway.table.version == 2)
            platform.gateway.client.close()
            for upstream in platform.upstreams:
                upstream.pause = 0.05
            return await scenario(platform)

    return asyncio.run(run())


async def ask_at_once(platform, path="/safe/"):
    """Send requests at once; return the statuses, and most connections."""
    peak = 0

    async def one(index):
        answer = await platform.ask(path, f"r{index}")
        await answer.read()
        return answer.status

    async def watch():
        nonlocal peak
        while True:
            for upstream in platform.upstreams:
                peak = max(peak, len(upstream._writers))
            await asyncio.sleep(0)

    watcher = asyncio.ensure_future(watch())
    statuses = await asyncio.gather(*map(one, range(REQUESTS)))
    watcher.cancel()
    return statuses, peak


def test_requests_wait_for_this_routers_share_of_connections():
    # Guards against resets by upstreams that accept no more connections.
    async def scenario(platform):
        return await ask_at_once(platform)

    statuses, peak = play(scenario)
    assert statuses == [200] * REQUESTS
    assert peak <= 2


def test_a_small_fleet_opens_as_many_connections_as_it_needs():
    async def scenario(platform):
        return await ask_at_once(platform)

    statuses, peak = play(scenario, large_fleet=False)
    assert statuses == [200] * REQUESTS
    assert peak > 2


def test_requests_are_counted_and_forgotten_when_they_end():
    # Guards against replicas that seem busy for good.
    async def scenario(platform):
        platform.upstreams[0].script = ["full", "error", "ok"]
        await ask_at_once(platform)
        gateway = platform.gateway
        now = gateway.clock.steady()
        loads = [
            gateway.replicas.load(gateway.pool.get(one.name).record, now)
            for one in platform.upstreams
        ]
        return [(load.outstanding, load.seconds > 0) for load in loads], loads

    known, loads = play(scenario)
    assert known == [(0, True), (0, True)]
    assert max(load.rejected_at for load in loads) > 0
