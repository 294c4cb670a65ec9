"""Answers without a length whose store is killed, on real processes.

The kernel closes the connections of a killed process in order, which is how
such an answer ends: part of a value looked like the value.
"""

import asyncio
import contextlib
from test.test_killed_upstreams import PATIENCE
from test.test_killed_upstreams import UpstreamProcess
from test.upstream_process import BODY
from test.upstream_process import VERSION

import pytest

from bench.ports import free_ports
from rowanport.clock import SystemClock
from rowanport.config import ConfigEditor
from rowanport.errors import StoreUnavailable
from rowanport.platform.store import PlatformStore
from rowanport.store import KeyValueStore
from rowanport.store import Write
from rowanport.web import HttpClient

KEY = "a-key"
CALL_TIMEOUT = 5.0


class World:
    """A store in a process of its own, and clients of it.

    :param manner: how its answers come
    """

    def __init__(self, manner):
        (port,) = free_ports(1)
        self.process = UpstreamProcess("store", port, manner)
        self.client = HttpClient()
        address = self.process.address
        self.values = KeyValueStore(self.client, address, "one", CALL_TIMEOUT)
        self.platform = PlatformStore(self.client, address, SystemClock())
        self.editor = ConfigEditor(self.values, "test", SystemClock())

    async def killed_halfway(self, call):
        """Return the result of a call whose store is killed meanwhile."""
        calling = asyncio.ensure_future(call)
        await self.process.wait_for_run()
        await asyncio.sleep(0.1)
        await self.process.kill()
        return await calling


@contextlib.asynccontextmanager
async def started(manner):
    """Enter a World whose process has started."""
    world = World(manner)
    await world.process.start()
    try:
        yield world
    finally:
        world.client.close()
        await world.process.kill()


def run(manner, body):
    """Run a coroutine function with a World."""

    async def main():
        async with asyncio.timeout(PATIENCE):
            async with started(manner) as world:
                return await body(world)

    return asyncio.run(main())


@pytest.mark.parametrize("manner", ("half", "head", "length", "chunks"))
def test_part_of_a_value_of_a_killed_store_is_no_value(manner):
    # Guards against records that are read from a part of their bytes.
    async def body(world):
        with pytest.raises(StoreUnavailable):
            await world.killed_halfway(world.values.get(KEY))

    run(manner, body)


@pytest.mark.parametrize("manner", ("half", "head"))
def test_part_of_a_watched_value_of_a_killed_store_is_no_value(manner):
    # Guards against the same where a router waits for a newer value.
    async def body(world):
        with pytest.raises(StoreUnavailable):
            await world.killed_halfway(world.values.watch(KEY, 1, 1.0))

    run(manner, body)


def test_a_killed_store_shows_no_empty_configuration():
    # Guards against a change that replaces the whole configuration: without
    # its bytes the root looked like that of a new fleet, in its own version.
    async def body(world):
        with pytest.raises(StoreUnavailable):
            await world.killed_halfway(world.editor.read())

    run("head", body)


def test_a_store_that_restarts_at_once_does_not_vouch():
    # Guards against the word of the next process at the same address.
    async def body(world):
        call = asyncio.ensure_future(world.values.get(KEY))
        await world.process.wait_for_run()
        await asyncio.sleep(0.1)
        world.process.process.kill()
        port = int(world.process.address.rpartition(":")[2])
        other = UpstreamProcess("store", port, "whole")
        await other.start()
        try:
            with pytest.raises(StoreUnavailable):
                await call
        finally:
            await other.kill()

    run("half", body)


def test_whole_values_without_a_length_stay_whole():
    # Guards against values of a store that lives which count as lost.
    async def body(world):
        for _number in range(5):
            value = await world.values.get(KEY)
            assert (value.data, value.version) == (BODY, VERSION)

    run("whole", body)


def test_whole_values_of_a_busy_store_stay_whole():
    # Guards against the same while other calls wait there.
    async def body(world):
        waiting = [
            asyncio.ensure_future(world.values.get("half")) for _n in range(8)
        ]
        for _number in range(8):
            value = await world.values.get("whole")
            assert (value.data, value.version) == (BODY, VERSION)
        for call in waiting:
            call.cancel()

    run("", body)


def test_a_written_value_is_not_asked_for():
    # Guards against writes that count as lost for the end of an answer that
    # nobody reads: their version is in its head.
    async def body(world):
        version = await world.killed_halfway(world.values.put(KEY, b"new", 1))
        assert version == VERSION

    run("half", body)


def calls_of(store):
    """Return calls of a PlatformStore by name."""
    return {
        "read": store.get(KEY),
        "list": store.list(KEY),
        "watch": store.watch(KEY, 1),
        "commit": store.commit([Write(KEY, b"new", None)]),
        "lease": store.grant_lease(1.0),
    }


@pytest.mark.parametrize("manner", ("head", "half"))
@pytest.mark.parametrize("name", ("read", "list", "watch", "commit", "lease"))
def test_part_of_an_answer_of_the_platforms_store_is_no_answer(name, manner):
    # Guards against an answer without its body that is read as an empty one.
    async def body(world):
        calls = calls_of(world.platform)
        call = calls.pop(name)
        for other in calls.values():
            other.close()
        with pytest.raises(StoreUnavailable):
            await world.killed_halfway(call)

    run(manner, body)
