"""The operator: configurations, and upstreams that come and go."""

import asyncio
import json
import random

from bench.ports import free_ports

from .caller import HOST
from .history import Evacuation
from .history import Leave
from .history import NEVER
from .history import Serving
from .history import Version
from .router import now
from .upstream import COLD_RATE
from .upstream import COLD_SECONDS
from .upstream import RecordingUpstream
from .upstream import STRIDE

LOCAL = "127.0.0.1"
FEED = "feed"
PROBE = "probe"
# Slots of the upstream that answers probes: it is never full.
PROBE_SLOTS = 10000
PLENTY = 10**9
STORE_POLL = 0.05
DATA_CENTRES = ("hall-a", "hall-b", "hall-c")
# Seconds before the end of an evacuation at which its upstreams turn cold.
CHILL_BEFORE = 0.5
# Seconds that a leaving upstream serves on beyond the bound.
LINGER = (2.0, 6.0)
# Seconds after which the entry of an upstream that ended without a word goes,
# and those until another one may have its address.
LAPSE_AFTER = 3.6
REUSE_PAUSE = 2.0
# Seconds between two upstreams of a release.
RELEASE_PAUSE = 0.5
# Longest time in seconds until entries that lapsed are back.
LAPSE_SECONDS = 1.5


class Seat:
    """An address that one upstream after the other takes.

    :ivar service: which its upstreams serve
    :ivar version: version of the software of its next upstream
    :ivar occupant: the RecordingUpstream there, or None
    """

    __slots__ = (
        "number",
        "service",
        "address",
        "port",
        "occupant",
        "count",
        "version",
    )

    def __init__(self, number, service, address, port):
        self.number = number
        self.service = service
        self.address = address
        self.port = port
        self.occupant = None
        self.count = 0
        self.version = 1

    @property
    def name(self):
        return f"seat{self.number}"


class Operator:
    """Writes to the store as the platform's operator and upstreams do.

    :param world: the World, for its store, history and relays
    :ivar seats: addresses of upstreams, the last one for probes
    :ivar totals: prepaid tokens by organisation
    """

    def __init__(self, world, seed, seconds):
        self.seats = []
        self._shape = world.shape
        self._world = world
        self._store = world.store
        self._history = world.history
        self._seed = seed
        self._random = random.Random(f"operator {seed}")
        self._version = 1
        self._publishing = asyncio.Lock()
        self._evacuated = set()
        small = int(self._shape.paid * max(10, seconds))
        self.totals = {"ample": PLENTY, "small": small, "topped": small}

    async def start(self):
        """Start upstreams, and write the first configuration."""
        upstreams = self._shape.upstreams
        for number in range(upstreams + 1):
            public, behind = free_ports(2)
            service = FEED if number < upstreams else PROBE
            seat = Seat(number, service, f"{LOCAL}:{public}", behind)
            self.seats.append(seat)
            await self._world.relays.add(
                seat.name, (LOCAL, public), (LOCAL, behind)
            )
            await self._fill(seat)
        await self._put_config(now())

    async def _store_up(self):
        """Wait until the store takes a call."""
        while self._store.fault:
            await asyncio.sleep(STORE_POLL)

    # Configurations

    def versions(self):
        """Return the versions taken so far."""
        return [version.number for version in self._history.versions]

    async def publish(self, variant):
        """Write the next configuration."""
        sent_at = now()
        async with self._publishing:
            await self._store_up()
            self._version += self._random.randint(1, 4)
            if variant == "top_up":
                self.totals["topped"] += self.totals["topped"] // 10
            await self._put_config(sent_at)

    async def _put_config(self, sent_at):
        data = json.dumps(self._config()).encode()
        await self._store.put("op/config", data)
        totals = dict(self.totals)
        version = Version(self._version, sent_at, now(), totals)
        self._history.versions.append(version)

    def _config(self):
        routes = [_ask_route(ask) for ask in self._shape.asks]
        # A version is told by the routes that it knows: each adds one.
        routes += [
            _route(f"/since-{number}/", "idempotent", PROBE, public=True)
            for number in (*self.versions(), self._version)
        ]
        return {
            "version": self._version,
            "routes": routes,
            "services": [self._feed(), _service(PROBE)],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 100000,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [
                {"name": n, "api_keys": [f"key-of-{n}"], "prepaid": total}
                for n, total in self.totals.items()
            ],
        }

    def _feed(self):
        if not self._shape.cold:
            return _service(FEED)
        cold = {"cold_start_s": COLD_SECONDS, "cold_per_s": COLD_RATE}
        return {**_service(FEED), **cold}

    # Upstreams

    async def _fill(self, seat):
        """Start the next upstream at an address, and list it."""
        seat.count += 1
        name = f"u{seat.number}-{seat.count}"
        faulty = seat.service == FEED and seat.number % self._shape.faulty == 0
        upstream = RecordingUpstream(name, self._history, self._seed, faulty)
        upstream.slots = self._shape.slots
        if self._shape.takes_up:
            upstream.version = f"v{seat.version}"
        if self._shape.cold and seat.service == FEED:
            upstream.data_centre = DATA_CENTRES[seat.number % 3]
            if seat.count > 1:
                upstream.turn_cold()
        self._history.data_centres[name] = upstream.data_centre
        upstream.source_at = self._world.relays.source_at
        if seat.service == PROBE:
            upstream.slots = PROBE_SLOTS
        upstream.pause = self._random.choice(self._shape.pauses)
        upstream.on_crash = lambda _upstream: self._world.spawn(
            self.crash(seat)
        )
        await upstream.start(seat.port)
        upstream.address = seat.address
        seat.occupant = upstream
        await self._list(seat, "ready")
        if seat.service == FEED:
            self._history.serving.append(
                Serving(upstream.name, upstream.version, now())
            )

    async def _list(self, seat, state, chill=False):
        """Write an upstream's entry, or remove it for an empty state.

        :param chill: whether the upstream turns cold as it writes
        """
        upstream = seat.occupant
        if chill:
            upstream.turn_cold()
        upstream.listed = state
        key = f"servers/{upstream.name}"
        if state:
            entry = upstream.entry(seat.service, state)
            await self._store.put(key, entry)
        elif key in self._store.items:
            await self._store.remove(key)

    async def release(self):
        """Replace every other upstream, one after the other."""
        seats = [seat for seat in self.seats if seat.service == FEED]
        version = 1 + max(seat.version for seat in seats)
        for seat in seats[version % 2 :: 2]:
            seat.version = version
            self._world.spawn(self.leave(seat, "draining"))
            await asyncio.sleep(RELEASE_PAUSE)

    async def evacuate(self, variant, seconds):
        """Evacuate data centres, and take them back after some seconds.

        :param variant: their names, or "all"
        """
        names = DATA_CENTRES if variant == "all" else variant.split()
        names = sorted(set(names) - self._evacuated)
        self._evacuated.update(names)
        begun = []
        for name in names:
            await self._store_up()
            await self._store.put(f"op/evacuate/{name}", {})
            begun.append(Evacuation(name, now()))
        self._history.evacuations += begun
        await asyncio.sleep(seconds - CHILL_BEFORE)
        for seat in self.seats:
            upstream = seat.occupant
            if upstream and upstream.data_centre in names:
                await self.chill(seat)
        await asyncio.sleep(CHILL_BEFORE)
        for evacuation in begun:
            await self._store_up()
            evacuation.ended = now()
            await self._store.remove(f"op/evacuate/{evacuation.data_centre}")
            self._evacuated.discard(evacuation.data_centre)

    async def chill(self, seat):
        """Let an upstream turn cold, and say so once the store is up."""
        upstream = seat.occupant
        if upstream is None or upstream.leaving or seat.service != FEED:
            return
        await self._store_up()
        await self._list(seat, upstream.listed, chill=True)

    def _note_served(self, upstream):
        for serving in self._history.serving:
            if serving.upstream == upstream.name:
                serving.ended = min(serving.ended, now())

    async def leave(self, seat, variant, announced=None):
        """Let an upstream leave, end, and another one take its address.

        :param variant: how its entry changes
        :param announced: for how many seconds its answers alone say so, None
            if they do not say it at all
        """
        upstream = seat.occupant
        if upstream is None or upstream.leaving:
            return
        upstream.leaving = True
        self._note_served(upstream)
        if announced is not None:
            upstream.leaving_text = "1"
            await asyncio.sleep(announced)
        await self._store_up()
        await self._list(seat, "" if variant == "gone" else "draining")
        self._history.leaves.append(Leave(upstream.name, now()))
        linger = self._random.uniform(*LINGER)
        await asyncio.sleep(self._history.bounds.drain + linger)
        await self._list(seat, "")
        at = now()
        self._world.note("end", [upstream.name], at, at)
        await self._vacate(seat)

    async def crash(self, seat):
        """Let an upstream end without a word."""
        upstream = seat.occupant
        if upstream is None or upstream.leaving:
            return
        upstream.leaving = True
        self._note_served(upstream)
        self._world.note("crash", [upstream.name], now(), NEVER)
        upstream.on_crash = None
        upstream.crash()
        await asyncio.sleep(LAPSE_AFTER)
        await self._list(seat, "")
        await self._vacate(seat)

    async def _vacate(self, seat):
        seat.occupant.on_crash = None
        seat.occupant.crash()
        seat.occupant = None
        await asyncio.sleep(REUSE_PAUSE)
        await self._fill(seat)

    async def lapse(self):
        """Let the upstreams' entries go, and come back within 2 s."""
        for key in list(self._store.items):
            if key.startswith("servers/"):
                await self._store.remove(key)
        await asyncio.sleep(self._random.uniform(0.2, LAPSE_SECONDS))
        for seat in self.seats:
            if seat.occupant is not None:
                await self._list(seat, seat.occupant.listed)


def _ask_route(ask):
    kind = "idempotent" if ask.repeatable else "non_idempotent"
    return _route(
        ask.path,
        "streaming" if ask.streamed else kind,
        timeout_ms=int(ask.timeout * 1000),
        target_latency_ms=int(ask.objective * 1000),
        gap_aim_ms=int(ask.pause * 1000),
        max_attempts=ask.sends,
        stream_resume=ask.resumable,
        public=not ask.keyed,
    )


def _route(prefix, kind, service=FEED, **more):
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 2000,
        "target_latency_ms": 500,
        "priority": 1,
        "service": service,
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
