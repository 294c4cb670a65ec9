"""Moves tokens between the store and this router in numbered batches.

A batch writes the records of its budgets and this router's own record in one
transaction.  If its outcome is unknown, the same writes are sent again until
the store shows whether the router's record has the batch's number.
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

# Maximum entries that the store accepts in one transaction.
MAX_ENTRIES = 32
# Maximum budgets in one batch.  Each budget and the router's own record take a
# condition and a write, each lease takes a write.
BATCH_LIMIT = (MAX_ENTRIES - 2 - len(LEASE_SPANS)) // 2
# Attempts to write one batch while other routers' writes conflict with it.
MAX_CONFLICTS = 8
BUDGET_PREFIX = "rowanport/budget/"
HOLDER_PREFIX = "rowanport/holder/"
# Maximum budgets in a log line about an ended run.
LOGGED_BUDGETS = 20
# Maximum wait in seconds for peers' clocks at the start, and seconds between
# two checks for them.
CLOCKS_WAIT = 1.0
CLOCKS_POLL = 0.02


class Batch:
    """Draws and returns that are written together.

    :ivar number: counts the batches of this run
    :ivar planned_draws: tokens to draw by budget; negative to return some
    :ivar requested: the planned draws by budget, trimmed to the store's
        records as last seen
    :ivar moves: tokens that the writes move by budget, at most what is left
        in the store
    :ivar reported: spent tokens of this router by budget, including those
        that the writes report
    :ivar writes: the Writes to send, None if they must be built
    :ivar allowance: the limits in these writes
    :ivar record: the HolderRecord in these writes
    :ivar uncertain: whether the writes may have taken effect without an
        answer
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
    """Writes one router's batches and recovers tokens of its earlier run.

    :param incarnation: this router's incarnation
    :param address: this router's peer address, the same in its next run
    :param store: a TransactionStore
    :param allowances: the Allowances that limit this router
    :param clock: a Clock
    :param clocks: the FleetClocks
    :ivar batch: the Batch that is being written, or None
    :ivar on_record: function that is called for each budget's record written,
        with the budget and the stored Value
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
        # Tokens by budget that an earlier run knew to be spent and that no
        # budget's record counts.
        self._inherited_spent = {}
        # Budgets whose spent tokens this router's own record contains.
        self._recorded_spent = set()
        self.batch = None
        self.on_record = None

    @property
    def uncertain(self):
        """Return whether the outcome of the current batch is unknown."""
        return self.batch is not None and self.batch.uncertain

    def begin(self, planned_draws):
        """Start a batch; its writes are built by :meth:`write`."""
        self._number += 1
        self.batch = Batch(self._number, planned_draws)

    def discard(self):
        """Discard and return a batch that is known not to be committed."""
        batch = self.batch
        self.batch = None
        if batch.allowance is not None:
            self._allowances.discard(batch.allowance)
        return batch

    # Batches

    async def write(self, refill):
        """Write the current batch.

        :param refill: the Refill, for the current state of the accounts
        :returns: the committed Batch, None if too many attempts conflicted
        :raises StoreBusy: the store refused it
        :raises StoreError: its outcome is unknown
        """
        batch = self.batch
        for _try in range(MAX_CONFLICTS):
            if batch.writes is None:
                await self._leases.refresh()
                self._build_writes(batch, refill)
            try:
                version = await self._store.commit(batch.writes)
            except StoreConflict as conflict:
                self._update_values(batch, conflict.values)
                if self._is_committed(batch):
                    return self._finish(batch)
                # Earlier sends of these writes can no longer take effect, as
                # their versions are outdated.
                self._discard_writes(batch)
                if self._has_unrecovered_record():
                    self._recovered = False
                    raise StoreBusy(
                        "found an unrecovered record of an earlier run"
                    )
                continue
            except LeaseOver:
                # No send of these writes can take effect from now on.  If an
                # earlier one did, the version check of the next send fails.
                self._discard_leases(batch)
                continue
            except StoreBusy:
                # If uncertain, an earlier send may still take effect.
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
        """Remove the expired leases from the writes, to send them again."""
        self._leases.discard()
        batch.writes = [w for w in batch.writes if w.lease is None]

    def _discard_writes(self, batch):
        self._allowances.discard(batch.allowance)
        batch.writes = None
        batch.uncertain = False

    def _build_writes(self, batch, refill):
        writes = []
        unreported = refill.unreported()
        for name, draw in batch.planned_draws.items():
            record = self.record(name).copy()
            record.set_total(*refill.total(name))
            batch.requested[name] = refill.trim(name, draw, record.remaining)
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
        """Return the spent tokens by budget that a batch does not report.

        The record keeps them, so that the next run reports them if this one
        ends before its next draw.  Tokens spent of a borrowed budget are
        reported to its lenders instead.

        :param own: unreported tokens that this run spent, by budget
        """
        drawn = {n: t for n, t in own.items() if not refill.is_borrower(n)}
        spent = collections.Counter(self._inherited_spent)
        spent.update(drawn)
        return {n: t for n, t in spent.items() if n not in batch.planned_draws}

    def may_count_spent(self, name):
        """Return whether the store may count tokens that this run spent.

        It may if the current batch was committed without an answer, or later
        by the next run if this router's record contains them.
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
        """Return whether an earlier run's record is not recovered yet.

        Overwriting it would lose the tokens that it accounts for.
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
        """Merge a budget's record that a peer wrote, if it is newer.

        If the record is wrong, the store refuses writes based on it.
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
        """Return the BudgetRecord of a budget as last seen.

        :raises StoreBusy: the record is unreadable
        """
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

    # Recovery of tokens that an earlier run of this router held

    @property
    def recovered(self):
        """Return whether recovery of the earlier run's tokens is done."""
        return self._recovered

    async def recover(self):
        """Return to the store what an earlier run provably left unspent.

        :raises StoreError: recovery is incomplete and must be repeated, which
            returns no token twice
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
        # Refusals say that a budget is spent only if the spent tokens are
        # known.  Near its end few routers draw, so the counts of ended runs
        # are needed, too.  They are written with the next draw, as additional
        # writes of routers that start together would conflict.
        if old.incarnation != self._incarnation:
            self._inherited_spent = dict(old.spent)
        self._recovered = True

    async def _may_have_record(self):
        """Return whether an earlier run seems to have written a record.

        In a larger fleet few routers do.  A stale read costs a tenth of a
        current one; a record that it misses is found by this run's first
        write.
        """
        if self._key in self._values:
            return True
        value = await self._store.get_value(self._key, stale=True)
        return value.version > 0

    async def _provably_unspent(self, old):
        """Return by budget the tokens that an earlier run left unspent.

        It is empty if no age is proved by which that run had ended.
        """
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
        """Write an earlier run's unspent and spent tokens to the budgets.

        :raises StoreError: the outcome is unknown, or others' writes conflict
        """
        spent = {name: old.spent.pop(name, 0) for name in names}
        for name in names:
            old.holdings.pop(name, None)
        for _try in range(MAX_CONFLICTS):
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
                    # An earlier send of the same writes took effect.
                    raise StoreBusy("holder record changed") from None
                continue
            self._record_written(writes, version)
            return
        raise StoreBusy("others keep writing the same budgets")


def _largest_as_log(accounts):
    """Return the largest RunAccounts as fields for a log line."""
    largest = sorted(accounts.items(), key=lambda item: -item[1].tokens_in)
    return {name: a.as_log() for name, a in largest[:LOGGED_BUDGETS]}


def _record_id(record):
    """Return the id of a record that its lease keys store."""
    return f"{record.incarnation} {record.number}".encode()
