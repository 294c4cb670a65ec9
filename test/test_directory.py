"""Which calls to the store a router makes to find the others."""

import asyncio

import pytest

from rowanport.gateway.settings import GatewaySettings
from rowanport.platform.directory import RouterDirectory
from rowanport.platform.store import Listing


class ListStore:
    """Lists nobody, and notes whether old entries would do."""

    def __init__(self):
        self.stale = []

    async def list(self, prefix, stale=False):
        self.stale.append(stale)
        return Listing([], 1)


@pytest.mark.parametrize(
    "seeds, stale", (([], [False, True]), (["10.0.0.2:1"], [True, True]))
)
def test_only_a_router_without_seeds_needs_the_newest_list(seeds, stale):
    # A start of hundreds of routers read the list as many times at full cost.
    store = ListStore()
    values = dict.fromkeys(GatewaySettings.__slots__)
    settings = GatewaySettings(**{**values, "seeds": seeds})
    directory = RouterDirectory(store, settings)
    for _number in range(2):
        asyncio.run(directory.instances())
    assert store.stale == stale
