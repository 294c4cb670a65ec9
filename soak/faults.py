"""Carries the steps of a plan out on a World."""

import asyncio
import signal

from .history import NEVER
from .history import SEVER
from .history import STORE
from .lethal import BadPartCaller
from .lethal import LethalCaller
from .plan import LIMITS
from .relay import DOWN
from .relay import UP
from .router import now

DELAY = 0.4
# Seconds between two looks at a link that fills up.
FILL_PAUSE = 0.1
# Different requests that crash upstreams.
LETHAL_REQUESTS = 2
# Seconds by which the store is slow, and shares of calls that it loses or
# carries out late.
STORE_FAULTS = {"slow": 0.24, "lossy": 0.3, "late": 0.5}
# How long links that come and go are gone, and there.
FLAP_SECONDS = 1.0
DIRECTIONS = {"up": (UP,), "down": (DOWN,), "both": (UP, DOWN)}


class Injector:
    """Does to a World what a plan says.

    :param world: the World
    :ivar done: texts of the steps that were carried out, with their times
    """

    def __init__(self, world):
        self._world = world
        self.done = []

    async def run(self, plan):
        """Carry out all steps, each at its time, however long they last."""
        begun = now()
        async with asyncio.TaskGroup() as group:
            for step in plan:
                await asyncio.sleep(max(0.0, begun + step.at - now()))
                self.done.append(f"{now():.2f} {step!r}")
                group.create_task(self._do(step))

    async def _do(self, step):
        await getattr(self, f"_do_{step.kind}")(step)

    def _router(self, step):
        return self._world.routers[step.target]

    def _seat(self, step):
        return self._world.operator.seats[step.target]

    # Processes

    async def _do_term(self, step):
        router = self._router(step)
        if not router.life or not router.alive or router.told:
            return
        router.told = True
        life = router.life
        self._world.note("term", [router.name], now(), NEVER, True)
        router.signal(signal.SIGTERM)
        grace = self._world.history.bounds.grace
        self._world.spawn(self._kill_later(router, life, grace))

    async def _kill_later(self, router, life, seconds):
        await asyncio.sleep(seconds)
        if router.life == life:
            router.signal(signal.SIGKILL)

    async def _do_kill(self, step):
        self._kill(self._router(step))

    def _kill(self, router):
        if not router.life or not router.alive:
            return
        router.told = True
        self._world.note("kill", [router.name], now(), NEVER)
        router.signal(signal.SIGKILL)

    async def _do_herd(self, _step):
        """Kill all routers at once."""
        for router in self._world.routers:
            self._kill(router)

    async def _do_again(self, _step):
        """Send the signal again to all routers that stop."""
        for router in self._world.routers:
            if router.told:
                router.signal(signal.SIGTERM)

    async def _do_settings(self, step):
        self._router(step).write_settings(self._world.choose_seeds())

    async def _do_hup(self, step):
        router = self._router(step)
        await self._do_settings(step)
        if router.life and router.alive and not router.told:
            at = now()
            self._world.note("hup", [router.name], at, at, planned=True)
        router.signal(signal.SIGHUP)

    async def _do_freeze(self, step):
        router = self._router(step)
        if not router.life or not router.alive or router.frozen:
            return
        life = router.life
        router.frozen = True
        fault = self._world.note("freeze", [router.name], now(), NEVER)
        router.signal(signal.SIGSTOP)
        await asyncio.sleep(step.seconds)
        if router.life == life:
            router.signal(signal.SIGCONT)
            router.frozen = False
        fault.ended = min(fault.ended, now())

    async def _do_clock(self, step):
        router = self._router(step)
        for offset, seconds in ((step.variant, step.seconds), (0.0, 0.0)):
            router.set_clock(offset)
            at = now()
            self._world.note("clock", [router.name], at, at)
            await asyncio.sleep(seconds)

    # Links

    def _pairs(self, router, links):
        """Return the (source, target) pairs of some links of a router."""
        others = [r.name for r in self._world.routers if r is not router]
        name = router.name
        groups = {
            "store": [(name, STORE)],
            "upstreams": [
                (name, seat.name) for seat in self._world.operator.seats
            ],
            "peers": [(name, other) for other in others]
            + [(other, name) for other in others],
        }
        if links in groups:
            return groups[links]
        return [pair for pairs in groups.values() for pair in pairs]

    def _note_links(self, step, ended, targets=None):
        names = targets or [self._router(step).name]
        return self._world.note(step.kind, names, now(), ended)

    async def _do_delay(self, step):
        await self._harm(step, step.variant, delay=DELAY)

    async def _do_full(self, step):
        # Where all links are full nobody can tell that the store was there.
        if not self._world.full_links:
            self._world.full_links += 1
            await self._fill(step, float(step.variant))
            self._world.full_links -= 1

    async def _fill(self, step, most):
        """Let bytes wait on a router's links, ever longer as they fill up."""
        pairs = self._pairs(self._router(step), "all")
        fault = self._note_links(step, NEVER)
        begun = now()
        while (seconds := now() - begun) < step.seconds:
            self._world.relays.change(pairs, delay=min(most, seconds))
            await asyncio.sleep(FILL_PAUSE)
        self._world.relays.change(pairs)
        fault.ended = now()

    async def _do_cut(self, step):
        links, _, direction = step.variant.partition(" ")
        await self._harm(step, links, held=DIRECTIONS[direction])

    async def _do_sever(self, step):
        """Cut some routers off from all upstreams, unless others are."""
        if self._world.severed:
            return
        self._world.severed = True
        count, how = step.variant.split()
        routers = self._routers_from(step.target, count)
        pairs = [
            pair
            for router in routers
            for pair in self._pairs(router, "upstreams")
        ]
        names = [router.name for router in routers]
        fault = self._world.note(SEVER, names, now(), NEVER)
        if how == "flap":
            await self._flap(pairs, step.seconds)
        else:
            self._sever(pairs, how)
            await asyncio.sleep(step.seconds)
        self._world.relays.recover(pairs)
        fault.ended = now()
        self._world.severed = False

    def _sever(self, pairs, how):
        """Let links hang, or refuse new connections, or reset all.

        On a link that stalls connections open and all is acknowledged, as by a
        proxy that hangs, but nothing gets through.
        """
        relays = self._world.relays
        if how == "hang":
            relays.hang(pairs)
            return
        if how == "stall":
            relays.change(pairs, held=(UP, DOWN))
            return
        relays.refuse(pairs)
        if how == "reset":
            relays.reset(pairs)

    async def _flap(self, pairs, seconds):
        """Let links come and go."""
        until = now() + seconds
        while now() < until:
            self._sever(pairs, "reset")
            await asyncio.sleep(FLAP_SECONDS)
            self._world.relays.recover(pairs)
            await asyncio.sleep(FLAP_SECONDS)

    def _routers_from(self, first, count):
        """Return one, half or most of the routers, from a number on."""
        routers = self._world.routers
        many = len(routers)
        count = {"one": 1, "half": many // 2, "most": many - 1}[count]
        return [routers[(first + n) % many] for n in range(max(1, count))]

    async def _harm(self, step, links, **change):
        """Change how bytes fare on a router's links for some time."""
        pairs = self._pairs(self._router(step), links)
        fault = self._note_links(step, NEVER)
        self._world.relays.change(pairs, **change)
        await asyncio.sleep(step.seconds)
        self._world.relays.change(pairs)
        fault.ended = now()

    async def _do_reset(self, step):
        self._note_links(step, now())
        pairs = self._pairs(self._router(step), step.variant)
        self._world.relays.reset(pairs)

    async def _do_silence(self, step):
        self._silence(step, acknowledged=False)

    async def _do_stall(self, step):
        self._silence(step, acknowledged=True)

    def _silence(self, step, acknowledged):
        # The platform's rules count it as a reset of all channels.
        self._note_links(step, now(), ["*"])
        routers = [self._router(step)]
        if step.variant == "everyone":
            routers = self._world.routers
        for router in routers:
            pairs = self._pairs(router, step.variant)
            self._world.relays.silence(pairs, acknowledged)

    # The store

    async def _store_fault(self, step, name, value, calm):
        store = self._world.store
        fault = self._world.note(step.kind, [STORE], now(), NEVER)
        setattr(store, name, value)
        await asyncio.sleep(step.seconds)
        setattr(store, name, calm)
        fault.ended = now()

    async def _do_store_down(self, step):
        kind, _, lapse = step.variant.partition(" ")
        await self._store_fault(step, "fault", kind, "")
        if lapse:
            fault = self._world.note("lapse", [STORE], now(), NEVER)
            await self._world.operator.lapse()
            fault.ended = now()

    async def _do_store_slow(self, step):
        """Let the store's fault of that name last for some time."""
        name = step.kind.removeprefix("store_")
        await self._store_fault(step, name, STORE_FAULTS[name], 0.0)

    _do_store_lossy = _do_store_late = _do_store_slow

    async def _do_store_forget(self, step):
        self._world.store.forget_history()

    async def _do_store_away(self, step):
        name = self._router(step).name
        fault = self._world.note(step.kind, [name], now(), NEVER)
        self._world.store.away[name] = step.variant
        await asyncio.sleep(step.seconds)
        self._world.store.away.pop(name, None)
        fault.ended = now()

    # The operator and the upstreams

    async def _do_config(self, step):
        await self._world.operator.publish(step.variant)

    async def _do_leave(self, step):
        self._world.spawn(
            self._world.operator.leave(self._seat(step), step.variant)
        )

    async def _do_announce(self, step):
        """Let an upstream leave whose entry says so only later."""
        self._world.spawn(
            self._world.operator.leave(
                self._seat(step), "draining", step.seconds
            )
        )

    async def _do_evacuate(self, step):
        await self._world.operator.evacuate(step.variant, step.seconds)

    async def _do_chill(self, step):
        """Let a cold upstream take requests that it may not be known for."""
        await self._world.operator.chill(self._seat(step))

    async def _do_release(self, _step):
        """Replace half of the upstreams by ones of the next version."""
        self._world.spawn(self._world.operator.release())

    async def _do_pause(self, step):
        upstream = self._seat(step).occupant
        if upstream is None:
            return
        stall = upstream.stall(step.variant)
        await asyncio.sleep(step.seconds)
        upstream.resume(stall)

    async def _do_refuse(self, step):
        """Let all upstreams turn most requests away as full."""
        until = now() + step.seconds
        for seat in self._world.operator.seats:
            if seat.occupant is not None:
                seat.occupant.refuses_until = until

    async def _do_rest(self, step):
        """Let some upstreams turn all requests away and ask for rest."""
        until = now() + step.seconds
        seats = self._world.operator.seats
        many = {"one": 1, "half": len(seats) // 2, "all": len(seats)}
        for number in range(many[step.variant]):
            seat = seats[(step.target + number) % len(seats)]
            if seat.occupant is not None:
                seat.occupant.rests_until = until

    async def _do_limit(self, step):
        upstream = self._seat(step).occupant
        if upstream is None or upstream.limit is not None:
            return
        named = upstream.name_limit(step.variant, LIMITS[step.variant])
        await asyncio.sleep(step.seconds)
        upstream.end_limit(named)

    async def _do_lethal(self, step):
        """Let a request that crashes upstreams come again and again."""
        caller = LethalCaller(self._world, step.target % LETHAL_REQUESTS)
        self._world.spawn(caller.run(now() + step.seconds))

    async def _do_part(self, step):
        """Let requests with a part that crashes upstreams come."""
        caller = BadPartCaller(self._world, step.target % LETHAL_REQUESTS)
        self._world.spawn(caller.run(now() + step.seconds))

    async def _do_crash(self, step):
        self._world.spawn(self._world.operator.crash(self._seat(step)))
