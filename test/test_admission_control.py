"""Admission while capacity is short: fair shares and late answers.

Guards against an organisation that sends four times its usual demand and so
costs all others their answers: as everyone was refused alike, the others lost
as much as it did.
"""

import asyncio
import functools
import statistics
from test.admission_world import COLLECTORS
from test.admission_world import LARGE
from test.admission_world import LATE
from test.admission_world import OBJECTIVE
from test.admission_world import ORGANISATIONS
from test.admission_world import PATIENCE
from test.admission_world import PLAIN
from test.admission_world import RATE
from test.admission_world import Request
from test.admission_world import RETURN_SHARE
from test.admission_world import SERVICE
from test.admission_world import TIME_LIMIT
from test.admission_world import TOKENS
from test.admission_world import World
from unittest import mock

import pytest

from rowanport.admission.late_answers import BEGIN_SHARE
from rowanport.errors import ErrorKind
from rowanport.errors import RequestError
from rowanport.gateway.admission_control import AdmissionControl
from rowanport.gateway.exchange import Exchange
from rowanport.gateway.exchange import LOWEST_PRIORITY
from rowanport.gateway.sender import JobSender
from rowanport.platform.words import DIALECT

SEEDS = (1, 2)
SECONDS = 11.0
# Usual demand relative to the capacity.
LOAD = 0.75
EXCESS = 4.0
# Seconds in which there is an excess.
BEGIN, END = 4.0, 10.0
OTHERS = {f"o{n}" for n in range(ORGANISATIONS)} - set(LARGE)
KINDS = [(SERVICE, False), (SERVICE, True), (PLAIN, False), (PLAIN, True)]
# Requests that come at once, how fast, at which seconds, and the usual demand
# at that time: the engines need 1.45 s for them.
BATCH = 200
BATCH_RATE = 2000.0
BATCHES = (3.0, 6.0)
BATCH_LOAD = 0.3
# Part of what the others get without the excess that they have to keep.
KEPT = 0.9


def two_large(name, second):
    """Return the excess of the two large organisations."""
    return EXCESS if name in LARGE and BEGIN <= second < END else 1.0


def usual(_name, _second):
    return 1.0


@functools.cache
def play(service, crowded, factor=two_large, large_fleet=True, lost=0):
    """Return the played Worlds, one for each seed.

    :param lost: number of collectors that do not answer
    """
    worlds = []
    for seed in SEEDS:
        world = World(seed, crowded, large_fleet)
        world.peers.lost = {f"r{n}" for n in range(lost)}
        worlds.append(world.play(SECONDS, LOAD, factor, service))
    return worlds


def worth(worlds, names=OTHERS):
    return statistics.fmean(one.worth(names, BEGIN, END) for one in worlds)


# Fair shares


@pytest.mark.parametrize("service, crowded", KINDS)
def test_others_keep_their_answers_under_an_excess_of_two(service, crowded):
    # Crowded: each organisation's requests come to one router.
    alone = worth(play(service, crowded, usual))
    assert worth(play(service, crowded)) >= KEPT * alone


@pytest.mark.parametrize("service, crowded", KINDS)
def test_others_would_lose_much_without_shares(service, crowded):
    # Shows that the model is one in which capacity is short.
    alone = worth(play(service, crowded, usual))
    without = worth(play(service, crowded, large_fleet=False))
    assert without < 0.75 * alone


@pytest.mark.parametrize("service, crowded", KINDS)
def test_the_large_organisations_keep_a_share(service, crowded):
    # Guards against refusing those with an excess altogether: they get more
    # than a tenth of what they ask for, which is .4 of what they usually get.
    worlds = play(service, crowded)
    assert worth(worlds, set(LARGE)) > 0.1 * worth(worlds)


@pytest.mark.parametrize("service, crowded", KINDS)
def test_nothing_is_refused_or_late_with_enough_room(service, crowded):
    for world in play(service, crowded, usual):
        assert not [one for _at, one in world.requests if one.refusals]
        assert not [one for _at, one in world.requests if one.late]


def test_one_lost_collector_changes_little():
    alone = worth(play(SERVICE, False, usual))
    assert worth(play(SERVICE, False, lost=1)) >= KEPT * alone


def test_without_collectors_requests_are_refused_as_in_a_small_fleet():
    # A router's own demand is too little for the shares of a fleet, and what
    # it sees begin too little to tell whether late requests begin.
    for world in play(SERVICE, False, lost=COLLECTORS):
        assert [one for one in requests_of([world]) if one.refusals]
        assert not [one for one in requests_of([world]) if one.late]
        now = world.clock.steady()
        for router in world.routers:
            assert not router.control.sync.book.knows_fleet(now)
            assert router.gateway.metrics.share_refusals.get_all() == []


# Late answers


def play_batches(returns):
    """Return the played Worlds in which many requests come at once, twice.

    :param returns: whether callers come back once after a refusal
    """
    worlds = []
    for seed in SEEDS:
        world = World(seed, returns=returns)
        for begin in BATCHES:
            for number in range(BATCH):
                name = f"o{number % ORGANISATIONS}"
                world.loop.call_later(
                    begin + number / BATCH_RATE,
                    world.arrive,
                    name,
                    begin,
                    SERVICE,
                )
        worlds.append(world.play(9.0, BATCH_LOAD, usual))
    return worlds


def requests_of(worlds):
    return [one for world in worlds for _at, one in world.requests]


def in_time(worlds):
    return sum(one.worth > LATE for one in requests_of(worlds))


def served(worlds):
    return sum(one.worth > 0 for one in requests_of(worlds))


def earned(worlds):
    return sum(one.worth for one in requests_of(worlds))


@pytest.mark.parametrize("returns", [False, True])
def test_late_answers_serve_more_than_refusals_and_delay_nobody(returns):
    def refuse(*_args):
        return False

    late = play_batches(returns)
    with mock.patch.object(AdmissionControl, "accept_late", refuse):
        refused = play_batches(returns)
    assert served(late) > 1.02 * served(refused)
    assert earned(late) > earned(refused)
    assert in_time(late) >= 0.98 * in_time(refused)


def test_most_late_requests_are_answered():
    # Guards against work that does not begin before callers give up.
    late = [one for one in requests_of(play_batches(False)) if one.late]
    answered = [one for one in late if one.worth > 0]
    assert len(answered) > 0.6 * len(late) > 0


def test_a_late_request_yields_to_those_that_can_be_in_time():
    world = World()
    begun = []
    engine = world.engines["e0"]
    for number, background in enumerate((False, True, False, False)):
        job = world.make_job()
        job.background = background
        priority = int(header_of(job, world))
        begin = functools.partial(begun.append, number)
        engine.take(priority, TOKENS, lambda: False, begin)
    world.loop.run_until_complete(asyncio.sleep(1.0))
    world.loop.close()
    assert begun == [0, 2, 3, 1]


def try_with_backlog(seconds, large_fleet=True):
    """Serve a job while all engines have work for some seconds.

    :returns: the World, its router, the job and the error, or None
    """
    world = World(large_fleet=large_fleet)
    now = world.clock.steady()
    for name in world.engines:
        world.pool.get(name).backlog.add(seconds * RATE, now)
    router, job = world.routers[0], world.make_job()
    router.control.sync.book.apply({}, now)
    error = None
    try:
        router.serve(job, Request("o0", now))
    except RequestError as refusal:
        error = refusal
    world.loop.close()
    return world, router, job, error


def test_a_request_that_begins_in_time_keeps_its_priority():
    _world, _router, job, error = try_with_backlog(0.4 * OBJECTIVE)
    assert error is None and not job.background


def test_a_late_request_runs_with_the_lowest_urgency():
    _world, _router, job, error = try_with_backlog(1.5 * OBJECTIVE)
    assert error is None and job.background


def test_what_begins_after_half_of_the_patience_is_refused_at_once():
    latest = BEGIN_SHARE * PATIENCE
    _world, router, job, error = try_with_backlog(latest + 0.1)
    assert error.kind is ErrorKind.OVERLOADED
    assert not job.background
    wait = router.refusals._retry_seconds(error, job)
    assert 0 < wait <= RETURN_SHARE * TIME_LIMIT


def test_a_small_fleet_refuses_late_requests_as_before():
    world, router, job, error = try_with_backlog(1.5 * OBJECTIVE, False)
    assert error.kind is ErrorKind.OVERLOADED
    assert not job.background
    assert not router.control.sync.active
    assert router.control.begin_by(job) is None
    assert router.control.sync.book.report(world.clock.steady()) == {}


def header_of(job, world):
    exchange = Exchange(None, DIALECT, world.clock, None)
    record = world.pool.get("e0").record
    return dict(exchange._headers(job, record))[DIALECT.priority]


def test_the_priority_header_of_a_late_request_is_the_lowest():
    world = World()
    job = world.make_job()
    assert header_of(job, world) == "0"
    job.background = True
    assert header_of(job, world) == str(LOWEST_PRIORITY)
    world.loop.close()


def test_a_late_request_adds_nothing_to_what_others_wait_for():
    # Counted there, late requests would make others late that they yield to.
    world = World()
    router, job = world.routers[0], world.make_job()
    job.background = True
    sender = JobSender(router.gateway, None, None, job, None)
    state = world.pool.get("e0")
    assert sender._record_load(state) == 0
    assert state.start_delay(world.clock.steady()) == 0
    world.loop.close()


# What is decided for single requests


def overloaded_router():
    """Return a World and a router at which o0 is far beyond its share."""
    world = World()
    now = world.clock.steady()
    for name in world.engines:
        world.pool.get(name).backlog.add(1.5 * OBJECTIVE * RATE, now)
    router = world.routers[0]
    book, service = router.control.sync.book, router.control._service(SERVICE)
    for _time in range(20):
        router.control.check(world.make_job("o1", tokens=100))
    owner = list(book.report(now)[service.id].organisations)[0]
    assert owner
    big = world.make_job("o0", tokens=10**9)
    return world, router, big


def test_a_request_beyond_its_share_gets_a_time_within_the_shortage():
    world, router, job = overloaded_router()
    with pytest.raises(RequestError) as refusal:
        router.control.check(job)
    assert refusal.value.kind is ErrorKind.OVERLOADED
    now = world.clock.steady()
    assert now <= refusal.value.come_back_at <= now + 4.0
    # Those below their share are not refused meanwhile.
    router.control.check(world.make_job("o1", tokens=100))
    world.loop.close()


def test_a_stream_that_is_taken_up_is_not_refused_for_shares():
    world, router, job = overloaded_router()
    job.takes_up = True
    router.control.check(job)
    world.loop.close()


def test_a_request_without_an_organisation_is_not_refused_for_shares():
    world, router, job = overloaded_router()
    job.organisation = None
    router.control.check(job)
    world.loop.close()


def test_nothing_is_refused_for_shares_while_nothing_waits():
    world = World()
    router = world.routers[0]
    for _time in range(100):
        router.control.check(world.make_job(tokens=10**9))
    world.loop.close()


def test_rejections_of_a_plain_service_count_for_a_second():
    world = World()
    router = world.routers[0]
    job = world.make_job(service=PLAIN)
    router.control.check(job)
    router.control.record_answer(job, 60.0)
    router.control.record_turned_away(job)
    with pytest.raises(RequestError):
        for _time in range(100):
            router.control.check(world.make_job(service=PLAIN))
    world.loop.now += 1.1
    for _time in range(100):
        router.control.check(world.make_job(service=PLAIN))
    world.loop.close()
