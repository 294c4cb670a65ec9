"""An upstream whose entry went, and which a list names once more."""

import asyncio
from test.test_silence import fleet_test
from test.test_silence import STORE
from test.test_silence import UPSTREAM

# Seconds after the store's word within which no router may send work to an
# upstream that left; on a clear link it takes no time.
DRAIN_SECONDS = 3.0
# Seconds for which the store turns a router away.
AWAY_SECONDS = 7.0
# More routers than those that follow the store for all.
FLEET_SIZE = 10


def followers(fleet):
    """Return the hosts of the routers that follow the store."""
    return [h for h in fleet.hosts if fleet.gateways[h]._views.watches_store]


def who_lists(fleet, name):
    """Return the hosts of the routers that send work to an upstream."""
    return [
        host
        for host, gateway in fleet.gateways.items()
        if name in gateway.upstreams.upstreams
    ]


async def change_others(fleet, seconds):
    """Change other entries meanwhile, as upstreams that start do."""
    for number in range(int(seconds / 0.1)):
        await fleet.store.put(f"servers/new-{number % 3}", _entry(number))
        await asyncio.sleep(0.1)


def _entry(number):
    return {**UPSTREAM, "address": f"10.9.1.{number % 200 + 1}:80"}


@fleet_test(FLEET_SIZE)
async def test_an_entry_that_went_is_not_brought_back_by_who_was_away(fleet):
    for number in range(6):
        name = f"leaver-{number}"
        await fleet.store.put(f"servers/{name}", UPSTREAM)
        away = followers(fleet)[:2]
        for host in away:
            fleet.net.cut(host, STORE)
        await change_others(fleet, AWAY_SECONDS)
        for host in away:
            fleet.net.join(host, STORE)
        # At another moment of the routers' return each time.
        await change_others(fleet, 0.2 * number)
        await fleet.store.remove(f"servers/{name}")
        await change_others(fleet, DRAIN_SECONDS)
        assert who_lists(fleet, name) == []


@fleet_test(FLEET_SIZE)
async def test_entries_that_lapse_for_all_are_kept_by_all(fleet):
    for length in (2.5, 4.0, 8.0):
        await fleet.store.put("servers/lapser", UPSTREAM)
        await asyncio.sleep(5.0)
        await fleet.remove_in_outage("lapser", length)
        for _look in range(90):
            await asyncio.sleep(0.02)
            assert who_lists(fleet, "lapser") == fleet.hosts, length
        await fleet.store.put("servers/lapser", UPSTREAM)
        await asyncio.sleep(5.0)
        assert who_lists(fleet, "lapser") == fleet.hosts
        await fleet.store.remove("servers/lapser")
        await asyncio.sleep(DRAIN_SECONDS)
        assert who_lists(fleet, "lapser") == []


@fleet_test(FLEET_SIZE)
async def test_entries_that_stay_missing_after_an_outage_go_everywhere(fleet):
    await fleet.store.put("servers/lapser", UPSTREAM)
    await asyncio.sleep(5.0)
    await fleet.remove_in_outage("lapser", 4.0)
    await change_others(fleet, 5.0)
    assert who_lists(fleet, "lapser") == []


@fleet_test(FLEET_SIZE)
async def test_who_heard_of_nobody_keeps_nothing_that_was_removed(fleet):
    # On a full link a follower hears neither the store nor a peer.
    for number in range(4):
        name = f"leaver-{number}"
        await fleet.store.put(f"servers/{name}", UPSTREAM)
        host = followers(fleet)[number % 3]
        others = [other for other in fleet.hosts if other != host]
        await change_others(fleet, 2.0)
        fleet.net.cut(host, STORE)
        for other in others:
            fleet.net.cut(host, other)
            fleet.net.cut(other, host)
        await change_others(fleet, 2.5)
        await fleet.store.remove(f"servers/{name}")
        await change_others(fleet, DRAIN_SECONDS + 0.1 * number)
        # Its peers hear of it later than the store.
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
    """Return the ids of the upstreams that a router may send work to."""
    freshness = gateway.views.freshness
    if freshness.stale:
        return set()
    return {
        name
        for name, upstream in gateway.upstreams.upstreams.items()
        if not upstream.lapsing or freshness.peers_responsive
    }
