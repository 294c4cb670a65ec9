"""Rate limits that upstreams name: reading, merging, permits."""

import pytest

from rowanport.errors import MessageError
from rowanport.ratelimits import HeldPermits
from rowanport.ratelimits import parse_limit
from rowanport.ratelimits import permit_batch_size
from rowanport.ratelimits import PermitGranter
from rowanport.ratelimits import UpstreamLimits
from rowanport.ratelimits.limits import END_SECONDS
from rowanport.ratelimits.limits import LARGEST
from rowanport.ratelimits.limits import ROWS_LIMIT
from rowanport.ratelimits.limits import TELL_END_SECONDS
from rowanport.ratelimits.permits import BURST_SECONDS
from rowanport.ratelimits.permits import CHUNK_LIMIT
from rowanport.ratelimits.permits import HOLD_SECONDS
from rowanport.ratelimits.permits import LEAST_RATE
from rowanport.schema.messages import LimitRow

NOW = 100.0
# Bytes of a question for a permit and its answer, and those a second that a
# router may spend on control.
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
def test_other_texts_are_none(text):
    with pytest.raises(MessageError):
        parse_limit(text)


# What was said last


def test_the_last_answer_decides():
    named = UpstreamLimits()
    assert not named.update("u", None, NOW, NOW)
    assert named.update("u", 1.0, NOW, NOW)
    assert not named.update("u", 1.0, NOW + 1, NOW + 1)
    assert not named.update("u", 5.0, NOW, NOW + 2)
    assert named.rate("u") == 1.0
    assert named.update("u", None, NOW + 2, NOW + 2)
    assert named.rate("u") is None
    assert named.count == 0


def test_peers_learn_a_limit_and_its_end():
    here, there = UpstreamLimits(), UpstreamLimits()
    here.update("u", 1.0, NOW, NOW)
    (row,) = here.next_rows(NOW)
    assert there.merge(row, NOW)
    assert there.rate("u") == 1.0
    here.update("u", None, NOW + END_SECONDS, NOW + END_SECONDS)
    (row,) = here.next_rows(NOW + END_SECONDS)
    assert there.merge(row, NOW + END_SECONDS)
    assert there.rate("u") is None
    assert not here.next_rows(NOW + END_SECONDS + TELL_END_SECONDS)


def test_news_that_come_late_do_not_end_a_limit():
    here = UpstreamLimits()
    here.update("u", 1.0, NOW, NOW)
    assert not here.merge(LimitRow("u", -1.0, 0.0), NOW + 0.5)
    assert not here.merge(LimitRow("u", 7.0, 2.0), NOW + 0.5)
    assert here.rate("u") == 1.0


@pytest.mark.parametrize("rate", [float("nan"), float("inf"), 2 * LARGEST])
def test_absurd_news_change_nothing(rate):
    here = UpstreamLimits()
    assert not here.merge(LimitRow("u", rate, 0.0), NOW)
    assert not here.merge(LimitRow("u", -1.0, 0.0), NOW)
    assert here.rate("u") is None


def test_many_limits_are_told_in_turn():
    here, there = UpstreamLimits(), UpstreamLimits()
    for number in range(3 * ROWS_LIMIT):
        here.update(f"u{number}", 1.0, NOW, NOW)
    for _question in range(4):
        rows = here.next_rows(NOW)
        assert len(rows) <= ROWS_LIMIT
        for row in rows:
            there.merge(row, NOW)
    assert there.count == 3 * ROWS_LIMIT


def test_upstreams_that_are_gone_are_forgotten():
    named, book, purse = UpstreamLimits(), PermitGranter(), HeldPermits()
    named.update("u", 1.0, NOW, NOW)
    purse.add("u", 1, NOW, NOW)
    book.grant("u", 1.0, 1, NOW)
    for part in (named, book, purse):
        part.retain({"other"})
    assert named.rate("u") is None
    assert not purse.acquire("u", NOW)


# Permits


def granted(rate, pause, seconds, wanted=1):
    """Return the steady times of permits that are asked for all the time."""
    book = PermitGranter()
    times = []
    now = NOW
    while now < NOW + seconds:
        count, _next_at = book.grant("u", rate, wanted, now)
        times += [now] * count
        now += pause
    return times


@pytest.mark.parametrize("rate", [0.5, 1.0, 3.7, 20.0])
def test_permits_come_at_the_rate_that_is_named(rate):
    times = granted(rate, 0.01, 60.0)
    assert abs(len(times) - 60 * rate) <= 2 + BURST_SECONDS * rate
    most = max(sum(t <= at < t + 4 for at in times) for t in times)
    assert most <= 4 * rate + 1 + BURST_SECONDS * rate


def test_a_pause_saves_few_permits():
    book = PermitGranter()
    book.grant("u", 10.0, 1, NOW)
    count, _next_at = book.grant("u", 10.0, 100, NOW + 1000)
    assert count <= 1 + BURST_SECONDS * 10.0


def test_what_takes_none_is_asked_now_and_then():
    assert 1 <= len(granted(0.0, 0.1, 60.0)) <= 2 + 60 * LEAST_RATE


def test_who_is_denied_hears_when_to_ask_again():
    book = PermitGranter()
    assert book.grant("u", 2.0, 1, NOW)[0] == 1
    count, next_at = book.grant("u", 2.0, 1, NOW)
    assert count == 0
    assert next_at == NOW + 0.5
    assert book.grant("u", 2.0, 1, next_at)[0] == 1


def test_a_limit_that_changes_holds_from_then_on():
    book = PermitGranter()
    book.grant("u", 100.0, 1, NOW)
    assert book.grant("u", 1.0, 50, NOW + 1)[0] == 1
    count, next_at = book.grant("u", 1.0, 50, NOW + 1.01)
    assert (count, next_at > NOW + 1.4) == (0, True)


def test_permits_in_hand_lapse():
    purse = HeldPermits()
    purse.add("u", 2, NOW, NOW)
    assert purse.acquire("u", NOW)
    assert not purse.acquire("u", NOW + HOLD_SECONDS)
    purse.add("u", 1, NOW, NOW + HOLD_SECONDS)
    assert purse.acquire("u", NOW + HOLD_SECONDS)
    assert not purse.acquire("u", NOW + HOLD_SECONDS)


def test_who_was_denied_waits_until_there_may_be_one():
    purse = HeldPermits()
    assert purse.available_at("u", NOW) == NOW
    purse.add("u", 0, NOW + 0.4, NOW)
    assert purse.available_at("u", NOW) == NOW + 0.4
    assert purse.available_at("u", NOW + 1) == NOW + 1


@pytest.mark.parametrize("rate", [1.0, 20.0])
def test_a_large_fleet_does_not_come_back_for_the_same_permit(rate):
    book = PermitGranter()
    back_at = {router: NOW for router in range(195)}
    asks = grants = 0
    for tick in range(6000):
        now = NOW + tick / 200
        for router, at in back_at.items():
            if at > now:
                continue
            count, next_at = book.grant("u", rate, 1, now)
            back_at[router] = now if count else next_at
            asks += 1
            grants += count
    assert asks / 30 * ASK_BYTES <= CONTROL_BYTES
    assert grants >= 0.8 * 30 * rate


def test_high_limits_are_granted_by_chunks():
    assert permit_batch_size(1.0, 7) == 1
    assert permit_batch_size(280.0, 7) == 10
    assert permit_batch_size(LARGEST, 1) == CHUNK_LIMIT
    assert permit_batch_size(0.0, 0) == 1
