"""A router with a congested network link rejects large requests."""

import asyncio
from test.platform_world import Platform

from rowanport.clock import ManualClock
from rowanport.gateway.congestion import CongestionDetector
from rowanport.gateway.congestion import LARGE_BODY
from rowanport.gateway.congestion import MAX_SAMPLE_AGE
from rowanport.gateway.congestion import SLOW_ROUND_TRIP
from rowanport.gateway.congestion import SLOW_SAMPLES

SLOW = 2 * SLOW_ROUND_TRIP


def congested(*round_trips):
    congestion = CongestionDetector(ManualClock(0.0))
    for seconds in round_trips:
        congestion.record_round_trip(seconds)
    return congestion.congested


def test_single_slow_round_trips_are_not_congestion():
    assert not congested()
    assert not congested(SLOW)
    assert not congested(*[SLOW] * SLOW_SAMPLES, 0.003)
    assert congested(0.003, *[SLOW] * SLOW_SAMPLES)


def test_old_round_trips_are_ignored():
    clock = ManualClock(0.0)
    congestion = CongestionDetector(clock)
    for _number in range(SLOW_SAMPLES):
        congestion.record_round_trip(SLOW)
    clock.advance(MAX_SAMPLE_AGE + 0.1)
    assert not congestion.congested


def test_time_outs_count_only_while_the_link_is_congested():
    clock = ManualClock(0.0)
    congestion = CongestionDetector(clock)
    for _number in range(SLOW_SAMPLES):
        congestion.record_timeout(1.0)
    assert not congestion.congested
    for _number in range(SLOW_SAMPLES):
        congestion.record_round_trip(SLOW)
    for _number in range(8):
        clock.advance(MAX_SAMPLE_AGE / 4)
        congestion.record_timeout(1.0)
    assert congestion.congested
    congestion.record_round_trip(0.003)
    assert not congestion.congested


def test_large_requests_are_rejected_and_small_ones_served():
    # Found on the bench: the prompts of one caller saturated a link of
    # 10 Mbit/s, and small requests missed their deadlines or got no answer.
    async def run():
        async with Platform() as platform:
            for _number in range(SLOW_SAMPLES):
                platform.gateway.congestion.record_round_trip(SLOW)
            small = await platform.ask("/safe/")
            large = await platform.ask("/safe/", body=b"x" * LARGE_BODY)
            assert (small.status, large.status) == (200, 503)
            assert float(large.headers["retry-after"]) < 1.0
            assert len(platform.runs) == 1

    asyncio.run(run())
