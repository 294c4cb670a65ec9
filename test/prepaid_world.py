"""Simulated store, network and routers for tests of prepaid budgets.

The routers run real BudgetKeepers in virtual time.  The oracle counts the
tokens that requests used, and those that they may have used when their router
was killed.
"""

import asyncio
import contextlib
import random
from test.virtual import LoopClock
from test.virtual import VirtualLoop

import pytest

from rowanport.errors import LeaseOver
from rowanport.errors import PeerError
from rowanport.errors import RequestError
from rowanport.errors import StoreBusy
from rowanport.errors import StoreConflict
from rowanport.errors import StoreUnavailable
from rowanport.hashing import rendezvous
from rowanport.prepaid import BudgetKeeper
from rowanport.prepaid import BudgetRecord
from rowanport.prepaid import FleetClocks
from rowanport.prepaid.batches import BUDGET_PREFIX
from rowanport.store import TransactionStore
from rowanport.store import Value

BUDGET = "org"
ADDRESSES = [f"10.0.0.{number}:1" for number in range(1, 5)]
CALL_TIMEOUT = 1.0
# Seconds between the two handoffs of a planned stop, and seconds left for the
# second one.
STOP_LINGER = 2.9
STOP_RESERVE = 0.8
FAR = 100000.0


class FakeStore(TransactionStore):
    """The store as one router reaches it."""

    def __init__(self, world, address):
        self._world = world
        self._address = address

    async def _reach(self):
        world = self._world
        await asyncio.sleep(world.random.uniform(0.001, 0.01))
        if self._address in world.refused:
            raise StoreBusy("status 503")
        if world.store_down or self._address in world.store_cut:
            await asyncio.sleep(CALL_TIMEOUT)
            raise StoreUnavailable("down")

    async def get_value(self, key, stale=False):
        await self._reach()
        if not stale:
            self._world.reads += 1
        return self._world.read_old(key) if stale else self._world.read(key)

    async def grant_lease(self, seconds):
        await self._reach()
        return self._world.grant(seconds)

    async def renew_lease(self, lease):
        await self._reach()
        world = self._world
        fate = world.lease_fates.pop(0) if world.lease_fates else ""
        if fate == "late":
            delay = world.random.uniform(1.0, 6.0)
            world.late_renewals.append(lease)
            world.loop.call_later(delay, world.renew, lease)
        elif not world.renew(lease):
            raise LeaseOver("it has ended")
        if fate:
            await asyncio.sleep(CALL_TIMEOUT)
            raise StoreUnavailable("no answer")

    async def commit(self, writes):
        await self._reach()
        world = self._world
        world.writes += 1
        fate = world.next_fate()
        if fate == "late":
            # Applied seconds later, if its condition still holds.
            delay = world.random.uniform(1.0, 6.0)
            world.loop.call_later(delay, world.try_apply, writes)
            await asyncio.sleep(CALL_TIMEOUT)
            raise StoreUnavailable("no answer")
        version = world.apply(writes)
        if fate == "answer lost":
            await asyncio.sleep(CALL_TIMEOUT)
            raise StoreUnavailable("no answer")
        await asyncio.sleep(0.002)
        return version


class MachineClock(LoopClock):
    """A machine's clocks; a restart resets the monotonic clock."""

    def __init__(self, world, address):
        super().__init__(world.loop)
        self._world = world
        self._address = address

    def wall(self):
        return self._loop.now + self._world.jumps.get(self._address, 0.0)

    def steady(self):
        return self._loop.now + self._world.boots.get(self._address, 0.0)


class FakePeers:
    """Calls between routers, with lost and repeated messages."""

    def __init__(self, world, address):
        self._world = world
        self._address = address

    async def call(self, address, message, timeout):
        try:
            async with asyncio.timeout(timeout):
                return await self._call(address, message)
        except asyncio.TimeoutError:
            raise PeerError("no answer") from None

    async def _call(self, address, message):
        world = self._world
        await asyncio.sleep(world.random.uniform(0.001, 0.005))
        target = world.routers.get(address)
        if target is None:
            raise PeerError("gone")
        if frozenset((address, self._address)) in world.cuts:
            await asyncio.sleep(FAR)
        fate = world.next_peer_fate() or world.silence(self._address, address)
        if fate == "lost":
            await asyncio.sleep(FAR)
        message = type(message).from_wire(message.to_wire())
        if fate == "repeated":
            target.keeper.handle(message)
        answer = target.keeper.handle(message)
        silence = world.silence(self._address, address)
        if "answer lost" in (fate, silence):
            await asyncio.sleep(FAR)
        return answer


class FakeMembers:
    """Membership in which all routers know each other at once.

    Leaving routers are neither ready nor delegates.
    """

    def __init__(self, world, incarnation):
        self._world = world
        self._incarnation = incarnation

    def _all(self):
        return [router.incarnation for router in self._world.routers.values()]

    def live(self):
        return self._all()

    def live_peers(self):
        return [name for name in self._all() if name != self._incarnation]

    def ready_peers(self):
        return [
            router.incarnation
            for router in self._world.routers.values()
            if router.incarnation != self._incarnation
            and not self._world.is_seen_leaving(router)
        ]

    def delegates(self, kind, least, share):
        addresses = [
            address
            for address, router in self._world.routers.items()
            if not self._world.is_seen_leaving(router)
        ]
        count = max(least, int(share * len(addresses)))
        return rendezvous(kind, addresses)[:count]

    def is_presumed_live(self, address):
        return False

    def suspect_address(self, address):
        pass


class FakeRouter:
    """The budgets of one run of one router."""

    def __init__(self, world, address):
        world.runs += 1
        self.address = address
        self.incarnation = f"cell/{address}/{world.runs}"
        self.leaving = False
        self.leaves_at = FAR
        self.tasks = []
        self.open = []
        clock = MachineClock(world, address)
        self.clocks = FleetClocks(clock)
        self.clock = clock
        self.keeper = BudgetKeeper(
            self.incarnation,
            FakeStore(world, address),
            FakePeers(world, address),
            FakeMembers(world, self.incarnation),
            clock,
            self.clocks,
        )
        self.keeper.set_totals({BUDGET: world.total}, world.version)
        self.spawn(world, self.keeper.run())
        self.spawn(world, self._hear(world))

    async def _hear(self, world):
        """Observe the others' clocks, as when views are exchanged."""
        while True:
            for other in world.routers.values():
                if other is not self:
                    self.clocks.observe(other.address, other.clock.wall())
            await asyncio.sleep(0.25)

    def spawn(self, world, coroutine):
        task = world.loop.create_task(coroutine)
        task.add_done_callback(world.record_failure)
        self.tasks.append(task)
        return task


class World:
    """Routers that share one budget."""

    def __init__(self, seed, total):
        self.random = random.Random(seed)
        random.seed(seed)
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.values = {}
        self.born = {}
        self.revision = 0
        self.writes = 0
        self.conflicts = 0
        self.reads = 0
        self.old_answers = 0.0
        self.runs = 0
        self.total = total
        self.version = 1
        self.routers = {}
        self.leases = {}
        self.spans = {}
        self.jumps = {}
        self.boots = {}
        self._down_since = None
        self._down_total = 0.0
        self.store_cut = set()
        self.refused = set()
        self.cuts = set()
        self.fates = []
        self.lease_fates = []
        self.late_renewals = []
        self.peer_fates = []
        self.silent = {}
        self.news_delay = 0.0
        self.spent = 0
        self.served = 0
        self.refusals = 0
        self.failures = []

    # The store

    @property
    def store_down(self):
        return self._down_since is not None

    @store_down.setter
    def store_down(self, down):
        if down and self._down_since is None:
            self._down_since = self.loop.now
        elif not down and self._down_since is not None:
            self._down_total += self.loop.now - self._down_since
            self._down_since = None

    @property
    def _store_time(self):
        """Time by which leases expire; it stops while the store is down."""
        now = self.loop.now if self._down_since is None else self._down_since
        return now - self._down_total

    def grant(self, seconds):
        """Return a new lease."""
        lease = len(self.leases) + 1
        self.leases[lease] = self._store_time + seconds
        self.spans[lease] = seconds
        return lease

    def renew(self, lease):
        """Renew a lease; return False if it has expired."""
        if self.leases[lease] < self._store_time:
            return False
        self.leases[lease] = self._store_time + self.spans[lease]
        return True

    def read(self, key):
        """Return the Value of a key, unless its lease has expired."""
        value, lease = self.values.get(key, (Value(b"", 0), None))
        if lease is not None and self.leases[lease] < self._store_time:
            return Value(b"", 0)
        return value

    def read_old(self, key):
        """Return the Value of a key as a stale read gives it."""
        value = self.read(key)
        born = self.born.get(key, 0.0)
        is_new = self.loop.now < born + self.old_answers
        return Value(b"", 0) if is_new else value

    def apply(self, writes):
        """Apply writes if their conditions hold.

        :raises StoreConflict: a version has changed
        :raises LeaseOver: a lease has expired
        """
        for write in writes:
            lease = write.lease
            if lease is not None and self.leases[lease] < self._store_time:
                raise LeaseOver("it has ended")
        expected = [write for write in writes if write.version is not None]
        if any(self.read(w.key).version != w.version for w in expected):
            self.conflicts += 1
            values = {w.key: self.read(w.key) for w in expected}
            raise StoreConflict(
                "changed", {k: v for k, v in values.items() if v.version}
            )
        self.revision += 1
        for write in writes:
            self.born.setdefault(write.key, self.loop.now)
            value = Value(write.data, self.revision)
            self.values[write.key] = (value, write.lease)
        return self.revision

    def try_apply(self, writes):
        """Apply late writes, unless their conditions fail."""
        try:
            self.apply(writes)
        except (StoreConflict, LeaseOver):
            pass

    def next_fate(self):
        return self.fates.pop(0) if self.fates else ""

    def next_peer_fate(self):
        return self.peer_fates.pop(0) if self.peer_fates else ""

    def silence(self, caller, called):
        """Return the fate of calls on a connection that may be stalled."""
        fate, until = self.silent.get((caller, called), ("", 0.0))
        return fate if self.loop.now < until else ""

    # Routers

    def start(self, address):
        """Start a router at an address where none runs."""
        if address not in self.routers:
            self.routers[address] = FakeRouter(self, address)

    def kill(self, address, down, power=False):
        """Kill a router; start its next run after some seconds.

        :param down: seconds until the next run
        :param power: whether the machine restarts, which resets its monotonic
            clock
        """
        router = self.routers.pop(address, None)
        if router is None:
            return
        keeper = router.keeper
        owners = (keeper, keeper._loans, keeper._handoffs)
        for task in router.tasks + [t for o in owners for t in o._tasks]:
            task.cancel()
        # Running requests may have used all tokens reserved for them.
        self.spent += sum(router.open)
        router.open.clear()
        if power:
            self.boots[address] = self.random.uniform(-1000.0, 1000.0)
        self.loop.call_later(down, self.start, address)

    def stop(self, address):
        """Stop a router as planned, then start its next run."""
        router = self.routers.get(address)
        if router is None or router.leaving:
            return
        router.leaving = True
        router.leaves_at = self.loop.now
        router.spawn(self, self._stop(router))

    def is_seen_leaving(self, router):
        """Return whether others know that a router is leaving."""
        return router.leaving and (
            self.loop.now >= router.leaves_at + self.news_delay
        )

    def stop_all(self, gap):
        """Stop all routers as planned, one after another.

        :param gap: seconds between two of them
        """
        for index, address in enumerate(ADDRESSES):
            self.loop.call_later(index * gap, self.stop, address)

    async def _stop(self, router):
        await router.keeper.hand_off()
        await asyncio.sleep(STOP_LINGER)
        with contextlib.suppress(asyncio.TimeoutError):
            async with asyncio.timeout(STOP_RESERVE):
                await router.keeper.hand_off()
        if self.routers.get(router.address) is router:
            self.kill(router.address, 0.3)

    def request(self, address, tokens, used, seconds):
        """Send a request to a router."""
        router = self.routers.get(address)
        if router is not None:
            run = self._request(router, tokens, used, seconds)
            router.spawn(self, run)

    async def _request(self, router, tokens, used, seconds):
        try:
            await router.keeper.reserve(BUDGET, tokens)
        except RequestError:
            self.refusals += 1
            return
        router.open.append(tokens)
        await asyncio.sleep(seconds)
        router.open.remove(tokens)
        self.spent += used
        self.served += 1
        router.keeper.settle(BUDGET, tokens, used, used)

    def set_total(self, total):
        """Change the total and notify the routers one by one."""
        self.total = total
        self.version += 1
        for router in self.routers.values():
            totals = ({BUDGET: total}, self.version)
            delay = self.random.uniform(0, 0.5)
            self.loop.call_later(delay, router.keeper.set_totals, *totals)

    # Time and oracle

    def advance(self, seconds):
        """Advance the virtual time."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def heal(self):
        """End all outages and network cuts."""
        self.store_down = False
        self.store_cut.clear()
        self.refused.clear()
        self.cuts.clear()

    def under_way(self):
        """Return the tokens reserved for running requests."""
        return sum(sum(router.open) for router in self.routers.values())

    def held(self):
        """Return the available tokens of all routers."""
        return sum(
            account.available
            for router in self.routers.values()
            for account in router.keeper.accounts.values()
        )

    def check(self):
        """Assert that no more tokens were used than paid for.

        Also asserts that no task of a router failed, and that no token exists
        twice or is counted as spent twice.
        """
        assert not self.failures, f"tasks failed: {self.failures}"
        used = self.spent + self.under_way()
        assert used <= self.total, f"{used} used of {self.total}"
        existing = used + self.held()
        taken = self.taken()
        assert existing <= taken, f"{existing} exist, {taken} taken"
        counted = max(self.spent_as_known())
        assert counted <= self.spent, f"{counted} counted of {self.spent}"

    def spent_as_known(self):
        """Yield the spent counts of the store and of each router."""
        stored = self.read(BUDGET_PREFIX + BUDGET).data
        yield BudgetRecord.unpack(stored).spent
        for router in self.routers.values():
            yield router.keeper.accounts[BUDGET].known_spent

    def record_failure(self, task):
        """Record the error of a router's task that failed."""
        if not task.cancelled() and task.exception() is not None:
            self.failures.append(task.exception())

    def taken(self):
        """Return the tokens of all budgets that the store counts as taken."""
        keys = [key for key in self.values if key.startswith(BUDGET_PREFIX)]
        records = [BudgetRecord.unpack(self.read(key).data) for key in keys]
        return sum(record.taken for record in records)

    def close(self):
        """Kill all routers and cancel all tasks."""
        for address in list(self.routers):
            self.kill(address, FAR)
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()


def make_world(total=10000):
    world = World(1, total)
    for address in ADDRESSES:
        world.start(address)
    world.advance(3.0)
    return world


class SettledFleet:
    """Routers that know each other and have drawn tokens.

    In fleets of more than eight only a few of them draw.

    :ivar addresses: peer addresses of all routers
    :ivar holders: addresses of those that draw on the budget
    :ivar borrowers: addresses of all others
    """

    def __init__(self, total=100000, seed=1, size=20):
        self.world = World(seed, total)
        self.addresses = [f"10.0.1.{number}:1" for number in range(size)]
        for address in self.addresses:
            self.world.start(address)
        self.world.advance(8.0)
        self.holders = self.keeper(self.addresses[0]).holders(BUDGET)
        self.borrowers = [a for a in self.addresses if a not in self.holders]

    def keeper(self, address):
        """Return the BudgetKeeper of a router."""
        return self.world.routers[address].keeper

    def account(self, address):
        """Return the budget's Account at a router."""
        return self.keeper(address).accounts[BUDGET]


def refusal(world, address, tokens):
    """Return the RequestError of a request for some tokens."""
    keeper = world.routers[address].keeper
    with pytest.raises(RequestError) as caught:
        world.loop.run_until_complete(keeper.reserve(BUDGET, tokens))
    return caught.value
