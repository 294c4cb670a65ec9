"""Changes of the configuration while its followers have lost the store.

Named in docs/incidents/010, "Open": where all followers of the store have
lost it, the other routers are as old as they are.
"""

import asyncio
from test.test_returned_entries import FLEET_SIZE
from test.test_returned_entries import store_watchers
from test.test_silence import fleet_test
from test.test_silence import STORE

# Seconds in which a configuration is in force at routers that could ask the
# store, and after which the test gives up.
APPLY_SECONDS = 5.0
LIMIT_SECONDS = 30.0


@fleet_test(FLEET_SIZE)
async def test_a_configuration_is_in_force_while_followers_lost_the_store(
    fleet,
):
    # Guards against an old configuration for as long as the followers' cut
    # lasts, though other routers of the fleet reach the store.
    watchers = store_watchers(fleet)
    assert 0 < len(watchers) < len(fleet.hosts)
    for host in watchers:
        fleet.net.cut(host, STORE)
    await asyncio.sleep(1.0)
    async with asyncio.timeout(LIMIT_SECONDS):
        assert await fleet.change_and_wait() <= APPLY_SECONDS
