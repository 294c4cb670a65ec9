"""Streams outlive the crash of their engine if a copy of their run exists."""

import asyncio
import functools
from test.crash_world import crash_test
from test.migration_world import EVENTS
from test.migration_world import MigrationWorld
from test.migration_world import PAUSE

from rowanport.platform.words import DIALECT
from rowanport.standins.copying_engine import HANDLE_SECONDS

migration_test = functools.partial(crash_test, MigrationWorld)
ALL = list(range(1, EVENTS + 1))
OFF = {"copy_cost": 0.0, "lost_stream_cost": 0.0, "engine_failure_rate": 1.0}


async def begin(world, name="r1", events=3, **options):
    """Begin a stream, and wait for some events; return its task."""
    task = world.spawn(world.read(name, **options))
    for _ in range(500):
        stream = world.streams.get(name)
        if stream is not None and len(stream.events) >= events:
            return task
        await asyncio.sleep(PAUSE / 10)
    raise AssertionError(f"{name} has no {events} events")


def header(world, name, word):
    """Return the values of a header in all runs of a request, in order."""
    found = [
        head.get(word)
        for engine in world.engines
        for head in engine.heads
        if head[DIALECT.request_id] == name
    ]
    return found


# A crash


@migration_test()
async def test_a_stream_goes_on_where_the_copy_of_its_run_is(world):
    """Guards against lost, missing and repeated events."""
    task = await begin(world)
    target = world.backup_of("r1")
    source = world.engine_of("r1")
    assert target is not source
    source.crash()
    stream = await task
    assert (stream.whole, stream.events) == (True, ALL)
    assert world.engine_of("r1") is target
    assert world.overlaps() == set()
    (resumed,) = target.heads
    handle = f"{target.address}/r1"
    assert resumed[DIALECT.resume_from] == handle
    assert int(resumed[DIALECT.last_event]) in (3, 4)
    assert DIALECT.backup_to not in resumed
    assert target.copies == {}


@migration_test()
async def test_a_resumed_run_settles_its_tokens_once(world):
    """Guards against a budget that pays for the run of both engines."""
    gateway = world.gateways[world.hosts[0]]
    settled = []
    settle = gateway.budgets.settle
    gateway.budgets.settle = lambda *args: (
        settled.append(args),
        settle(*args),
    )
    task = await begin(world)
    world.engine_of("r1").crash()
    assert (await task).whole
    ((budget, reserved, used, _spent),) = settled
    assert (budget, reserved, used) == ("org", 124, 124)


@migration_test()
async def test_a_run_without_a_copy_is_not_run_again(world):
    """Guards against a second run after the target's refusal."""
    for engine in world.engines:
        engine.lose_copies = True
    task = await begin(world)
    world.engine_of("r1").crash()
    stream = await task
    assert not stream.whole
    assert stream.events == ALL[: len(stream.events)]
    assert len([s for s in world.spans if s.id == "r1"]) == 1
    assert header(world, "r1", DIALECT.resume_from) == [None]


@migration_test()
async def test_a_run_whose_target_died_too_is_not_run_again(world):
    task = await begin(world)
    world.backup_of("r1").crash()
    world.engine_of("r1").crash()
    stream = await task
    assert not stream.whole
    assert len([s for s in world.spans if s.id == "r1"]) == 1


@migration_test()
async def test_a_target_that_dies_later_ends_the_stream(world):
    """Guards against a third run: the copy was used up."""
    task = await begin(world)
    target = world.backup_of("r1")
    world.engine_of("r1").crash()
    while not target.heads:
        await asyncio.sleep(PAUSE / 10)
    target.crash()
    stream = await task
    assert not stream.whole
    assert len([s for s in world.spans if s.id == "r1"]) == 2
    assert world.overlaps() == set()


@migration_test()
async def test_a_run_at_a_silent_engine_is_not_resumed(world):
    """Guards against two runs at once: the silent engine goes on."""
    task = await begin(world)
    source = world.engine_of("r1")
    host = source.address.partition(":")[0]
    world.net.silence(lambda _own, other: other == host)
    stream = await task
    assert not stream.whole
    assert len([s for s in world.spans if s.id == "r1"]) == 1


@migration_test()
async def test_a_run_does_not_go_on_at_another_version(world):
    """Guards against answers of two versions in one stream."""
    task = await begin(world)
    target = world.backup_of("r1")
    entry = {**target.entry(), "version": "v2"}
    await world.store.put(f"servers/{target.name}", entry)
    gateway = world.gateways[world.hosts[0]]
    while gateway.pool.get(target.name).record.version != "v2":
        await asyncio.sleep(0.01)
    world.engine_of("r1").crash()
    stream = await task
    assert not stream.whole
    assert target.heads == []


# What is left behind


@migration_test()
async def test_the_copy_of_an_abandoned_run_is_freed(world):
    """Guards against memory that is held for runs that nobody reads."""
    task = await begin(world, most=5)
    target = world.backup_of("r1")
    await task
    await asyncio.sleep(0.5)
    assert target.freed == ["r1"]
    assert target.copies == {}


@migration_test()
async def test_a_request_id_cannot_name_another_path(world):
    """Guards against callers that choose what a router asks of an engine."""
    await (await begin(world, "../a?b", most=5))
    await asyncio.sleep(0.5)
    freed = [name for engine in world.engines for name in engine.freed]
    assert freed == ["..%2Fa%3Fb"]


@migration_test()
async def test_a_run_without_a_request_id_gets_no_copy(world):
    """Guards against copies that no request can name."""
    task = await begin(world, "")
    assert header(world, "", DIALECT.backup_to) == [None]
    assert (await task).whole


@migration_test()
async def test_a_killed_router_leaves_nothing_for_long(world):
    """Guards against copies that outlive the router that asked for them."""
    task = await begin(world)
    target = world.backup_of("r1")
    await world.kill_router(world.hosts[0])
    await task
    await asyncio.sleep(HANDLE_SECONDS + 3 * PAUSE)
    assert target.memory_used == 0


@migration_test()
async def test_a_router_killed_while_it_resumes_leaves_no_second_run(world):
    task = await begin(world)
    target = world.backup_of("r1")
    world.engine_of("r1").crash()
    await world.kill_router(world.hosts[0])
    await task
    await asyncio.sleep(HANDLE_SECONDS + 3 * PAUSE)
    assert target.memory_used == 0
    assert world.overlaps() == set()


# Under load


async def load(world, count, pause):
    """Ask for streams at a fixed interval; return their tasks."""
    tasks = []
    for number in range(count):
        host = world.hosts[number % len(world.hosts)]
        tasks.append(world.spawn(world.read(f"s{number}", host)))
        await asyncio.sleep(pause)
    return tasks


async def crash_a_quarter(world, pause):
    """Crash a quarter of the engines under load.

    :param pause: seconds between two crashes
    :returns: names of the streams under way at any crash, and names of those
        of them at the engines that crashed
    """
    loading = world.spawn(load(world, 400, 0.02))
    await asyncio.sleep(4.0)
    under_way, struck = set(), set()
    alive = list(world.upstreams.values())
    for engine in alive[: len(alive) // 4]:
        under_way |= {s.id for s in world.spans if s.ends_at is None}
        struck |= {s.id for s in engine.spans if s.ends_at is None}
        engine.crash()
        await asyncio.sleep(pause)
    await asyncio.gather(*await loading)
    return under_way, struck


def share_whole(world, names):
    """Return the share of streams that are whole, as their callers see."""
    whole = [n for n in names if world.streams[n].whole]
    assert all(world.streams[n].events == ALL for n in whole)
    return len(whole) / len(names)


def check_outlived(world, under_way, struck):
    """Check that streams outlived their engines, and that none ran twice.

    Of 28 engines 7 crash, so that 6 of the 27 engines which may have the copy
    of a struck run are lost with it: .78 of the copies remain on average.
    """
    shares = share_whole(world, under_way), share_whole(world, struck)
    assert len(struck) >= 5
    assert shares[0] >= 0.8
    assert shares[1] >= 0.6
    assert world.overlaps() == set()
    for stream in world.streams.values():
        assert stream.events == ALL[: len(stream.events)]


@migration_test(engines=28)
async def test_four_fifths_outlive_a_crash_of_a_quarter_at_once(world):
    """Guards against streams that are lost with their engines."""
    under_way, struck = await crash_a_quarter(world, 0.0)
    check_outlived(world, under_way, struck)


@migration_test(engines=28)
async def test_four_fifths_outlive_crashes_of_a_quarter_in_a_row(world):
    """Guards against resumed runs, or new copies, at engines that crash."""
    under_way, struck = await crash_a_quarter(world, 0.3)
    check_outlived(world, under_way, struck)


@migration_test(engines=28, costs=OFF)
async def test_without_copies_all_streams_at_crashed_engines_are_lost(world):
    """Guards against a load under which the tests above show nothing."""
    under_way, struck = await crash_a_quarter(world, 0.0)
    assert len(struck) >= 5
    assert share_whole(world, struck) == 0.0
    lost = len(struck) / len(under_way)
    assert share_whole(world, under_way) == 1.0 - lost <= 0.8
    assert world.overlaps() == set()


# An engine leaves

move_test = functools.partial(migration_test, feature="moves")


async def leave(world, engine, seconds):
    """Let an engine leave: it drops all connections after some seconds."""
    engine.leaves_at = world.now + seconds
    entry = engine.entry(state="draining")
    await world.store.put(f"servers/{engine.name}", entry)

    async def end():
        await asyncio.sleep(seconds)
        engine.crash()

    world.spawn(end())


@move_test()
async def test_a_run_moves_away_from_an_engine_that_leaves(world):
    """Guards against streams that are cut by a planned stop."""
    task = await begin(world, events=2)
    source = world.engine_of("r1")
    await leave(world, source, 0.5)
    stream = await task
    assert (stream.whole, stream.events) == (True, ALL)
    assert [value["last"] for value in source.moves] == [False, True]
    assert world.engine_of("r1") is not source
    (resumed,) = world.engine_of("r1").heads
    assert resumed[DIALECT.resume_from] == f"{source.address}/move-r1"
    assert world.overlaps() == set()


@move_test()
async def test_a_run_that_ends_before_its_engine_leaves_stays(world):
    """Guards against copies of runs that nothing threatens."""
    task = await begin(world)
    source = world.engine_of("r1")
    await leave(world, source, 10.0)
    assert (await task).whole
    assert source.moves == []


@move_test()
async def test_a_run_without_room_elsewhere_returns_to_its_source(world):
    """Guards against a stopped run that goes on nowhere."""
    task = await begin(world, events=2)
    source = world.engine_of("r1")

    def fill(value):
        for engine in world.engines:
            engine.full = value["last"]

    source.on_move = fill
    await leave(world, source, 1.0)
    stream = await task
    assert (stream.whole, stream.events) == (True, ALL)
    assert [span.engine for span in world.spans] == [source.name] * 2
    assert world.overlaps() == set()


@move_test()
async def test_a_run_returns_if_its_target_dies(world):
    """Guards against a run that is lost while its source still has it."""
    task = await begin(world, events=2)
    source = world.engine_of("r1")

    def kill(value):
        for engine in world.engines:
            if value["last"] and engine.address == value["target_version"]:
                engine.crash()

    source.on_move = kill
    await leave(world, source, 1.0)
    stream = await task
    assert (stream.whole, stream.events) == (True, ALL)
    assert world.engine_of("r1") is source
    assert [span.engine for span in world.spans] == [source.name] * 2
    assert world.overlaps() == set()


@move_test()
async def test_a_source_that_dies_in_its_move_leaves_the_first_copy(world):
    task = await begin(world, events=2)
    source = world.engine_of("r1")

    def die(value):
        if value["last"]:
            source.crash()

    source.on_move = die
    await leave(world, source, 1.0)
    stream = await task
    assert (stream.whole, stream.events) == (True, ALL)
    assert world.engine_of("r1") is not source
    assert world.overlaps() == set()


async def kill_router_in_move(world, last):
    """Kill the router as it asks for a copy, and check what is left.

    :param last: whether it is killed as it stops the run
    """
    task = await begin(world, events=2)
    source = world.engine_of("r1")
    asked = asyncio.Event()
    source.on_move = lambda v: asked.set() if v["last"] is last else None
    await leave(world, source, 0.7)
    async with asyncio.timeout(2.0):
        await asked.wait()
    await world.kill_router(world.hosts[0])
    await task
    await asyncio.sleep(HANDLE_SECONDS + 3 * PAUSE)
    assert sum(engine.memory_used for engine in world.engines) == 0
    assert world.overlaps() == set()


@move_test()
async def test_a_router_killed_as_it_copies_leaves_nothing_for_long(world):
    """Guards against memory and slots held for nobody."""
    await kill_router_in_move(world, last=False)


@move_test()
async def test_a_router_killed_as_it_stops_a_run_leaves_nothing_for_long(
    world,
):
    await kill_router_in_move(world, last=True)


@move_test(engines=8)
async def test_no_stream_is_cut_as_an_engine_leaves_under_load(world):
    """Guards against moves that take longer than the engine stays."""
    loading = world.spawn(load(world, 200, 0.02))
    await asyncio.sleep(2.0)
    source = max(world.engines, key=lambda engine: len(engine.heads))
    await leave(world, source, 0.8)
    await asyncio.gather(*await loading)
    assert len(source.moves) >= 4
    assert share_whole(world, {*world.streams}) == 1.0
    assert world.overlaps() == set()


# Off


@migration_test(costs=OFF)
async def test_without_a_cost_of_lost_streams_nothing_changes(world):
    """Guards against copies in deployments that did not ask for them."""
    task = await begin(world)
    assert world.backup_of("r1") is None
    world.engine_of("r1").crash()
    stream = await task
    assert not stream.whole
    assert header(world, "r1", DIALECT.backup_to) == [None]
    assert len([s for s in world.spans if s.id == "r1"]) == 1


@migration_test()
async def test_a_resumable_stream_gets_no_copy(world):
    """Guards against copies of runs that may run again anyway."""
    task = await begin(world, path="/stream/")
    assert world.backup_of("r1") is None
    assert header(world, "r1", DIALECT.backup_to) == [None]
    assert (await task).whole
