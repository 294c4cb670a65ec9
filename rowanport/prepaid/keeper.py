"""All budgets of one router: reserve, settle, and keep enough tokens."""

import asyncio
import random

import structlog

from ..errors import StoreError
from ..incarnation import address_of
from ..schema.messages import Ack
from ..schema.messages import BudgetNews
from ..schema.messages import LendAsk
from ..schema.messages import NoLoan
from ..store import Value
from ..supervision import beat
from ..tasks import TaskSet
from .account import Account
from .exhaustion import Exhaustion
from .handoff import Handoffs
from .holders import Holders
from .loan_returns import LoanReturns
from .loans import LoanResult
from .loans import Loans
from .notifier import RecordNotifier
from .refill import Refill

LOG = structlog.get_logger(__name__)

# Seconds between two looks at all accounts while nobody waits: a draw covers
# seconds of demand, so this delays nothing.
CHECK_INTERVAL = 0.35
# Shortest time in seconds between two batches while requests wait, and after
# the store failed.
URGENT_PAUSE = 0.02
FAILED_PAUSE = 0.3
# Longest wait of a request for tokens in seconds: a refusal within a quarter
# of the shortest objective of a stream (600 ms) still helps its caller.
RESERVE_WAIT = 0.14
# Longest wait in seconds for a limit that soon lets tokens go, half of the
# objective of a stream: served so, a request is still in time.
LIMIT_WAIT = 0.4
# Seconds added to such a wait, so that the limit surely has grown.
LIMIT_MARGIN = 0.005
# Seconds in which a router that draws tokens has drawn, and opened its limits:
# after these a router that draws none asks again, and one that is held back by
# a limit asks others.
RETRY_PAUSE = 0.03
# Seconds for which a budget is called dry after nobody had tokens.
EXHAUSTED_SECONDS = 0.25
# Seconds between two log lines about what is held, and budgets in one.
REPORT_SECONDS = 5.0
REPORT_BUDGETS = 20
# Longest wait in seconds for the last record at a planned stop.
RELEASE_WAIT = 0.3
# Longest time in seconds of a hand-over: what a planned stop leaves for it.
HANDOFF_SECONDS = 0.7
# Seconds between two looks whether all is given back.
RETURN_POLL = 0.01


class _Waiter:
    """A request that waits for tokens.

    :ivar waits_for_limit: whether it waits for a limit that soon lets it go
    """

    __slots__ = ("tokens", "waits_for_limit", "future")

    def __init__(self, tokens, waits_for_limit):
        self.tokens = tokens
        self.waits_for_limit = waits_for_limit
        self.future = asyncio.get_running_loop().create_future()


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
        self._members = members
        self._clock = clock
        self._accounts = {}
        address = address_of(incarnation)
        self._holders = Holders(address, self._accounts, members, clock)
        self._refill = Refill(
            incarnation,
            self._accounts,
            store,
            self._holders,
            clock,
            clocks,
            RecordNotifier(address, peers),
        )
        self._loans = Loans(self, incarnation, peers, members, clock)
        self._handoffs = Handoffs(self, incarnation, peers, members, clock)
        self._loan_returns = LoanReturns(
            self._accounts,
            self._holders,
            self._refill,
            self._handoffs,
            members,
            clock,
        )
        self._tasks = TaskSet()
        self._loan_tasks = {}
        self._wake = asyncio.Event()
        self._exhaustion = Exhaustion(self._refill, clock)
        self._next_report = 0.0
        self._withheld = {}

    @property
    def accounts(self):
        """Return the accounts by budget."""
        return self._accounts

    @property
    def stopping(self):
        """Return whether this router has begun to hand over what it holds."""
        return self._refill.stopping

    def holders(self, name):
        """Return the addresses of routers that draw on a budget."""
        return self._holders.for_budget(name)

    def is_holder(self, name):
        """Return whether this router draws on a budget."""
        return self._holders.is_holder(name)

    # Configuration

    def set_totals(self, totals, version):
        """Take over the totals of a configuration.

        :param totals: tokens paid for by budget
        """
        self._refill.set_totals(totals, version)
        for name, total in totals.items():
            account = self._account(name)
            if total != account.total:
                LOG.info(
                    "budget_total", budget=name, total=total, config=version
                )
            account.set_total(total)
        self._wake.set()

    def _account(self, name):
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = Account(name)
        return account

    def headroom(self, account):
        """Return the tokens of an Account that may go out, None for all."""
        return self._refill.headroom(account)

    # Requests

    async def reserve(self, name, tokens):
        """Set tokens of a budget aside, with a short wait.

        :raises RequestError: there are none to be had
        """
        now = self._clock.steady()
        account = self._account(name)
        account.record_demand(tokens, now)
        if self._reserve(account, tokens):
            return
        allowed_at = self._allowed_soon_at(account, tokens)
        if allowed_at is None and (
            now < account.exhausted_until
            or self._exhaustion.is_spent(account, tokens)
        ):
            raise self._exhaustion.error(account, tokens)
        waiter = _Waiter(tokens, allowed_at is not None)
        account.waiters.append(waiter)
        self._wake.set()
        self._start_loan_request(account)
        try:
            async with asyncio.timeout(
                max(RESERVE_WAIT, (allowed_at or 0) - now)
            ):
                await waiter.future
        except asyncio.TimeoutError:
            self._grant_late(account, waiter)
        except asyncio.CancelledError:
            if _granted(waiter.future):
                account.settle(tokens, 0, self._clock.steady())
            raise
        finally:
            if waiter in account.waiters:
                account.waiters.remove(waiter)

    def try_reserve(self, name, tokens):
        """Set tokens of a budget aside without a wait; return whether."""
        return self._reserve(self._account(name), tokens)

    def _reserve(self, account, tokens):
        """Set tokens aside if there are enough; return whether."""
        now = self._clock.steady()
        return account.reserve(tokens, self.headroom(account), now)

    def _allowed_soon_at(self, account, tokens):
        """Return the steady time soon at which a limit lets tokens go.

        :returns: None if there are too few tokens, or not soon
        """
        if (
            account.recalled
            or account.available < account.waiting_tokens + tokens
        ):
            return None
        allowed_at = self._refill.allowed_at(
            account, account.waiting_tokens + tokens
        )
        soon = allowed_at <= self._clock.steady() + LIMIT_WAIT
        return allowed_at + LIMIT_MARGIN if soon else None

    def _grant_late(self, account, waiter):
        """Give a waiter its tokens at the end of its wait, or refuse it.

        :raises RequestError: there are none to be had
        """
        if _granted(waiter.future):
            return
        if not self._reserve(account, waiter.tokens):
            raise self._exhaustion.error(account, waiter.tokens)

    def settle(self, name, tokens, used, spent=0):
        """End a reservation of which some tokens were used.

        :param used: tokens that may have been used
        :param spent: tokens that surely were
        """
        account = self._account(name)
        account.settle(tokens, used, self._clock.steady(), spent)
        self._serve_waiters(account)

    def _serve_waiters(self, account):
        for waiter in list(account.waiters):
            # One that gave up stays listed until its task runs again.
            if waiter.future.done():
                continue
            if self._reserve(account, waiter.tokens):
                account.waiters.remove(waiter)
                waiter.future.set_result(None)

    def _refuse_waiters(self, account):
        """Refuse all that wait in vain: nobody has tokens."""
        account.exhausted_until = self._clock.steady() + EXHAUSTED_SECONDS
        for waiter in account.waiters:
            if not waiter.waits_for_limit and not waiter.future.done():
                error = self._exhaustion.error(account, waiter.tokens)
                waiter.future.set_exception(error)
        account.waiters = [w for w in account.waiters if w.waits_for_limit]

    # Peers

    def handle(self, message):
        """Answer a LendAsk, a HandOver or BudgetNews of a peer."""
        if isinstance(message, LendAsk):
            return self._loans.handle(message)
        if isinstance(message, BudgetNews):
            value = Value(message.data, message.version)
            self._refill.merge_record(message.budget, value)
            return Ack()
        return self._handoffs.handle(message)

    def credit(self, name, tokens):
        """Take in tokens from a peer."""
        account = self._account(name)
        account.credit(tokens)
        account.exhausted_until = 0.0
        self._serve_waiters(account)

    def accept_handoff(self, name, tokens, sender):
        """Take in tokens that a peer hands over.

        :param sender: its peer address
        """
        account = self._account(name)
        if sender in self._holders.for_budget(name):
            account.credit(tokens)
        else:
            account.credit_returned(tokens, self._clock.steady())
        account.exhausted_until = 0.0
        self._serve_waiters(account)

    def add_spent(self, name, tokens):
        """Count tokens that a borrower surely used as this router's own."""
        self._account(name).spent += tokens

    def merge_spent(self, name, tokens):
        """Take in how many tokens were surely used, as a peer knows."""
        self._account(name).merge_spent(tokens)

    def cancel_spent_reports(self, tokens):
        """Take back by budget what no peer counts after all."""
        for name, amount in tokens.items():
            self._account(name).reported -= amount

    def cancel_debits(self, tokens):
        """Take back tokens by budget that nobody else has taken."""
        for name, amount in tokens.items():
            account = self._account(name)
            account.cancel_debit(amount)
            self._serve_waiters(account)

    def lend(self, name, tokens, borrower):
        """Return how many tokens are lent to a peer that needs some.

        :param borrower: its peer address
        """
        account = self._account(name)
        now = self._clock.steady()
        draws = borrower in self._holders.for_budget(name)
        if not draws:
            # This is where its demand is seen.
            account.record_demand(tokens, now)
        lent = account.lend(tokens, self.headroom(account), now, draws)
        if lent < tokens and not draws and self.is_holder(name):
            # The borrower asks again soon: by then there is more to draw on,
            # and a limit that lets it go.  One that draws itself does so: all
            # that it asks would draw what it lacks as well, for nobody.
            account.record_shortfall(borrower, tokens - lent)
            self._wake.set()
        return lent

    def no_loan(self, name):
        """Return the NoLoan for a borrower that gets no tokens of a budget."""
        account = self._account(name)
        lost = self._exhaustion.store_lost_at is not None
        # What is here only waits for a limit, which the next record opens.
        empty = self._refill.is_store_empty(name) and account.available <= 0
        draws = self.is_holder(name) and not (lost or empty or self.stopping)
        return NoLoan(name, draws, account.known_spent)

    def _start_loan_request(self, account):
        task = self._loan_tasks.get(account.name)
        if task is None or task.done():
            task = self._tasks.spawn(self._request_loan(account))
            self._loan_tasks[account.name] = task

    async def _request_loan(self, account):
        if self.is_holder(account.name):
            if not account.shortfall:
                # A limit holds tokens back: mostly the next record opens it.
                # In a cut peers may still let some go.
                await asyncio.sleep(RETRY_PAUSE)
            await self._loans.ask_all(account)
        else:
            await self._borrow(account)
            if account.waiters and not account.loan_unanswered:
                return self._refuse_waiters(account)
        lost = self._exhaustion.store_lost_at is not None
        in_vain = lost or self._refill.is_store_empty(account.name)
        if account.waiters and in_vain:
            self._refuse_waiters(account)

    async def _borrow(self, account):
        """Ask those that draw, and again as long as they have or draw some.

        Others are asked last: a dozen of them first, in vain, are four round
        trips out of the 0.14 s that a request waits.
        """
        result = await self._loans.ask_holders(account)
        while account.waiters and result is LoanResult.AVAILABLE:
            await asyncio.sleep(RETRY_PAUSE)
            result = await self._loans.ask_holders(account)
        if not account.waiters:
            return
        if result is LoanResult.UNANSWERED:
            self._holders.allow_fallback_draw(account.name)
        await self._loans.ask_all(account)

    # Store

    async def run(self):
        """Draw, give back and renew limits until cancelled."""
        while True:
            beat()
            self._wake.clear()
            self._report()
            if not self.stopping:
                self._loan_returns.send()
            pause = URGENT_PAUSE
            try:
                written = await self._refill.sync()
                self._record_store_state(failing=False)
                if written:
                    self._serve_all_waiters()
            except StoreError as error:
                pause = FAILED_PAUSE
                self._record_store_state(failing=True, error=error)
            await asyncio.sleep(pause)
            if not self._is_urgent():
                await self._sleep()

    def _is_urgent(self):
        """Return whether the next batch is not to wait."""
        waiting = any(a.waiters for a in self._accounts.values())
        return waiting or self._refill.is_returning

    def _serve_all_waiters(self):
        for account in self._accounts.values():
            self._serve_waiters(account)
            if account.waiters:
                self._start_loan_request(account)

    async def _sleep(self):
        try:
            async with asyncio.timeout(
                CHECK_INTERVAL * (0.75 + random.random() / 2)
            ):
                await self._wake.wait()
        except asyncio.TimeoutError:
            pass

    def _report(self):
        """Log now and then what is held of the largest budgets."""
        now = self._clock.steady()
        if now < self._next_report:
            return
        self._next_report = now + REPORT_SECONDS
        held = sorted(self._refill.held(), key=lambda account: -account.total)
        LOG.info(
            "budgets_held",
            routers=1 + len(self._members.others()),
            holders=len(self._holders.for_budget("")),
            held={
                account.name: (account.available, account.store_remaining)
                for account in held[:REPORT_BUDGETS]
            },
        )

    def _record_store_state(self, failing, error=None):
        if failing == (self._exhaustion.store_lost_at is not None):
            return
        self._exhaustion.store_lost_at = (
            self._clock.steady() if failing else None
        )
        LOG.info("budget_store", failing=failing, error=str(error or ""))

    # Planned stop

    def withhold(self, tokens):
        """Keep some tokens by budget from being handed over."""
        self._withheld = tokens

    async def hand_off(self):
        """Pass all free tokens on; called as a stop begins and as it ends.

        Where the store can be reached, a last record first lets all of them
        go; where it cannot, those beyond the written limits follow at the
        next call, once the limits bind no more.  What no peer takes serves
        here until the next call, which gives it back to the store.
        """
        is_last = self.stopping
        deadline = self._clock.steady() + HANDOFF_SECONDS
        self._refill.release()
        self._wake.set()
        await self._wait_for_release()
        recipients = await self._handoffs.find_recipients()
        if recipients:
            tokens = self._debit_free()
            await self._handoffs.distribute(recipients, tokens, deadline)
        if is_last:
            await self._return_to_store(deadline)
        self._handoffs.report()

    async def _wait_for_release(self):
        try:
            async with asyncio.timeout(RELEASE_WAIT):
                await self._refill.released.wait()
        except asyncio.TimeoutError:
            LOG.info(
                "limits_not_released", lost_at=self._exhaustion.store_lost_at
            )

    async def _return_to_store(self, deadline):
        """Give back to the store what no peer took.

        :param deadline: steady time after which not to wait for it
        """
        self._refill.return_all()
        self._wake.set()
        while self._refill.is_returning:
            if self._clock.steady() > deadline:
                lost_at = self._exhaustion.store_lost_at
                LOG.warning("no_heir", lost_at=lost_at)
                return
            await asyncio.sleep(RETURN_POLL)

    def _debit_free(self):
        """Take out all tokens that may go out now, by budget."""
        tokens = {}
        for name, account in self._accounts.items():
            headroom = self.headroom(account)
            free = account.available - self._withheld.get(name, 0)
            free = free if headroom is None else min(free, headroom)
            if free > 0:
                account.debit(free)
                tokens[name] = free
        return tokens


def _granted(future):
    """Return whether a waiter got its tokens."""
    return (
        future.done() and not future.cancelled() and future.exception() is None
    )
