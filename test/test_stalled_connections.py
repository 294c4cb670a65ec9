"""Connections that stall while the other end's kernel acknowledges bytes.

A proxy that hangs does that.  The kernel's probes find nothing wrong, so that
only the users of a connection can notice (docs/incidents/010, "Open").
"""

import asyncio
import random
from test.test_silence import APPLY_SECONDS
from test.test_silence import CALM_SECONDS
from test.test_silence import fleet_test
from test.test_silence import STORE
from test.virtual_net import End
from unittest import mock

import pytest

# Connections that each router keeps to the store at rest.
STORE_CONNECTIONS = 6
# Times at which all connections stall.
ROUNDS = 3


def stall(links):
    """Let connections stall, so that no probe of a kernel shows it."""
    with mock.patch.object(End, "probe"):
        for link in links:
            link.silence()


def store_links(fleet):
    """Return the open Links to the store of each router."""
    links = {host: [] for host in fleet.hosts}
    for link in fleet.net._links:
        client, server = link.names
        if server == STORE and not link.ends[0].is_closing():
            links[client].append(link)
    return links.values()


@fleet_test(3)
async def test_a_configuration_is_in_force_after_all_connections_stall(fleet):
    # Guards against an old configuration for as long as a watch of the store
    # waits, 21 s, where all open connections stall at once.
    # The order of the routers' calls is drawn, and decides which call is under
    # way at that moment.
    random.seed(2)
    for _round in range(ROUNDS):
        stall(list(fleet.net._links))
        await asyncio.sleep(CALM_SECONDS)
        assert await fleet.change_and_wait() <= APPLY_SECONDS
        await asyncio.sleep(CALM_SECONDS)


@pytest.mark.parametrize("number", range(STORE_CONNECTIONS))
def test_a_configuration_is_in_force_after_one_connection_stalls(number):
    # Guards against the same where only the watches stall, while all other
    # calls of the store are answered.
    @fleet_test(3)
    async def run(fleet):
        chosen = [links[number] for links in store_links(fleet)]
        stall(chosen)
        await asyncio.sleep(CALM_SECONDS)
        assert await fleet.change_and_wait() <= APPLY_SECONDS

    run()
