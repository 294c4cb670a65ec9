"""Speeds of engines that the routers of a fleet learn together."""

import random

import pytest

from rowanport.engines import DEFAULT_RATE
from rowanport.engines import Estimate
from rowanport.engines.rows import ANSWER_BYTES
from rowanport.engines.rows import pack_estimates
from rowanport.engines.rows import pack_samples
from rowanport.engines.rows import read_estimates
from rowanport.engines.rows import read_samples
from rowanport.engines.rows import REPORT_BYTES
from rowanport.errors import MessageError
from rowanport.gateway.backlog import MIN_CERTAIN_SHARE
from rowanport.gateway.upstream import Upstream

from .speed_world import SERVICE
from .speed_world import World

BASE = 130800
RATES = [BASE] * 10 + [3 * BASE, BASE / 2]
FAST, SLOW = "e10", "e11"
IDLE = "r59:1"


def feed_world(seed=0, **faults):
    """Return a World of 60 routers, of which one sent nothing in 3 s."""
    world = World(RATES, 60, seed)
    for name, value in faults.items():
        setattr(world, name, value)
    world.play(3.0, 1.5 * len(RATES), idle=(IDLE,), fed=True)
    return world


@pytest.mark.parametrize("seed", range(3))
def test_a_router_that_sent_nothing_knows_fast_and_slow_engines(seed):
    # Guards against routers that learn only from their own requests.
    router = feed_world(seed).routers[IDLE]
    usual = router.rate("e0")
    assert usual == pytest.approx(BASE, rel=0.2)
    assert router.rate(FAST) / usual == pytest.approx(3.0, rel=0.25)
    assert router.rate(SLOW) / usual == pytest.approx(0.5, rel=0.25)


def test_dead_collectors_and_lost_answers_cost_only_freshness():
    router = feed_world(dead={"r0:1", "r1:1"}, lost=0.3).routers[IDLE]
    assert router.rate(FAST) > 2 * router.rate("e0")
    assert router.rate(SLOW) < 0.75 * router.rate("e0")


def test_the_own_samples_count_without_any_collector():
    world = World(RATES, 60)
    world.dead = {f"r{number}:1" for number in range(8)}
    # Some 30 samples of each engine.
    world.play(20.0, 1.5 * len(RATES), fed=True)
    router = world.routers["r20:1"]
    for name, engine in world.engines.items():
        assert router.rate(name) == pytest.approx(engine.rate, rel=0.3)


def test_an_engine_that_restarts_has_no_past():
    world = feed_world()
    old = world.records[SLOW]
    world.records[SLOW] = Upstream(
        SLOW, SERVICE, SLOW, old.data_centre, 64, False, old.born + 1
    )
    router = world.routers[IDLE]
    router.update()
    usual = router.speeds.book.median(SERVICE).rate
    assert router.rate(SLOW) == pytest.approx(usual)
    # Reports about the earlier run are ignored.
    router.speeds.apply(world.routers["r0:1"].speeds.summarize(IDLE), "r0:1")
    assert router.rate(SLOW) == pytest.approx(usual)
    assert router.rate(FAST) > 2 * usual


def test_a_small_fleet_neither_reports_nor_uses_speeds():
    # Small deployments are served as before.
    world = World(RATES, 60)
    world.large = False
    world.play(2.0, 12.0, fed=True)
    router = world.routers["r1:1"]
    assert not router.speeds.active
    assert not len(router.speeds.book)
    state = router.pool.get(FAST)
    assert state.backlog.speed is None
    assert router.rate(FAST) <= 75000


def test_a_fleet_that_shrinks_returns_to_own_estimates():
    world = feed_world()
    router = world.routers[IDLE]
    world.large = False
    assert not router.speeds.active
    assert router.rate(FAST) == DEFAULT_RATE
    assert router.pool.get(FAST).backlog.fixed == 0


def test_prompts_that_may_be_cached_are_no_samples():
    # An engine that had them cached looked up to ten times as fast.
    router = World([BASE], 1).routers["r0:1"]
    assert router.speeds.active
    backlog = router.pool.get("e0").backlog
    few = MIN_CERTAIN_SHARE * 1000 - 1
    backlog.record_first_event(1000, 0.05, 100.0, few)
    assert not router.speeds.report()
    backlog.record_first_event(1000, 0.05, 100.0, few + 2)
    assert router.speeds.report()


def test_a_first_event_ends_the_backlog_ahead_of_it():
    # Prompts that were cached after all stayed in the backlog for seconds.
    world = World([BASE], 1)
    backlog = world.routers["r0:1"].pool.get("e0").backlog
    assert world.routers["r0:1"].speeds.active
    ahead = backlog.add(500000, 100.0)
    total = backlog.total
    backlog.add(2000, 100.01)
    backlog.record_first_event(ahead, 0.05, 100.05, 500000, total)
    assert backlog.tokens(100.05) == 2000


# The bytes of reports and answers


def test_reports_and_answers_stay_within_their_bytes():
    # Each component may use 1 KB a second of a router, both directions.
    assert 2 * (REPORT_BYTES + ANSWER_BYTES) <= 1000
    world = World([BASE] * 600, 2)
    router = world.routers["r0:1"]
    assert router.speeds.active
    rng = random.Random(1)
    for record in world.records.values():
        speed = router.speeds.of(record.run)
        for _sample in range(8):
            router.speeds.record(speed, rng.uniform(500, 9000), 0.1, 1000.0)
    assert 0 < len(router.speeds.report()) <= REPORT_BYTES
    assert 0 < len(router.speeds.summarize("r1:1")) <= ANSWER_BYTES


def test_samples_and_estimates_survive_the_wire():
    ((key, tokens, seconds),) = read_samples(pack_samples([(7, 2890, 0.055)]))
    assert key == 7
    assert tokens == pytest.approx(2890, rel=0.03)
    assert seconds == pytest.approx(0.055, abs=0.0002)
    for rate in (9000, 285500, 2000000):
        sent = Estimate(0.045, 1 / rate, 0.1 / rate)
        ((key, got),) = read_estimates(pack_estimates([(9, sent)]))
        assert key == 9
        assert got.rate == pytest.approx(rate, rel=0.01)
        assert got.error == pytest.approx(sent.error, rel=0.05)
        assert got.fixed == pytest.approx(0.045)


@pytest.mark.parametrize("read", [read_samples, read_estimates])
@pytest.mark.parametrize("data", [b"?", bytes(5000)])
def test_malformed_state_is_refused(read, data):
    with pytest.raises(MessageError):
        read(data)


def test_an_estimate_of_nothing_but_zeros_does_not_stop_the_router():
    # A faulty peer must not cause a division by zero in the choice.
    world = feed_world()
    router = world.routers[IDLE]
    key = router.speeds.of(world.records["e0"].run).key
    router.speeds.apply(key.to_bytes(4, "little") + bytes(4), "peer")
    assert router.rate("e0") > 0
