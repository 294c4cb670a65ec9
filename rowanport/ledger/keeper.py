"""Runs the holders of a home router and syncs them with the store."""

import asyncio

import structlog

from ..errors import ErrorKind
from ..errors import PeerError
from ..errors import StoreBusy
from ..errors import StoreConflict
from ..errors import StoreError
from ..hashing import new_id
from ..hashing import shard_of
from ..incarnation import address_of
from ..schema.messages import Ack
from ..schema.messages import Attest
from ..schema.messages import Attested
from ..schema.messages import LendAsk
from ..schema.messages import Lent
from ..schema.messages import Refused
from ..schema.messages import Reserve
from ..schema.messages import Settle
from ..schema.messages import ShardRecord
from ..schema.messages import Started
from ..store import Value
from ..tasks import TaskSet
from .holder import Holder
from .record import apply_batch
from .record import Expelled
from .record import is_applied
from .record import MemoryLimits
from .record import new_shard
from .recoverer import Recoverer
from .shard_state import ShardState
from .sizing import Sizing
from .unsettled import item_of_held_reservation
from .waiters import Waiters
from .witness_selector import WitnessSelector

LOG = structlog.get_logger(__name__)
TICK = 0.02
IDLE_TICK = 0.25
REVIEW_INTERVAL = 1.0
ASK_TIMEOUT = 0.5
# Seconds after which a shard is given up whose home is now another router.
RETIRE_AFTER = 10.0
STORE_RETRY_DELAY = 0.5
WRITE_TIMEOUT = 25.0


def shard_key(shard):
    """Return the store key of a ledger shard."""
    return f"ledger/{shard}"


def read_shard(value):
    """Return the ShardRecord in a store value."""
    return ShardRecord.unpack(value.data) if value.version else new_shard()


class LedgerKeeper:
    """Runs the holders of one router and answers messages to them.

    :param incarnation: incarnation of this router
    :param store: the Store
    :param peers: a PeerClient
    :param members: the Membership, for home routers and live routers
    :param book: this router's ReservationBook, for attestations
    :param settings: LedgerSettings
    :param allowance: the WriteLimiter of this router
    :param clock: a Clock
    :param metrics: the Metrics
    :param resolve: coroutine function that takes a Reservation whose entry
        router died and returns ``(run, tokens)``, or None while unknown
    """

    def __init__(
        self,
        incarnation,
        store,
        peers,
        members,
        book,
        settings,
        allowance,
        clock,
        metrics,
        resolve,
    ):
        self._incarnation = incarnation
        self._store = store
        self._peers = peers
        self._members = members
        self._book = book
        self._settings = settings
        self._write_limiter = allowance
        self._clock = clock
        self._metrics = metrics
        self._sizing = Sizing(
            settings.horizon, settings.least_grant, settings.share
        )
        self._limits = MemoryLimits(settings.memory_limit)
        self._shards = {}
        self._holder_numbers = {}
        self._answers = Waiters()
        self._written = Waiters()
        self._fenced = set()
        self._recoverer = Recoverer(
            incarnation,
            peers,
            members,
            settings,
            clock,
            metrics,
            book,
            resolve,
            self._attest,
        )
        self._witness_selector = WitnessSelector(incarnation, members)
        self._tasks = TaskSet()
        self._wake = asyncio.Event()
        self._stopping = False

    @property
    def unsettled(self):
        """Return how many reservations of other entry routers are unsettled.

        If an entry router dies, only the home router knows that its runs are
        not billed yet.  Without this count the fleet would report itself
        settled some seconds, or a whole run, too early.
        """
        held = (state.holder.unsettled() for state in self._shards.values())
        ids = set().union(*held)
        return sum(reservation not in self._book for reservation in ids)

    def unsettled_items(self):
        """Return an UnsettledItem per open reservation of other routers.

        Bills that are not written yet are left out, as they are written
        with the next batch.
        """
        alive = self._members.is_alive
        return [
            item_of_held_reservation(reservation, alive)
            for state in self._shards.values()
            for reservation in state.holder.reservations()
            if reservation.reservation not in self._book
        ]

    # Shards

    def shard(self, budget):
        """Return the shard of a budget."""
        return shard_of(budget, self._settings.shards)

    def places(self):
        """Return the holders of this router by shard."""
        return {state.shard: state.holder for state in self._shards.values()}

    def _shard_state(self, shard):
        state = self._shards.get(shard)
        if state is None:
            holder_number = self._holder_numbers.get(shard, 0) + 1
            self._holder_numbers[shard] = holder_number
            holder = Holder(
                self._holder_id(holder_number), shard, self._sizing, new_id
            )
            for name in self._fenced:
                holder.attest(name)
            if self._stopping:
                holder.leave()
            state = self._shards[shard] = ShardState(
                shard, holder, holder_number
            )
        return state

    def _holder_id(self, holder_number):
        return f"{self._incarnation}~{holder_number}"

    # Messages

    async def handle(self, message):
        """Answer a message from a peer or from this router's LedgerClient."""
        now = self._clock.wall()
        if isinstance(message, Ack):
            # A probe: the answer shows that this router is running.
            return Ack()
        if isinstance(message, Attest):
            return self._attest(message)
        holder = self._shard_state(self.shard(message.budget)).holder
        if isinstance(message, Reserve):
            holder = await self._cancel_leave(holder)
            return await self._reserve(holder, message, now)
        if isinstance(message, Settle):
            return await self._settle(holder, message, now)
        if isinstance(message, Started):
            return holder.started(message, now)
        if isinstance(message, LendAsk):
            return holder.lend(message, now)
        return Refused(ErrorKind.INTERNAL.value, "unexpected message")

    def rename_entry(self, reservation):
        """Record a new witness of a reservation made for this router.

        :param reservation: the OpenReservation
        """
        holder = self._shard_state(self.shard(reservation.budget)).holder
        holder.rename_entry(
            reservation.reservation, reservation.budget, reservation.witness
        )

    def is_listed(self, reservation):
        """Return whether the shard lists the witness of a reservation.

        A recovery of this router's grants asks only listed routers to attest.

        :param reservation: an OpenReservation made for this router
        """
        holder = self._shard_state(self.shard(reservation.budget)).holder
        return (
            holder.holder == reservation.holder
            and reservation.witness in holder.listed
        )

    async def _cancel_leave(self, holder):
        """Return the shard's holder with its leave cancelled.

        If the leave can't be cancelled any more, this waits for a new holder.
        """
        while holder.leaving and not self._stopping and not holder.stay():
            await asyncio.sleep(TICK)
            holder = self._shard_state(holder.shard).holder
        return holder

    async def _reserve(self, holder, message, now):
        answer = holder.reserve(message, now)
        if answer is not None:
            return answer
        state = self._shard_state(holder.shard)
        if now >= state.last_sync + self._settings.urgent_interval:
            state.next_sync = now
        else:
            state.next_sync = min(
                state.next_sync,
                state.last_sync + self._settings.urgent_interval,
            )
        self._wake.set()
        return await self._answers.wait(message.reservation)

    async def _settle(self, holder, message, now):
        answer = holder.settle(message, now)
        self._flush(holder)
        if answer is not None:
            return answer
        waiter = self._written.wait(message.reservation)
        try:
            return await asyncio.wait_for(waiter, WRITE_TIMEOUT)
        except asyncio.TimeoutError:
            return Refused(ErrorKind.NOT_READY.value, "not written yet")

    def _flush(self, holder):
        """Deliver the answers and confirmations that a holder has ready."""
        holder.pump(self._clock.wall())
        for message, answer in holder.take_answers():
            self._answers.finish(message.reservation, answer)
        for reservation in holder.take_written():
            self._written.finish(reservation, Ack())

    def _attest(self, message):
        self._fenced.add(message.holder)
        outstanding = self._book.attest(message.holder)
        for state in self._shards.values():
            outstanding.update(state.holder.attest(message.holder))
        return Attested(self._incarnation, dict(outstanding))

    # Loop

    async def run(self):
        """Sync shards that are due, until cancelled.

        The short interval is used only while a reservation waits, as this loop
        takes most of the processor time of an idle router.
        """
        review = 0.0
        while True:
            now = self._clock.wall()
            states = list(self._shards.values())
            for state in states:
                self._sync_if_due(state, now)
            if now >= review:
                review = now + REVIEW_INTERVAL
                self._review_shards(now)
            self._wake.clear()
            tick = IDLE_TICK
            if any(state.holder.waiting for state in states):
                tick = TICK
            try:
                await asyncio.wait_for(self._wake.wait(), tick)
            except asyncio.TimeoutError:
                pass

    def _sync_if_due(self, state, now):
        holder = state.holder
        if holder.waiting:
            self._flush(holder)
            self._send_loan_requests(holder, now)
        if state.syncing or now < state.next_sync:
            return
        state.last_sync = now
        state.next_sync = now + self._settings.interval
        state.sync_task = self._tasks.spawn(self._sync(state))

    # Store

    async def _sync(self, state):
        holder = state.holder
        now = self._clock.wall()
        try:
            if holder.record is None or now >= state.next_read:
                await self._read(state)
            batch = holder.make_batch(self._clock.wall())
            if batch is not None:
                await self._write(state, batch)
        except Expelled:
            self._replace_holder(state)
        except StoreBusy:
            self._metrics.store_failures.inc({"kind": "busy"})
        except StoreError:
            self._metrics.store_failures.inc({"kind": "unavailable"})
            now = self._clock.wall()
            state.next_sync = max(state.next_sync, now + STORE_RETRY_DELAY)
            holder.store_failed(now)
        self._flush(holder)
        if holder.left and not self._stopping:
            self._shards.pop(state.shard, None)
        if holder.waiting:
            now = self._clock.wall()
            state.next_sync = min(
                state.next_sync, now + self._settings.urgent_interval
            )

    async def _read(self, state):
        """Read the shard and check whether the batch in flight was written."""
        holder = state.holder
        value = await self._store.get(shard_key(state.shard))
        now = self._clock.wall()
        state.next_read = now + 2 * self._settings.interval
        # Set together: a batch must be applied to the same value that the
        # compare-and-swap expects.
        state.version = value.version
        state.data = value.data
        record = read_shard(value)
        batch = holder.in_flight
        if batch is None:
            self._check_expelled(state, record)
            holder.observe(record, now)
        elif is_applied(record, batch):
            holder.batch_applied(record, now)

    def _check_expelled(self, state, record):
        if state.holder.holder in record.expelled:
            raise Expelled(state.holder.holder)

    async def _write(self, state, batch):
        """Write a batch; on a conflict, read the shard and try again."""
        holder = state.holder
        urgent = holder.waiting or batch.draws or batch.leaving
        while not self._write_limiter.try_acquire(
            urgent, self._clock.steady()
        ):
            await asyncio.sleep(self._settings.urgent_interval)
        while holder.in_flight is batch:
            record = read_shard(Value(state.data, state.version))
            apply_batch(record, batch, self._sizing, self._limits)
            data = record.pack()
            try:
                state.version = await self._store.put(
                    shard_key(state.shard), data, state.version
                )
            except StoreConflict:
                self._metrics.store_failures.inc({"kind": "conflict"})
                await self._read(state)
                continue
            except StoreError:
                # The next read shows whether the write took effect.
                state.next_read = 0.0
                raise
            self._metrics.batches.inc({})
            state.data = data
            holder.batch_applied(record, self._clock.wall())

    def _replace_holder(self, state):
        LOG.warning("holder_recovered_by_others", shard=state.shard)
        self._fenced.add(state.holder.holder)
        state.holder_number += 1
        self._holder_numbers[state.shard] = state.holder_number
        state.holder.expel(self._holder_id(state.holder_number))
        state.next_sync = 0.0

    # Loans

    def _send_loan_requests(self, holder, now):
        for lender, message in holder.asks(now):
            self._tasks.spawn(self._request_loan(holder, lender, message))

    async def _request_loan(self, holder, lender, message):
        name = holder.holder
        for _attempt in range(3):
            try:
                answer = await self._peers.call(
                    address_of(lender), message, ASK_TIMEOUT
                )
            except PeerError:
                holder.ask_refused(message)
                continue
            break
        else:
            return
        if holder.holder != name:
            return
        if isinstance(answer, Lent):
            self._metrics.lent_tokens.add({}, answer.tokens)
            holder.borrow(answer, self._clock.wall())
        else:
            holder.ask_refused(message)
        self._flush(holder)

    # Periodic checks: home routers, dead entry routers, dead holders

    def _review_shards(self, now):
        shards = range(self._settings.shards)
        entries = self._witness_selector.entries()
        mine = {
            shard
            for shard in shards
            if self._members.home(shard) == self._incarnation
        }
        for shard in mine:
            state = self._shard_state(shard)
            state.home_until = now + RETIRE_AFTER
            if not self._stopping:
                state.holder.set_entries(entries)
                self._recoverer.recover_dead_holders(state, now)
        for state in list(self._shards.values()):
            state.holder.forget(now)
            self._recoverer.resolve_orphans(state.holder)
            self._retire(state, now)

    def _retire(self, state, now):
        """Leave a shard that has had another home router for some time."""
        if now > state.home_until and state.holder.idle:
            state.home_until = now + RETIRE_AFTER
            state.holder.leave()

    # Stop

    async def stop(self, deadline):
        """Give back all grants; return whether that was written in time.

        :param deadline: wall time at which to stop trying
        """
        self._stopping = True
        for state in self._shards.values():
            state.holder.leave()
            state.next_sync = 0.0
        while self._clock.wall() < deadline:
            if all(p.holder.left for p in self._shards.values()):
                return True
            for state in self._shards.values():
                state.next_sync = min(
                    state.next_sync,
                    self._clock.wall() + self._settings.urgent_interval,
                )
            self._wake.set()
            await asyncio.sleep(TICK)
        return False
