"""Keeps one router's accounts filled from the store and its limits current."""

import asyncio

import structlog

from ..errors import StoreBusy
from ..incarnation import address_of
from .account import ALLOWANCE_USED
from .allowance import Allowances
from .allowance import Limit
from .allowance import RENEW_SECONDS
from .batches import BATCH_LIMIT
from .batches import BatchWriter

LOG = structlog.get_logger(__name__)

# Seconds without further draws on a budget after the store had too few of its
# tokens.
STORE_EMPTY_SECONDS = 2.0
# Minimum time in seconds between two records that only raise limits.
WIDEN_PAUSE = 0.35
# Seconds after the start before the first draw for which no request waits, in
# small and large fleets.  After the first a router knows whether the fleet is
# small, after the second it knows most routers of a fleet of a hundred.
FIRST_DRAW_SECONDS = 0.4
LARGE_DRAW_SECONDS = 4.0


class Refill:
    """Decides what to draw and to return, and when to write limits.

    :param incarnation: this router's incarnation
    :param accounts: the Accounts by budget, which it changes
    :param store: a TransactionStore
    :param holders: the Holders
    :param clock: a Clock
    :param clocks: the FleetClocks
    :param notifier: the RecordNotifier
    """

    def __init__(
        self, incarnation, accounts, store, holders, clock, clocks, notifier
    ):
        self._address = address_of(incarnation)
        self._accounts = accounts
        self._holders = holders
        self._clock = clock
        self._notifier = notifier
        self._totals = ({}, 0)
        self._store_empty_until = {}
        self._drawn = set()
        self._allowances = Allowances()
        self._writer = BatchWriter(
            incarnation,
            self._address,
            store,
            self._allowances,
            clock,
            clocks,
        )
        self._writer.on_record = self._announce_record
        self._started = clock.steady()
        self._stopping = False
        self._returning = False
        self._released = asyncio.Event()

    @property
    def stopping(self):
        """Return whether the router stops drawing."""
        return self._stopping

    @property
    def released(self):
        """Return the event that is set once all held tokens may leave."""
        return self._released

    def is_borrower(self, name):
        """Return whether this router's tokens of a budget are borrowed."""
        return not self._holders.is_holder(name) and name not in self._drawn

    def set_totals(self, totals, version):
        """Apply totals by budget, and their configuration's version."""
        for name, total in totals.items():
            if total != self._totals[0].get(name):
                self._store_empty_until.pop(name, None)
        self._totals = (totals, version)

    def headroom(self, account):
        """Return how many more tokens may leave, None if no limit applies."""
        return self._allowances.headroom(account, self._clock.steady())

    def allowed_at(self, account, tokens):
        """Return the monotonic time from which tokens may leave."""
        now = self._clock.steady()
        return self._allowances.allowed_at(account, tokens, now)

    def is_store_empty(self, name):
        """Return whether the store recently had too few of its tokens."""
        return self._clock.steady() < self._store_empty_until.get(name, 0.0)

    def release(self):
        """Stop drawing, and write limits that let out all held tokens."""
        self._stopping = True

    def return_all(self):
        """Return all held tokens, and those received from now on."""
        self._returning = True

    @property
    def is_returning(self):
        """Return whether there is anything left to return."""
        if not self._returning:
            return False
        return self._writer.batch is not None or bool(self._plan_returns())

    # Steps

    async def sync(self):
        """Recover the earlier run if not done, then write a batch if due.

        :returns: whether a batch was committed
        :raises StoreBusy: the store refused; nothing changed
        :raises StoreError: a batch's outcome is unknown; the next call sends
            it again
        """
        try:
            return await self._step()
        except StoreBusy:
            if self._writer.batch and not self._writer.uncertain:
                self._cancel_returns(self._writer.discard())
            raise

    async def _step(self):
        if not self._writer.recovered:
            await self._writer.recover()
        if self._writer.batch is None:
            draws = (
                self._plan_returns() if self._stopping else self._plan_draws()
            )
            if not draws and not self._is_record_due():
                return False
            self._begin(draws)
        return await self._write()

    def _plan_draws(self):
        now = self._clock.steady()
        too_early = self._is_too_early(now)
        draws = {}
        for name, account in self._accounts.items():
            if not self._holders.is_holder(name):
                if self._must_return(account):
                    draws[name] = -account.available
                continue
            needed = account.shortfall or account.borrower_shortfall
            if not needed and too_early:
                continue
            draw = account.planned_draw(self._holders.sharer_count(name), now)
            if draw > 0 and now < self._store_empty_until.get(name, 0.0):
                continue
            if draw or account.recalled:
                draws[name] = draw
        return dict(list(draws.items())[:BATCH_LIMIT])

    def _is_too_early(self, now):
        """Return whether it is too soon after the start to draw.

        A router that just started knows few others, so most would wrongly
        take themselves for holders.
        """
        delay = (
            LARGE_DRAW_SECONDS
            if self._holders.is_large
            else FIRST_DRAW_SECONDS
        )
        return now < self._started + delay

    def _must_return(self, account):
        """Return whether a router that is no holder must return its draw.

        It may have drawn after its start, when it knew too few routers to
        tell that the fleet is large.
        """
        return account.name in self._drawn and not self._holders.is_starting

    def _plan_returns(self):
        """Return what to return at the end of a planned stop."""
        if not self._returning:
            return {}
        held = [a for a in self.held() if a.available > 0]
        return {a.name: -a.available for a in held[:BATCH_LIMIT]}

    def _is_record_due(self):
        """Return whether to write limits, as they are old or nearly used."""
        newest = self._allowances.newest()
        if newest is None:
            return False
        held = self.held()
        if self._stopping and not self._released.is_set():
            return True
        if (
            not self._drawn
            and self._address not in self._holders.drawing_routers()
        ):
            # Borrowed tokens are not recorded.
            return False
        now = self._clock.steady()
        if now > newest.made_at + RENEW_SECONDS:
            return True
        if any(self._is_limited(account) for account in held):
            return True
        if now < newest.made_at + WIDEN_PAUSE:
            return False
        return any(self._is_limit_low(account) for account in held)

    def _is_limited(self, account):
        """Return whether a limit holds back tokens that are there.

        A borrower accepts a part of its shortfall; a request needs all of its
        tokens.
        """
        headroom = self.headroom(account)
        if headroom is None:
            return False
        if headroom < min(account.borrower_shortfall, account.available):
            return True
        return headroom < account.waiting_tokens <= account.available

    def _is_limit_low(self, account):
        headroom = self.headroom(account)
        if headroom is None or headroom >= account.available:
            return False
        allowance = self._allowance(account)
        return headroom < (1 - ALLOWANCE_USED) * allowance

    def held(self):
        """Return the accounts that ever held tokens."""
        return [a for a in self._accounts.values() if a.inflow]

    def _allowance(self, account):
        """Return the tokens that may leave at once after a record."""
        if self._stopping:
            return account.available
        holders = self._holders.count(account.name)
        return account.allowance(holders, self._clock.steady())

    def _limit(self, account, inflow):
        """Return the Limit for a record that is about to be made.

        :param inflow: tokens received, including those that the batch draws
        """
        base = min(inflow, account.outflow + self._allowance(account))
        holders = self._holders.count(account.name)
        return Limit(base, account.limit_growth(holders, self._clock.steady()))

    def _begin(self, draws):
        for name, draw in draws.items():
            if draw < 0:
                # Tokens that are being returned cannot be spent here.
                self._accounts[name].debit(-draw)
        self._writer.begin(draws)

    def _cancel_returns(self, batch):
        for name, draw in batch.planned_draws.items():
            if draw < 0:
                self._accounts[name].cancel_debit(-draw)

    # Budget records

    def _announce_record(self, name, value):
        self._notifier.notify(self._holders.for_budget(name), name, value)

    def merge_record(self, name, value):
        """Merge a budget's record that a peer wrote."""
        self._writer.merge_record(name, value)
        account = self._accounts.get(name)
        if account is not None and self._writer.batch is None:
            # During a batch the record may count spent tokens that this router
            # still takes for unreported.
            account.recorded = self._writer.record(name).spent

    def reportable_spent(self, account):
        """Return the tokens spent here to report to a lender.

        It is 0 if the store may count them already: counted twice, the budget
        would be refused as spent too early.
        """
        if self._writer.may_count_spent(account.name):
            return 0
        return account.unreported

    # Values for the batch writer

    def total(self, name):
        """Return a budget's total and its configuration's version."""
        totals, version = self._totals
        return totals.get(name, 0), version

    def trim(self, name, draw, left):
        """Reduce a planned draw to what the store's record allows.

        :param left: tokens left in the store
        """
        count = self._holders.sharer_count(name)
        return self._accounts[name].trim(draw, count, left)

    def spent(self, name):
        """Return the tokens of a budget known to be spent by this router."""
        return self._accounts[name].spent

    def unreported(self):
        """Return the spent tokens that no record counts, by budget."""
        return {
            account.name: account.unreported
            for account in self._accounts.values()
            if account.unreported > 0
        }

    def limits(self, moves):
        """Return the outflow Limit of each budget.

        :param moves: tokens by budget that a batch draws, negative if returned
        """
        limits = {}
        for name, account in self._accounts.items():
            inflow = account.inflow + max(0, moves.get(name, 0))
            if inflow:
                limits[name] = self._limit(account, inflow)
        return limits

    def outflows(self, names):
        """Return the outflow of some budgets.

        :returns: by budget, tokens that left or are reserved, and part of
            these that is reserved for running requests
        """
        accounts = {name: self._accounts[name] for name in names}
        return {n: (a.outflow, a.in_flight) for n, a in accounts.items()}

    def inflows(self):
        """Return the tokens received since the start, by budget."""
        return {name: a.inflow for name, a in self._accounts.items()}

    async def _write(self):
        batch = await self._writer.write(self)
        if batch is None:
            return False
        if self._stopping and self._is_released(batch):
            self._released.set()
        now = self._clock.steady()
        for account in self._accounts.values():
            account.clear_shortfalls()
        for name, requested in batch.requested.items():
            account = self._accounts[name]
            moved = batch.moves[name]
            drawn = max(0, moved)
            account.credit(drawn)
            batch.allowance.add_drawn(name, drawn)
            record = self._writer.record(name)
            account.apply_record(record, batch.reported[name], now)
            if batch.planned_draws[name] <= 0:
                account.recalled = False
            if drawn:
                self._drawn.add(name)
            elif not self._holders.is_holder(name):
                self._drawn.discard(name)
            if moved < requested:
                self._store_empty_until[name] = now + STORE_EMPTY_SECONDS
        if batch.planned_draws:
            LOG.info("budget_batch", number=batch.number, moves=batch.moves)
        return True

    def _is_released(self, batch):
        """Return whether a batch's limits let out all held tokens."""
        return not batch.record.unspent(0.0)
