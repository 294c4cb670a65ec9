"""What holds for requests that a peer relays to their upstream."""

import asyncio
import collections
from test.crash_world import crash_test
from test.platform_world import ID_HEADER
from test.test_cut_off import ACCEPT
from test.test_cut_off import ask_everywhere
from test.test_cut_off import HANG
from test.test_cut_off import recover
from test.test_cut_off import RESET
from test.test_cut_off import sever

# Seconds after which a router knows that it is cut off.
KNOWN_SECONDS = 3.0
# Seconds within which an upstream learns that nobody waits for its answer.
GONE_SECONDS = 0.5


async def cut_off(world, hosts, how=RESET):
    """Cut routers off, and wait until they know it."""
    sever(world, hosts, how)
    await ask_everywhere(world, 60, KNOWN_SECONDS / 60, "early")


async def ask_at(world, host, count, path, tag):
    """Ask a router at once; return the tasks of the requests."""
    asked = [f"{tag}{number}" for number in range(count)]
    tasks = [
        world.spawn(world.ask(name, name.encode(), path, host))
        for name in asked
    ]
    # Long enough for all to be on their way, and for none to end.
    await asyncio.sleep(0.4)
    return tasks


def relays_in_use(world):
    """Return the hosts that relay, the busiest first."""
    counts = {h: g.tunnels.count for h, g in world.gateways.items()}
    busy = [host for host, count in counts.items() if count]
    return sorted(busy, key=lambda host: -counts[host])


def runs_by_request(world):
    """Return how often upstreams ran each request, by its id."""
    counts = collections.Counter()
    for upstream in world.upstreams.values():
        counts.update(head[ID_HEADER] for head in upstream.heads)
    return counts


@crash_test()
async def test_a_planned_stop_of_a_relay_cuts_no_relayed_request(world):
    (host,) = world.hosts[:1]
    await cut_off(world, [host])
    tasks = await ask_at(world, host, 20, "/stream/", "s")
    relay = relays_in_use(world)[0]
    stopping = world.spawn(world.gateways[relay].stop())
    assert await asyncio.gather(*tasks) == [200] * 20
    runs = runs_by_request(world)
    assert {runs[f"s{number}"] for number in range(20)} == {1}
    await stopping
    del world.gateways[relay]
    assert await world.ask("after", b"x", "/once/", host) == 200


@crash_test()
async def test_a_killed_relay_ends_streams_elsewhere_and_runs_once_once(world):
    (host,) = world.hosts[:1]
    await cut_off(world, [host])
    streams = await ask_at(world, host, 12, "/stream/", "s")
    once = [
        world.spawn(world.ask(f"o{n}", b"x", "/once/", host)) for n in range(8)
    ]
    await asyncio.sleep(0.002)
    await world.kill_router(relays_in_use(world)[0])
    assert await asyncio.gather(*streams) == [200] * 12
    answers = await asyncio.gather(*once)
    runs = runs_by_request(world)
    for number, answer in enumerate(answers):
        ran = runs[f"o{number}"]
        assert ran <= 1
        # What is refused as not run has not run.
        assert answer in (200, 502) or not ran


@crash_test()
async def test_routers_that_are_cut_off_relay_for_nobody(world):
    cut = world.hosts[:2]
    await cut_off(world, cut)
    for host in cut:
        await ask_at(world, host, 6, "/stream/", f"s{host}")
    assert set(relays_in_use(world)) == set(world.hosts[2:])


@crash_test(routers=6)
async def test_what_cut_off_routers_ask_for_is_spread_over_the_others(world):
    cut, others = world.hosts[:3], world.hosts[3:]
    await cut_off(world, cut)
    tasks = []
    for host in cut:
        tasks += await ask_at(world, host, 30, "/stream/", f"s{host}")
    counts = [world.gateways[host].tunnels.count for host in others]
    assert min(counts) >= max(counts) / 3, counts
    assert await asyncio.gather(*tasks) == [200] * 90


@crash_test()
async def test_peers_of_versions_without_tunnels_are_passed_over(world):
    async def hang_up(_message, _caller, _reader, writer):
        writer.close()

    host, *others = world.hosts
    for old in others[:2]:
        world.gateways[old]._peer_server.on_tunnel = hang_up
    await cut_off(world, [host])
    statuses = await ask_everywhere(world, 80, 0.02, "s")
    assert statuses[host] == {200: 20}
    assert relays_in_use(world) in ([], [others[2]])


@crash_test()
async def test_a_router_returns_to_its_own_link(world):
    host, *_others = world.hosts
    await cut_off(world, [host])
    await ask_everywhere(world, 40, 0.02, "cut")
    assert relays_in_use(world)
    recover(world, [host])
    await ask_everywhere(world, 100, 0.04, "back")
    gateway = world.gateways[host]
    assert not gateway.links.cut_off and not gateway.links.lost
    await ask_everywhere(world, 80, 0.02, "after")
    assert not relays_in_use(world)


@crash_test()
async def test_a_router_cut_off_from_some_upstreams_uses_the_others(world):
    host, *_others = world.hosts
    for address in list(world.upstreams)[:3]:
        world.net.sever(host, address, RESET)
    statuses = await ask_everywhere(world, 160, 0.025, "s")
    assert statuses[host][200] >= 38, statuses[host]
    await asyncio.sleep(1.0)
    assert not world.gateways[host].links.cut_off
    assert len(world.gateways[host].links.lost) <= 3


@crash_test()
async def test_an_upstream_learns_through_a_tunnel_that_a_caller_left(world):
    host, *_others = world.hosts
    await cut_off(world, [host])
    world.gateways[host].client.drop_idle(lambda _path: True)
    for upstream in world.upstreams.values():
        upstream.pause = 3.0
    tasks = await ask_at(world, host, 6, "/stream/", "s")
    assert relays_in_use(world)
    for task in tasks:
        task.cancel()
    await asyncio.sleep(GONE_SECONDS)
    assert not relays_in_use(world)


@crash_test()
async def test_a_crash_is_found_by_a_router_that_is_cut_off(world):
    host, *_others = world.hosts
    await cut_off(world, [host])
    tasks = await ask_at(world, host, 12, "/stream/", "s")
    world.crash_busiest()
    assert await asyncio.gather(*tasks) == [200] * 12
    crashes = sum(
        len(gateway.metrics.crashes.values)
        for gateway in world.gateways.values()
    )
    assert crashes >= 1


@crash_test()
async def test_a_relay_that_is_cut_off_in_turn_ends_its_tunnels(world):
    host, *_others = world.hosts
    await cut_off(world, [host])
    tasks = await ask_at(world, host, 12, "/stream/", "s")
    relay = relays_in_use(world)[0]
    sever(world, [relay], HANG)
    await world.ask_many(20, 0.05, host=relay)
    assert await asyncio.gather(*tasks) == [200] * 12
    assert not world.gateways[relay].tunnels.count


@crash_test()
async def test_a_link_that_closes_late_what_it_accepted_is_not_taken_for_well(
    world,
):
    host, *_others = world.hosts
    await cut_off(world, [host], ACCEPT)
    tried = await ask_everywhere(world, 160, 0.025, "s")
    assert tried[host][200] >= 38, tried[host]
    assert world.gateways[host].links.cut_off


@crash_test()
async def test_a_tunnel_is_kept_that_comes_after_its_caller_has_left(world):
    host, *_others = world.hosts
    await cut_off(world, [host])
    gateway = world.gateways[host]
    gateway.client.drop_idle(lambda _path: True)
    await asyncio.sleep(0.1)
    assert not relays_in_use(world)
    asking = world.spawn(world.ask("left", b"x", "/once/", host))
    # The tunnel is being opened.
    await asyncio.sleep(0.006)
    asking.cancel()
    await asyncio.sleep(0.2)
    gateway.client.drop_idle(lambda _path: True)
    await asyncio.sleep(0.1)
    assert not relays_in_use(world)


@crash_test()
async def test_tunnels_through_a_frozen_relay_are_not_used_again(world):
    host, *_others = world.hosts
    await cut_off(world, [host])
    await asyncio.gather(*await ask_at(world, host, 20, "/stream/", "s"))
    relay = relays_in_use(world)[0]
    freeze(world.gateways[relay])
    statuses = collections.Counter()
    for number in range(30):
        name = f"o{number}"
        statuses[await world.ask(name, b"x", "/once/", host)] += 1
    # One finds out, unless all go through others by chance.
    assert statuses[200] >= 29, statuses


def freeze(gateway):
    """Let a router pass nothing on any more, with its connections open."""

    async def wait(*_arguments):
        await asyncio.sleep(100.0)

    for tunnel in gateway.tunnels._tunnels:
        tunnel._writer.write = lambda _data: None
    gateway._peer_server.on_tunnel = wait
