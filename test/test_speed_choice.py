"""Choice among engines by their learned speeds, and prompts by their parts."""

import pytest

from rowanport.gateway.choice import TIE_SECONDS
from rowanport.gateway.dialect import Dialect
from rowanport.gateway.job import Admission
from rowanport.gateway.job import MAX_PARTS
from rowanport.gateway.pool import RUNNING_TOKENS
from rowanport.gateway.prefix_map import KEEP_SECONDS
from rowanport.gateway.prefix_map import PARENT_LIMIT
from rowanport.gateway.prefix_map import PrefixMap
from rowanport.gateway.speed_choice import RecentWork
from rowanport.gateway.speed_choice import RESCALE_HALF_LIVES
from rowanport.gateway.speed_choice import TIE_SHARE
from rowanport.gateway.speed_choice import WORK_HALF_LIFE
from rowanport.hashing import hash_of
from rowanport.schema.messages import LoadNote

from .speed_world import OBJECTIVE
from .speed_world import SERVICE
from .speed_world import World

BASE = 130800
RATES = [BASE] * 10 + [3 * BASE, BASE / 2]
WARM_UP_SECONDS = 9.0


@pytest.fixture
def world():
    return World([BASE] * 4, 2)


@pytest.fixture
def router(world):
    router = world.routers["r0:1"]
    assert router.speeds.active
    return router


def set_rate(router, name, rate):
    speed = router.pool.get(name).backlog.speed
    speed._known.slowness = 1 / rate


def test_work_is_in_proportion_to_the_rates():
    # With rates capped, slow engines queued and fast ones idled.  A request a
    # second for each engine from each of 60 routers.
    world = World(RATES, 60)
    world.play(WARM_UP_SECONDS, len(RATES))
    before = {name: one.busy for name, one in world.engines.items()}
    world.play(6.0, len(RATES))
    busy = [one.busy - before[name] for name, one in world.engines.items()]
    assert max(busy) <= 1.3 * sum(busy) / len(busy)


def test_a_running_request_costs_a_fast_engine_less(router):
    # Each counted as 10 ms, whatever the engine's rate.
    waits = []
    for name, rate in (("e0", 50000), ("e1", 200000)):
        state = router.pool.get(name)
        state.backlog.speed._known = state.backlog.speed._known.__class__(
            0.04, 1 / rate
        )
        idle = state.expected_wait(0, 1000.0)
        state.outstanding = 4
        waits.append(state.expected_wait(0, 1000.0) - idle)
    assert waits[0] == pytest.approx(4 * RUNNING_TOKENS / 50000)
    assert waits[1] == pytest.approx(waits[0] / 4)


def test_waits_that_differ_by_an_eighth_of_the_objective_differ(world, router):
    # 75 ms are 22 in 100 of an objective of 335 ms.
    assert TIE_SHARE * OBJECTIVE < TIE_SECONDS
    job = world.make_job()
    job.shared_tokens = 0
    job.prefixes = ()
    states = router.pool.candidates(SERVICE, (), 1000.0)
    for state in states[:-1]:
        tokens = 1.5 * TIE_SHARE * OBJECTIVE * state.backlog.rate
        state.backlog.add(tokens, 1000.0)
    for number in range(8):
        job.affinity = str(number)
        assert router.choice.choose(states, job, 1000.0) is states[-1]
        router.choice._work.clear()


def test_an_engine_above_its_share_of_work_is_passed_over(world, router):
    # All routers use the same order, so that one engine would get most.
    names = []
    states = router.pool.candidates(SERVICE, (), 1000.0)
    for state in states:
        prefix = world.make_job(things=1).prefix
        router.prefixes.record(prefix, state.record.id, 1000.0)
    for _send in range(40):
        job = world.make_job(things=1)
        job.tokens.prompt = 7200
        names.append(router.choice.choose(states, job, 1000.0).record.id)
    # 1.1 times the mean of ten, half a request, and the one that exceeds it.
    assert max(map(names.count, names)) <= 12


def test_recent_work_decays_across_a_change_of_its_scale(router):
    # The weights would grow beyond any number otherwise.
    work = RecentWork()
    states = router.pool.candidates(SERVICE, (), 1000.0)
    work.add(states[0], 1000.0, 1000.0)
    is_below = work.bound(states, 1000.0)
    assert [*map(is_below, states)] == [False, True, True, True]
    later = 1000.0 + 10 * RESCALE_HALF_LIVES * WORK_HALF_LIFE
    for state in states:
        work.add(state, 1000.0, later)
    assert all(map(work.bound(states, later), states))


# Prompts by their parts


def test_the_first_part_alone_counts_as_cached(world, router):
    # Prompts counted as cached whole or not at all, by one hash.
    job, other = world.make_job(things=1), world.make_job(things=1)
    other.prefixes = ((hash_of("a0,b9"), 6300), job.prefixes[1])
    other.prefix = other.prefixes[0][0]
    state = router.pool.get("e0")
    router.prefixes.learn_parts(job.prefixes)
    router.prefixes.record(job.prefix, "e0", 1000.0)
    own = other.tokens.prompt - other.shared_tokens
    assert router.choice.uncached_tokens(state, other, 1000.0) == own + 3780
    assert router.choice.uncached_tokens(state, job, 1000.0) == (
        job.tokens.prompt - job.shared_tokens
    )
    late = 1000.0 + KEEP_SECONDS + 1
    assert router.choice.uncached_tokens(state, job, late) == job.tokens.prompt


def test_an_announcement_of_a_prompt_tells_of_its_leading_parts(world, router):
    # Announcements name the whole shared prompt, and keep their size.
    job = world.make_job(things=1)
    router.prefixes.learn_parts(job.prefixes)
    note = LoadNote("e1", job.prefix, 5000, "10.1.2.3:7000")
    router.loads.apply(note)
    levels = router.prefixes.levels(job.prefixes)
    assert [(tokens, list(engines)) for tokens, engines in levels] == [
        (6300, ["e1"]),
        (2520, ["e1"]),
    ]


def test_the_known_parts_are_bounded():
    prefixes = PrefixMap()
    for number in range(2 * PARENT_LIMIT):
        prefixes.learn_parts(((number, 2), (-1, 1)))
    assert len(prefixes._parents) == PARENT_LIMIT


class Request:
    def __init__(self, parts):
        self._parts = parts

    def header(self, _name):
        return self._parts


def read_prefixes(parts):
    names = {slot: slot for slot in Dialect.__slots__}

    class Fingerprints:
        @staticmethod
        def compute_part(service, name):
            return hash_of(name)

    class Job:
        service = SERVICE
        request = Request(parts)

    Admission(Dialect(**names), Fingerprints)._read_affinity(Job)
    return Job


def test_a_request_names_each_run_of_leading_parts():
    job = read_prefixes("a:2520,b:3780,own:2890")
    assert job.prefixes == ((job.prefix, 6300), (hash_of("a"), 2520))
    assert job.prefix == hash_of("a,b")
    assert read_prefixes("a:7").prefixes == ((hash_of("a"), 7),)


def test_a_request_of_many_parts_costs_a_bounded_amount():
    job = read_prefixes(",".join(f"p{n}:1" for n in range(100)))
    assert len(job.prefixes) == MAX_PARTS + 1
    assert job.prefixes[0] == (job.prefix, 99)
