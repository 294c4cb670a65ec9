"""Sound requests that are refused with 400, as crashes are blamed on them.

The cases are named under "Left" of docs/incidents/029, and under "Not
covered" of docs/design/crashing-parts.md.
"""

import asyncio
import random
from test.blame_model import Fleet
from test.crash_world import crash_test
from test.crash_world import DEADLINE_SECONDS
from test.test_crashing_parts import block_part
from test.test_crashing_parts import PartWorld
from test.test_crashing_parts import SHARED_PART
from test.test_crashing_parts import statuses
from test.test_cut_off import recover
from test.test_cut_off import RESET
from test.test_cut_off import sever
from test.test_popular_requests import count_refused as count_popular_refused
from test.test_silence import STORE

import pytest

from rowanport.schema.messages import BlockedAsk

SEEDS = 40
# Histories of test_popular_requests in which crashes by chance meet a request
# that runs apart: 4 of 4,000.
REFUSED_SEEDS = (731, 1171, 2021, 3869)
# Upstreams of many that crash together.
CRASHING_TOGETHER = 4
# Seconds that a run takes: a popular stream is under way nearly always.
RUN_SECONDS = 8.0
# Seconds after which routers that were cut off have forgotten what an
# operator has freed meanwhile.
CUT_SECONDS = 40.0


def count_refused(seed, upstreams):
    """Return the refusals of a sound request beside three single crashes."""
    draw = random.Random(seed)
    fleet = Fleet(
        seed,
        False,
        routers=3,
        upstreams=upstreams,
        rate=4.5,
        seconds=RUN_SECONDS,
    )
    fleet.run(draw.uniform(1.0, 10.0))
    for _crash in range(3):
        fleet.crash_some(1, 0.0)
        fleet.run(draw.choice((1.0, 6.0)))
    fleet.run(10.0)
    return fleet.refused


@pytest.mark.parametrize("upstreams", (1, 2))
def test_crashes_by_chance_of_few_upstreams_block_no_request(upstreams):
    # Guards against 400 for a popular request of a service with one or two
    # upstreams, where each crash meets it.
    refused = [seed for seed in range(SEEDS) if count_refused(seed, upstreams)]
    assert not refused


def test_crashes_that_meet_a_request_apart_do_not_block_it():
    # Guards against 400 for a sound request that runs apart as upstreams
    # crash by chance, three times before any answer.
    refused = [seed for seed in REFUSED_SEEDS if count_popular_refused(seed)]
    assert not refused


@crash_test(PartWorld, upstreams=8)
async def test_several_bad_parts_do_not_block_the_part_that_they_share(world):
    # Guards against 400 for sound requests with a shared part that had no
    # answer yet, as four bad parts behind it take turns.
    bad = [f"bad{number}" for number in range(4)]
    world.bad.clear()
    world.bad.update(bad)
    for number in range(12):
        await world.ask_part("bad", (SHARED_PART, bad[number % len(bad)]))
        await asyncio.sleep(0.5)
    for _request in range(8):
        await world.ask_part("sound", (SHARED_PART,))
        await asyncio.sleep(0.5)
    assert not world.outcomes["sound", 400], world.outcomes


@crash_test(PartWorld)
async def test_a_freed_part_stays_free_after_a_router_was_cut_off(world):
    # Guards against a block that an operator has lifted and that a router
    # brings back which was cut off meanwhile.
    await block_part(world)
    world.bad.clear()
    cut, *others = world.hosts
    for other in (*others, STORE):
        world.net.cut(cut, other)
        world.net.cut(other, cut)
    gateway = world.gateways[others[0]]
    listed = gateway.crashes.answer_operator(BlockedAsk([]))
    (row,) = [row for row in listed.rows if row.fingerprint < 0]
    gateway.crashes.answer_operator(BlockedAsk([row.fingerprint]))
    await asyncio.sleep(CUT_SECONDS)
    for other in (*others, STORE):
        world.net.join(cut, other)
        world.net.join(other, cut)
    await asyncio.sleep(10.0)
    assert await statuses(world) == {200}


class SlowWorld(PartWorld):
    """A PartWorld whose upstreams bring no event within a deadline."""

    def _new_upstream(self, name):
        upstream = super()._new_upstream(name)
        upstream.pause = 2 * DEADLINE_SECONDS
        return upstream

    def crash_newest(self, count):
        """Crash the upstream that was last used, and some others with it."""
        upstreams = sorted(
            self.upstreams.values(),
            key=lambda one: one.arrivals[-1][0] if one.arrivals else 0.0,
        )
        for upstream in [upstreams.pop(), *upstreams[: count - 1]]:
            upstream.crash()


@crash_test(SlowWorld, upstreams=60)
async def test_a_fault_of_few_of_many_upstreams_blocks_no_part(world):
    # Guards against 400 for sound requests with a part that had no answer
    # yet, as a router asks 16 upstreams only which others crashed, too.
    tasks = world.spawn(
        world.ask_steadily("sound", 20.0, 30.0, lambda: (SHARED_PART,))
    )
    for _wave in range(8):
        await asyncio.sleep(3.6)
        world.crash_newest(CRASHING_TOGETHER)
    await asyncio.gather(*await tasks)
    assert not world.outcomes["sound", 400], world.outcomes


@crash_test(upstreams=8)
async def test_cuts_of_the_whole_fleet_block_no_request(world):
    # Guards against 400 for a popular request after a small fleet was cut off
    # as a whole by refusals, which count as crashes of the upstreams.
    asking = world.spawn(
        world.ask_many(600, 0.05, "popular", body=b"the same")
    )
    for _cut in range(5):
        await asyncio.sleep(1.0)
        sever(world, world.hosts, RESET)
        await asyncio.sleep(1.0)
        recover(world, world.hosts)
        await asyncio.sleep(3.0)
    await asyncio.gather(*await asking)
    assert not world.outcomes["popular", 400], world.outcomes
    assert world.outcomes["popular", 200]
