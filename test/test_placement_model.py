"""Requests turned away by few replicas before many routers, on given time.

What happened: a plain service of 4 replicas before 63 routers turned away
1,225 of 7,826 requests.  Each router preferred the replica in its own data
centre and knew only its own requests.  The model is in placement_model.py.
"""

import functools
from test import placement_model as model

import pytest

from rowanport.placement import selection


@functools.cache
def before_and_after(name, seconds, rate=model.RATE):
    """Return the Results of the rule for small fleets and of this part."""
    events = getattr(model, name)
    return [
        model.play(shared, 1, True, events, seconds, rate)
        for shared in (False, True)
    ]


def test_requests_stay_in_their_data_centre_while_replicas_are_free():
    # Traffic between data centres costs money.
    _before, after = before_and_after("CALM", 12.0)
    assert after.remote < 0.01
    assert after.rejections == after.late == 0


def test_bursts_turn_fewer_requests_away():
    # 1.6 times the capacity in one data centre, with room in the others.
    before, after = before_and_after("BURSTS", 20.0, 150.0)
    assert before.rejections > 40
    assert after.rejections < 0.7 * before.rejections
    assert after.late < before.late


def test_a_slow_replica_turns_few_requests_away():
    before, after = before_and_after("SLOW", 20.0)
    assert before.rejections > 20
    assert after.rejections < 0.1 * before.rejections
    assert after.late < 0.7 * before.late


def test_a_replica_that_refuses_gets_few_requests():
    before, after = before_and_after("REFUSING", 19.0)
    assert before.rejections > 100
    assert after.rejections < 0.5 * before.rejections
    assert after.refused == 0


def test_a_crash_costs_no_request():
    _before, after = before_and_after("CRASH", 19.0)
    assert after.refused == after.rejections == 0


def test_all_faults_and_bursts_together_cost_less():
    before, after = before_and_after("HARD", 36.0)
    assert after.rejections < 0.6 * before.rejections
    assert after.refused <= before.refused
    assert after.late < before.late


def test_the_least_busy_replica_by_old_state_would_be_worse(monkeypatch):
    # Shows that the model finds routers that all take the same replica.
    _before, after = before_and_after("BURSTS", 20.0, 150.0)

    def least_busy(candidates, rng):
        return min(candidates, key=lambda one: one.load.outstanding)

    monkeypatch.setattr(selection, "_draw", least_busy)
    monkeypatch.setattr(selection, "_preference", lambda *args: 0.0)
    herd = model.play(True, 1, True, model.BURSTS, 20.0, 150.0)
    assert herd.rejections > 5 * max(1, after.rejections)


@pytest.mark.parametrize("name", ["BURSTS", "CRASH"])
def test_without_the_exchange_it_is_no_worse_than_in_a_small_fleet(name):
    events = getattr(model, name)
    before = model.play(False, 1, False, events, 19.0)
    after = model.play(True, 1, False, events, 19.0)
    assert after.rejections <= before.rejections + 2
    assert after.refused <= before.refused
