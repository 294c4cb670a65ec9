"""A fleet of routers before modelled engines, on given time."""

import heapq
import itertools
import random

from bench.engines.engine import Engine
from bench.engines.engine import EngineKind
from bench.engines.engine import Run
from bench.engines.load import draw
from bench.engines.load import Prompts
from rowanport.gateway.choice import PrefixChoice
from rowanport.gateway.job import Job
from rowanport.gateway.job import Tokens
from rowanport.gateway.load_sync import LoadSync
from rowanport.gateway.pool import UpstreamPool
from rowanport.gateway.prefix_map import PrefixMap
from rowanport.gateway.store_watchers import store_watchers
from rowanport.gateway.upstream import Upstream
from rowanport.gateway.views import POLL_INTERVAL
from rowanport.hashing import hash_of
from rowanport.routing import Route
from rowanport.routing import RouteKind

SERVICE = "engines"
DATA_CENTRES = 3
# Seconds for a message between routers, or from a router to an engine.
TRIP = 0.001
# Seconds after the last request until a run counts as never served.
TAIL = 10.0


class Timeline:
    """Calls functions at given times, in their order."""

    def __init__(self):
        self.now = 0.0
        self._calls = []
        self._numbers = itertools.count()

    def steady(self):
        """Return the time, as a Clock does."""
        return self.now

    def schedule(self, at, function):
        """Call a function with the time at some time."""
        heapq.heappush(self._calls, (at, next(self._numbers), function))

    def run(self, until):
        """Call everything up to a time."""
        while self._calls and self._calls[0][0] <= until:
            self.now, _number, function = heapq.heappop(self._calls)
            function(self.now)


class Request:
    """One request and what became of it.

    :ivar first: seconds to its first event, None before
    :ivar pause: longest pause in seconds
    :ivar whole: whether its answer is whole
    :ivar refused: whether it was refused at once
    :ivar left: whether its caller left early, of its own will
    """

    __slots__ = ("kind", "job", "first", "pause", "whole", "refused", "left")

    def __init__(self, kind, job):
        self.kind = kind
        self.job = job
        self.first = None
        self.pause = 0.0
        self.whole = False
        self.refused = False
        self.left = False

    @property
    def in_time(self):
        """Return whether it is whole and nothing of it came late."""
        kind = self.kind
        return (
            self.whole
            and self.first <= kind.objective
            and self.pause <= kind.pause
        )

    @property
    def credit(self):
        """Return what it earned."""
        in_time, late = self.kind.worth
        if not self.whole:
            return 0.0
        return in_time if self.in_time else late


class Outcome:
    """What became of all requests of a play.

    :ivar requests: all Requests that were to be served
    :ivar tokens_read: prompt tokens that the engines read
    """

    __slots__ = ("requests", "tokens_read")

    def __init__(self, requests, tokens_read):
        self.requests = [one for one in requests if not one.left]
        self.tokens_read = tokens_read

    @property
    def credit(self):
        """Return the part of all credit that was earned."""
        owed = sum(one.kind.worth[0] for one in self.requests)
        return sum(one.credit for one in self.requests) / owed

    def share(self, kind, predicate):
        """Return the part of a Kind's requests that a function holds for."""
        of_kind = [one for one in self.requests if one.kind is kind]
        return sum(map(predicate, of_kind)) / len(of_kind)

    def late(self, kind):
        """Return the part of a Kind that was served late."""
        return self.share(kind, lambda one: one.whole and not one.in_time)

    def refused(self, kind):
        """Return the part of a Kind that was refused at once."""
        return self.share(kind, lambda one: one.refused)


class _Router:
    """What one router knows, and by what it decides."""

    def __init__(self, fleet, name, data_centre):
        self.name = name
        self._fleet = fleet
        self._data_centre = data_centre
        self.pool = None
        self.forget()

    def forget(self):
        """Begin without any knowledge, as after a restart."""
        fleet = self._fleet
        self.pool = UpstreamPool()
        self.pool.update(fleet.records)
        prefixes = PrefixMap()
        self.choice = PrefixChoice(self._data_centre, prefixes)
        self.notes = LoadSync(
            self.pool, prefixes, self, self, str(self.name), fleet.timeline
        )

    # What LoadSync asks of members and peers

    def ready_peers(self):
        """Return the incarnations of the other routers."""
        return [f"r/{n}/1" for n in range(self._fleet.size) if n != self.name]

    live_peers = ready_peers

    def delegates(self, kind, least, share):
        """Return the addresses of the routers that do something for all."""
        count = max(least, int(share * self._fleet.size))
        return [str(number) for number in range(count)]

    def tell(self, addresses, note):
        """Hand a note to other routers."""
        at = self._fleet.timeline.now + TRIP
        for address in list(addresses):
            other = self._fleet.routers[int(address)]
            hear = other.notes.receive
            self._fleet.timeline.schedule(at, lambda _now, f=hear: f(note))

    def ask(self, now):
        """Ask one that hears of all sends what it heard, again and again."""
        timeline = self._fleet.timeline
        if now < self._fleet.ends_at:
            timeline.schedule(now + POLL_INTERVAL, self.ask)
        seconds = self.notes.advance_poll_window()
        if seconds:
            address = self._fleet.draw_one(store_watchers(self))
            answering = self._fleet.routers[int(address)].notes
            for note in answering.recent(seconds, str(self.name)):
                self.notes.apply(note)


class Fleet:
    """Routers and engines that serve a LoadPattern.

    :param pattern: the LoadPattern
    :param seed: of all that is drawn
    """

    def __init__(self, pattern, seed):
        self.size = pattern.routers
        self.timeline = Timeline()
        self._pattern = pattern
        self._rng = random.Random(seed)
        # By itself, so that asks change no load.
        self._asks_rng = random.Random(seed)
        kind = EngineKind(pattern.slots, pattern.rate)
        schedule = self.timeline.schedule
        self._engines = [
            Engine(kind, slowness, schedule) for slowness in pattern.slowness
        ]
        self._kind = kind
        self.records = {
            f"e{n}": Upstream(
                f"e{n}",
                SERVICE,
                f"e{n}:1",
                f"dc-{n % DATA_CENTRES}",
                kind.slots,
                False,
            )
            for n in range(len(self._engines))
        }
        self.routers = [
            _Router(self, n, f"dc-{n % DATA_CENTRES}")
            for n in range(self.size)
        ]
        self._requests = []
        self.ends_at = 0.0

    def draw_one(self, items):
        """Return one of some items, drawn at random."""
        return self._asks_rng.choice(items)

    def play(self, seconds=24.0):
        """Return the Outcome of a load of some seconds."""
        self.ends_at = seconds
        for kind in self._pattern.kinds:
            self._plan(kind, seconds)
        for router in self.routers:
            at = self._asks_rng.uniform(0, POLL_INTERVAL)
            self.timeline.schedule(at, router.ask)
        for at in self._pattern.restarts:
            self.timeline.schedule(at, self._restart)
        self.timeline.run(seconds + TAIL)
        read = sum(engine.tokens_read for engine in self._engines)
        return Outcome(self._requests, read)

    def _plan(self, kind, seconds):
        prompts = Prompts(kind, self._rng)
        at = 0.0
        while True:
            rate = kind.per_second * self._pattern.factor(kind, at)
            at += self._rng.expovariate(rate)
            if at >= seconds:
                return
            self.timeline.schedule(
                at, lambda now: self._arrive(kind, prompts, now)
            )

    def _restart(self, _now):
        for router in self.routers:
            router.forget()

    def _arrive(self, kind, prompts, now):
        is_long = kind is self._pattern.kinds[0]
        is_hot = is_long and self._rng.random() < self._pattern.hot
        parts = prompts.draw(is_hot)
        answer = draw(self._rng, *kind.answer)
        job = self._make_job(kind, parts, answer, now)
        request = Request(kind, job)
        self._requests.append(request)
        router = self._rng.choice(self.routers)
        candidates = router.pool.candidates(SERVICE, (), now)
        if router.choice.late_start(candidates, job, now) is not None:
            request.refused = True
            return
        self._send(router, candidates, request, parts, answer, now)

    def _make_job(self, kind, parts, answer, now):
        route = Route(
            kind.name,
            "host",
            "/",
            RouteKind.STREAM,
            [(SERVICE, 1)],
            kind.patience,
            kind.objective,
            priority=kind.priority,
            gap_objective=kind.pause,
        )
        job = Job(None, str(len(self._requests)), route, SERVICE, now)
        prompt = sum(size for _name, size in parts)
        job.tokens = Tokens(prompt, answer, self._kind.stride)
        job.affinity = ",".join(name for name, _size in parts[:-1])
        job.prefix = hash_of(job.affinity)
        job.shared_tokens = sum(size for _name, size in parts[:-1])
        return job

    def _send(self, router, candidates, request, parts, answer, now):
        job = request.job
        state = router.choice.choose(candidates, job, now)
        unread = router.choice.uncached_tokens(state, job, now)
        ahead = router.notes.record_send(state, job.prefix, unread)
        state.outstanding += 1
        run = Run(
            parts,
            answer,
            lambda at, late: self._note_event(
                router, request, state, ahead, at, late
            ),
            lambda _at: self._end(request, state),
        )
        engine = self._engines[int(state.record.id[1:])]
        schedule = self.timeline.schedule
        schedule(now + TRIP, lambda at: engine.take(run, at))
        self._plan_leaving(request, state, run, now)

    def _plan_leaving(self, request, state, run, now):
        """Let the caller give up in time, some much earlier."""
        wait = request.kind.patience
        impatient = self._rng.random() < self._pattern.leaving
        if impatient:
            wait = request.kind.objective / 2

        def leave(_now):
            if request.whole or not (impatient or request.first is None):
                return
            request.left = impatient
            run.left = True
            state.outstanding -= 1

        self.timeline.schedule(now + wait, leave)

    def _note_event(self, router, request, state, ahead, now, late):
        job = request.job
        if request.first is None:
            request.first = now + late - job.arrived
            state.backlog.record_first_event(ahead, request.first, now)
        job.record_events([_EVENT], now)
        request.pause = job.longest_pause

    @staticmethod
    def _end(request, state):
        request.whole = True
        request.job.complete = True
        state.outstanding -= 1


class _Event:
    """An event without a number."""

    id = None


_EVENT = _Event()
