"""Retries of a whole fleet stay within what its platform allows."""

import pytest

from .retry_world import RetryFleet

NAMES = [f"10.0.0.{number}:7000" for number in range(1, 8)]
# Seconds in which the fleet has settled, before anything fails.
SETTLE_SECONDS = 30.0


@pytest.fixture
def fleet():
    """Return a settled RetryFleet in which all routers reach each other."""
    fleet = RetryFleet(NAMES)
    fleet.advance(SETTLE_SECONDS)
    return fleet


def test_routers_that_start_again_do_not_spend_the_slack_again(fleet):
    for _kill in range(3):
        for name in NAMES:
            fleet.request(name, 5)
            fleet.retry(name)
            fleet.start(name)
        fleet.advance(2.5)
        for name in NAMES:
            fleet.retry(name)
        assert fleet.excess <= 0


def test_routers_that_are_cut_off_do_not_spend_the_slack_of_others(fleet):
    fleet.cut([[name] for name in NAMES])
    for _second in range(10):
        for name in NAMES:
            fleet.request(name, 2)
            fleet.retry(name)
        assert fleet.excess <= 0
        fleet.advance(1.0)


def test_requests_that_move_to_another_router_do_not_earn_retries_twice(fleet):
    first, second = NAMES[:2]
    for _tenth in range(100):
        fleet.request(first, 5)
        fleet.advance(0.1)
    for name in NAMES:
        fleet.retry(name)
    for _tenth in range(99):
        fleet.request(second, 5)
        fleet.advance(0.1)
        fleet.retry(second)
        assert fleet.excess <= 0
