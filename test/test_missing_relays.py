"""Cut-off routers whose requests nobody relays, though a router could.

Named in docs/design/paths.md, "Not solved".
"""

import asyncio
from test.crash_world import crash_test
from test.crash_world import CrashWorld
from test.crash_world import RETRY_SLACK
from test.test_cut_off import RESET
from test.test_cut_off import sever
from test.test_silence import settings
from test.virtual_net import HOST

from rowanport.platform.__main__ import build

# Seconds after which a cut-off router has found its peers.
CONTACT_SECONDS = 4.0


class TwoRegions(CrashWorld):
    """A CrashWorld whose last router is of another region."""

    async def start_router(self, host):
        HOST.set(host)
        platform = settings(host, self.hosts)
        platform.gateway.retry_slack = RETRY_SLACK
        if host == self.hosts[-1]:
            platform.gateway.region = "south"
        gateway = build(platform, self.clocks[host])
        self.gateways[host] = gateway
        await gateway.start()
        HOST.set("caller")


@crash_test(routers=2)
async def test_a_stopping_router_relays_while_it_is_the_only_one(world):
    # Guards against refusals at a cut-off router while the only peer that
    # reaches the upstreams stops as planned, and still serves its own.
    cut, stopping = world.hosts
    sever(world, [cut], RESET)
    await asyncio.sleep(CONTACT_SECONDS)
    assert await world.ask("before", b"before", "/once/", cut) == 200
    world.spawn(world.gateways[stopping].stop())
    await asyncio.sleep(0.5)
    assert await world.ask("own", b"own", "/once/", stopping) == 200
    assert await world.ask("during", b"during", "/once/", cut) == 200


@crash_test(TwoRegions, routers=2)
async def test_a_router_of_another_cell_relays_where_no_other_can(world):
    # Guards against refusals at a router whose whole cell is cut off, as
    # routers of other cells are not asked.
    cut, other = world.hosts
    sever(world, [cut], RESET)
    await asyncio.sleep(CONTACT_SECONDS)
    assert await world.ask("other", b"other", "/once/", other) == 200
    assert await world.ask("cut", b"cut", "/once/", cut) == 200
