"""Reports of cold upstreams, and what gateways send to them."""

import asyncio
import json
from test.platform_world import config
from test.platform_world import Platform
from test.test_evacuation import move_two_to_hall_b
from test.test_silence import UPSTREAM
from test.test_sources import on_follower

import pytest

from rowanport.clock import ManualClock
from rowanport.gateway.cold_starts import ENTRY_LAG
from rowanport.gateway.upstream import Upstream
from rowanport.gateway.upstream import UpstreamList
from rowanport.gateway.upstream_delta import ChangeLog
from rowanport.gateway.upstream_delta import NO_LIST
from rowanport.gateway.upstream_delta import UpstreamDelta
from rowanport.platform.entries import decode_entry
from rowanport.warmup import cold_until
from rowanport.warmup import MAX_COLD_SECONDS
from rowanport.warmup import parse_cold_time
from rowanport.warmup.reports import UNREADABLE_SECONDS

COLD_RATE = 6.6
COLD_START = 3.0
# What the platform lets all routers send to a cold upstream in a second.
LIMIT = COLD_RATE * 1.5 + 5


# Reports


@pytest.mark.parametrize(
    "value, seconds",
    [
        (0, 0.0),
        (2500, 2.5),
        ("2500", 2.5),
        ("0.5", 0.0005),
        (-4000, 0.0),
        (10**30, MAX_COLD_SECONDS),
        (float("inf"), MAX_COLD_SECONDS),
        ("999999999999", MAX_COLD_SECONDS),
        (None, None),
        (True, None),
        ([], None),
        (float("nan"), None),
        ("", None),
        ("-1", None),
        ("1e9", None),
        ("soon", None),
        ("9" * 5000, None),
    ],
)
def test_a_cold_time_is_bounded_whatever_it_says(value, seconds):
    assert parse_cold_time(value) == seconds


@pytest.mark.parametrize("value", [None, "0", "soon", [], {}, True])
def test_an_entry_with_an_odd_cold_time_names_its_upstream(value):
    data = json.dumps({**UPSTREAM, "cold_left_ms": value}).encode()
    assert decode_entry("one", data).upstream.id == "one"


def test_an_unreadable_report_makes_no_upstream_cold_for_ever():
    first = cold_until(None, None, 100.0)
    assert first == 100.0 + UNREADABLE_SECONDS
    assert cold_until(first, None, 105.0) == first
    assert cold_until(first, None, 500.0) == first


def test_reports_of_the_same_cold_time_are_no_news():
    until = cold_until(None, 3.0, 100.0)
    assert cold_until(until, 1.8, 101.3) == until
    assert cold_until(until, 1.8, 101.0) == until
    assert cold_until(until, 0.0, 104.0) == until


def test_an_upstream_may_become_cold_again_or_warm_early():
    until = cold_until(None, 3.0, 100.0)
    assert cold_until(until, 3.0, 101.0) == 104.0
    assert cold_until(until, 3.0, 110.0) == 113.0
    assert cold_until(until, 0.0, 100.5) == 100.5


# The way to other routers


def passed_on(now_there, **fields):
    """Return an Upstream as another router, with its own clock, gets it."""
    record = Upstream("one", "llm", "a:1", "hall-a", 64, False, **fields)
    delta = ChangeLog().delta(NO_LIST, UpstreamList(3, [record]))
    there = UpstreamDelta.unpack(delta.pack(100.0), now_there)
    (copy,) = there.changed
    return copy


def test_peers_learn_how_long_an_upstream_is_cold():
    assert passed_on(7.0, version="v2", cold_until=102.5).cold_until == 9.5
    assert passed_on(7.0, version="v2", cold_until=99.0).cold_until == 0.0
    assert passed_on(7.0, cold_until=100.0 + 10**9).cold_until == (
        7.0 + MAX_COLD_SECONDS
    )


@on_follower
async def test_heartbeats_of_a_cold_upstream_are_no_changes(follower):
    row = {**UPSTREAM, "cold_left_ms": 3000, "seq_num": 1}
    await follower.standin.put("servers/one", row)
    await asyncio.sleep(0.5)
    known = follower.views.upstreams
    assert known.upstreams["one"].cold_until > 0.0
    for beat, left in ((2, 1300), (3, 100), (4, 0)):
        await asyncio.sleep(1.2)
        row = {**row, "cold_left_ms": left, "seq_num": beat}
        await follower.standin.put("servers/one", row)
    await asyncio.sleep(0.5)
    assert follower.views.upstreams is known


# What a gateway sends


def cold_config():
    """Return a configuration whose service bears few requests while cold."""
    fields = config()
    fields["services"][0]["cold_start_s"] = COLD_START
    fields["services"][0]["cold_per_s"] = COLD_RATE
    return fields


def cold_scenario(body):
    """Return a test with a Platform whose upstreams can be cold."""

    def test():
        async def run():
            async with Platform() as platform:
                await platform.store.put(
                    "op/config", {**cold_config(), "version": 2}
                )
                await platform.wait(
                    lambda: platform.gateway.table.version == 2
                )
                # However long requests take here, they come at once.
                clock = ManualClock(platform.gateway.clock.steady())
                platform.gateway.cold._clock = clock
                await body(platform, clock)

        asyncio.run(run())

    test.__name__ = body.__name__
    return test


async def make_cold(platform, number, seconds):
    """Let an upstream's entry say that it is cold, and wait for that."""
    upstream = platform.upstreams[number]
    entry = {**upstream.entry(), "cold_left_ms": int(1000 * seconds)}
    await platform.store.put(f"servers/{upstream.name}", entry)
    pool = platform.gateway.pool
    await platform.wait(lambda: pool.get(upstream.name).record.cold_until)


async def ask_at_once(platform, count):
    """Send requests at once; return their HttpAnswers."""
    asks = [platform.ask("/safe/x", f"rush-{n}") for n in range(count)]
    return await asyncio.gather(*asks)


@cold_scenario
async def test_a_rush_to_a_cold_upstream_goes_elsewhere(platform, clock):
    await make_cold(platform, 0, 20.0)
    answers = await ask_at_once(platform, 40)
    assert {answer.status for answer in answers} == {200}
    cold, warm = (len(one.heads) for one in platform.upstreams)
    assert 0 < cold <= COLD_RATE
    assert cold + warm == 40


@cold_scenario
async def test_cold_upstreams_alone_serve_at_the_rate_that_they_bear(
    platform, clock
):
    for number in range(2):
        await make_cold(platform, number, 20.0)
    answers = await ask_at_once(platform, 40)
    refused = [answer for answer in answers if answer.status == 503]
    assert all("retry-after" in answer.headers for answer in refused)
    assert len(answers) - len(refused) == 2 * int(COLD_RATE)
    clock.advance(1.2)
    answers = await ask_at_once(platform, 40)
    served = [answer for answer in answers if answer.status == 200]
    assert len(served) == 2 * int(COLD_RATE)


@cold_scenario
async def test_a_data_centre_fills_slowly_after_its_evacuation(
    platform, clock
):
    await move_two_to_hall_b(platform)
    views = platform.gateway.views
    revision = views.evacuations.revision
    views.apply_evacuations(revision + 1, ["hall-a"], "test")
    await ask_at_once(platform, 20)
    assert platform.upstreams[0].heads == []
    views.apply_evacuations(revision + 2, [], "test")
    await ask_at_once(platform, 40)
    assert 0 < len(platform.upstreams[0].heads) <= COLD_RATE
    clock.advance(COLD_START + ENTRY_LAG + 10.0)
    before = len(platform.upstreams[0].heads)
    await ask_at_once(platform, 40)
    assert len(platform.upstreams[0].heads) - before > LIMIT


@cold_scenario
async def test_a_health_answer_says_that_an_upstream_is_cold(platform, clock):
    gateway = platform.gateway
    record = gateway.pool.get("one").record
    for text in ("20000", "soon", None):
        gateway.cold.record_answer(record, text)
    await ask_at_once(platform, 40)
    assert 0 < len(platform.upstreams[0].heads) <= COLD_RATE
    (row,) = gateway.cold.rows()
    assert (row.upstream, row.quota) == ("one", int(COLD_RATE))
    assert 15.0 < row.left <= 20.0
