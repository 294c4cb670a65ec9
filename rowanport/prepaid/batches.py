"""Moves tokens between the store and this router, in numbered batches.

Each batch writes the budgets that it draws on and this router's own record,
all or nothing.  One whose fate is unknown is sent again, unchanged, until
the store tells whether its number stands in the own record.
"""

import asyncio
import collections

import structlog

from ..errors import LeaseOver
from ..errors import MessageError
from ..errors import StoreBusy
from ..errors import StoreConflict
from ..errors import StoreError
from ..store import Value
from ..store import Write
from .allowance import Allowance
from .allowance import LEASE_SPANS
from .allowance import machine_age
from .allowance import process_age
from .leases import RecordLeases
from .record import BudgetRecord
from .record import HolderRecord

LOG = structlog.get_logger(__name__)

# Entries that the store takes in one write.
MAX_ENTRIES = 32
# Budgets in one batch: a condition and a write for each of them and for the
# own record, and a write for each lease.
BATCH_LIMIT = (MAX_ENTRIES - 2 - len(LEASE_SPANS)) // 2
# Writes of one batch in a row that others' writes may overtake.
CONFLICT_TRIES = 8
BUDGET_PREFIX = "rowanport/budget/"
HOLDER_PREFIX = "rowanport/holder/"
# Budgets in one log line about an ended run.
LOGGED_BUDGETS = 20
# Longest wait in seconds for peers' clocks at the start.
CLOCKS_WAIT = 1.0
CLOCKS_POLL = 0.02


class Batch:
    """Moves between the store and this router, written together.

    :ivar planned_draws: tokens wished by budget; negative to give back
    :ivar requested: tokens asked for by budget by the writes last made: what
        the planned draws come to once the store's records are known
    :ivar moves: tokens moved by budget by these writes
    :ivar reported: tokens spent by budget that these writes count
    :ivar writes: the writes last made, or None if they are to be made anew
    :ivar allowance: the limits in these writes
    :ivar uncertain: whether they may have taken effect unheard
    """

    __slots__ = (
        "number",
        "planned_draws",
        "requested",
        "moves",
        "reported",
        "writes",
        "allowance",
        "record",
        "uncertain",
    )

    def __init__(self, number, planned_draws):
        self.number = number
        self.planned_draws = planned_draws
        self.requested = {}
        self.moves = {}
        self.reported = {}
        self.writes = None
        self.allowance = None
        self.record = None
        self.uncertain = False


class BatchWriter:
    """The store's side of one router's budgets.

    :param incarnation: this router's incarnation
    :param address: this router's peer address, the same in its next run
    :param store: a TransactionStore
    :param allowances: the Allowances that bind this router
    :param clock: a Clock
    :param clocks: the FleetClocks
    :ivar on_record: function that is told of each budget's record that this
        router wrote: the budget and the Value that stands in the store
    """

    def __init__(self, incarnation, address, store, allowances, clock, clocks):
        self._incarnation = incarnation
        self._key = HOLDER_PREFIX + address
        self._leases = RecordLeases(store, address, clock)
        self._clocks = clocks
        self._store = store
        self._allowances = allowances
        self._clock = clock
        self._started = clock.steady()
        self._started_wall = clock.wall()
        self._values = {}
        self._number = 0
        self._recovered = False
        self._earlier_run = ""
        # What an earlier run knew to be spent and no budget's record counts.
        self._inherited_spent = {}
        # Budgets of which the own record names tokens that this run spent.
        self._recorded_spent = set()
        self.batch = None
        self.on_record = None

    @property
    def uncertain(self):
        """Return whether a batch's fate is unknown."""
        return self.batch is not None and self.batch.uncertain

    def begin(self, planned_draws):
        """Start a batch of wishes; it is made by :meth:`write`."""
        self._number += 1
        self.batch = Batch(self._number, planned_draws)

    def discard(self):
        """Forget a batch that the store surely did not take; return it."""
        batch = self.batch
        self.batch = None
        if batch.allowance is not None:
            self._allowances.discard(batch.allowance)
        return batch

    # Batches

    async def write(self, refill):
        """Write the batch at hand; return it once it stands in the store.

        :param refill: the Refill, which tells what the accounts hold now
        :returns: the Batch, or None if others' writes kept overtaking it
        :raises StoreBusy: the store refused it
        :raises StoreError: its fate is unknown
        """
        batch = self.batch
        for _try in range(CONFLICT_TRIES):
            if batch.writes is None:
                await self._leases.refresh()
                self._build_writes(batch, refill)
            try:
                version = await self._store.commit(batch.writes)
            except StoreConflict as conflict:
                self._update_values(batch, conflict.values)
                if self._is_committed(batch):
                    return self._finish(batch)
                # Writes with older versions can no longer take effect.
                self._discard_writes(batch)
                if self._has_unrecovered_record():
                    self._recovered = False
                    raise StoreBusy("an earlier run's record turned up")
                continue
            except LeaseOver:
                # Neither this send nor an earlier one can take effect now,
                # unless an earlier one has: the condition tells.
                self._discard_leases(batch)
                continue
            except StoreBusy:
                # An earlier send of the same writes may still take effect.
                if not batch.uncertain:
                    self._discard_writes(batch)
                raise
            except StoreError:
                batch.uncertain = True
                raise
            self._record_written(batch.writes, version)
            return self._finish(batch)
        return None

    def _discard_leases(self, batch):
        """Send the same writes again without the leases that have ended."""
        self._leases.discard()
        batch.writes = [w for w in batch.writes if w.lease is None]

    def _discard_writes(self, batch):
        self._allowances.discard(batch.allowance)
        batch.writes = None
        batch.uncertain = False

    def _build_writes(self, batch, refill):
        writes = []
        unreported = refill.unreported()
        for name, planned_draw in batch.planned_draws.items():
            record = self.record(name).copy()
            record.set_total(*refill.total(name))
            batch.requested[name] = refill.trim(
                name, planned_draw, record.remaining
            )
            batch.moves[name] = record.move(batch.requested[name])
            batch.reported[name] = refill.spent(name)
            record.spent += unreported.get(name, 0)
            record.spent += self._inherited_spent.get(name, 0)
            writes.append(self._write(BUDGET_PREFIX + name, record))
        limits = refill.limits(batch.moves)
        inflows = refill.inflows()
        batch.allowance = Allowance(self._clock.steady(), limits, inflows)
        batch.record = HolderRecord(
            self._incarnation,
            batch.number,
            batch.allowance.made_at,
            self._clock.wall(),
            self._clocks.earliest(),
            {
                name: (
                    inflows[name] + max(0, batch.moves.get(name, 0)),
                    limit.base,
                    limit.growth,
                )
                for name, limit in limits.items()
            },
            self._unreported(refill, unreported, batch),
            refill.outflows(limits),
            batch.allowance.grows_at,
            batch.allowance.lapses_at,
        )
        writes.append(self._write(self._key, batch.record))
        writes.extend(self._leases.writes(_record_id(batch.record)))
        self._allowances.add(batch.allowance)
        batch.writes = writes

    def _unreported(self, refill, own, batch):
        """Return what is spent by budget and not counted with a batch.

        A next run reports it; this one may end before its next draw.  What was
        spent of a borrowed budget its lenders are told.

        :param own: what this run counts, by budget
        """
        drawn = {n: t for n, t in own.items() if not refill.is_borrower(n)}
        spent = collections.Counter(self._inherited_spent)
        spent.update(drawn)
        return {n: t for n, t in spent.items() if n not in batch.planned_draws}

    def may_count_spent(self, name):
        """Return whether the store may count what this run spent of a budget.

        It does if a batch stands whose answer was lost, and a next run has it
        counted if the own record names it.
        """
        return self.batch is not None or name in self._recorded_spent

    def _write(self, key, record):
        value = self._values.get(key)
        return Write(key, record.pack(), value.version if value else 0)

    def _record_written(self, writes, version):
        for write in writes:
            value = Value(write.data, version)
            self._values[write.key] = value
            if write.key.startswith(BUDGET_PREFIX):
                self.on_record(write.key.removeprefix(BUDGET_PREFIX), value)

    def _update_values(self, batch, values):
        for write in batch.writes:
            value = values.get(write.key)
            if value is None:
                self._values.pop(write.key, None)
            else:
                self._values[write.key] = value

    def _is_committed(self, batch):
        own = self._own_record()
        return (
            own.incarnation == self._incarnation and own.number == batch.number
        )

    def _has_unrecovered_record(self):
        """Return whether an earlier run's record is still to be dealt with.

        Its tokens could be given back no more once it is written over.
        """
        own = self._own_record()
        known = (self._incarnation, self._earlier_run)
        left = own.holdings or own.spent
        return bool(left) and own.incarnation not in known

    def _finish(self, batch):
        self._allowances.confirm(batch.allowance)
        self.batch = None
        for name in batch.planned_draws:
            self._inherited_spent.pop(name, None)
        self._recorded_spent = set(batch.record.spent)
        return batch

    # Records

    def merge_record(self, name, value):
        """Take in a budget's record that a peer wrote, if it is newer.

        If it is not true after all, the store refuses what builds on it.
        """
        key = BUDGET_PREFIX + name
        known = self._values.get(key)
        if known is not None and value.version <= known.version:
            return
        try:
            BudgetRecord.unpack(value.data)
        except MessageError as error:
            LOG.error("budget_news_unreadable", budget=name, error=str(error))
            return
        self._values[key] = value

    def record(self, name):
        """Return the BudgetRecord of a budget as it was last seen."""
        value = self._values.get(BUDGET_PREFIX + name)
        try:
            return BudgetRecord.unpack(value.data if value else b"")
        except MessageError as error:
            LOG.error("budget_unreadable", budget=name, error=str(error))
            raise StoreBusy(f"budget {name} is unreadable") from None

    def _own_record(self):
        value = self._values.get(self._key)
        try:
            return HolderRecord.unpack(value.data if value else b"")
        except MessageError as error:
            LOG.error("holder_unreadable", key=self._key, error=str(error))
            return HolderRecord()

    # Recovery of what an earlier run of this router held

    @property
    def recovered(self):
        """Return whether the earlier run's tokens are dealt with."""
        return self._recovered

    async def recover(self):
        """Give back to the store what an earlier run surely left unspent.

        :raises StoreError: to be called again; nothing is given back twice
        """
        if not await self._may_have_record():
            self._recovered = True
            return
        value = await self._store.get_value(self._key)
        if value.version:
            self._values[self._key] = value
        old = self._own_record()
        self._earlier_run = old.incarnation
        unspent = {}
        if old.incarnation and old.incarnation != self._incarnation:
            unspent = await self._provably_unspent(old)
        while unspent:
            names = list(unspent)[:BATCH_LIMIT]
            await self._return_unspent(old, names, unspent)
            for name in names:
                del unspent[name]
        # Refused requests of a spent budget are told so by what is known to be
        # spent, and near its end few draw, so that reports of routers that
        # ended are needed.  They wait for a draw, as routers that start
        # together hold each other up with each write.
        if old.incarnation != self._incarnation:
            self._inherited_spent = dict(old.spent)
        self._recovered = True

    async def _may_have_record(self):
        """Return whether an earlier run wrote a record, as far as is known.

        Few routers of a larger fleet do.  An answer that is seconds old costs
        a tenth; a record that it misses turns up at this run's first write.
        """
        if self._key in self._values:
            return True
        value = await self._store.get_value(self._key, stale=True)
        return value.version > 0

    async def _provably_unspent(self, old):
        """Return by budget the tokens that an earlier run surely left."""
        if not old.holdings:
            return {}
        age = process_age(old, self._started, self._started_wall)
        if age is None:
            age = await self._machine_age(old)
        LOG.info(
            "tokens_stranded" if age is None else "tokens_recovered",
            accounts=_largest_as_log(old.run_accounts(age)),
            run=old.incarnation,
            age=age,
            steady_age=round(self._started - old.made_at, 3),
            wall_age=round(self._latest_start() - old.earliest, 3),
            clocks=self._clocks.has_recent_peers,
        )
        return {} if age is None else old.unspent(age)

    async def _machine_age(self, old):
        span = await self._leases.shortest(_record_id(old))
        deadline = self._clock.steady() + CLOCKS_WAIT
        while span is not None and not self._clocks.has_recent_peers:
            if self._clock.steady() > deadline:
                break
            await asyncio.sleep(CLOCKS_POLL)
        return machine_age(
            old, span, self._clocks.has_recent_peers, self._latest_start()
        )

    def _latest_start(self):
        """Return the latest wall time of any clock when this run began."""
        since = self._clock.steady() - self._started
        return self._clocks.latest() - since

    async def _return_unspent(self, old, names, unspent):
        """Write what an earlier run left and used into budgets' records."""
        spent = {name: old.spent.pop(name, 0) for name in names}
        for name in names:
            old.holdings.pop(name, None)
        for _try in range(CONFLICT_TRIES):
            writes = [self._write(self._key, old)]
            for name in names:
                record = self.record(name).copy()
                record.move(-unspent[name])
                record.spent += spent[name]
                writes.append(self._write(BUDGET_PREFIX + name, record))
            batch = Batch(0, {})
            batch.writes = writes
            try:
                version = await self._store.commit(writes)
            except StoreConflict as conflict:
                own = self._values.get(self._key)
                self._update_values(batch, conflict.values)
                now = self._values.get(self._key)
                if now is None or now.version != own.version:
                    # An earlier send of this very write took effect.
                    raise StoreBusy("recovered meanwhile") from None
                continue
            self._record_written(writes, version)
            return
        raise StoreBusy("others write the same budgets")


def _largest_as_log(accounts):
    """Return the RunAccounts that hold most, as they stand in a log line."""
    largest = sorted(accounts.items(), key=lambda item: -item[1].tokens_in)
    return {name: a.as_log() for name, a in largest[:LOGGED_BUDGETS]}


def _record_id(record):
    """Return what the keys of leases hold: the record they go with."""
    return f"{record.incarnation} {record.number}".encode()
