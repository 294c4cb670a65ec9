"""Streams go on at the version that began them, or not at all."""

import asyncio
import functools
from test.crash_world import crash_test
from test.version_world import EVENTS
from test.version_world import NEW
from test.version_world import OLD
from test.version_world import VersionWorld

import pytest

from rowanport.gateway.pool import UpstreamPool
from rowanport.gateway.upstream import Upstream
from rowanport.gateway.version_record import StoredVersions
from rowanport.versions import RECORD_SECONDS
from rowanport.versions import StreamVersions
from rowanport.versions import VersionRecord

STREAMS = 12
# Seconds after which routers without a record know all versions of streams
# under way: the time-out of the route, and a margin.
SPAN_SECONDS = 24.0


version_test = functools.partial(crash_test, VersionWorld)


def count(streams, name):
    """Return how many Streams have a property."""
    return sum(bool(getattr(stream, name)) for stream in streams)


async def begin(world, hosts=None, most=3):
    """Begin streams at some routers, and leave them after some events."""
    hosts = hosts or world.hosts
    reads = [
        world.read(hosts[n % len(hosts)], f"s{n}", most)
        for n in range(STREAMS)
    ]
    streams = await world.all_of(reads)
    assert all(len(stream.events) == most for stream in streams)
    return streams


async def resume_all(world, streams, host):
    """Take up all streams at one router."""
    await world.all_of([world.resume(host, stream) for stream in streams])


# Within one answer


@version_test()
async def test_a_stream_that_breaks_off_goes_on_at_its_version(world):
    for version in (OLD, NEW):
        world.break_streams(version)
    reads = [world.read(world.hosts[0], f"s{n}") for n in range(STREAMS)]
    streams = await world.all_of(reads)
    assert not count(streams, "joined")
    assert count(streams, "whole") == STREAMS


@version_test(versions=(OLD, NEW, NEW))
async def test_a_stream_ends_if_no_other_upstream_has_its_version(world):
    world.break_streams(OLD)
    reads = [world.read(world.hosts[0], f"s{n}") for n in range(STREAMS)]
    streams = await world.all_of(reads)
    assert not count(streams, "joined")
    assert count(streams, "whole") >= STREAMS - 1


@version_test(versions=(OLD, NEW))
async def test_a_stream_that_falls_silent_is_not_hedged_elsewhere(world):
    for upstream in world.upstreams.values():
        upstream.silent_after = 3
    reads = [world.read(world.hosts[0], f"s{n}") for n in range(STREAMS)]
    streams = await world.all_of(reads)
    assert not count(streams, "joined")


# Over a caller's tries


@version_test()
async def test_a_stream_taken_up_elsewhere_goes_on_at_its_version(world):
    streams = await begin(world, world.hosts[:1])
    await resume_all(world, streams, world.hosts[1])
    assert not count(streams, "joined")
    assert count(streams, "whole") == STREAMS
    assert all(s.events == [*range(1, EVENTS + 1)] for s in streams)


@version_test()
async def test_a_stream_goes_on_after_the_router_was_killed(world):
    streams = await begin(world, world.hosts[:1])
    await world.kill_router(world.hosts[0])
    await resume_all(world, streams, world.hosts[1])
    assert not count(streams, "joined")
    assert count(streams, "whole") >= STREAMS / 2


@version_test(routers=5)
async def test_a_stream_goes_on_after_two_routers_were_killed(world):
    streams = await begin(world, world.hosts[:1])
    for host in world.hosts[:2]:
        await world.kill_router(host)
    await resume_all(world, streams, world.hosts[2])
    assert not count(streams, "joined")
    assert count(streams, "whole") >= STREAMS / 2


@version_test()
async def test_a_stream_that_nobody_knows_is_refused_and_does_not_run(world):
    streams = await begin(world)
    await world.restart_routers(0.0)
    await asyncio.sleep(5.0)
    runs = sum(len(u.heads) for u in world.upstreams.values())
    await resume_all(world, streams, world.hosts[0])
    assert not count(streams, "joined")
    assert {stream.status for stream in streams} == {503}
    assert runs == sum(len(u.heads) for u in world.upstreams.values())


@version_test(versions=(OLD, OLD))
async def test_with_one_version_a_stream_that_nobody_knows_goes_on(world):
    await asyncio.sleep(RECORD_SECONDS)
    streams = await begin(world)
    for gateway in world.gateways.values():
        gateway.streams._streams = StreamVersions()
    await resume_all(world, streams, world.hosts[0])
    assert count(streams, "whole") == STREAMS


@version_test(versions=(OLD, OLD))
async def test_a_fleet_that_just_started_vouches_for_no_version(world):
    # Without the record of the routers before.
    await check_refused(world, world.store.remove(StoredVersions.key))


async def check_refused(world, change):
    """Check that no stream goes on after all routers have started again.

    :param change: coroutine that runs before they start
    """
    streams = await begin(world)
    for host in world.hosts:
        await world.kill_router(host)
    await change
    for host in world.hosts:
        await world.start_router(host)
    await asyncio.sleep(5.0)
    await resume_all(world, streams, world.hosts[0])
    assert {stream.status for stream in streams} == {503}


@version_test(versions=(OLD, OLD))
async def test_streams_of_the_only_version_outlive_all_routers(world):
    # Guards against streams that are lost though one version served all along.
    await asyncio.sleep(SPAN_SECONDS)
    streams = await begin(world)
    await world.restart_routers(0.0)
    await asyncio.sleep(5.0)
    await resume_all(world, streams, world.hosts[0])
    assert all(s.events == [*range(1, EVENTS + 1)] for s in streams)


async def release_without_routers(world):
    """Replace all upstreams by new ones while no router runs.

    :returns: the Streams that were under way
    """
    await asyncio.sleep(SPAN_SECONDS)
    streams = await begin(world)
    for host in world.hosts:
        await world.kill_router(host)
    world.release(NEW)
    await asyncio.sleep(5.0)
    for host in world.hosts:
        await world.start_router(host)
    return streams


@version_test(versions=(OLD, OLD))
async def test_streams_are_not_joined_by_callers_that_go_on_trying(world):
    # Guards against routers that take the one version that they know for the
    # only one, once they run for longer than their route lets an answer last.
    streams = await release_without_routers(world)
    await asyncio.sleep(SPAN_SECONDS)
    await resume_all(world, streams, world.hosts[0])
    assert not count(streams, "joined")
    assert {stream.status for stream in streams} == {503}


@version_test(versions=(OLD, OLD))
async def test_a_release_is_remembered_over_two_losses_of_all_routers(world):
    # Guards against a record that the first routers to start overwrite.
    streams = await release_without_routers(world)
    await asyncio.sleep(SPAN_SECONDS)
    await world.restart_routers(0.0)
    await asyncio.sleep(5.0)
    await resume_all(world, streams, world.hosts[1])
    assert not count(streams, "joined")


@version_test(routers=10)
async def test_versions_are_stored_once_for_each_change(world):
    # Guards against routers that write the record again and again, and
    # against a fleet in which the first writer does not access the store.
    assert await stored_versions(world) == {OLD: None, NEW: None}
    for upstream in world.of(OLD):
        await world.store.remove(f"servers/{upstream.name}")
    await asyncio.sleep(1.0)
    versions = await stored_versions(world)
    assert versions[NEW] is None and versions[OLD] > 0.0
    record = world.store.items[StoredVersions.key]
    await asyncio.sleep(40.0)
    assert world.store.items[StoredVersions.key] == record


async def stored_versions(world):
    """Return when the versions were last listed, as the store has it."""
    data = world.store.items[StoredVersions.key][0]
    record = VersionRecord.unpack(data)
    (versions,) = record.gone_at.values()
    return versions


@version_test(versions=(OLD, OLD))
async def test_a_record_that_is_unreadable_is_no_record(world):
    # Guards against streams that are joined after the record was damaged.
    await check_refused(world, world.store.put(StoredVersions.key, "text"))


@version_test(versions=(OLD, OLD))
async def test_streams_are_not_joined_while_the_store_is_away(world):
    # Guards against routers that vouch without the record of those before.
    streams = await begin(world)
    world.store.fault = "silent"
    await world.restart_routers(0.0)
    await asyncio.sleep(SPAN_SECONDS)
    await resume_all(world, streams, world.hosts[0])
    assert {stream.status for stream in streams} == {503}


@version_test()
async def test_a_stream_taken_up_twice_goes_on_at_its_version(world):
    streams = await begin(world, world.hosts[:1])
    for host in world.hosts[1:]:
        more = [
            world.read(
                host,
                f"{stream.name}-{host}",
                2,
                resumes=stream.name,
                last_event_id=len(stream.events),
            )
            for stream in streams
        ]
        for stream, part in zip(streams, await world.all_of(more)):
            stream.events += part.events
            stream.versions |= part.versions
    assert not count(streams, "joined")
    assert all(len(stream.events) == 7 for stream in streams)


@version_test()
async def test_a_resumed_stream_that_breaks_off_stays_at_its_version(world):
    streams = await begin(world, world.hosts[:1], 1)
    for version in (OLD, NEW):
        world.break_streams(version)
    await resume_all(world, streams, world.hosts[1])
    assert not count(streams, "joined")
    assert count(streams, "whole") >= STREAMS - 2


@pytest.mark.parametrize("missing", ["resumes", "last_event_id"])
def test_what_names_half_of_a_stream_is_never_joined(missing):
    @version_test()
    async def check(world):
        streams = await begin(world, world.hosts[:1])
        resumes = [
            world.resume(world.hosts[1], stream, **{missing: ""})
            for stream in streams
        ]
        await world.all_of(resumes)
        if missing == "resumes":
            assert not count(streams, "joined")

    check()


@pytest.mark.parametrize(
    "version, names", [(None, "abcd"), ("v1", "ab"), ("v3", ""), ("", "")]
)
def test_candidates_have_the_version_of_a_stream(version, names):
    pool = UpstreamPool()
    versions = {"a": "v1", "b": "v1", "c": "v2", "d": ""}
    upstreams = {
        name: Upstream(name, "llm", f"{name}:1", "z", 8, False, version=own)
        for name, own in versions.items()
    }
    pool.update(upstreams)
    # Those of one version are all there is, whatever became of the others.
    pool.get("a").ejected_until = pool.get("b").ejected_until = 99.0
    candidates = pool.candidates("llm", (), 1.0, version)
    expected = set(names) - (set("ab") if version is None else set())
    assert {state.record.id for state in candidates} == expected
