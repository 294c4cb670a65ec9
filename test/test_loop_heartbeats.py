"""Loops that hang rather than end: nobody would start them again.

Cause, found by reading: a supervised loop was taken for sound as long as it
had not ended.  One that waits for good, as for an answer on a connection that
nobody probes, left its router ready with what it knew then.
"""

import asyncio
from test.test_silence import fleet_test
from test.test_supervision import Scene
import types
from unittest import mock

import pytest
import structlog
from structlog.testing import capture_logs

from rowanport import supervision
from rowanport.gateway import crash_guard
from rowanport.gateway import link_monitor
from rowanport.gateway import notices
from rowanport.gateway import retry_allowances
from rowanport.gateway import views
from rowanport.platform import directory
from rowanport.supervision import beat
from rowanport.supervision import CHECK_SECONDS

# Longest round of the loops under test in seconds.
ROUND = 10.0
OUTAGE = 120.0


@pytest.fixture
def scene():
    scene = Scene()
    yield scene
    scene.close()


@pytest.fixture
def rows(monkeypatch):
    monkeypatch.setattr(supervision, "LOG", structlog.get_logger())
    with capture_logs() as rows:
        yield rows


def named(rows, event):
    return [row for row in rows if row["event"] == event]


def start(scene, pauses):
    """Start a loop that pauses for some seconds before each beat."""

    async def run():
        for pause in pauses:
            await asyncio.sleep(pause)
            beat()
        await asyncio.Event().wait()

    scene.supervisor.start("work", run, ROUND)


def test_a_loop_that_beats_is_well(scene, rows):
    start(scene, [ROUND - 0.1] * 20)
    for _round in range(150):
        scene.advance(1.0)
        assert scene.supervisor.failing == []
    assert named(rows, "loop_hangs") == []


def test_a_loop_that_hangs_is_noticed_until_it_goes_on(scene, rows):
    start(scene, [1.0, 3 * ROUND, 1.0])
    scene.advance(ROUND + 0.9)
    assert scene.supervisor.failing == []
    scene.advance(0.2)
    assert scene.supervisor.failing == ["work"]
    scene.advance(CHECK_SECONDS + 0.1)
    (row,) = named(rows, "loop_hangs")
    assert row["loop"] == "work"
    assert row["silent"] == pytest.approx(ROUND, abs=2 * CHECK_SECONDS)
    scene.advance(2 * ROUND)
    assert scene.supervisor.failing == []
    assert len(named(rows, "loop_hangs")) == 1
    assert len(named(rows, "loop_goes_on")) == 1


def test_a_loop_that_hangs_from_its_start_is_noticed(scene, rows):
    start(scene, [])
    scene.advance(ROUND + CHECK_SECONDS + 0.1)
    assert scene.supervisor.failing == ["work"]
    assert len(named(rows, "loop_hangs")) == 1


def test_a_task_of_a_loop_beats_for_it(scene, rows):
    async def run():
        async with asyncio.TaskGroup() as group:
            group.create_task(go_round())

    async def go_round():
        while True:
            beat()
            await asyncio.sleep(1.0)

    scene.supervisor.start("work", run, ROUND)
    scene.advance(5 * ROUND)
    assert scene.supervisor.failing == []


def test_a_loop_between_two_starts_does_not_hang(scene, rows):
    scene.keep(lambda: None)
    with mock.patch.object(supervision, "LONGEST_PAUSE", 1000.0):
        scene.advance(200.0)
    assert named(rows, "loop_hangs") == []


def test_what_is_no_loop_beats_for_nothing():
    beat()


def test_ages_are_those_of_the_last_beats(scene):
    start(scene, [1.0])
    scene.advance(4.0)
    assert scene.supervisor.silences() == {"work": pytest.approx(3.0)}


# The loops of a gateway


async def hang(*_args):
    """Wait for good."""
    await asyncio.Event().wait()


def hanging(gateway, name):
    """Return a context in which a loop of a gateway hangs."""
    config, upstreams, _directory = gateway._sources
    # What each waits for in every round; these two only sleep.
    modules = {
        "views": views,
        "RouterDirectory": directory,
        "suspects": crash_guard,
        "links": link_monitor,
        "retries": retry_allowances,
        "notices": notices,
    }
    if name in modules:
        asleep = types.SimpleNamespace(sleep=hang, Event=asyncio.Event)
        return mock.patch.object(modules[name], "asyncio", asleep)
    owner, method = {
        "ConfigSource": (config, "_follow"),
        "UpstreamSource": (upstreams, "_follow"),
        "heartbeats": (gateway._membership, "_send"),
        "router_list": (gateway._membership, "_read_list"),
        "budgets": (gateway.budgets._refill, "sync"),
        "blocklist": (gateway._blocklist, "_load_and_save"),
        "versions": (gateway._stored_versions, "_load_and_save"),
        "state": (gateway.state, "exchange"),
    }[name]
    return mock.patch.object(owner, method, hang)


def silence_of(gateway, name):
    """Return the seconds that the metrics of a gateway give for a loop."""
    text, _kind = gateway._health._render()
    for line in text.decode().splitlines():
        if line.startswith(f'rowanport_loop_silent_seconds{{loop="{name}"'):
            return float(line.split()[-1])
    raise KeyError(name)


LOOPS = (
    "ConfigSource",
    "UpstreamSource",
    "RouterDirectory",
    "heartbeats",
    "router_list",
    "views",
    "budgets",
    "suspects",
    "blocklist",
    "versions",
    "links",
    "retries",
    "notices",
    "state",
)


@pytest.mark.parametrize("name", LOOPS)
def test_a_loop_of_a_gateway_that_hangs_makes_it_unready(name):
    @fleet_test(2)
    async def run(fleet):
        gateway = fleet.gateways[fleet.hosts[0]]
        assert sorted(gateway._loops.silences()) == sorted(LOOPS)
        assert silence_of(gateway, name) < 25.0
        with hanging(gateway, name):
            await asyncio.sleep(60.0)
            assert gateway._loops.failing == [name]
            assert not gateway.ready
            assert silence_of(gateway, name) > 30.0

    run()


@fleet_test(3)
async def test_no_loop_hangs_while_all_is_well(fleet):
    for _round in range(120):
        await asyncio.sleep(1.0)
        for gateway in fleet.gateways.values():
            assert gateway._loops.failing == []


@pytest.mark.parametrize("fault", ("silent", "reset", "busy"))
def test_no_loop_hangs_in_a_long_outage_of_the_store(fault):
    @fleet_test(3)
    async def run(fleet):
        fleet.store.fault = fault
        for _round in range(int(OUTAGE)):
            await asyncio.sleep(1.0)
            for gateway in fleet.gateways.values():
                assert gateway._loops.failing == []
        fleet.store.fault = ""
        await asyncio.sleep(10.0)
        for gateway in fleet.gateways.values():
            assert gateway.ready

    run()
