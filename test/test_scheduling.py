"""Queueing, fairness, limits and the selection of upstreams."""

import asyncio
import collections

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from rowanport.clock import ManualClock
from rowanport.errors import ErrorKind
from rowanport.errors import RequestError
from rowanport.rates import LinearEstimate
from rowanport.scheduling import Lane
from rowanport.scheduling import OrganisationLimits
from rowanport.scheduling import RetryBudget
from rowanport.scheduling import Ticket
from rowanport.scheduling.group import GroupScheduler
from rowanport.schema.messages import OrganisationRecord
from rowanport.schema.messages import UpstreamRecord
from rowanport.schema.settings import SchedulingSettings
from rowanport.schema.settings import SECTIONS
from rowanport.upstreams import Pool


def ticket(priority=1, organisation="a", deadline=100.0, cost=10, weight=1):
    """Return a Ticket; ``grant`` lists the errors that it is refused with."""
    refused = []
    made = Ticket(
        priority,
        organisation,
        weight,
        deadline,
        cost,
        cost,
        refused,
        refused.append,
    )
    return made


@pytest.fixture
def clock():
    return ManualClock(0.0)


def drain(lane):
    """Return the tickets of a lane in the order in which they are served."""
    order = []
    while (one := lane.next()) is not None:
        order.append(one)
    return order


def test_urgent_work_goes_first_then_the_earliest_deadline(clock):
    lane = Lane(10, clock)
    late, early, urgent = (
        ticket(1, deadline=50.0),
        ticket(1, deadline=20.0),
        ticket(0, deadline=90.0),
    )
    for one in (late, early, urgent):
        lane.enter(one, 1)
    assert drain(lane) == [urgent, early, late]


def test_organisations_share_by_weight_however_many_they_send(clock):
    lane = Lane(1000, clock)
    for _number in range(300):
        lane.enter(ticket(organisation="busy"), 1)
    for _number in range(60):
        lane.enter(ticket(organisation="heavy", weight=2), 1)
    for _number in range(30):
        lane.enter(ticket(organisation="light"), 1)
    first = collections.Counter(
        lane.next().organisation for _number in range(80)
    )
    assert first["busy"] == pytest.approx(20, abs=1)
    assert first["light"] == pytest.approx(20, abs=1)
    assert first["heavy"] == pytest.approx(40, abs=1)


def test_a_ticket_that_cannot_meet_its_deadline_is_refused_on_arrival(clock):
    lane = Lane(100, clock)
    lane.finished(size=10, seconds=5.0)
    lane.enter(ticket(deadline=5.5), 1)
    with pytest.raises(RequestError) as caught:
        lane.enter(ticket(deadline=9.0), 1)
    assert caught.value.kind is ErrorKind.OVERLOADED
    lane.enter(ticket(deadline=10.5), 1)


def test_a_full_lane_evicts_the_least_urgent(clock):
    lane = Lane(2, clock)
    summary, label = ticket(5), ticket(1)
    lane.enter(summary, 1)
    lane.enter(label, 1)
    bulletin = ticket(0)
    lane.enter(bulletin, 1)
    assert [error.kind for error in summary.grant] == [ErrorKind.OVERLOADED]
    with pytest.raises(RequestError):
        lane.enter(ticket(5), 1)
    assert drain(lane) == [bulletin, label]


def test_a_ticket_past_its_deadline_is_refused_when_it_is_next(clock):
    lane = Lane(10, clock)
    old = ticket(deadline=3.0)
    lane.enter(old, 1)
    clock.advance(4.0)
    assert lane.next() is None
    assert [error.kind for error in old.grant] == [ErrorKind.DEADLINE_PASSED]


def test_less_urgent_work_is_refused_once_urgent_work_delays_it(clock):
    lane = Lane(1000, clock)
    lane.finished(size=10, seconds=1.0)
    summary = ticket(5, deadline=20.0)
    lane.enter(summary, 1)
    for _number in range(30):
        clock.advance(0.1)
        lane.enter(ticket(0, deadline=90.0), 1)
    lane.shed(1)
    assert [error.kind for error in summary.grant] == [ErrorKind.OVERLOADED]
    # Urgent work arrived at a high rate until now, so that a new ticket is
    # refused on arrival although the queue before it is short.
    drain(lane)
    lane.enter(ticket(5, deadline=60.0), 1)
    with pytest.raises(RequestError):
        lane.enter(ticket(5, deadline=20.0), 1)


@settings(derandomize=True, max_examples=100, database=None)
@given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 3),
            strategies.sampled_from("abc"),
            strategies.integers(1, 50),
            strategies.booleans(),
        ),
        max_size=40,
    )
)
def test_each_ticket_is_granted_refused_or_left_exactly_once(arrivals):
    clock = ManualClock(0.0)
    lane = Lane(12, clock)
    tickets = []
    turned_away = 0
    for priority, organisation, deadline, leaves in arrivals:
        one = ticket(priority, organisation, float(deadline))
        try:
            lane.enter(one, 2)
        except RequestError:
            turned_away += 1
            continue
        tickets.append(one)
        if leaves:
            lane.leave(one)
            lane.leave(one)
            one.refuse("left")
        clock.advance(1.0)
    granted = drain(lane)
    refused = [one for one in tickets if one.grant]
    assert lane.size == 0
    assert len(granted) + len(refused) == len(tickets)
    assert not set(map(id, granted)) & set(map(id, refused))
    assert len(tickets) + turned_away == len(arrivals)


def test_run_time_has_a_fixed_part_and_one_that_grows_with_size():
    estimate = LinearEstimate(0.02)
    assert estimate.at(10) == 0.0
    for size in (4, 40, 160, 4, 40, 160):
        estimate.add(size, 0.5 + 0.025 * size)
    assert estimate.at(4) == pytest.approx(0.6)
    assert estimate.at(100) == pytest.approx(3.0)


def test_rate_and_concurrency_of_an_organisation_are_bounded():
    limits = OrganisationLimits()
    record = OrganisationRecord("a", b"", b"", 1, 2, 1.0)
    limits.acquire(record, 0.0)
    limits.acquire(record, 0.0)
    with pytest.raises(RequestError):
        limits.acquire(record, 0.0)
    limits.release(record)
    with pytest.raises(RequestError):
        limits.acquire(record, 0.5)
    limits.acquire(record, 1.5)


def test_retries_are_bounded_by_requests():
    budget = RetryBudget(0.1)
    assert sum(budget.acquire() for _number in range(50)) == 10
    for _number in range(20):
        budget.record_request()
    assert sum(budget.acquire() for _number in range(50)) == 2


# Selection of upstreams


def make_pool(clock, count=4, capacity=8):
    pool = Pool(1.0, clock)
    pool.update(
        [
            UpstreamRecord(f"10.0.0.{n}:1", "g", "", capacity, False)
            for n in range(count)
        ],
        first=True,
    )
    return pool


def test_a_prefix_stays_with_its_upstream_up_to_the_load_bound(clock):
    pool = make_pool(clock)
    first = pool.choose("prefix")
    assert pool.choose("prefix") is first
    for _number in range(8):
        pool.started(pool.choose("prefix"))
    used = [upstream.outstanding for upstream in pool.upstreams()]
    assert sum(used) == 8
    assert max(used) <= 3


def test_leaving_and_full_upstreams_get_no_new_requests(clock):
    pool = make_pool(clock, count=2, capacity=1)
    first = pool.choose("key")
    pool.started(first)
    second = pool.choose("key")
    assert second is not first
    pool.note_leaving(second.address, clock.wall() + 10.0)
    assert pool.choose("key") is None
    clock.advance(11.0)
    assert pool.choose("key") is second
    pool.set_leaving({second.address})
    assert pool.choose("key") is None


def test_an_upstream_that_asks_to_back_off_gets_nothing_for_that_time(clock):
    pool = make_pool(clock, count=2)
    one, other = pool.upstreams()
    assert pool.note_backoff(one.address, 3.0)
    assert not pool.note_backoff(one.address, 2.0)
    assert pool.backs_off(one.address) and not pool.backs_off(other.address)
    assert pool.available_at() is None
    assert {pool.choose(str(key)) for key in range(20)} == {other}
    # Neither is it used as more than half have failed.
    for _number in range(3):
        pool.started(other)
        pool.ended(other, failed=True)
    assert {pool.choose(str(key)) for key in range(20)} == {other}
    assert pool.note_backoff(other.address, 5.0)
    assert not pool.any_usable()
    assert 3.0 <= pool.available_at() <= 3.3
    clock.advance(3.3)
    assert pool.choose("key") is one
    pool.started(one)
    # Few are sent at first, as it may have no room yet.
    assert pool.choose("key") is None
    clock.advance(1.5)
    assert pool.choose("key") is one


def test_a_request_is_refused_at_once_if_all_upstreams_ask_to_back_off(clock):
    values = {one.name: one.default for one in SECTIONS["scheduling"]}
    group = GroupScheduler(SchedulingSettings(values), clock)
    group.pool = make_pool(clock, count=2)
    for upstream in group.pool.upstreams():
        group.pool.note_backoff(upstream.address, 4.0)
    with pytest.raises(RequestError) as caught:
        asyncio.run(group.acquire(None, None, "key", 10, 10))
    assert caught.value.kind is ErrorKind.OVERLOADED
    assert 4.0 <= caught.value.come_back_at <= 4.3


def test_a_failing_upstream_is_ejected_unless_more_than_half_fail(clock):
    pool = make_pool(clock, count=2)
    one, other = pool.upstreams()
    for upstream in (one, other):
        for _number in range(3):
            pool.started(upstream)
            pool.ended(upstream, failed=True)
    assert pool.choose("key") is not None
    clock.advance(1.0)
    pool.started(other)
    pool.ended(other, failed=False)
    clock.advance(5.0)
    assert pool.limit(one) < 8
    clock.advance(10.0)
    assert pool.limit(one) == 8


def test_a_new_upstream_starts_slowly(clock):
    pool = make_pool(clock, count=1)
    records = [u.record for u in pool.upstreams()]
    records.append(UpstreamRecord("10.0.0.9:1", "g", "", 8, False))
    pool.update(records)
    fresh = pool.upstreams()[1]
    assert pool.limit(fresh) < 8
    clock.advance(6.0)
    assert pool.limit(fresh) == 8
