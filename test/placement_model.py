"""A model of many routers before few replicas, on given time.

The choice, the pool, the shared state and the share of connections are the
gateway's own; queues and the network are modelled.
"""

import heapq
import itertools
import random

from rowanport.gateway.choice import NearestChoice
from rowanport.gateway.job import Job
from rowanport.gateway.pool import UpstreamPool
from rowanport.gateway.replica_state import ReplicaState
from rowanport.gateway.upstream import Upstream
from rowanport.placement import connection_share
from rowanport.routing.table import Route
from rowanport.routing.table import RouteKind

SERVICE = "labels"
ROUTERS = 60
COLLECTORS = 8
REPORT_INTERVAL = 0.5
# Requests a second, as multiples of the mean, by data centre.
DEMAND = (1.4, 1.0, 0.9, 0.7)
RATE = 120.0
SLOTS = 6
QUEUE = 24
CONNECTIONS = 440
WORK = 0.06
LONG_SHARE = 1 / 7
LONG_FACTOR = 2.5
NEAR = 0.001
FAR = 0.005
OBJECTIVE = 0.344
MOST_SENDS = 2
ROUTE = Route(
    "labels", "h", "/", RouteKind.IDEMPOTENT, [(SERVICE, 1)], 4.0, OBJECTIVE
)
# Seconds between two tries while all connections are in use.
CONNECTION_WAIT = 0.005


class Clock:
    """Time of the model."""

    now = 0.0

    def steady(self):
        return self.now


class Members:
    """All routers know each other."""

    addresses = tuple(range(ROUTERS))


class Router:
    """A router with the gateway's choice.

    :param model: the Model
    :param index: its number
    :param shared: whether the load of the fleet is used
    """

    def __init__(self, model, index, shared):
        self.large_fleet = shared
        self.members = Members
        self.data_centre = index % len(DEMAND)
        self.pool = UpstreamPool()
        self.pool.update({one.record.id: one.record for one in model.replicas})
        self.replicas = ReplicaState(self, model.clock)
        self.choice = NearestChoice(
            f"hall-{self.data_centre}", self.replicas, model.random
        )
        self.connections = [0] * len(model.replicas)


class Replica:
    """A replica with slots, a queue and a cap on connections."""

    def __init__(self, index):
        name = f"r{index}"
        self.index = index
        self.record = Upstream(
            name, SERVICE, f"{name}:1", f"hall-{index}", SLOTS, False
        )
        self.running = 0
        self.waiting = []
        self.connections = 0
        self.down = self.refusing = False
        self.slowness = 1.0


class Request:
    """A request of a caller."""

    def __init__(self, router, began_at, work):
        self.router = router
        self.began_at = began_at
        self.work = work
        self.job = Job(None, f"{began_at}", ROUTE, SERVICE, began_at)
        self.sends = 0


class Result:
    """What became of the requests.

    :ivar requests: number of requests
    :ivar rejections: sends that a replica turned away
    :ivar refused: requests that were not served
    :ivar late: requests answered after the objective
    :ivar resets: connections beyond the cap of a replica
    :ivar peak: most connections to one replica
    :ivar remote: share of the sends to other data centres
    """

    def __init__(self):
        self.requests = self.rejections = self.refused = 0
        self.late = self.resets = self.peak = self.sends = self.far = 0
        self.by_replica = [0] * len(DEMAND)

    @property
    def remote(self):
        return self.far / max(1, self.sends)

    def __str__(self):
        return (
            f"{self.requests} requests, {self.rejections} turned away,"
            f" {self.refused} not served, {self.late} late,"
            f" {self.resets} connections reset, {self.peak} at most,"
            f" {self.remote:.2f} of the sends remote"
        )


class Model:
    """Routers, replicas and callers.

    :param shared: whether the parts for large fleets are used
    :param seed: seed of all random choices
    :param exchanging: whether routers exchange their state
    :param rate: requests a second of all callers, apart from bursts
    """

    def __init__(self, shared, seed=1, exchanging=True, rate=RATE):
        self.clock = Clock()
        # Apart, so that all ways to choose meet the same demand.
        self.random = random.Random(seed)
        self._demand = random.Random(seed)
        self.result = Result()
        self.replicas = [Replica(index) for index in range(len(DEMAND))]
        self.routers = [Router(self, i, shared) for i in range(ROUTERS)]
        self._shared = shared
        self._events = []
        self._order = itertools.count()
        self.factor = 1.0
        self._rate = rate
        share = connection_share(CONNECTIONS, ROUTERS)
        self._share = share if shared else CONNECTIONS
        if exchanging:
            for router in self.routers:
                start = self.random.random() * REPORT_INTERVAL
                self.at(start, self._exchange, router)

    def at(self, time, act, *args):
        """Call a function at a time."""
        heapq.heappush(self._events, (time, next(self._order), act, args))

    def run(self, seconds):
        """Run until a time; return the Result."""
        self._arrive(seconds)
        while self._events:
            time, _order, act, args = heapq.heappop(self._events)
            if time > seconds + 5.0:
                break
            self.clock.now = time
            act(*args)
        return self.result

    def set(self, index, **values):
        """Set attributes of a replica."""
        replica = self.replicas[index]
        for name, value in values.items():
            setattr(replica, name, value)
        if replica.down:
            # Its connections end, and what it ran is lost.
            replica.running, replica.waiting = 0, []
            replica.connections = 0
            for router in self.routers:
                router.connections[index] = 0

    def set_factor(self, factor):
        """Set the demand as a multiple of the usual one."""
        self.factor = factor

    # Callers

    def _arrive(self, until):
        now = self.clock.now
        if now >= until:
            return
        centre = self._demand.choices(range(len(DEMAND)), DEMAND)[0]
        routers = range(centre, ROUTERS, len(DEMAND))
        # The balancer's hash gives one router more callers than the others.
        weights = [3 if index < len(DEMAND) else 1 for index in routers]
        router = self.routers[self._demand.choices(routers, weights)[0]]
        long = self._demand.random() < LONG_SHARE
        work = WORK * (LONG_FACTOR if long else 1.0)
        self.result.requests += 1
        self._send(Request(router, now, work))
        wait = self._demand.expovariate(self._rate * self.factor)
        self.at(now + wait, self._arrive, until)

    # Routers

    def _exchange(self, router):
        address = self.routers.index(router)
        collector = self.random.randrange(COLLECTORS)
        if collector != address:
            other = self.routers[collector].replicas
            other.collect(router.replicas.report(), address)
            summary = other.summarize(address)
            if summary:
                router.replicas.apply(summary, collector)
        now = self.clock.now
        self.at(now + REPORT_INTERVAL, self._exchange, router)

    def _send(self, request):
        now, router = self.clock.now, request.router
        candidates = router.pool.candidates(SERVICE, request.job.tried, now)
        if request.sends >= MOST_SENDS or not candidates:
            self.result.refused += 1
            return
        free = [s for s in candidates if s.outstanding < self._share]
        if not free:
            self.at(now + CONNECTION_WAIT, self._send, request)
            return
        state = router.choice.choose(free, request.job, now)
        replica = self.replicas[int(state.record.id[1:])]
        request.sends += 1
        state.outstanding += 1
        router.replicas.record_send(state.record)
        near = replica.index == router.data_centre
        self.result.sends += 1
        self.result.far += not near
        self.result.by_replica[replica.index] += 1
        delay = NEAR if near else FAR
        if not self._connect(router, replica, state.outstanding):
            self.at(now + 2 * delay, self._fail, request, state)
            return
        row = (request, state, now, delay)
        self.at(now + delay, self._reach, replica, row)

    def _connect(self, router, replica, needed):
        """Return whether a connection is there or can be opened."""
        if replica.down:
            return False
        if needed <= router.connections[replica.index]:
            return True
        if replica.connections >= CONNECTIONS:
            self.result.resets += 1
            return False
        router.connections[replica.index] += 1
        replica.connections += 1
        self.result.peak = max(self.result.peak, replica.connections)
        return True

    def _end(self, request, state):
        state.outstanding -= 1
        request.router.replicas.record_end(state.record)
        request.job.tried.add(state.record.run)

    def _fail(self, request, state):
        self._end(request, state)
        state.record_failure(self.clock.now, 2)
        self._send(request)

    def _turn_away(self, request, state):
        self.result.rejections += 1
        self._end(request, state)
        request.router.replicas.record_rejection(state.record)
        self._send(request)

    def _answer(self, request, state, sent_at):
        now = self.clock.now
        self._end(request, state)
        state.record_success()
        request.router.replicas.record_answer(state.record, now - sent_at)
        self.result.late += now - request.began_at > OBJECTIVE

    # Replicas

    def _reach(self, replica, row):
        request, state, _sent_at, delay = row
        now = self.clock.now
        if replica.down:
            self.at(now + delay, self._fail, request, state)
        elif replica.refusing or len(replica.waiting) >= QUEUE:
            self.at(now + delay, self._turn_away, request, state)
        else:
            replica.waiting.append(row)
            self._work(replica)

    def _work(self, replica):
        while replica.waiting and replica.running < SLOTS:
            row = replica.waiting.pop(0)
            replica.running += 1
            seconds = row[0].work * replica.slowness
            self.at(self.clock.now + seconds, self._finish, replica, row)

    def _finish(self, replica, row):
        request, state, sent_at, delay = row
        now = self.clock.now
        if replica.down:
            self.at(now + delay, self._fail, request, state)
            return
        replica.running = max(0, replica.running - 1)
        self.at(now + delay, self._answer, request, state, sent_at)
        self._work(replica)


def play(shared, seed=1, exchanging=True, events=(), seconds=40.0, rate=RATE):
    """Play a model; return its Result.

    Other parameters as of a Model.

    :param events: (time, function of the Model and its arguments)
    """
    model = Model(shared, seed, exchanging, rate)
    for time, act, *args in events:
        model.at(time, act, model, *args)
    return model.run(seconds)


def burst(start, factor=2.2, seconds=4.0):
    """Return the events of a burst of demand."""
    return [
        (start, Model.set_factor, factor),
        (start + seconds, Model.set_factor, 1.0),
    ]


def _set(model, index, values):
    model.set(index, **values)


def fault(start, index, seconds=4.0, **values):
    """Return the events of a fault of a replica."""
    usual = {"down": False, "refusing": False, "slowness": 1.0}
    back = {name: usual[name] for name in values}
    return [
        (start, _set, index, values),
        (start + seconds, _set, index, back),
    ]


CALM = ()
BURSTS = [event for at in (6, 14, 22, 30) for event in burst(at)]
CRASH = [*burst(5), *fault(13, 0, down=True), *burst(14, 1.3)]
SLOW = [*burst(5), *fault(13, 0, slowness=7.0), *fault(23, 1, slowness=7.0)]
REFUSING = [*burst(5), *fault(13, 0, refusing=True)]
HARD = [
    *burst(5),
    *fault(12, 0, down=True),
    *fault(18, 1, slowness=7.0),
    *fault(24, 2, refusing=True),
    *burst(30),
    *fault(31, 3, slowness=7.0),
]
