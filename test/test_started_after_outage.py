"""A router that starts just after an outage of the store.

Named in docs/incidents/003 and 012, "Open".
"""

import asyncio
from test.test_returned_entries import hosts_listing
from test.test_silence import fleet_test
from test.test_silence import settings
from test.test_silence import UPSTREAM
from test.virtual_net import HOST

from rowanport.platform.__main__ import build

# Seconds for which the store is out, and in which an upstream that lives has
# written its entry again.
OUTAGE_SECONDS = 5.0
BACK_SECONDS = 1.5
NEW_HOST = "10.0.0.9"


@fleet_test(3)
async def test_a_router_started_after_an_outage_keeps_lapsed_upstreams(fleet):
    # Guards against a fleet without upstreams that live: the router that
    # starts lists what lapsed as gone, and the others follow it.
    for number in range(6):
        name = "one"
        await fleet.remove_in_outage(name, OUTAGE_SECONDS)
        await asyncio.sleep(0.2 * number)
        HOST.set(NEW_HOST)
        gateway = build(settings(NEW_HOST, fleet.hosts), fleet._clock)
        await gateway.start()
        HOST.set("operator")
        for _look in range(int((BACK_SECONDS - 0.2 * number) / 0.05)):
            assert hosts_listing(fleet, name) == fleet.hosts, number
            await asyncio.sleep(0.05)
        await gateway.close()
        await fleet.store.put("servers/one", UPSTREAM)
        await asyncio.sleep(10.0)
