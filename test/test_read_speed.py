"""Fixed times and read rates of engines, learned from noisy first events."""

import math
import random

import pytest

from rowanport.engines import Estimate
from rowanport.engines import ReadSpeed
from rowanport.engines.estimate import combine
from rowanport.engines.estimate import default_estimate
from rowanport.engines.estimate import FleetEstimate
from rowanport.engines.estimate import FULL_WEIGHT_SECONDS
from rowanport.engines.read_speed import MAX_SAMPLES

from .speed_world import draw_sample
from .speed_world import FIXED_SECONDS

RATES = (70850, 92100, 130800, 157000, 285500)
SEEDS = range(20)


def learn(rate, seed, count=60):
    """Return the Estimate after some first events of an engine."""
    rng = random.Random(f"{seed}/{rate}")
    fixed = rng.uniform(*FIXED_SECONDS)
    speed = ReadSpeed()
    for number in range(count):
        now = 100.0 + 0.05 * number
        speed.add(*draw_sample(rng, rate, fixed), now)
        speed.estimate(default_estimate(), now)
    return speed.estimate(default_estimate(), now)


@pytest.mark.parametrize("rate", RATES)
def test_sixty_noisy_first_events_tell_the_rate_within_15_in_100(rate):
    # Rates were capped at 75,000, so that the four faster ones looked alike.
    for seed in SEEDS:
        assert learn(rate, seed).rate == pytest.approx(rate, rel=0.15), seed


def test_the_error_covers_the_estimate():
    # An estimate that is taken for exact outweighs better ones of peers.
    ratios = [
        (one.slowness - 1 / rate) / one.error
        for rate in RATES
        for one in (learn(rate, seed) for seed in SEEDS)
    ]
    assert sum(abs(ratio) < 2.0 for ratio in ratios) >= 0.9 * len(ratios)


def test_a_few_samples_tell_little():
    # One sample of few tokens made an engine look ten times as fast.
    speed = ReadSpeed()
    speed.add(300.0, 0.05, 100.0)
    one = combine([speed.estimate(default_estimate(), 100.0)], MEDIAN)
    assert one.rate == pytest.approx(MEDIAN.rate)


MEDIAN = Estimate(0.04, 1e-5, 6e-6)


def test_samples_out_of_bounds_are_refused():
    speed = ReadSpeed()
    for tokens, seconds in [
        (100.0, 0.0),
        (100.0, math.inf),
        (100.0, math.nan),
        (math.nan, 0.1),
        (-1.0, 0.1),
        (2e6, 0.1),
    ]:
        assert not speed.add(tokens, seconds, 100.0)
    assert not len(speed)


def test_samples_are_bounded_and_the_newest_count():
    speed = ReadSpeed()
    rng = random.Random(1)
    for rate in (50000, 200000):
        for _sample in range(MAX_SAMPLES):
            speed.add(*draw_sample(rng, rate, 0.04), 100.0)
    assert len(speed) == MAX_SAMPLES
    estimate = speed.estimate(default_estimate(), 100.0)
    assert estimate.rate == pytest.approx(200000, rel=0.15)


def test_an_old_estimate_counts_for_less():
    fleet = FleetEstimate()
    fleet.merge(Estimate(0.04, 1e-5, 1e-6), 100.0)
    young = fleet.estimate(100.0 + FULL_WEIGHT_SECONDS)
    old = fleet.estimate(100.0 + 4 * FULL_WEIGHT_SECONDS)
    assert young.error == pytest.approx(1e-6)
    assert old.error > 2e-6


def test_repeated_answers_do_not_drown_a_new_one():
    # An engine that became slow has to be known within a few answers.
    fleet = FleetEstimate()
    for _answer in range(100):
        fleet.merge(Estimate(0.04, 1e-5, 1e-6), 100.0)
    for _answer in range(20):
        fleet.merge(Estimate(0.04, 2e-5, 1e-6), 110.0)
    assert fleet.estimate(110.0).slowness > 1.8e-5
