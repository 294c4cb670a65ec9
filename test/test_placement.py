"""Selection of replicas by the load of the whole fleet."""

import collections
import math
import random

import pytest

from rowanport.errors import MessageError
from rowanport.gateway import replica_state
from rowanport.gateway.choice import NearestChoice
from rowanport.gateway.pool import UpstreamPool
from rowanport.gateway.replica_state import ReplicaState
from rowanport.gateway.upstream import Upstream
from rowanport.placement import Candidate
from rowanport.placement import ReplicaLoad
from rowanport.placement import Replicas
from rowanport.placement import select
from rowanport.placement.replicas import ENTRY_SECONDS
from rowanport.placement.replicas import ReplicaRow
from rowanport.placement.selection import REJECTION_SECONDS

NOW = 100.0
SLOTS = 6


def load(outstanding=0.0, seconds=0.07, rejected_at=-math.inf, own=0):
    return ReplicaLoad(outstanding, own, seconds, rejected_at)


def shares(loads, local=(), sends=4000):
    """Return the share of requests that each replica gets."""
    rng = random.Random(1)
    counts = collections.Counter(
        select(
            [
                Candidate(index in local, SLOTS, one)
                for index, one in enumerate(loads)
            ],
            NOW,
            rng,
        )
        for _send in range(sends)
    )
    return [counts[index] / sends for index in range(len(loads))]


# Selection


def test_the_local_replica_is_taken_among_equals():
    # Guards against costs of traffic between data centres without need.
    assert shares([load()] * 4, local=[2]) == [0, 0, 1, 0]


def test_a_busy_local_replica_gets_no_preference():
    loads = [load(20, 0.25), load(2), load(2), load(2)]
    result = shares(loads, local=[0])
    assert result[0] < 0.15
    assert result[1:] == pytest.approx([0.29] * 3, abs=0.03)


def test_the_preference_for_a_local_replica_falls_off_evenly():
    # Guards against a data centre whose routers all change at once.
    result = [
        shares([load(10 + n, 0.07), load(6)], local=[0])[0]
        for n in range(0, 6)
    ]
    assert result == sorted(result, reverse=True)
    assert max(a - b for a, b in zip(result, result[1:])) < 0.35


def test_old_state_does_not_send_all_requests_to_one_replica():
    # Guards against routers that know the same state of half a second ago
    # and all take the replica that was the least busy one then.
    result = shares([load(1), load(6), load(6), load(6)])
    assert max(result) < 0.4


def test_a_replica_that_turned_requests_away_comes_last():
    recent = load(rejected_at=NOW - 0.9 * REJECTION_SECONDS)
    older = load(rejected_at=NOW - 1.1 * REJECTION_SECONDS)
    result = shares([recent, older, load()], local=[0])
    assert result[0] == 0
    assert min(result[1:]) > 0.4
    assert min(shares([recent, recent])) > 0.4


def test_a_slow_replica_gets_as_much_less():
    # A seventh of the speed: its slots are full with a seventh of the load.
    result = shares([load(6, 0.49), load(2), load(2), load(2)])
    assert result[0] < 0.06
    assert sum(shares([load(6, 0.49)] * 2)) == 1


def test_a_full_queue_is_not_taken_for_slow_work():
    # By Little's law the time to answer grows with the queue.
    full = Candidate(False, SLOTS, load(12, 0.14))
    idle = Candidate(False, SLOTS, load(6, 0.07))
    for one in (full, idle):
        one.estimate(1.0)
    assert full.speed == pytest.approx(idle.speed)


def test_a_replica_without_answers_counts_as_a_usual_one():
    result = shares([load(0, 0.0), load(), load(), load()])
    assert result[0] == pytest.approx(0.25, abs=0.03)


def test_own_requests_decide_between_two_that_were_drawn():
    # They are known at once; the state of the fleet follows.
    # Four draws: 1 in 16 gives the busier one each time.
    result = shares([load(4, own=4), load(4, own=0)])
    assert result[0] == pytest.approx(1 / 16, abs=0.02)


@pytest.mark.parametrize(
    "outstanding, own, preferred",
    [(5, 2, True), (5, 3, False), (6, 1, True), (6, 2, False)],
)
def test_a_local_replica_may_have_a_few_more_own_requests(
    outstanding, own, preferred
):
    # Guards against queues that fill up while the fleet's state is on its
    # way, and against traffic between data centres for one request more.
    loads = [load(outstanding, own=own), load(5)]
    assert (shares(loads, local=[0])[0] == 1) is preferred


# The picture of the replicas


def test_own_requests_are_known_without_the_fleet():
    replicas = Replicas(NOW)
    replicas.record_send(1, NOW)
    replicas.record_send(1, NOW)
    replicas.record_end(1, NOW + 0.1)
    replicas.record_answer(1, 0.1, NOW + 0.1)
    known = replicas.load(1, NOW + 0.1)
    assert (known.outstanding, known.own) == (1, 1)
    assert known.seconds == pytest.approx(0.1)
    assert replicas.load(2, NOW).seconds == 0.0


def test_a_report_has_the_mean_since_the_last_one():
    # Guards against reports of the moment: a request takes a tenth of the
    # time between two.
    replicas = Replicas(NOW)
    for start in (0.0, 0.2):
        replicas.record_send(1, NOW + start)
        replicas.record_end(1, NOW + start + 0.05)
    row = replicas.report(NOW + 0.5)[1]
    assert row.outstanding == pytest.approx(0.2)
    assert replicas.report(NOW + 1.0) == {}


def test_the_routers_that_told_stand_for_the_others():
    # A collector hears of each router only every few seconds.
    replicas = Replicas(NOW)
    for sender in range(10):
        replicas.collect(sender, {1: ReplicaRow(0.1, 1, 0.07)}, NOW)
    row = replicas.summary("receiver", 61, NOW)[1]
    assert row.outstanding == pytest.approx(6.0)
    assert row.seconds == pytest.approx(0.07)


def test_a_router_does_not_count_its_own_requests_twice():
    replicas = Replicas(NOW)
    replicas.collect("a", {1: ReplicaRow(5.0)}, NOW)
    replicas.collect("b", {1: ReplicaRow(1.0)}, NOW)
    assert replicas.summary("a", 2, NOW)[1].outstanding == 1.0


def test_reports_age_and_are_forgotten():
    replicas = Replicas(NOW)
    replicas.collect("old", {1: ReplicaRow(1.0)}, NOW)
    replicas.collect("new", {1: ReplicaRow(0.0)}, NOW + 2.0)
    row = replicas.summary("receiver", 2, NOW + 2.0)[1]
    assert row.outstanding < 0.1
    assert replicas.summary("new", 2, NOW + ENTRY_SECONDS) is None
    assert replicas.summary("x", 2, NOW + 2.0 + ENTRY_SECONDS) is None


def test_the_state_of_the_fleet_counts_for_three_seconds():
    replicas = Replicas(NOW)
    replicas.record_send(1, NOW)
    replicas.apply({1: ReplicaRow(7.0, 5, 0.07, 1, NOW)}, NOW)
    known = replicas.load(1, NOW + 2.9)
    assert (known.outstanding, known.own, known.rejected_at) == (8, 1, NOW)
    known = replicas.load(1, NOW + ENTRY_SECONDS)
    assert (known.outstanding, known.rejected_at) == (1, -math.inf)


def test_replicas_that_leave_are_forgotten():
    replicas = Replicas(NOW)
    replicas.record_send(1, NOW)
    replicas.record_send(2, NOW)
    replicas.retain({2})
    assert replicas.load(1, NOW).outstanding == 0
    assert replicas.load(2, NOW).outstanding == 1
    # The end of a request at a replica that has left.
    replicas.record_end(1, NOW)
    assert replicas.load(1, NOW).outstanding == 0


# The exchange


class Clock:
    def __init__(self):
        self.now = NOW

    def steady(self):
        return self.now


class Gateway:
    """What a ReplicaState asks of a gateway."""

    def __init__(self, routers=2):
        self.large_fleet = True
        self.members = self
        self.addresses = tuple(range(routers))


def make_record(name="r1", born=1, hall="hall-a"):
    return Upstream(name, "plain", f"{name}:1", hall, SLOTS, False, born=born)


@pytest.fixture
def states():
    """Return the states of a collector and of two other routers."""
    clock = Clock()
    return [ReplicaState(Gateway(3), clock) for _router in range(3)]


def exchange(router, collector, name="b"):
    """Exchange as a StateExchange does, which sends nothing empty."""
    collector.collect(router.report(), name)
    if data := collector.summarize(name):
        router.apply(data, "a")


def test_a_rejection_at_one_router_is_known_at_the_others(states):
    collector, first, second = states
    record = make_record()
    first.record_rejection(record)
    collector._clock.now += 0.1
    exchange(first, collector, "b")
    exchange(second, collector, "c")
    known = second.load(record, NOW + 0.1)
    assert known.rejected_at == pytest.approx(NOW, abs=0.021)


def test_a_replica_that_restarted_has_no_past(states):
    collector, first, second = states
    first.record_rejection(make_record(born=1))
    exchange(first, collector, "b")
    exchange(second, collector, "c")
    again = second.load(make_record(born=2), NOW)
    assert again.rejected_at == -math.inf


def test_a_router_without_requests_reports_as_well(states):
    # Otherwise the routers with requests would stand for all others.
    assert states[1].report()


def test_a_collector_that_knows_nothing_says_nothing(states):
    # Guards against a fleet that looks idle after a collector has started.
    collector, first, _second = states
    first.record_send(make_record())
    assert collector.summarize("b") == b""


def test_a_message_stays_within_its_part_of_the_bytes():
    rows = {key: ReplicaRow(1e9, 1e9, 1e9, 1e9, NOW) for key in range(1000)}
    data = replica_state.pack(rows, NOW)
    assert 4 * len(data) <= 1000
    assert len(replica_state.unpack(data, NOW)) == replica_state.MOST_ROWS


@pytest.mark.parametrize(
    "data", [b"", b"\2", b"\1abc", b"\1" + b"\xff" * replica_state.ROW.size]
)
def test_a_report_that_cannot_be_read_is_refused(states, data):
    with pytest.raises(MessageError):
        states[0].collect(data, "b")


# The choice


def make_choice(state):
    return NearestChoice("hall-a", state, random.Random(1))


def make_states(*records):
    pool = UpstreamPool()
    pool.update({record.id: record for record in records})
    return pool.candidates("plain", (), NOW)


def test_a_small_fleet_chooses_by_its_own_requests(states):
    # Deployments that do not use this part are served as before.
    state = states[0]
    state._gateway.large_fleet = False
    assert not state.active
    near, far = make_record("r1"), make_record("r2", hall="hall-b")
    for _rejection in range(3):
        state.record_rejection(near)
    candidates = make_states(near, far)

    choice = make_choice(state)
    assert choice.choose(candidates, Job, NOW).record is near
    candidates[0].outstanding = 3
    assert choice.choose(candidates, Job, NOW).record is far


class Job:
    affinity, id = "", "id"


def test_without_the_fleet_a_router_chooses_by_its_own_requests(states):
    # Guards against a guess by a sixtieth of the load.
    state = states[0]
    near, far = make_record("r1"), make_record("r2", hall="hall-b")
    candidates = make_states(near, far)
    choice = make_choice(state)
    assert choice.choose(candidates, Job, NOW).record is near
    state.record_rejection(near)
    assert choice.choose(candidates, Job, NOW).record is far
    state.record_rejection(far)
    assert choice.choose(candidates, Job, NOW).record is near


def test_a_new_replica_is_chosen_as_soon_as_it_is_listed(states):
    state = states[0]
    old, new = make_record("r1"), make_record("r2")
    exchange(states[1], states[2], "b")
    state.apply(states[2].summarize("a"), "c")
    for _request in range(5):
        state.record_send(old)
        state.record_answer(old, 0.07)
    assert state.is_informed(NOW)
    candidates = make_states(old, new)
    choice = make_choice(state)
    chosen = {choice.choose(candidates, Job, NOW).record.id for _ in range(9)}
    assert "r2" in chosen
