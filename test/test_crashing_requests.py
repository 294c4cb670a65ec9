"""A request that crashes upstreams takes no more than three of them."""

import asyncio
from test.crash_world import crash_test
from test.crash_world import LETHAL

# Seconds after the third crash from which on all routers have to know.
CONTACT_SECONDS = 3.0
MOST_CRASHES = 5
MOST_LATE_RUNS = 3


def late_runs(world):
    """Return the runs of the lethal request after all have to know it."""
    if len(world.crashes) < 3:
        return []
    known_at = world.crashes[2].at + CONTACT_SECONDS
    return [at for at in world.runs if at > known_at]


@crash_test()
async def test_a_request_that_crashes_upstreams_is_stopped_fleet_wide(world):
    others = world.spawn(world.ask_many(375, 1 / 15))
    lethal = world.spawn(world.ask_many(62, 0.4, "lethal", body=LETHAL))
    for tasks in (await others, await lethal):
        await asyncio.gather(*tasks)
    assert len(late_runs(world)) <= MOST_LATE_RUNS
    assert len(world.crashes) <= MOST_CRASHES
    assert world.outcomes["other", 200] >= 350, world.outcomes
