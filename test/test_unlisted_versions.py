"""Streams across changes of versions that lists name late or never.

The cases are named in docs/design/versions.md and docs/incidents/030.
"""

import asyncio
import functools
from test.crash_world import crash_test
from test.test_stream_versions import begin
from test.test_stream_versions import resume_all
from test.test_stream_versions import SPAN_SECONDS
from test.test_stream_versions import stored_versions
from test.version_world import NEW
from test.version_world import OLD
from test.version_world import VersionWorld
from unittest import mock

from rowanport.gateway.version_record import StoredVersions
from rowanport.standins.kvstore import StoreStandin

version_test = functools.partial(crash_test, VersionWorld)
STREAMS = 12


@version_test(versions=(OLD, OLD))
async def test_a_version_that_changes_under_one_id_joins_no_stream(world):
    # Guards against events of two versions in one stream, as an upstream
    # serves a new version before its entry tells it.
    first, second = world.upstreams.values()
    second.version = NEW
    second.script = ["ok"] * STREAMS
    first.script = ["break"] * STREAMS
    reads = [world.read(world.hosts[0], f"s{n}") for n in range(STREAMS)]
    streams = await world.all_of(reads)
    assert not [stream.name for stream in streams if stream.joined]


async def reject(*_arguments):
    """Reject a transaction, as a store that takes no writes."""
    return 503, {}


@version_test(versions=(OLD, OLD))
async def test_a_version_that_the_store_never_recorded_joins_no_stream(world):
    # Guards against routers that vouch for one version, as the other one came
    # and went while the store took no record, and all routers were killed.
    await asyncio.sleep(SPAN_SECONDS)
    with mock.patch.object(StoreStandin, "_kv_txn", reject):
        world.release(NEW)
        await asyncio.sleep(6.0)
        streams = await begin(world)
        assert {NEW} == set().union(*(s.versions for s in streams))
        for host in world.hosts:
            await world.kill_router(host)
        world.release(OLD)
        await asyncio.sleep(6.0)
    assert NEW not in await stored_versions(world)
    for host in world.hosts:
        await world.start_router(host)
    await asyncio.sleep(SPAN_SECONDS)
    await resume_all(world, streams, world.hosts[0])
    assert not [stream.name for stream in streams if stream.joined]


@version_test(versions=(OLD, OLD))
async def test_streams_begun_before_there_was_a_record_are_not_joined(world):
    # Guards against routers that vouch for one version once they run for
    # longer than an answer lasts, as builds without a record did.
    await asyncio.sleep(SPAN_SECONDS)
    streams = await begin(world)
    for host in world.hosts:
        await world.kill_router(host)
    await world.store.remove(StoredVersions.key)
    world.release(NEW)
    await asyncio.sleep(6.0)
    for host in world.hosts:
        await world.start_router(host)
    await asyncio.sleep(SPAN_SECONDS)
    await resume_all(world, streams, world.hosts[0])
    assert not [stream.name for stream in streams if stream.joined]
