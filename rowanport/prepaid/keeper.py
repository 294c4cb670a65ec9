"""All budgets of one router: reserve, settle, and keep enough tokens."""

import asyncio
import random

import structlog

from ..errors import ErrorKind
from ..errors import RequestError
from ..errors import StoreBusy
from ..errors import StoreError
from ..incarnation import address_of
from ..tasks import TaskSet
from .account import Account
from .account import ALLOWANCE_USED
from .allowance import Allowances
from .allowance import RENEW_SECONDS
from .drawer import BATCH_LIMIT
from .drawer import Drawer
from .lender import Lender

LOG = structlog.get_logger(__name__)

# Seconds between two looks at all accounts while nobody waits: a draw covers
# seconds of demand, so this delays nothing.
TICK = 0.35
# Shortest time in seconds between two batches while requests wait, and after
# the store failed.
URGENT_PAUSE = 0.02
FAILED_PAUSE = 0.3
# Longest wait of a request for tokens in seconds: a refusal within a quarter
# of the shortest objective of a stream (600 ms) still helps its caller.
RESERVE_WAIT = 0.14
# Seconds for which a budget is called dry after nobody had tokens, and for
# which the store is not asked again.
DRY_SECONDS = 0.25
STORE_DRY_SECONDS = 2.0
# Seconds between two log lines about what is held, and budgets in one.
REPORT_SECONDS = 5.0
REPORT_BUDGETS = 20
# Shortest time in seconds between two records that only widen limits.
WIDEN_PAUSE = 0.35
# Least time in seconds after which a caller of a dry budget should return.
DRY_RETURN = 1.0
# Longest wait in seconds for the last record at a planned stop.
RELEASE_WAIT = 0.3
# Peers that share what a stopping router held.
HEIRS = 3
# Routers that hold tokens of one budget drawn from the store; in a larger
# fleet the others borrow from these.
HOLDERS = 8


class _Waiter:
    """A request that waits for tokens."""

    __slots__ = ("tokens", "future")

    def __init__(self, tokens, future):
        self.tokens = tokens
        self.future = future


class BudgetKeeper:
    """All budgets of one router.

    :param incarnation: this router's incarnation
    :param store: a TransactionStore
    :param peers: a PeerClient
    :param members: the Membership
    :param clock: a Clock
    :param clocks: the FleetClocks
    """

    def __init__(self, incarnation, store, peers, members, clock, clocks):
        self._incarnation = incarnation
        self._members = members
        self._clock = clock
        self._accounts = {}
        self._totals = ({}, 0)
        self._store_dry = {}
        self._allowances = Allowances()
        self._drawer = Drawer(
            incarnation,
            address_of(incarnation),
            store,
            self._allowances,
            clock,
            clocks,
        )
        self._lender = Lender(self, incarnation, peers, members, clock)
        self._tasks = TaskSet()
        self._askers = {}
        self._wake = asyncio.Event()
        self._failing = False
        self._next_report = 0.0
        self._stopping = False
        self._released = asyncio.Event()

    @property
    def accounts(self):
        """Return the accounts by budget."""
        return self._accounts

    def holders(self, name):
        """Return the routers that draw on a budget; others borrow."""
        return self._members.homes(name, "budget")[:HOLDERS]

    # Configuration

    def set_totals(self, totals, version):
        """Take over the totals of a configuration.

        :param totals: tokens paid for by budget
        """
        self._totals = (totals, version)
        for name, total in totals.items():
            account = self._account(name)
            if total != account.total:
                LOG.info(
                    "budget_total", budget=name, total=total, config=version
                )
                self._store_dry.pop(name, None)
            account.set_total(total)
        self._wake.set()

    def _account(self, name):
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = Account(name)
        return account

    def _room(self, account):
        return self._allowances.room(account, self._clock.steady())

    # Requests

    async def reserve(self, name, tokens):
        """Set tokens of a budget aside, with a short wait.

        :raises RequestError: there are none to be had
        """
        now = self._clock.steady()
        account = self._account(name)
        account.note_demand(tokens, now)
        if account.reserve(tokens, self._room(account)):
            return
        if now < account.dry_until:
            raise self._exhausted(account, tokens)
        future = asyncio.get_running_loop().create_future()
        waiter = _Waiter(tokens, future)
        account.waiting.append(waiter)
        self._wake.set()
        self._start_asking(account)
        try:
            async with asyncio.timeout(RESERVE_WAIT):
                await future
        except asyncio.TimeoutError:
            if not _granted(future):
                raise self._exhausted(account, tokens) from None
        except asyncio.CancelledError:
            if _granted(future):
                account.settle(tokens, 0)
            raise
        finally:
            if waiter in account.waiting:
                account.waiting.remove(waiter)

    def settle(self, name, tokens, used):
        """End a reservation of which some tokens were used."""
        account = self._account(name)
        account.settle(tokens, used)
        self._pump(account)

    def _pump(self, account):
        for waiter in list(account.waiting):
            # One that gave up stays listed until its task runs again.
            if waiter.future.done():
                continue
            if account.reserve(waiter.tokens, self._room(account)):
                account.waiting.remove(waiter)
                waiter.future.set_result(None)

    def _fail(self, account):
        """Refuse all that wait: nobody has tokens."""
        account.dry_until = self._clock.steady() + DRY_SECONDS
        for waiter in account.waiting:
            if not waiter.future.done():
                error = self._exhausted(account, waiter.tokens)
                waiter.future.set_exception(error)
        account.waiting.clear()

    def _exhausted(self, account, tokens):
        """Return the refusal of a request, and when it may come back.

        Where a limit holds tokens back, they are free once it has lapsed;
        by then a dry budget may have been topped up, or given tokens back.
        """
        now = self._clock.steady()
        come_back_at = max(
            now + DRY_RETURN, self._allowances.lapse_at(account.name, now)
        )
        room = self._room(account)
        return RequestError(
            ErrorKind.BUDGET_EXHAUSTED,
            f"{tokens} tokens needed, {account.available} held, room {room}",
            come_back_at=come_back_at,
        )

    # Peers

    def handle(self, message):
        """Answer a LendAsk or a HandOver of a peer."""
        return self._lender.handle(message)

    def credit(self, name, tokens):
        """Take in tokens from a peer."""
        account = self._account(name)
        account.credit(tokens)
        account.dry_until = 0.0
        self._pump(account)

    def lend(self, name, tokens):
        """Return how many tokens are lent to a peer that needs some."""
        account = self._account(name)
        return account.lend(tokens, self._room(account))

    def _start_asking(self, account):
        task = self._askers.get(account.name)
        if task is None or task.done():
            task = self._tasks.spawn(self._ask(account))
            self._askers[account.name] = task

    async def _ask(self, account):
        await self._lender.ask_all(account)
        if account.waiting and self._is_store_dry(account):
            self._fail(account)

    def _is_store_dry(self, account):
        if self._failing:
            return True
        return self._clock.steady() < self._store_dry.get(account.name, 0.0)

    # Store

    async def run(self):
        """Draw, give back and renew limits until cancelled."""
        while True:
            self._wake.clear()
            self._report()
            pause = URGENT_PAUSE
            try:
                await self._sync()
                self._note_store(failing=False)
            except StoreBusy as error:
                pause = FAILED_PAUSE
                self._note_store(failing=True, error=error)
                if self._drawer.batch and not self._drawer.unsure:
                    self._put_back(self._drawer.drop())
            except StoreError as error:
                pause = FAILED_PAUSE
                self._note_store(failing=True, error=error)
            await asyncio.sleep(pause)
            if not any(a.waiting for a in self._accounts.values()):
                await self._sleep()

    async def _sleep(self):
        try:
            async with asyncio.timeout(TICK * (0.75 + random.random() / 2)):
                await self._wake.wait()
        except asyncio.TimeoutError:
            pass

    def _report(self):
        """Log now and then what is held of the largest budgets."""
        now = self._clock.steady()
        if now < self._next_report:
            return
        self._next_report = now + REPORT_SECONDS
        held = sorted(self._held(), key=lambda account: -account.total)
        LOG.info(
            "budgets_held",
            held={
                account.name: (account.available, account.left)
                for account in held[:REPORT_BUDGETS]
            },
        )

    def _note_store(self, failing, error=None):
        if failing != self._failing:
            LOG.info("budget_store", failing=failing, error=str(error or ""))
        self._failing = failing

    async def _sync(self):
        if not self._drawer.recovered:
            await self._drawer.recover()
        if self._drawer.batch is None:
            wishes = self._last_wishes() if self._stopping else self._wishes()
            if not wishes and not self._renewal_due():
                return
            self._begin(wishes)
        await self._write()

    def _wishes(self):
        now = self._clock.steady()
        wishes = {}
        for name, account in self._accounts.items():
            holders = self.holders(name)
            if self._incarnation not in holders:
                continue
            wish = account.wish(len(holders), now)
            if wish > 0 and now < self._store_dry.get(name, 0.0):
                continue
            if wish or account.recalled:
                wishes[name] = wish
        return dict(list(wishes.items())[:BATCH_LIMIT])

    def _last_wishes(self):
        """Return what to give back at a planned stop if no peer is there."""
        if self._members.ready_others():
            return {}
        held = [a for a in self._held() if a.available > 0]
        return {a.name: -a.available for a in held[:BATCH_LIMIT]}

    def _renewal_due(self):
        """Return whether the written limits are old or nearly used up."""
        newest = self._allowances.newest()
        if newest is None:
            return False
        held = self._held()
        if self._stopping and not self._released.is_set():
            return True
        now = self._clock.steady()
        if now > newest.made_at + RENEW_SECONDS:
            return True
        if now < newest.made_at + WIDEN_PAUSE:
            return any(a.waiting and self._is_held_back(a) for a in held)
        return any(self._is_narrow(account) for account in held)

    def _is_held_back(self, account):
        """Return whether a limit, not a lack, makes requests wait."""
        room = self._room(account)
        return room is not None and room < account.wanted <= account.available

    def _is_narrow(self, account):
        room = self._room(account)
        if room is None or room >= account.available:
            return False
        allowance = self._allowance(account)
        return room < (1 - ALLOWANCE_USED) * allowance

    def _held(self):
        return [a for a in self._accounts.values() if a.inflow]

    def _allowance(self, account):
        """Return the tokens that may go out before the next record."""
        if self._stopping:
            return account.available
        holders = len(self.holders(account.name))
        return account.allowance(holders, self._clock.steady())

    def _begin(self, wishes):
        for name, wish in wishes.items():
            if wish < 0:
                # Tokens on their way back are nobody's to spend.
                self._accounts[name].take_out(-wish)
        self._drawer.begin(wishes)

    def _put_back(self, batch):
        for name, wish in batch.wishes.items():
            if wish < 0:
                self._accounts[name].put_back(-wish)

    def _limits(self, moves):
        """Return the limit of tokens out by budget.

        :param moves: tokens by budget that a batch moves in or out
        """
        limits = {}
        for name, account in self._accounts.items():
            inflow = account.inflow + max(0, moves.get(name, 0))
            if inflow:
                limit = account.outflow + self._allowance(account)
                limits[name] = min(inflow, limit)
        return limits

    def _inflows(self):
        return {name: a.inflow for name, a in self._accounts.items()}

    async def _write(self):
        batch = await self._drawer.write(
            self._limits, self._inflows, self._totals
        )
        if batch is None:
            return
        if self._stopping and self._is_released(batch):
            self._released.set()
        now = self._clock.steady()
        for name, wish in batch.wishes.items():
            account = self._accounts[name]
            moved = batch.moves[name]
            account.credit(max(0, moved))
            account.left = self._drawer.record(name).left
            if wish <= 0:
                account.recalled = False
            if moved < wish:
                self._store_dry[name] = now + STORE_DRY_SECONDS
        for account in self._accounts.values():
            self._pump(account)
            if account.waiting:
                self._start_asking(account)
        if batch.wishes:
            LOG.info("budget_batch", number=batch.number, moves=batch.moves)

    def _is_released(self, batch):
        """Return whether a batch lets all go out that is held."""
        return not batch.record.unspent()

    # Planned stop

    async def hand_over(self):
        """Pass all free tokens on to live routers.

        Where the store can be reached, a last record first lets all of them
        go; where it cannot, those beyond the written limits follow at the
        next call, once the limits bind no more.
        """
        self._stopping = True
        self._wake.set()
        try:
            async with asyncio.timeout(RELEASE_WAIT):
                await self._released.wait()
        except asyncio.TimeoutError:
            LOG.info("limits_not_released", failing=self._failing)
        heirs = self._members.ready_others()[:HEIRS]
        if heirs:
            await self._lender.hand_over(heirs, self._take_free())
        elif any(a.available > 0 for a in self._held()):
            LOG.warning("no_heir", failing=self._failing)

    def _take_free(self):
        """Take out all tokens that may go out now, by budget."""
        tokens = {}
        for name, account in self._accounts.items():
            room = self._room(account)
            free = account.available
            free = free if room is None else min(free, room)
            if free > 0:
                account.take_out(free)
                tokens[name] = free
        return tokens


def _granted(future):
    """Return whether a waiter got its tokens."""
    return (
        future.done() and not future.cancelled() and future.exception() is None
    )
