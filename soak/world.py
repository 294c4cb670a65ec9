"""A fleet of real routers, its stand-ins, callers and operator."""

import asyncio
import json
import random

from bench.ports import free_ports
from rowanport.errors import UpstreamError
from rowanport.standins.kvstore import StoreStandin
from rowanport.tasks import TaskSet
from rowanport.web import HttpClient

from .caller import ASKS
from .caller import Caller
from .caller import HOST
from .caller import Prober
from .history import Fault
from .history import History
from .history import Leave
from .history import OwnEnd
from .history import Readiness
from .history import STORE
from .history import Version
from .relay import Relays
from .router import now
from .router import Ports
from .router import Router
from .upstream import RecordingUpstream
from .upstream import STRIDE

LOCAL = "127.0.0.1"
# Seconds between two looks at processes and leases.
WATCH_PAUSE = 0.05
# The balancer's question, and after how many misses a router is out.
READY_INTERVAL = 1.0
READY_TIMEOUT = 1.0
READY_MISSES = 2
START_TIMEOUT = 30.0
CALLERS = 18
MOST_CALLERS = 90
PAUSE = 0.4
PROBE_PAUSE = 0.5
# Prepaid tokens: of one that never runs dry, of one that does within a
# third of a run, and of one that is topped up.
TOKENS_A_SECOND = 150
REPLACE_PAUSE = 2.0
END_PAUSE = 0.3


class Seat:
    """An address that one upstream after the other takes.

    :ivar occupant: the RecordingUpstream there, or None
    """

    __slots__ = ("number", "address", "port", "occupant", "count")

    def __init__(self, number, address, port):
        self.number = number
        self.address = address
        self.port = port
        self.occupant = None
        self.count = 0

    @property
    def name(self):
        return f"seat{self.number}"


class World:
    """Everything of one run.

    :param directory: for settings files and logs
    :param broken: name of a broken variant, "" for the real program
    :ivar history: the History
    """

    def __init__(self, seed, seconds, routers, upstreams, directory, broken):
        self.history = History()
        self.seed = seed
        self.routers = []
        self.relays = Relays({})
        self.store = StoreStandin()
        self.seats = []
        self.tasks = TaskSet()
        self._random = random.Random(f"world {seed}")
        self._counts = (routers, upstreams)
        self._directory = directory
        self._broken = broken
        self._callers = []
        self._out = {}
        self._client = HttpClient()
        self._version = 1
        self._publishing = asyncio.Lock()
        self._closing = False
        small = int(TOKENS_A_SECOND * max(10, seconds))
        self._totals = {"ample": 10**9, "small": small, "topped": small}

    # Start and end

    async def start(self):
        """Start everything, and wait until the routers are ready."""
        routers, upstreams = self._counts
        await self.store.start(*free_ports(1))
        await self._start_upstreams(upstreams)
        await self._publish_first()
        await self._start_routers(routers)
        for task in (self._watch(), self._expire()):
            self.tasks.spawn(task)
        for router in self.routers:
            self.tasks.spawn(self._poll_ready(router))
        async with asyncio.timeout(START_TIMEOUT + 0.3 * routers):
            while any(self._out.values()) or not self._out:
                await asyncio.sleep(0.05)
        self._start_callers(routers)

    async def _start_upstreams(self, count):
        for number in range(count + 1):
            public, behind = free_ports(2)
            seat = Seat(number, f"{LOCAL}:{public}", behind)
            self.seats.append(seat)
            await self.relays.add(seat.name, (LOCAL, public), (LOCAL, behind))
            service = "feed" if number < count else "probe"
            await self.seat_upstream(seat, service)

    async def seat_upstream(self, seat, service="feed"):
        """Start the next upstream at an address, and list it."""
        seat.count += 1
        name = f"u{seat.number}-{seat.count}"
        faulty = service == "feed" and seat.number % 2 == 0
        upstream = RecordingUpstream(name, self.history, self.seed, faulty)
        if service == "probe":
            upstream.slots = 10000
        upstream.pause = self._random.choice((0.02, 0.06, 0.15))
        await upstream.start(seat.port)
        upstream.address = seat.address
        seat.occupant = upstream
        entry = upstream.entry(service)
        await self.store.put(f"servers/{name}", entry)

    async def _start_routers(self, count):
        numbers = free_ports(5)
        ports = Ports(numbers)
        for number in range(count):
            ip = f"127.1.{number // 250}.{number % 250 + 1}"
            name = f"r{number}"
            self.routers.append(
                Router(
                    name,
                    ip,
                    ports,
                    self._directory,
                    self.history.bounds,
                    self._broken,
                )
            )
            self.relays.name(ip, name)
            (door,) = free_ports(1)
            await self.store.open_door(name, door)
            await self.relays.add(STORE, (ip, ports.store), (LOCAL, door))
            await self.relays.add(
                name, (ip, ports.peers), (ip, ports.peers_behind)
            )
        for router in self.routers:
            router.write_settings(self.choose_seeds())
            self._start(router)

    def choose_seeds(self):
        """Return peer addresses of up to three routers."""
        some = min(3, len(self.routers))
        return [r.peers for r in self._random.sample(self.routers, some)]

    def _start(self, router):
        router.start()
        at = now()
        self.note("start", [router.name], at, at, planned=True)

    def _start_callers(self, routers):
        count = min(MOST_CALLERS, max(CALLERS, 4 * routers))
        for number in range(count):
            organisation = list(self._totals)[number % len(self._totals)]
            caller = Caller(
                self.history,
                self.balance,
                f"c{number}",
                organisation,
                f"key-of-{organisation}",
                PAUSE,
                self.seed,
            )
            self._callers.append(self.tasks.spawn(caller.run()))
        pause = max(PROBE_PAUSE, routers / 50)
        for router in self.routers:
            prober = Prober(
                self.history, router, self.versions, pause, self.seed
            )
            self._callers.append(self.tasks.spawn(prober.run()))

    async def close(self):
        """End everything that was started."""
        self._closing = True
        for task in self._callers:
            task.cancel()
        await asyncio.sleep(0)
        self.tasks.cancel()
        for router in self.routers:
            router.kill()
        self._client.close()
        self.relays.close()
        await self.store.close()
        for seat in self.seats:
            if seat.occupant is not None:
                seat.occupant.crash()
        # What serves connections ends before the loop does.
        await asyncio.sleep(END_PAUSE)
        for router in self.routers:
            for at, cause in router.failed_tasks():
                self.history.failed_tasks.append((router.name, at, cause))

    # Watching

    async def _watch(self):
        """Start processes again that ended, as the platform does."""
        while True:
            for router in self.routers:
                if router.life and not router.alive and not self._closing:
                    self._note_end(router)
                    router.life, life = 0, router.life
                    self.tasks.spawn(self._restart(router, life))
            await asyncio.sleep(WATCH_PAUSE)

    def _note_end(self, router):
        at = now()
        for fault in self.history.faults:
            if fault.kind in ("term", "kill", "freeze") and (
                router.name in fault.targets
            ):
                fault.ended = min(fault.ended, at)
        if not router.told:
            self.history.own_ends.append(
                OwnEnd(router.name, at, router.exit_code)
            )

    async def _restart(self, router, life):
        await asyncio.sleep(self._random.uniform(0.3, 1.0))
        router.life = life
        self._start(router)

    async def _expire(self):
        while True:
            await self.store.drop_expired()
            await asyncio.sleep(0.2)

    async def _poll_ready(self, router):
        misses = 0
        self._out[router] = True
        while True:
            asked_at = now()
            ready = await self._ask_ready(router)
            misses = 0 if ready else misses + 1
            if ready or misses >= READY_MISSES:
                self._out[router] = not ready
            self.history.readiness.append(
                Readiness(router.name, router.life, asked_at, ready)
            )
            await asyncio.sleep(READY_INTERVAL)

    async def _ask_ready(self, router):
        try:
            answer = await self._client.request(
                router.health, "GET", "/readyz", timeout=READY_TIMEOUT
            )
            await answer.read()
        except UpstreamError:
            return False
        return answer.status == 200

    def balance(self, draw):
        """Return the router for a caller's new connection."""
        taking = [r for r in self.routers if not self._out[r]]
        if 2 * len(taking) < len(self.routers):
            taking = self.routers
        return draw.choice(taking)

    # Faults

    def note(self, kind, targets, begun, ended, planned=False):
        """Write a Fault down and return it."""
        fault = Fault(kind, frozenset(targets), begun, ended, planned)
        self.history.faults.append(fault)
        return fault

    # The operator

    def versions(self):
        """Return the versions taken so far."""
        return [version.number for version in self.history.versions]

    async def _publish_first(self):
        await self._put_config()

    async def publish(self, variant):
        """Write the next configuration."""
        sent_at = now()
        async with self._publishing:
            while self.store.fault:
                await asyncio.sleep(0.05)
            self._version += self._random.randint(1, 4)
            if variant == "top_up":
                self._totals["topped"] += self._totals["topped"] // 10
            await self._put_config(sent_at)

    async def _put_config(self, sent_at=None):
        data = json.dumps(self._config())
        await self.store.put("op/config", data.encode())
        taken_at = now()
        self.history.versions.append(
            Version(
                self._version,
                sent_at or taken_at,
                taken_at,
                dict(self._totals),
            )
        )

    def _config(self):
        routes = [
            _route(
                ask.path,
                (
                    "idempotent"
                    if ask.repeatable and not ask.streamed
                    else "streaming" if ask.streamed else "non_idempotent"
                ),
                timeout_ms=int(ask.timeout * 1000),
                max_attempts=3 if ask.repeatable else 1,
                stream_resume=ask.resumable,
                public=not ask.keyed,
            )
            for ask in ASKS
        ]
        routes += [
            _route(
                f"/since-{number}/", "idempotent", service="probe", public=True
            )
            for number in (*self.versions(), self._version)
        ]
        return {
            "version": self._version,
            "routes": routes,
            "services": [_service("feed"), _service("probe")],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 100000,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [
                {
                    "name": name,
                    "api_keys": [f"key-of-{name}"],
                    "prepaid": total,
                }
                for name, total in self._totals.items()
            ],
        }

    async def leave(self, seat, variant):
        """Let an upstream leave, end, and another one take its address."""
        upstream = seat.occupant
        if upstream is None or upstream.leaving:
            return
        upstream.leaving = True
        key = f"servers/{upstream.name}"
        while self.store.fault:
            await asyncio.sleep(0.05)
        if variant == "gone":
            await self.store.remove(key)
        else:
            await self.store.put(key, upstream.entry(state="draining"))
        self.history.leaves.append(Leave(upstream.name, now()))
        await asyncio.sleep(
            self.history.bounds.drain + self._random.uniform(2.0, 6.0)
        )
        if variant != "gone":
            await self.store.remove(key)
        at = now()
        self.note("end", [upstream.name], at, at)
        await self._vacate(seat)

    async def crash(self, seat):
        """Let an upstream end without a word."""
        upstream = seat.occupant
        if upstream is None or upstream.leaving:
            return
        upstream.leaving = True
        self.note("crash", [upstream.name], now(), float("inf"))
        upstream.crash()
        seat.occupant = None
        await asyncio.sleep(3.6)
        if f"servers/{upstream.name}" in self.store.items:
            await self.store.remove(f"servers/{upstream.name}")
        await asyncio.sleep(REPLACE_PAUSE)
        await self.seat_upstream(seat)

    async def _vacate(self, seat):
        seat.occupant.crash()
        seat.occupant = None
        await asyncio.sleep(REPLACE_PAUSE)
        await self.seat_upstream(seat)

    async def lapse(self):
        """Let the upstreams' entries go, and come back within 2 s."""
        kept = {
            key: item[0]
            for key, item in self.store.items.items()
            if key.startswith("servers/")
        }
        for key in kept:
            await self.store.remove(key)
        await asyncio.sleep(self._random.uniform(0.2, 1.5))
        live = {s.occupant.name for s in self.seats if s.occupant}
        for key, data in kept.items():
            if key.removeprefix("servers/") in live:
                await self.store.put(key, data)


def _route(prefix, kind, **more):
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 2000,
        "target_latency_ms": 500,
        "priority": 1,
        "service": "feed",
        "max_attempts": 2,
        "public": False,
        **more,
    }


def _service(name):
    return {
        "name": name,
        "health_path": "/healthz",
        "max_connections": 1000,
        "engine": {"stride": STRIDE},
    }
