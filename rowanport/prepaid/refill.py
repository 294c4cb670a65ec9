"""Keeps one router's accounts filled from the store, and its limits fresh."""

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

# Seconds for which the store is not asked again for a budget that it had too
# little of.
STORE_EMPTY_SECONDS = 2.0
# Shortest time in seconds between two records that only widen limits.
WIDEN_PAUSE = 0.35
# Seconds after the start before anything is drawn that no request waits for:
# by the first a router knows whether the fleet is small, by the second most
# routers of a fleet of a hundred.
FIRST_DRAW_SECONDS = 0.4
LARGE_DRAW_SECONDS = 4.0


class Refill:
    """Decides what to draw and to give back, and when to write limits.

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
        """Return whether nothing more is drawn."""
        return self._stopping

    @property
    def released(self):
        """Return the event that all that is held may go out."""
        return self._released

    def is_borrower(self, name):
        """Return whether what this router holds of a budget is borrowed."""
        return not self._holders.is_holder(name) and name not in self._drawn

    def set_totals(self, totals, version):
        """Take over totals by budget, and their configuration's version."""
        for name, total in totals.items():
            if total != self._totals[0].get(name):
                self._store_empty_until.pop(name, None)
        self._totals = (totals, version)

    def headroom(self, account):
        """Return the tokens of an account that may go out, None for all."""
        return self._allowances.headroom(account, self._clock.steady())

    def allowed_at(self, account, tokens):
        """Return the steady time from which limits let some tokens go."""
        now = self._clock.steady()
        return self._allowances.allowed_at(account, tokens, now)

    def is_store_empty(self, name):
        """Return whether the store lately had too little of a budget."""
        return self._clock.steady() < self._store_empty_until.get(name, 0.0)

    def release(self):
        """Let everything that is held go out, and draw no more."""
        self._stopping = True

    def return_all(self):
        """Give back everything that is held, and what comes in from now on."""
        self._returning = True

    @property
    def is_returning(self):
        """Return whether there is anything left to give back."""
        if not self._returning:
            return False
        return self._writer.batch is not None or bool(self._plan_returns())

    # Steps

    async def sync(self):
        """Bring the store and the accounts one step on.

        :returns: whether a batch stands in the store that did not before
        :raises StoreBusy: the store refused; nothing changed
        :raises StoreError: a batch's fate is unknown; it goes out again
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
            planned_draws = (
                self._plan_returns() if self._stopping else self._plan_draws()
            )
            if not planned_draws and not self._is_record_due():
                return False
            self._begin(planned_draws)
        return await self._write()

    def _plan_draws(self):
        now = self._clock.steady()
        too_early = self._is_too_early(now)
        planned_draws = {}
        for name, account in self._accounts.items():
            if not self._holders.is_holder(name):
                if self._must_return(account):
                    planned_draws[name] = -account.available
                continue
            needed = account.shortfall or account.borrower_shortfall
            if not needed and too_early:
                continue
            planned_draw = account.planned_draw(
                self._holders.sharer_count(name), now
            )
            if planned_draw > 0 and now < self._store_empty_until.get(
                name, 0.0
            ):
                continue
            if planned_draw or account.recalled:
                planned_draws[name] = planned_draw
        return dict(list(planned_draws.items())[:BATCH_LIMIT])

    def _is_too_early(self, now):
        """Return whether most routers of a fleet would draw in vain now.

        One that just started knows few others and takes itself for one of
        those that draw.
        """
        delay = (
            LARGE_DRAW_SECONDS
            if self._holders.is_large
            else FIRST_DRAW_SECONDS
        )
        return now < self._started + delay

    def _must_return(self, account):
        """Return whether a router still holds what it drew as a holder.

        A router that just started may have taken the fleet for small.
        """
        return account.name in self._drawn and not self._holders.is_starting

    def _plan_returns(self):
        """Return what to give back at the end of a planned stop."""
        if not self._returning:
            return {}
        held = [a for a in self.held() if a.available > 0]
        return {a.name: -a.available for a in held[:BATCH_LIMIT]}

    def _is_record_due(self):
        """Return whether the written limits are old or nearly used up."""
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
            # What was only borrowed is not written down.
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
        """Return whether a limit, not a lack, makes somebody wait.

        A borrower takes a part of what it lacks, a request does not.
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
        """Return the tokens that may go out at once after a record."""
        if self._stopping:
            return account.available
        holders = self._holders.count(account.name)
        return account.allowance(holders, self._clock.steady())

    def _limit(self, account, inflow):
        """Return the Limit for a record that is about to be made.

        :param inflow: tokens that came in, and those that the batch draws
        """
        base = min(inflow, account.outflow + self._allowance(account))
        holders = self._holders.count(account.name)
        return Limit(base, account.limit_growth(holders, self._clock.steady()))

    def _begin(self, planned_draws):
        for name, planned_draw in planned_draws.items():
            if planned_draw < 0:
                # Tokens on their way back are nobody's to spend.
                self._accounts[name].debit(-planned_draw)
        self._writer.begin(planned_draws)

    def _cancel_returns(self, batch):
        for name, planned_draw in batch.planned_draws.items():
            if planned_draw < 0:
                self._accounts[name].cancel_debit(-planned_draw)

    # Records of budgets

    def _announce_record(self, name, value):
        self._notifier.notify(self._holders.for_budget(name), name, value)

    def merge_record(self, name, value):
        """Take in what a budget's record says, as a peer wrote it."""
        self._writer.merge_record(name, value)
        account = self._accounts.get(name)
        if account is not None and self._writer.batch is None:
            # Else the record may count what this router still adds to it.
            account.recorded = self._writer.record(name).spent

    def reportable_spent(self, account):
        """Return the tokens spent here that a lender may be told to count.

        What the store may count already would be counted twice, and the budget
        be called spent too early.
        """
        if self._writer.may_count_spent(account.name):
            return 0
        return account.unreported

    # What the drawer writes down

    def total(self, name):
        """Return a budget's total and its configuration's version."""
        totals, version = self._totals
        return totals.get(name, 0), version

    def trim(self, name, planned_draw, left):
        """Return what to draw now that the store's record is known.

        :param left: tokens left in the store
        """
        count = self._holders.sharer_count(name)
        return self._accounts[name].trim(planned_draw, count, left)

    def spent(self, name):
        """Return the tokens of a budget that this router surely spent."""
        return self._accounts[name].spent

    def unreported(self):
        """Return what is surely spent and no record counts, by budget."""
        return {
            account.name: account.unreported
            for account in self._accounts.values()
            if account.unreported > 0
        }

    def limits(self, moves):
        """Return the Limit of tokens out by budget.

        :param moves: tokens by budget that a batch moves in or out
        """
        limits = {}
        for name, account in self._accounts.items():
            inflow = account.inflow + max(0, moves.get(name, 0))
            if inflow:
                limits[name] = self._limit(account, inflow)
        return limits

    def outflows(self, names):
        """Return what has gone out of some budgets.

        :returns: by budget, tokens that went out or are set aside, and those
            of them that are set aside for requests under way
        """
        accounts = {name: self._accounts[name] for name in names}
        return {n: (a.outflow, a.in_flight) for n, a in accounts.items()}

    def inflows(self):
        """Return the tokens that came in so far, by budget."""
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
        """Return whether a batch lets all go out that is held."""
        return not batch.record.unspent(0.0)
