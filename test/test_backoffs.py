"""A router backs off from upstreams that ask it to as they refuse it."""

import asyncio
from test.crash_world import crash_test
from test.notice_world import NoticeWorld

import pytest

# Seconds for which upstreams want no requests, as their refusals say it.
TEXTS = ("1.5", "2.25", "4", "3.5")


async def refuse_in_bursts(world, upstreams, seconds, every=3.0, for_s=1.0):
    """Let upstreams turn all away for a while, again and again."""
    until = world.now + seconds
    burst = 0
    while world.now < until:
        for number, upstream in enumerate(upstreams):
            upstream.backoff_text = TEXTS[(burst + number) % len(TEXTS)]
            upstream.refusing = True
        await asyncio.sleep(for_s)
        for upstream in upstreams:
            upstream.refusing = False
        await asyncio.sleep(every - for_s)
        burst += 1


@crash_test(NoticeWorld)
async def test_upstreams_that_ask_to_back_off_get_no_requests(world):
    world.spawn(refuse_in_bursts(world, world.some(2), 18.0))
    await world.ask_mixed(20.0)
    broken, count = world.broken_backoffs()
    assert count
    assert (len(broken), count) == (0, count)
    statuses = world.statuses("mixed")
    assert statuses[200] >= 0.99 * statuses.total()


@crash_test(NoticeWorld)
async def test_where_all_ask_to_back_off_requests_are_refused_at_once(world):
    await world.ask_mixed(2.0, kind="before")
    every = list(world.upstreams.values())
    world.spawn(refuse_in_bursts(world, every, 2.0, every=6.0))
    await world.ask_mixed(12.0)
    broken, count = world.broken_backoffs()
    assert count
    assert (len(broken), count) == (0, count)
    refused = [n for n, status in world.answers.items() if status == 503]
    assert refused
    # No queue is behind a refusal: it takes a few round trips.
    assert all(
        world.answered_at[name] - world.asked_at[name] < 0.2
        for name in refused
    )
    assert set(world.statuses("mixed")) <= {200, 503}


@pytest.mark.parametrize(
    "text",
    ["", "0", "-1", "soon", "nan", "1e3", "Wed, 21 Oct 2026 07:28:00 GMT"]
    + ["1,5", "9" * 30],
)
def test_a_value_that_is_no_time_changes_nothing(text):
    @crash_test(NoticeWorld)
    async def run(world):
        upstream = world.busiest()
        upstream.backoff_text = text
        upstream.refusing = True
        await world.ask_mixed(3.0)
        upstream.refusing = False
        before = len(upstream.heads)
        await world.ask_mixed(4.0, kind="after")
        # Its usual share is a sixth of all requests.
        assert len(upstream.heads) - before >= 200 / 6 / 2
        assert set(world.statuses("after")) == {200}

    run()


@crash_test(NoticeWorld)
async def test_few_requests_come_first_after_a_back_off(world):
    upstream = world.busiest()
    upstream.backoff_text = "3"
    upstream.refusing = True
    while len({backoff.router for backoff in upstream.backoffs}) < 4:
        await world.ask_mixed(0.2, rate=100, kind=f"first{world.now}")
    upstream.refusing = False
    upstream.arrivals.clear()
    ends = {backoff.router: backoff.until for backoff in upstream.backoffs}
    await world.ask_mixed(8.0, rate=100, kind="after")
    first = {}
    for arrival in upstream.arrivals:
        first.setdefault(arrival.router, []).append(arrival.at)
    assert set(first) == set(ends)
    for router, times in first.items():
        assert times[0] >= ends[router]
        soon = [at for at in times if at < times[0] + 0.2]
        assert len(soon) <= 2
    begun = sorted(times[0] - ends[router] for router, times in first.items())
    assert begun[-1] - begun[0] > 0.02
    # Soon it has its usual share of a sixth again.
    late = [a for a in upstream.arrivals if a.at > world.now - 2.0]
    assert len(late) >= 200 / 6 / 2
