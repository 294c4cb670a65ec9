"""Upstreams that say in their answers that they leave get no new work.

The store may be out for longer than an upstream takes to leave, so that its
entry goes on saying that it is ready.
"""

import asyncio
from test.crash_world import crash_test
from test.notice_world import NoticeWorld

import pytest

from rowanport.notices.leaves import CHECK_SECONDS


@crash_test(NoticeWorld)
async def test_an_upstream_whose_answers_say_it_leaves_gets_no_new_work(world):
    leaving = world.some(2)
    for upstream in leaving:
        upstream.leaving_text = "1"
    await world.ask_mixed(12.0)
    assert all(upstream.told_at for upstream in leaving)
    assert len(world.late()) == 0
    assert set(world.statuses("mixed")) == {200}


@crash_test(NoticeWorld, upstreams=3)
async def test_nothing_is_sent_where_all_upstreams_leave(world):
    for upstream in world.upstreams.values():
        upstream.leaving_text = "1"
    await world.ask_mixed(12.0)
    assert len(world.late()) == 0
    begun = world.now
    assert await world.ask("refused", b"x", "/safe/") == 503
    assert world.now - begun < 0.2


@pytest.mark.parametrize("behaviour", ["ok", "error", "full"])
def test_one_answer_of_any_kind_tells_all_routers(behaviour):
    @crash_test(NoticeWorld)
    async def run(world):
        leaving = world.busiest()
        leaving.leaving_text = "1"
        leaving.script = [behaviour]
        number = 0
        while not leaving.told_at:
            number += 1
            await world.ask(f"first{number}", b"x", "/safe/")
        await asyncio.sleep(1.0)
        known = len(leaving.arrivals)
        await world.ask_mixed(4.0)
        assert len(leaving.arrivals) == known

    run()


async def restart_under_the_same_name(world, upstream):
    """End an upstream that leaves, and start its next run a second later."""
    address = next(a for a, u in world.upstreams.items() if u is upstream)
    upstream.on_crash = None
    upstream.crash()
    await asyncio.sleep(1.0)
    return await world.start_run(address, upstream.name)


@crash_test(NoticeWorld)
async def test_a_run_that_restarts_under_its_name_is_used_at_once(world):
    upstream = world.some(1)[0]
    upstream.born = 1000
    await world.store.put(f"servers/{upstream.name}", upstream.entry())
    asking = world.spawn(world.ask_mixed(16.0))
    await asyncio.sleep(1.0)
    upstream.leaving_text = "1"
    await asyncio.sleep(6.0)
    assert len(upstream.late_arrivals(world.asked_at)) == 0
    begun = world.now
    again = await restart_under_the_same_name(world, upstream)
    await asyncio.sleep(2.5)
    assert again.arrivals[0].at - begun < 2.5
    await asking


@crash_test(NoticeWorld)
async def test_a_name_that_comes_back_after_its_entry_was_gone_is_used(world):
    # Its entry does not tell when it started.
    upstream = world.some(1)[0]
    address = next(a for a, u in world.upstreams.items() if u is upstream)
    asking = world.spawn(world.ask_mixed(24.0))
    await asyncio.sleep(1.0)
    upstream.leaving_text = "1"
    await asyncio.sleep(4.0)
    upstream.on_crash = None
    upstream.crash()
    await world.store.remove(f"servers/{upstream.name}")
    await asyncio.sleep(8.0)
    begun = world.now
    again = await world.start_run(address, upstream.name, born=None)
    await asyncio.sleep(3.0)
    assert again.arrivals and again.arrivals[0].at < begun + 2.0
    await asking


@crash_test(NoticeWorld)
async def test_a_stream_under_way_goes_on_as_its_upstream_leaves(world):
    for upstream in world.upstreams.values():
        upstream.pause = 0.3
    tasks = await world.ask_many(12, 0.01, "streams")
    await asyncio.sleep(0.5)
    for upstream in world.some(3):
        upstream.leaving_text = "1"
    await world.ask_mixed(3.0)
    assert set(await asyncio.gather(*tasks)) == {200}
    assert sum(len(u.heads) for u in world.upstreams.values()) >= 12
    assert not world.crashes


@crash_test(NoticeWorld)
async def test_an_upstream_that_stays_after_all_is_asked_and_used_again(world):
    upstream = world.busiest()
    upstream.leaving_text = "1"
    await world.ask_mixed(2.0)
    upstream.leaving_text = None
    before = len(upstream.arrivals)
    await asyncio.sleep(CHECK_SECONDS + 2.0)
    # One router has asked, and told the others.
    checks = upstream.arrivals[before:]
    assert [arrival.name for arrival in checks] == [""]
    before = len(upstream.heads)
    await world.ask_mixed(4.0, kind="after")
    # Its usual share is a sixth of all requests.
    assert len(upstream.heads) - before >= 200 / 6 / 2
