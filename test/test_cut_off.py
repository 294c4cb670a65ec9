"""Routers that are cut off from all upstreams still serve their callers.

Callers, the store and the other routers still reach such a router.  It
refused nearly all requests, as its own link was its only way to the upstreams,
and took the upstreams for crashed.
"""

import asyncio
import collections
from test.crash_world import crash_test

import pytest

HANG = "hang"
RESET = "reset"
REFUSE = "refuse"
ACCEPT = "accept"
# Seconds after the beginning of a cut from which on requests are served.
CONTACT_SECONDS = 3.0
# Part of the first tries at other routers that are served at cut-off ones.
SERVED_SHARE = 2 / 3
PATHS = ("/stream/", "/once/", "/safe/")
# Seconds within which a request that nobody can serve is refused.
REFUSAL_SECONDS = 0.1


def sever(world, hosts, how):
    """Cut some routers off from all upstreams."""
    for host in hosts:
        for address in world.upstreams:
            world.net.sever(host, address, how)


def recover(world, hosts):
    """End the cut of some routers."""
    for host in hosts:
        for address in world.upstreams:
            world.net.recover(host, address)


async def ask_everywhere(world, count, pause, tag):
    """Ask all routers in turn; return Counters of statuses by host."""
    statuses = collections.defaultdict(collections.Counter)

    async def ask(number):
        host = world.hosts[number % len(world.hosts)]
        path = PATHS[number // len(world.hosts) % len(PATHS)]
        name = f"{tag}{number}"
        answer = await world.ask(name, name.encode(), path, host)
        statuses[host][answer] += 1

    tasks = []
    for number in range(count):
        tasks.append(world.spawn(ask(number)))
        await asyncio.sleep(pause)
    await asyncio.gather(*tasks)
    return statuses


def served_share(statuses, hosts):
    """Return the part of the requests at some routers that was served."""
    counts = sum((statuses[host] for host in hosts), collections.Counter())
    return counts[200] / sum(counts.values())


@pytest.mark.parametrize("count", [1, 2, 3])
@pytest.mark.parametrize("how", [HANG, RESET, REFUSE])
def test_a_cut_off_router_serves_through_its_peers(how, count):
    @crash_test()
    async def run(world):
        cut, others = world.hosts[:count], world.hosts[count:]
        await ask_everywhere(world, 80, 0.02, "before")
        sever(world, cut, how)
        await ask_everywhere(world, 120, 0.025, "early")
        statuses = await ask_everywhere(world, 240, 0.025, "late")
        least = SERVED_SHARE * served_share(statuses, others)
        assert served_share(statuses, cut) >= least, statuses

    run()


@pytest.mark.parametrize("how", [HANG, RESET, REFUSE])
def test_a_cut_is_not_taken_for_a_crash_of_the_upstreams(how):
    @crash_test()
    async def run(world):
        asked = world.spawn(ask_everywhere(world, 200, 0.02, "during"))
        await asyncio.sleep(2.0)
        sever(world, world.hosts[:2], how)
        await asked
        for gateway in world.gateways.values():
            assert not len(gateway.metrics.crashes.values)

    run()


@pytest.mark.parametrize("how", [HANG, RESET, REFUSE])
def test_what_nobody_can_serve_is_refused_at_once(how):
    @crash_test()
    async def run(world):
        # Live connections would serve it.
        how_cut = RESET if how == REFUSE else how
        sever(world, world.hosts, how_cut)
        await ask_everywhere(world, 120, 0.025, "early")
        for number in range(20):
            begun = world.now
            answer = await world.ask(f"late{number}", b"x", "/once/")
            assert answer == 503
            assert world.now - begun <= REFUSAL_SECONDS
            await asyncio.sleep(0.1)

    run()
