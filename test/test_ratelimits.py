"""Rate limits that upstreams report: parsing, merging, permits."""

import pytest

from rowanport.errors import MessageError
from rowanport.ratelimits import HeldPermits
from rowanport.ratelimits import parse_limit
from rowanport.ratelimits import permit_batch_size
from rowanport.ratelimits import PermitGranter
from rowanport.ratelimits import UpstreamLimits
from rowanport.ratelimits.limits import ANNOUNCE_END_SECONDS
from rowanport.ratelimits.limits import END_DELAY
from rowanport.ratelimits.limits import MAX_RATE
from rowanport.ratelimits.limits import MAX_ROWS
from rowanport.ratelimits.permits import BURST_SECONDS
from rowanport.ratelimits.permits import HOLD_SECONDS
from rowanport.ratelimits.permits import MAX_BATCH
from rowanport.ratelimits.permits import MIN_RATE
from rowanport.schema.messages import LimitRow

NOW = 100.0
# Bytes of a request for a permit with its answer, and bytes a second that a
# router may spend on control messages.
ASK_BYTES = 49
CONTROL_BYTES = 5000


@pytest.mark.parametrize(
    "text, rate", [("1", 1.0), ("0", 0.0), ("2.50", 2.5), ("1000000", 1e6)]
)
def test_decimal_numbers_are_limits(text, rate):
    assert parse_limit(text) == rate


@pytest.mark.parametrize(
    "text",
    ["", "-1", "+1", "nan", "inf", "1e3", "1,5", ".5", "1.", "1000001"]
    + ["1 ", "9" * 100, "1_0", "\u0661"],
)
def test_other_texts_are_refused(text):
    with pytest.raises(MessageError):
        parse_limit(text)


# Reported limits


def test_the_latest_answer_decides():
    limits = UpstreamLimits()
    assert not limits.update("u", None, NOW, NOW)
    assert limits.update("u", 1.0, NOW, NOW)
    assert not limits.update("u", 1.0, NOW + 1, NOW + 1)
    assert not limits.update("u", 5.0, NOW, NOW + 2)
    assert limits.rate("u") == 1.0
    assert limits.update("u", None, NOW + 2, NOW + 2)
    assert limits.rate("u") is None
    assert limits.count == 0


def test_peers_learn_a_limit_and_its_end():
    here, there = UpstreamLimits(), UpstreamLimits()
    here.update("u", 1.0, NOW, NOW)
    (row,) = here.next_rows(NOW)
    assert there.merge(row, NOW)
    assert there.rate("u") == 1.0
    here.update("u", None, NOW + END_DELAY, NOW + END_DELAY)
    (row,) = here.next_rows(NOW + END_DELAY)
    assert there.merge(row, NOW + END_DELAY)
    assert there.rate("u") is None
    assert not here.next_rows(NOW + END_DELAY + ANNOUNCE_END_SECONDS)


def test_late_updates_do_not_end_a_limit():
    here = UpstreamLimits()
    here.update("u", 1.0, NOW, NOW)
    assert not here.merge(LimitRow("u", -1.0, 0.0), NOW + 0.5)
    assert not here.merge(LimitRow("u", 7.0, 2.0), NOW + 0.5)
    assert here.rate("u") == 1.0


@pytest.mark.parametrize("rate", [float("nan"), float("inf"), 2 * MAX_RATE])
def test_invalid_updates_change_nothing(rate):
    here = UpstreamLimits()
    assert not here.merge(LimitRow("u", rate, 0.0), NOW)
    assert not here.merge(LimitRow("u", -1.0, 0.0), NOW)
    assert here.rate("u") is None


def test_many_limits_are_sent_in_turn():
    here, there = UpstreamLimits(), UpstreamLimits()
    for number in range(3 * MAX_ROWS):
        here.update(f"u{number}", 1.0, NOW, NOW)
    for _call in range(4):
        rows = here.next_rows(NOW)
        assert len(rows) <= MAX_ROWS
        for row in rows:
            there.merge(row, NOW)
    assert there.count == 3 * MAX_ROWS


def test_removed_upstreams_are_forgotten():
    limits, granter, held = UpstreamLimits(), PermitGranter(), HeldPermits()
    limits.update("u", 1.0, NOW, NOW)
    held.add("u", 1, NOW, NOW)
    granter.grant("u", 1.0, 1, NOW)
    for part in (limits, granter, held):
        part.retain({"other"})
    assert limits.rate("u") is None
    assert not held.acquire("u", NOW)


# Permits


def granted(rate, pause, seconds, wanted=1):
    """Return the monotonic times of the permits that polling gets."""
    granter = PermitGranter()
    times = []
    now = NOW
    while now < NOW + seconds:
        count, _next_at = granter.grant("u", rate, wanted, now)
        times += [now] * count
        now += pause
    return times


@pytest.mark.parametrize("rate", [0.5, 1.0, 3.7, 20.0])
def test_permits_are_granted_at_the_reported_rate(rate):
    times = granted(rate, 0.01, 60.0)
    assert abs(len(times) - 60 * rate) <= 2 + BURST_SECONDS * rate
    most = max(sum(t <= at < t + 4 for at in times) for t in times)
    assert most <= 4 * rate + 1 + BURST_SECONDS * rate


def test_a_pause_saves_few_permits():
    granter = PermitGranter()
    granter.grant("u", 10.0, 1, NOW)
    count, _next_at = granter.grant("u", 10.0, 100, NOW + 1000)
    assert count <= 1 + BURST_SECONDS * 10.0


def test_an_upstream_with_limit_zero_is_tried_at_the_lowest_rate():
    assert 1 <= len(granted(0.0, 0.1, 60.0)) <= 2 + 60 * MIN_RATE


def test_a_denial_says_when_to_ask_again():
    granter = PermitGranter()
    assert granter.grant("u", 2.0, 1, NOW)[0] == 1
    count, next_at = granter.grant("u", 2.0, 1, NOW)
    assert count == 0
    assert next_at == NOW + 0.5
    assert granter.grant("u", 2.0, 1, next_at)[0] == 1


def test_a_changed_limit_applies_at_once():
    granter = PermitGranter()
    granter.grant("u", 100.0, 1, NOW)
    assert granter.grant("u", 1.0, 50, NOW + 1)[0] == 1
    count, next_at = granter.grant("u", 1.0, 50, NOW + 1.01)
    assert (count, next_at > NOW + 1.4) == (0, True)


def test_held_permits_expire():
    held = HeldPermits()
    held.add("u", 2, NOW, NOW)
    assert held.acquire("u", NOW)
    assert not held.acquire("u", NOW + HOLD_SECONDS)
    held.add("u", 1, NOW, NOW + HOLD_SECONDS)
    assert held.acquire("u", NOW + HOLD_SECONDS)
    assert not held.acquire("u", NOW + HOLD_SECONDS)


def test_a_denied_router_waits_until_the_next_permit():
    held = HeldPermits()
    assert held.available_at("u", NOW) == NOW
    held.add("u", 0, NOW + 0.4, NOW)
    assert held.available_at("u", NOW) == NOW + 0.4
    assert held.available_at("u", NOW + 1) == NOW + 1


@pytest.mark.parametrize("rate", [1.0, 20.0])
def test_a_large_fleet_does_not_come_back_for_the_same_permit(rate):
    granter = PermitGranter()
    back_at = {router: NOW for router in range(195)}
    asks = grants = 0
    for tick in range(6000):
        now = NOW + tick / 200
        for router, at in back_at.items():
            if at > now:
                continue
            count, next_at = granter.grant("u", rate, 1, now)
            back_at[router] = now if count else next_at
            asks += 1
            grants += count
    assert asks / 30 * ASK_BYTES <= CONTROL_BYTES
    assert grants >= 0.8 * 30 * rate


def test_high_limits_are_granted_in_batches():
    assert permit_batch_size(1.0, 7) == 1
    assert permit_batch_size(280.0, 7) == 10
    assert permit_batch_size(MAX_RATE, 1) == MAX_BATCH
    assert permit_batch_size(0.0, 0) == 1
