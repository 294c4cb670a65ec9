"""Retries of a whole fleet stay within what its platform allows."""

import pytest

from rowanport.retries.claim import RENEW_SECONDS
from rowanport.retries.claim import ShareClaim
from rowanport.retries.claim import VALID_SECONDS
from rowanport.retries.permits import rest_seconds

from .retry_world import RetryFleet
from .retry_world import SLACK
from .retry_world import WINDOW

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


def test_a_settled_fleet_uses_the_whole_slack(fleet):
    assert sum(fleet.retry(name) for name in NAMES) == SLACK
    assert fleet.excess == 0


def test_one_router_borrows_half_of_what_the_others_have(fleet):
    own = fleet.routers[NAMES[0]].claim.permits(fleet.now)
    assert fleet.retry(NAMES[0]) >= own + 3 * (len(NAMES) - 1)


def test_a_large_fleet_lends_its_slack_to_routers_without_a_share(fleet):
    fleet.start("late")
    assert fleet.routers["late"].claim.permits(fleet.now) == 0
    assert fleet.retry("late") >= 3 * len(NAMES)


def test_routers_that_start_again_serve_retries_after_one_window(fleet):
    for name in NAMES:
        fleet.start(name)
    assert not any(fleet.retry(name) for name in NAMES)
    fleet.advance(rest_seconds(WINDOW))
    assert sum(fleet.retry(name) for name in NAMES) == SLACK


def test_an_outage_of_the_store_leaves_the_shares_in_use(fleet):
    fleet.reaches_store.clear()
    for _second in range(int(VALID_SECONDS - RENEW_SECONDS)):
        fleet.advance(1.0)
    assert sum(fleet.retry(name) for name in NAMES) == SLACK


def test_the_share_of_a_router_that_is_gone_is_taken_over(fleet):
    gone = fleet.routers.pop(NAMES[0])
    lost = gone.claim.permits(fleet.now)
    for _renewal in range(5):
        fleet.advance(RENEW_SECONDS)
    fleet.start("new")
    fleet.advance(VALID_SECONDS + 2 * RENEW_SECONDS)
    fleet.advance(RENEW_SECONDS)
    assert fleet.routers["new"].claim.permits(fleet.now) >= lost / 2
    assert sum(fleet.retry(name) for name in fleet.names) <= SLACK


def release_late(fleet):
    """Let a release take effect late, and return the excess of its use."""
    first, second = NAMES[:2]
    router = fleet.routers[first]
    router.holders = 54
    fleet.advance(RENEW_SECONDS)
    fleet.now += RENEW_SECONDS
    fleet.update(first, answered=False)
    # More members are gone now, so that it is to have its share back.
    router.holders = 1
    fleet.store.late, late = None, fleet.store.late
    record, _version = fleet.store.read()
    router.claim.plan(record, 1, fleet.now)
    fleet.store.late = late
    fleet.store.write_late()
    fleet.reaches_store = {second}
    fleet.routers[second].holders = 1
    fleet.advance(RENEW_SECONDS)
    for name in NAMES:
        fleet.retry(name)
    return fleet.excess


def test_a_release_that_takes_effect_late_frees_no_permit_in_use(fleet):
    assert release_late(fleet) <= 0


def test_a_limit_that_ends_before_the_release_is_settled_is_found(
    fleet, monkeypatch
):
    planned = ShareClaim._planned_permits

    def lift_at_once(self, own, fair, others, now):
        permits = planned(self, own, fair, others, now)
        if self._lifts_limit:
            self._limit = None
        return permits

    monkeypatch.setattr(ShareClaim, "_planned_permits", lift_at_once)
    assert release_late(fleet) > 0
