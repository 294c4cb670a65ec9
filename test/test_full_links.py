"""Upstreams that leave while the links of all routers are full.

Named in docs/incidents/020, "Remains", and soak/FINDINGS.md.
"""

import asyncio
from test.test_old_views import DRAIN_SECONDS
from test.test_returned_entries import usable
from test.test_silence import fleet_test
from test.test_silence import UPSTREAM

# Seconds for which bytes wait on the links, and for which they are full.
WAIT_SECONDS = 2.5
FULL_SECONDS = 8.0


@fleet_test(3)
async def test_a_removed_upstream_is_not_used_after_all_links_were_full(fleet):
    # Guards against work for an upstream that has left: each router takes its
    # own full link for an outage of the store, in which entries lapse.
    for number in range(6):
        name = f"leaver-{number}"
        await fleet.store.put(f"servers/{name}", UPSTREAM)
        await asyncio.sleep(5.0)
        for host in fleet.hosts:
            fleet.net.fill(host, inward=WAIT_SECONDS, outward=WAIT_SECONDS)
        await asyncio.sleep(FULL_SECONDS - 0.7 * number)
        await fleet.store.remove(f"servers/{name}")
        await asyncio.sleep(0.7 * number)
        for host in fleet.hosts:
            fleet.net.fill(host)
        await asyncio.sleep(DRAIN_SECONDS - min(DRAIN_SECONDS, 0.7 * number))
        for _look in range(60):
            for gateway in fleet.gateways.values():
                assert name not in usable(gateway), number
            await asyncio.sleep(0.05)
