"""Routers whose spend is limited by the two baselines instead of grants.

``static``: each router has a fixed share of each budget.  ``cas``: each
reservation and each settlement is one compare-and-swap in the store.
Run as ``python -m bench.baseline_static`` or ``bench.baseline_cas`` with
the arguments of ``rowanport``.
"""

import abc
import asyncio

from rowanport import ui
from rowanport.errors import ErrorKind
from rowanport.errors import RequestError
from rowanport.errors import StoreConflict
from rowanport.errors import StoreError
from rowanport.hashing import new_id
from rowanport.hashing import shard_of
from rowanport.ledger.keeper import read_shard
from rowanport.ledger.keeper import shard_key
from rowanport.router import daemon
from rowanport.schema.messages import BillRecord

ROUTERS = 8
READ_INTERVAL = 1.0
PAUSE = 0.02
SETTLE_PAUSE = 0.5


class _Entry:
    """A reservation of a baseline."""

    __slots__ = ("request", "reservation", "budget", "tokens", "deadline")

    def __init__(self, request, budget, tokens, deadline):
        self.request = request
        self.reservation = new_id()
        self.budget = budget
        self.tokens = tokens
        self.deadline = deadline


class BaselineClient(abc.ABC):
    """Stands where a LedgerClient would."""

    def __init__(
        self,
        incarnation,
        keeper,
        book,
        peers,
        members,
        settings,
        clock,
        resolve,
    ):
        self._keeper = keeper
        self._store = keeper._store
        self._settings = settings
        self._clock = clock
        self._open = {}
        self._tasks = set()

    @property
    def unsettled(self):
        return len(self._open) + len(self._tasks)

    @property
    def unbilled(self):
        return self.unsettled

    @property
    def untold(self):
        return 0

    def unsettled_items(self):
        """Return nothing: these clients keep no book."""
        return []

    @abc.abstractmethod
    async def reserve(self, request, budget, tokens, deadline):
        """Set tokens aside; raise RequestError if that cannot be done."""

    @abc.abstractmethod
    def settle(self, reservation, run, tokens):
        """Bill a reservation."""

    def start(self, entry, upstream):
        """Do nothing: no home wants to know."""

    def release(self, reservation):
        """Give a reservation back."""
        self.settle(reservation, "", 0)

    def handle(self, message):
        """Do nothing: no peer has anything to say."""

    async def run(self):
        """Do nothing."""

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _key(self, budget):
        return shard_key(shard_of(budget, self._settings.shards))


class StaticClient(BaselineClient):
    """A fixed share of each budget for each router."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._totals = {}
        self._used = {}

    async def run(self):
        """Follow the totals."""
        while True:
            for shard in range(self._settings.shards):
                try:
                    value = await self._store.get(shard_key(shard))
                except StoreError:
                    continue
                for name, budget in read_shard(value).budgets.items():
                    self._totals[name] = budget.total
            await asyncio.sleep(READ_INTERVAL)

    async def reserve(self, request, budget, tokens, deadline):
        share = self._totals.get(budget, 0) // ROUTERS
        used = self._used.get(budget, 0)
        if used + tokens > share:
            raise RequestError(ErrorKind.BUDGET_EXHAUSTED, "share used up")
        self._used[budget] = used + tokens
        entry = _Entry(request, budget, tokens, deadline)
        self._open[entry.reservation] = entry
        return entry

    def settle(self, reservation, run, tokens):
        entry = self._open.pop(reservation)
        self._used[entry.budget] -= entry.tokens - tokens


class CasClient(BaselineClient):
    """One compare-and-swap for each reservation and each settlement."""

    async def _change(self, budget, change, until):
        while True:
            try:
                value = await self._store.get(self._key(budget))
                record = read_shard(value)
                change(record)
                await self._store.put(
                    self._key(budget), record.pack(), value.version
                )
                return
            except StoreConflict:
                pass
            except StoreError:
                await asyncio.sleep(PAUSE)
            if self._clock.wall() > until:
                raise RequestError(
                    ErrorKind.BUDGET_UNAVAILABLE, "the store is busy"
                )

    async def reserve(self, request, budget, tokens, deadline):
        entry = _Entry(request, budget, tokens, deadline)

        def change(record):
            account = record.budgets.get(budget)
            if account is None:
                raise RequestError(ErrorKind.UNKNOWN_BUDGET, "no budget")
            reserved = account.grants.get("all", 0)
            used = account.settled + reserved + tokens
            if used > account.total:
                raise RequestError(ErrorKind.BUDGET_EXHAUSTED, "used up")
            account.grants["all"] = reserved + tokens

        until = self._clock.wall() + self._settings.reserve_wait
        await self._change(budget, change, until)
        self._open[entry.reservation] = entry
        return entry

    def settle(self, reservation, run, tokens):
        self._spawn(self._settle(self._open.pop(reservation), run, tokens))

    async def _settle(self, entry, run, tokens):
        def change(record):
            account = record.budgets[entry.budget]
            account.grants["all"] -= entry.tokens
            account.settled += tokens
            if tokens:
                record.bills[entry.request] = BillRecord(
                    run, entry.reservation, entry.budget, tokens, 1e12
                )

        while True:
            try:
                return await self._change(entry.budget, change, 0.0)
            except RequestError:
                await asyncio.sleep(SETTLE_PAUSE)


def run(client):
    """Run the command line with routers limited by a baseline."""

    class Idle(daemon.LedgerKeeper):
        """Holds nothing, so that only the baseline spends."""

        async def run(self):
            while True:
                await asyncio.sleep(READ_INTERVAL)

    daemon.LedgerClient = client
    daemon.LedgerKeeper = Idle
    ui.main()
