"""Routers that are cut off while those that could relay stop.

Named in docs/design/paths.md, "Not solved".
"""

import asyncio
from test.crash_world import crash_test
from test.test_cut_off import RESET
from test.test_cut_off import sever


@crash_test(routers=2)
async def test_a_stopping_router_relays_while_it_is_the_only_one(world):
    # Guards against refusals at a cut-off router while the only peer that
    # reaches the upstreams stops as planned, and still serves its own.
    cut, stopping = world.hosts
    sever(world, [cut], RESET)
    await asyncio.sleep(4.0)
    assert await world.ask("before", b"before", "/once/", cut) == 200
    world.spawn(world.gateways[stopping].stop())
    await asyncio.sleep(0.5)
    assert await world.ask("own", b"own", "/once/", stopping) == 200
    assert await world.ask("during", b"during", "/once/", cut) == 200
