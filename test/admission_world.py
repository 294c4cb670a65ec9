"""Routers that decide on admission before modelled engines, on given time.

The routers' decisions, estimates, reports and retry times are the gateway's
own; callers, peers and engines are modelled.
"""

import asyncio
import heapq
import itertools
import random
from test.virtual import LoopClock
from test.virtual import VirtualLoop
import types
from unittest import mock

from rowanport.errors import ANSWERS
from rowanport.errors import PeerError
from rowanport.errors import RequestError
from rowanport.gateway.admission_control import AdmissionControl
from rowanport.gateway.choice import PrefixChoice
from rowanport.gateway.exchange import Exchange
from rowanport.gateway.exchange import NotExecuted
from rowanport.gateway.job import Job
from rowanport.gateway.job import Tokens
from rowanport.gateway.metrics import GatewayMetrics
from rowanport.gateway.pool import UpstreamPool
from rowanport.gateway.prefix_map import PrefixMap
from rowanport.gateway.refusals import Refusals
from rowanport.gateway.retry_policy import final_error
from rowanport.gateway.sender import JobSender
from rowanport.gateway.state_exchange import REPORT_INTERVAL
from rowanport.gateway.state_exchange import StateExchange
from rowanport.gateway.upstream import Upstream
from rowanport.platform.words import DIALECT
from rowanport.routing.table import Organisation
from rowanport.routing.table import Route
from rowanport.routing.table import RouteKind
from rowanport.web.server import HttpRequest

SERVICE = "llm"
PLAIN = "plain"
ROUTERS = 40
COLLECTORS = 8
ENGINES = 8
# Prompt tokens a second of an engine; what routers assume of unknown ones.
RATE = 50000.0
# Mean prompt tokens of a request.
TOKENS = 2900
OBJECTIVE = 0.5
TIME_LIMIT = 4.5
# Seconds that a caller waits for the first event.
PATIENCE = 2.0
# Part of the time left for which a caller waits to come back.
RETURN_SHARE = 1 / 3
# Worth of an answer in time, and of a late one.
IN_TIME = 3.9
LATE = 1.2
# Replicas of the plain service, their slots and queues, seconds of work.
REPLICAS = 4
SLOTS = 6
QUEUE = 24
WORK_SECONDS = 0.06
# Organisations, and the part of the usual demand of each of two large ones.
ORGANISATIONS = 24
LARGE = ("o0", "o1")
LARGE_PART = 0.15
# Seconds at the end during which no requests arrive.
TAIL = 4.0

ROUTES = {
    SERVICE: Route(
        "stream",
        "host",
        "/",
        RouteKind.STREAM,
        [(SERVICE, 1)],
        TIME_LIMIT,
        OBJECTIVE,
    ),
    PLAIN: Route(
        "plain",
        "host",
        "/",
        RouteKind.IDEMPOTENT,
        [(PLAIN, 1)],
        TIME_LIMIT,
        0.344,
    ),
}


class Request:
    """One request of a caller and what became of it.

    :ivar objective: seconds within which its answer is due
    :ivar first: seconds to its answer, None without one
    :ivar refusals: number of times that it was refused
    :ivar late: whether it was sent as a late one
    """

    __slots__ = (
        "organisation",
        "objective",
        "arrived",
        "first",
        "refusals",
        "late",
    )

    def __init__(self, organisation, arrived, objective=OBJECTIVE):
        self.organisation = organisation
        self.objective = objective
        self.arrived = arrived
        self.first = None
        self.refusals = 0
        self.late = False

    @property
    def worth(self):
        if self.first is None:
            return 0.0
        return IN_TIME if self.first <= self.objective else LATE


class Engine:
    """Reads one prompt after another, the most urgent first."""

    def __init__(self, loop, rate):
        self._loop = loop
        self.rate = rate
        self._queue = []
        self._numbers = itertools.count()
        self._busy = False

    def take(self, priority, tokens, is_left, on_first):
        """Queue a prompt.

        :param is_left: function that returns whether its caller has left
        :param on_first: function called at its first event
        """
        item = (priority, next(self._numbers), tokens, is_left, on_first)
        heapq.heappush(self._queue, item)
        if not self._busy:
            self._read_next()

    def _read_next(self):
        self._busy = False
        while self._queue:
            _priority, _number, tokens, is_left, on_first = heapq.heappop(
                self._queue
            )
            if not is_left():
                self._busy = True
                seconds = tokens / self.rate
                self._loop.call_later(seconds, self._end, on_first)
                return

    def _end(self, on_first):
        on_first()
        self._read_next()


class Replica:
    """A plain upstream with slots and a bounded queue."""

    def __init__(self, loop):
        self._loop = loop
        self._waiting = []
        self._running = 0

    def take(self, on_answer):
        """Queue a request; return whether it was not turned away."""
        if len(self._waiting) >= QUEUE:
            return False
        self._waiting.append(on_answer)
        self._run()
        return True

    def _run(self):
        while self._waiting and self._running < SLOTS:
            self._running += 1
            on_answer = self._waiting.pop(0)
            self._loop.call_later(WORK_SECONDS, self._end, on_answer)

    def _end(self, on_answer):
        self._running -= 1
        on_answer()
        self._run()


class Members:
    """A fleet whose first routers collect reports."""

    def live_peers(self):
        return [f"dc/r{n}/1" for n in range(1, ROUTERS)]

    def delegates(self, duty, least, share):
        return [f"r{n}" for n in range(COLLECTORS)]

    def speaks(self, address, protocol):
        return True


class Peers:
    """Passes calls to the exchanges of other routers in memory."""

    def __init__(self):
        self.exchanges = {}
        self.lost = set()

    async def call(self, address, message, timeout):
        if address in self.lost:
            raise PeerError("no answer")
        ask = type(message).unpack(message.pack())
        answer = self.exchanges[address].answer(ask)
        return type(answer).unpack(answer.pack())


class Router:
    """One router: what its sender and forwarder decide, without sockets.

    :ivar gateway: what the real classes use of a Gateway
    """

    def __init__(self, world, name):
        self._world = world
        clock = world.clock
        self.gateway = types.SimpleNamespace(
            large_fleet=world.large_fleet,
            clock=clock,
            pool=world.pool,
            members=Members(),
            metrics=GatewayMetrics(),
            unread=lambda state, job, now: job.tokens.prompt,
            crashes=None,
        )
        self.control = AdmissionControl(self.gateway)
        self.gateway.admission_control = self.control
        self.choice = PrefixChoice("dc", PrefixMap())
        self.refusals = Refusals(clock, lambda: world.large_fleet)
        self._sends = Exchange(None, DIALECT, clock, None)
        self.exchange = StateExchange(world.peers, Members(), name)
        self.exchange.add(self.control.sync)
        world.peers.exchanges[name] = self.exchange

    def serve(self, job, request):
        """Serve a job, or raise RequestError."""
        self.control.check(job)
        if job.tokens is None:
            return self._serve_plain(job, request)
        now = self._world.clock.steady()
        states = self._world.pool.candidates(SERVICE, (), now)
        sender = JobSender(self.gateway, None, None, job, None)
        sender._check_in_time(self.choice, states, now)
        request.late = request.late or job.background
        state = min(states, key=lambda one: one.expected_wait(0, now))
        self._send(job, state, request)

    def _send(self, job, state, request):
        """Queue a job at an engine, as the sender does."""
        clock = self._world.clock
        sent_at, tokens, ahead = clock.steady(), job.tokens.prompt, 0
        if not job.background:
            ahead = state.backlog.add(tokens, sent_at)

        def is_left():
            left = clock.steady() > request.arrived + PATIENCE
            if left:
                self.control.release(job)
            return left

        def on_first():
            now = clock.steady()
            if not job.background:
                state.backlog.record_first_event(ahead, now - sent_at, now)
            self.control.record_answer(job, now - sent_at)
            if now <= request.arrived + PATIENCE:
                request.first = now - request.arrived

        headers = dict(self._sends._headers(job, state.record))
        priority = int(headers[DIALECT.priority])
        engine = self._world.engines[state.record.id]
        engine.take(priority, tokens, is_left, on_first)

    def _serve_plain(self, job, request):
        clock = self._world.clock
        sent_at = clock.steady()

        def on_answer():
            now = clock.steady()
            self.control.record_answer(job, now - sent_at)
            request.first = now - request.arrived

        replicas = self._world.rng.sample(self._world.replicas, 2)
        for replica in replicas:
            if replica.take(on_answer):
                return
            self.control.record_turned_away(job)
        raise self._world.turned_away()


class World:
    """Routers, engines and callers.

    :param seed: of all that is drawn
    :param crowded: whether each organisation's requests come to one router
    :param large_fleet: whether admission control acts
    :param returns: whether callers come back once after a refusal
    """

    def __init__(self, seed=0, crowded=False, large_fleet=True, returns=True):
        self.loop = VirtualLoop()
        self.clock = LoopClock(self.loop)
        self.rng = random.Random(seed)
        self.large_fleet = large_fleet
        self._crowded = crowded
        self._returns = returns
        self.peers = Peers()
        self.pool = UpstreamPool()
        records = {
            f"e{n}": Upstream(f"e{n}", SERVICE, f"e{n}:1", "dc", 64, False)
            for n in range(ENGINES)
        }
        records |= {
            f"p{n}": Upstream(f"p{n}", PLAIN, f"p{n}:1", "dc", SLOTS, False)
            for n in range(REPLICAS)
        }
        self.pool.update(records)
        self.engines = {
            name: Engine(self.loop, RATE) for name in records if name[0] == "e"
        }
        self.replicas = [Replica(self.loop) for _n in range(REPLICAS)]
        self.routers = [Router(self, f"r{n}") for n in range(ROUTERS)]
        self.organisations = {
            f"o{n}": Organisation(f"o{n}", [], priority=None)
            for n in range(ORGANISATIONS)
        }
        self.requests = []

    @staticmethod
    def turned_away():
        """Return the error of a request that no replica accepted."""
        job = types.SimpleNamespace(runs=0)
        return final_error(job, NotExecuted("status 503"))

    def play(self, seconds, load, factor, service=SERVICE):
        """Send requests for some seconds, and wait for their answers.

        :param load: usual demand relative to the capacity
        :param factor: function from organisation and second to its demand
            relative to the usual
        """
        for router in self.routers:
            self.loop.call_later(
                self.rng.uniform(0, REPORT_INTERVAL), self._report, router
            )
        rest = (1 - len(LARGE) * LARGE_PART) / (ORGANISATIONS - len(LARGE))
        capacity = ENGINES * RATE / TOKENS
        if service == PLAIN:
            capacity = REPLICAS * SLOTS / WORK_SECONDS
        for name in self.organisations:
            part = LARGE_PART if name in LARGE else rest
            self._plan(name, part * load * capacity, seconds, factor, service)
        with mock.patch.object(random, "choice", self.rng.choice):
            with mock.patch.object(random, "random", self.rng.random):
                with mock.patch.object(random, "uniform", self.rng.uniform):
                    end = asyncio.sleep(seconds + TAIL)
                    self.loop.run_until_complete(end)
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.close()
        return self

    def _plan(self, name, rate, seconds, factor, service):
        """Schedule the requests of an organisation."""
        begin, at = self.loop.now, 0.0
        while at < seconds:
            rate_now = rate * factor(name, at)
            at += self.rng.expovariate(max(rate_now, 0.01))
            self.loop.call_at(begin + at, self.arrive, name, at, service)

    def _report(self, router):
        self.loop.create_task(router.exchange.exchange())
        self.loop.call_later(REPORT_INTERVAL, self._report, router)

    def make_job(self, name="o0", service=SERVICE, tokens=TOKENS):
        """Return a Job of an organisation."""
        request = HttpRequest("POST", "/", {}, b"")
        now = self.clock.steady()
        id_ = str(len(self.requests))
        job = Job(request, id_, ROUTES[service], service, now)
        job.organisation = self.organisations[name]
        if service == SERVICE:
            job.tokens = Tokens(tokens, 50)
        return job

    def arrive(self, name, second, service):
        """Let a request of an organisation come to a router.

        :param second: time since the begin, by which outcomes are found
        """
        objective = ROUTES[service].objective
        request = Request(name, self.clock.steady(), objective)
        self.requests.append((second, request))
        tokens = max(100, int(self.rng.expovariate(1 / TOKENS)))
        job = self.make_job(name, service, tokens)
        router = self.rng.choice(self.routers)
        if self._crowded:
            router = self.routers[int(name[1:]) + COLLECTORS]
        self._try(router, job, request)

    def _try(self, router, job, request):
        try:
            router.serve(job, request)
        except RequestError as error:
            request.refusals += 1
            if request.refusals > 1 or not ANSWERS[error.kind].retry:
                return
            if not self._returns:
                return
            wait = router.refusals._retry_seconds(error, job)
            left = job.caller_deadline - self.clock.steady()
            if wait > RETURN_SHARE * left:
                return
            again = Job(
                job.request, job.id, job.route, job.service, job.arrived
            )
            again.arrived = self.clock.steady() + wait
            again.organisation, again.tokens = job.organisation, job.tokens
            other = self.rng.choice(self.routers)
            self.loop.call_later(wait, self._try, other, again, request)

    def outcomes(self, names, begin, end):
        """Return the Requests of some organisations that came meanwhile."""
        return [
            request
            for second, request in self.requests
            if begin <= second < end and request.organisation in names
        ]

    def worth(self, names, begin, end):
        """Return the mean worth of the requests that came meanwhile."""
        found = self.outcomes(names, begin, end)
        return sum(request.worth for request in found) / len(found)
