"""An upstream with a missing entry must not return by a stale list."""

import asyncio
from test.test_silence import fleet_test
from test.test_silence import STORE
from test.test_silence import UPSTREAM

# Seconds after a change in the store by which no router may send requests to
# an upstream that left; without congestion it takes no time.
DRAIN_SECONDS = 3.0
# Seconds for which a router cannot reach the store.
AWAY_SECONDS = 7.0
# More routers than there are store watchers.
FLEET_SIZE = 10


def store_watchers(fleet):
    """Return the hosts of the routers that watch the store."""
    return [h for h in fleet.hosts if fleet.gateways[h]._views.watches_store]


def hosts_listing(fleet, name):
    """Return the hosts of the routers that list an upstream."""
    return [
        host
        for host, gateway in fleet.gateways.items()
        if name in gateway.upstreams.upstreams
    ]


async def change_others(fleet, seconds):
    """Write entries of other upstreams for some time, as starts do."""
    for number in range(int(seconds / 0.1)):
        await fleet.store.put(f"servers/new-{number % 3}", _entry(number))
        await asyncio.sleep(0.1)


def _entry(number):
    return {**UPSTREAM, "address": f"10.9.1.{number % 200 + 1}:80"}


@fleet_test(FLEET_SIZE)
async def test_a_removed_entry_is_not_restored_by_routers_that_were_cut_off(
    fleet,
):
    for number in range(6):
        name = f"leaver-{number}"
        await fleet.store.put(f"servers/{name}", UPSTREAM)
        away = store_watchers(fleet)[:2]
        for host in away:
            fleet.net.cut(host, STORE)
        await change_others(fleet, AWAY_SECONDS)
        for host in away:
            fleet.net.join(host, STORE)
        # At a different time after the routers' return in each round.
        await change_others(fleet, 0.2 * number)
        await fleet.store.remove(f"servers/{name}")
        await change_others(fleet, DRAIN_SECONDS)
        assert hosts_listing(fleet, name) == []


@fleet_test(FLEET_SIZE)
async def test_all_routers_retain_entries_that_expire_in_an_outage(fleet):
    for length in (2.5, 4.0, 8.0):
        await fleet.store.put("servers/lapser", UPSTREAM)
        await asyncio.sleep(5.0)
        await fleet.remove_in_outage("lapser", length)
        for _look in range(90):
            await asyncio.sleep(0.02)
            assert hosts_listing(fleet, "lapser") == fleet.hosts, length
        await fleet.store.put("servers/lapser", UPSTREAM)
        await asyncio.sleep(5.0)
        assert hosts_listing(fleet, "lapser") == fleet.hosts
        await fleet.store.remove("servers/lapser")
        await asyncio.sleep(DRAIN_SECONDS)
        assert hosts_listing(fleet, "lapser") == []


@fleet_test(FLEET_SIZE)
async def test_all_routers_drop_entries_that_stay_missing_after_an_outage(
    fleet,
):
    await fleet.store.put("servers/lapser", UPSTREAM)
    await asyncio.sleep(5.0)
    await fleet.remove_in_outage("lapser", 4.0)
    await change_others(fleet, 5.0)
    assert hosts_listing(fleet, "lapser") == []


@fleet_test(FLEET_SIZE)
async def test_an_isolated_router_retains_no_removed_entry(fleet):
    # A store watcher on a full link gets answers of neither store nor peers.
    for number in range(4):
        name = f"leaver-{number}"
        await fleet.store.put(f"servers/{name}", UPSTREAM)
        host = store_watchers(fleet)[number % 3]
        others = [other for other in fleet.hosts if other != host]
        await change_others(fleet, 2.0)
        fleet.net.cut(host, STORE)
        for other in others:
            fleet.net.cut(host, other)
            fleet.net.cut(other, host)
        await change_others(fleet, 2.5)
        await fleet.store.remove(f"servers/{name}")
        await change_others(fleet, DRAIN_SECONDS + 0.1 * number)
        # It reaches its peers again later than the store.
        fleet.net.join(host, STORE)
        gateway = fleet.gateways[host]
        for look in range(60):
            await asyncio.sleep(0.05)
            assert name not in usable(gateway), number
            if look == 20 + number:
                for other in others:
                    fleet.net.join(host, other)
                    fleet.net.join(other, host)
        assert gateway.ready
        await change_others(fleet, 5.0)


def usable(gateway):
    """Return the ids of the upstreams to which a router may send requests."""
    freshness = gateway.views.freshness
    if freshness.stale:
        return set()
    return {
        name
        for name, upstream in gateway.upstreams.upstreams.items()
        if not upstream.lapsing or freshness.peers_responsive
    }
