"""Routers that share the speeds of modelled engines, on given time."""

import asyncio
import math
import random

from rowanport.errors import PeerError
from rowanport.gateway.engine_speeds import EngineSpeeds
from rowanport.gateway.job import Job
from rowanport.gateway.job import Tokens
from rowanport.gateway.load_sync import LoadSync
from rowanport.gateway.metrics import GatewayMetrics
from rowanport.gateway.pool import UpstreamPool
from rowanport.gateway.prefix_map import PrefixMap
from rowanport.gateway.speed_choice import SpeedChoice
from rowanport.gateway.state_exchange import REPORT_INTERVAL
from rowanport.gateway.state_exchange import StateExchange
from rowanport.gateway.store_watchers import STORE_WATCHERS
from rowanport.gateway.store_watchers import store_watchers
from rowanport.gateway.upstream import Upstream
from rowanport.gateway.views import POLL_INTERVAL
from rowanport.hashing import hash_of
from rowanport.routing.table import Route
from rowanport.routing.table import RouteKind

from .virtual import LoopClock
from .virtual import VirtualLoop

SERVICE = "llm"
DATA_CENTRES = 4
OBJECTIVE = 0.335
# One first event in this many takes LATE_FACTOR times as long.
LATE_ONE_IN = 7
LATE_FACTOR = 2.5
STEP_SECONDS = (0.003, 0.006)
FIXED_SECONDS = (0.026, 0.06)


def lognormal(rng, mean, spread=1.0):
    """Return a number of tokens that varies as in production."""
    sigma = math.sqrt(math.log(1 + spread**2))
    return rng.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)


def draw_sample(rng, rate, fixed):
    """Return the tokens ahead of a first event, and the seconds until it.

    Some prompts are cached in part without the router's knowledge, and some
    wait for work that it has not heard of.
    """
    tokens = unread = lognormal(rng, 2890)
    if rng.random() < 0.3:
        tokens = unread = tokens + 6300
        if rng.random() < 0.25:
            unread -= 2520
    seconds = fixed + unread / rate
    if rng.random() < 0.4:
        seconds += rng.expovariate(rate / 2890)
    seconds += rng.random() * rng.uniform(*STEP_SECONDS)
    if rng.randrange(LATE_ONE_IN) == 0:
        seconds *= LATE_FACTOR
    return tokens, seconds


class Engine:
    """Reads prompts one after another, and keeps their leading parts.

    :ivar rate: prompt tokens read per second
    :ivar fixed: seconds to a first event besides those of reading
    :ivar busy: seconds for which it has read
    """

    def __init__(self, rate, rng):
        self.rate = rate
        self.busy = 0.0
        self._rng = rng
        self.fixed = rng.uniform(*FIXED_SECONDS)
        self._free_at = 0.0
        self._cached = set()

    def take(self, job, now):
        """Return the time of the first event of a job."""
        tokens = job.tokens.prompt
        for prefix, size in job.prefixes:
            if prefix in self._cached:
                tokens -= size
                break
        self._cached.update(prefix for prefix, _size in job.prefixes)
        seconds = tokens / self.rate
        self.busy += seconds
        self._free_at = max(now, self._free_at) + seconds
        wait = self._free_at - now + self.fixed
        wait += self._rng.random() * self._rng.uniform(*STEP_SECONDS)
        if self._rng.randrange(LATE_ONE_IN) == 0:
            wait *= LATE_FACTOR
        return now + wait


class Router:
    """One router's components, without sockets."""

    def __init__(self, world, address, data_centre):
        self.address = address
        self._world = world
        self.pool = UpstreamPool()
        self.prefixes = PrefixMap()
        self.speeds = EngineSpeeds(
            self.pool, world.clock, GatewayMetrics(), lambda: world.large
        )
        self.state = StateExchange(world, world, address)
        self.state.add(self.speeds)
        self.choice = SpeedChoice(data_centre, self.prefixes)
        self.loads = LoadSync(
            self.pool, self.prefixes, world, world, address, world.clock
        )
        self.update()

    def update(self):
        """Apply the list of engines."""
        self.pool.update(self._world.records)
        self.speeds.update()

    def rate(self, name):
        """Return the rate that this router assumes of an engine."""
        return self.pool.get(name).backlog.rate

    def send(self, job):
        """Send a job to the engine chosen for it."""
        now = self._world.clock.steady()
        candidates = self.pool.candidates(SERVICE, (), now)
        state = self.choice.choose(candidates, job, now)
        certain = job.tokens.prompt - job.shared_tokens
        unread = self.choice.uncached_tokens(state, job, now)
        ahead = self.loads.record_send(state, job.prefix, unread)
        total = state.backlog.total
        state.outstanding += 1
        first_at = self._world.engines[state.record.id].take(job, now)
        loop = asyncio.get_running_loop()
        loop.call_at(first_at, self._end, state, ahead, certain, total, now)

    def _end(self, state, ahead, certain, total, sent_at):
        state.outstanding -= 1
        now = self._world.clock.steady()
        state.backlog.record_first_event(
            ahead, now - sent_at, now, certain, total
        )

    def feed(self):
        """Record a first event as if a request had been sent before."""
        name, engine = self._world.rng.choice([*self._world.engines.items()])
        sample = draw_sample(self._world.rng, engine.rate, engine.fixed)
        now = self._world.clock.steady()
        self.pool.get(name).backlog.record_first_event(*sample, now)

    async def poll(self):
        """Poll the announcements of other routers until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL)
            seconds = self.loads.advance_poll_window()
            if seconds:
                watchers = store_watchers(self._world)
                address = self._world.rng.choice(watchers)
                other = self._world.routers[address].loads
                for note in other.recent(seconds, self.address):
                    self.loads.apply(note)


class World:
    """A fleet, its membership and its network.

    :param rates: prompt tokens per second of each engine
    :param count: number of routers
    :ivar large: whether the fleet counts as large
    :ivar dead: addresses of routers that do not answer
    :ivar lost: share of the answers that are lost
    """

    def __init__(self, rates, count, seed=0):
        self.rng = random.Random(seed)
        # The routers draw collectors and samples from the module's source.
        random.seed(seed)
        self.loop = VirtualLoop()
        self.clock = LoopClock(self.loop)
        self.large = True
        self.dead = set()
        self.lost = 0.0
        self.engines = {
            f"e{n}": Engine(rate, self.rng) for n, rate in enumerate(rates)
        }
        self.records = {
            name: Upstream(
                name, SERVICE, name, f"dc-{n % DATA_CENTRES}", 64, False, 1
            )
            for n, name in enumerate(self.engines)
        }
        self.routers = {}
        for number in range(count):
            address = f"r{number}:1"
            hall = f"dc-{number % DATA_CENTRES}"
            self.routers[address] = Router(self, address, hall)
        self._jobs = 0

    # As a Membership

    def delegates(self, duty, least, share):
        return list(self.routers)[:STORE_WATCHERS]

    def speaks(self, address, protocol):
        return True

    def live_peers(self):
        return [f"cell/{address}/1" for address in self.routers]

    ready_peers = live_peers

    # As a PeerClient

    def tell(self, addresses, note):
        for address in addresses:
            self.routers[address].loads.receive(note)

    async def call(self, address, message, timeout):
        if address in self.dead:
            await asyncio.sleep(timeout)
            raise PeerError(f"{address} did not answer")
        answer = self.routers[address].state.answer(message)
        if self.rng.random() < self.lost:
            raise PeerError("answer lost")
        return answer

    # Load

    def make_job(self, own=900.0, things=40):
        """Return a job whose prompt has two shared parts."""
        self._jobs += 1
        targets = [(SERVICE, 1)]
        route = Route("r", "h", "/", RouteKind.STREAM, targets, 4.0, OBJECTIVE)
        now = self.clock.steady()
        job = Job(None, f"j{self._jobs}", route, SERVICE, now)
        thing = self.rng.randrange(things)
        first = f"a{thing % 4}"
        whole = f"{first},b{thing}"
        job.affinity = whole
        job.prefix = hash_of(whole)
        job.shared_tokens = 6300
        job.prefixes = ((job.prefix, 6300), (hash_of(first), 2520))
        job.tokens = Tokens(6300 + round(lognormal(self.rng, own)), 56)
        return job

    async def _load(self, router, per_second, fed):
        while True:
            await asyncio.sleep(self.rng.expovariate(per_second))
            if fed:
                router.feed()
            else:
                router.send(self.make_job())

    async def _exchange(self, router):
        await asyncio.sleep(self.rng.uniform(0, REPORT_INTERVAL))
        while True:
            await router.state.exchange()
            await asyncio.sleep(REPORT_INTERVAL)

    def play(self, seconds, per_second, idle=(), fed=False):
        """Run for some seconds.

        :param per_second: requests of each router
        :param idle: addresses of routers without requests
        :param fed: whether first events are drawn instead of requests sent
        """
        asyncio.set_event_loop(self.loop)
        self.loop.run_until_complete(
            self._play(seconds, per_second, idle, fed)
        )

    async def _play(self, seconds, per_second, idle, fed):
        tasks = []
        for address, router in self.routers.items():
            if address in self.dead:
                continue
            tasks.append(asyncio.ensure_future(self._exchange(router)))
            tasks.append(asyncio.ensure_future(router.poll()))
            if address not in idle:
                load = self._load(router, per_second, fed)
                tasks.append(asyncio.ensure_future(load))
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
