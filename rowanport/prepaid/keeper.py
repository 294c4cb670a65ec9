"""All budgets of one router: reserves, settles and refills tokens."""

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

# Seconds between two checks of all accounts while no request waits.  A draw
# covers seconds of demand, so this delays no request.
CHECK_INTERVAL = 0.35
# Minimum time in seconds between two batches while requests wait, and after
# the store failed.
URGENT_PAUSE = 0.02
FAILED_PAUSE = 0.3
# Maximum wait of a request for tokens in seconds.  A refusal within a quarter
# of the shortest latency objective of a stream (600 ms) still helps callers.
RESERVE_WAIT = 0.14
# Maximum wait in seconds for a limit that will soon let tokens out, half of
# the latency objective of a stream: a request is still in time after this.
LIMIT_WAIT = 0.4
# Seconds added to such a wait, to be sure that the limit has grown.
LIMIT_MARGIN = 0.005
# Wait in seconds before a borrower asks the holders again, and before a holder
# whose limits are too low asks its peers.  Within it a holder usually draws
# tokens and raises its limits.
RETRY_PAUSE = 0.03
# Seconds for which peers are not asked again after none had tokens.
EXHAUSTED_SECONDS = 0.25
# Seconds between two log lines about held tokens, and maximum budgets in one.
REPORT_SECONDS = 5.0
REPORT_BUDGETS = 20
# Maximum wait in seconds for the last record at a planned stop.
RELEASE_WAIT = 0.3
# Maximum duration in seconds of a handoff, the time that a planned stop leaves
# for it.
HANDOFF_SECONDS = 0.7
# Seconds between two checks whether all tokens are returned.
RETURN_POLL = 0.01


class _Waiter:
    """A request that waits for tokens.

    :ivar tokens: tokens that the request needs
    :ivar waits_for_limit: whether a limit will soon let these tokens out
    :ivar future: done once the tokens are reserved or refused
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
        """Return whether this router has begun to hand off its tokens."""
        return self._refill.stopping

    def holders(self, name):
        """Return the addresses of routers that draw on a budget."""
        return self._holders.for_budget(name)

    def is_holder(self, name):
        """Return whether this router draws on a budget."""
        return self._holders.is_holder(name)

    # Configuration

    def set_totals(self, totals, version):
        """Apply the totals of a configuration.

        :param totals: tokens paid for by budget
        :param version: the configuration's version
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
        """Return how many more tokens may leave, None if no limit applies."""
        return self._refill.headroom(account)

    # Requests

    async def reserve(self, name, tokens):
        """Reserve tokens of a budget, waiting for a short time.

        :raises RequestError: there were too few tokens
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
        """Reserve tokens of a budget without waiting; return whether."""
        return self._reserve(self._account(name), tokens)

    def _reserve(self, account, tokens):
        """Reserve tokens if there are enough; return whether it did."""
        now = self._clock.steady()
        return account.reserve(tokens, self.headroom(account), now)

    def _allowed_soon_at(self, account, tokens):
        """Return the monotonic time from which limits allow tokens to leave.

        :returns: None if there are too few tokens, or if it takes longer than
            ``LIMIT_WAIT``
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
        """Try once more to reserve tokens at the end of a wait.

        :raises RequestError: there are too few tokens
        """
        if _granted(waiter.future):
            return
        if not self._reserve(account, waiter.tokens):
            raise self._exhaustion.error(account, waiter.tokens)

    def settle(self, name, tokens, used, spent=0):
        """End a reservation and release its unused tokens.

        :param used: tokens that may have been used
        :param spent: tokens that are known to be used
        """
        account = self._account(name)
        account.settle(tokens, used, self._clock.steady(), spent)
        self._serve_waiters(account)

    def _serve_waiters(self, account):
        for waiter in list(account.waiters):
            # A waiter that timed out stays listed until its task runs again.
            if waiter.future.done():
                continue
            if self._reserve(account, waiter.tokens):
                account.waiters.remove(waiter)
                waiter.future.set_result(None)

    def _refuse_waiters(self, account):
        """Refuse all waiting requests, as no peer has tokens.

        Requests that wait for a limit are not affected.
        """
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
        """Add tokens borrowed from a peer."""
        account = self._account(name)
        account.credit(tokens)
        account.exhausted_until = 0.0
        self._serve_waiters(account)

    def accept_handoff(self, name, tokens, sender):
        """Add tokens that a peer handed off.

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
        """Count a borrower's spent tokens as spent by this router."""
        self._account(name).spent += tokens

    def merge_spent(self, name, tokens):
        """Merge a peer's count of spent tokens."""
        self._account(name).merge_spent(tokens)

    def cancel_spent_reports(self, tokens):
        """Count tokens by budget as unreported, as the peer refused them."""
        for name, amount in tokens.items():
            self._account(name).reported -= amount

    def cancel_debits(self, tokens):
        """Take back tokens by budget whose handoff was refused."""
        for name, amount in tokens.items():
            account = self._account(name)
            account.cancel_debit(amount)
            self._serve_waiters(account)

    def lend(self, name, tokens, borrower):
        """Lend tokens to a peer; return how many.

        :param tokens: tokens that the peer needs
        :param borrower: its peer address
        """
        account = self._account(name)
        now = self._clock.steady()
        draws = borrower in self._holders.for_budget(name)
        if not draws:
            # A borrower's demand counts at its lenders.
            account.record_demand(tokens, now)
        lent = account.lend(tokens, self.headroom(account), now, draws)
        if lent < tokens and not draws and self.is_holder(name):
            # A borrower asks again soon.  By then this router has drawn the
            # shortfall and written a limit that lets it out.  This is not done
            # for a peer that draws itself: every lender that it asks would
            # draw its shortfall as well, and no one would use that.
            account.record_shortfall(borrower, tokens - lent)
            self._wake.set()
        return lent

    def no_loan(self, name):
        """Return the NoLoan reply for a borrower that gets no tokens."""
        account = self._account(name)
        lost = self._exhaustion.store_lost_at is not None
        # Tokens that are here wait for a limit only, which the next record
        # raises.
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
                # A limit holds tokens back.  Usually the next record raises
                # it; in a cut from the store peers may have tokens to lend.
                await asyncio.sleep(RETRY_PAUSE)
            await self._loans.ask_all(account)
        else:
            await self._borrow(account)
            if account.waiters and not account.loan_unanswered:
                return self._refuse_waiters(account)
        lost = self._exhaustion.store_lost_at is not None
        store_unavailable = lost or self._refill.is_store_empty(account.name)
        if account.waiters and store_unavailable:
            self._refuse_waiters(account)

    async def _borrow(self, account):
        """Ask holders, repeatedly while they have or draw tokens.

        Other routers are asked last: asking a dozen without success takes four
        round trips of the 0.14 s that a request waits.
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
        """Draw and return tokens and renew limits until cancelled."""
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
        """Return whether the next batch is due without a pause."""
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
        """Log the held tokens of the largest budgets at intervals."""
        now = self._clock.steady()
        if now < self._next_report:
            return
        self._next_report = now + REPORT_SECONDS
        held = sorted(self._refill.held(), key=lambda account: -account.total)
        LOG.info(
            "budgets_held",
            routers=1 + len(self._members.live_peers()),
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
        """Set the tokens by budget that handoffs leave out."""
        self._withheld = tokens

    async def hand_off(self):
        """Hand all available tokens off to peers.

        It is called twice, as a planned stop begins and as it ends.  If the
        store is reachable, a last record first lets out all tokens.  If not,
        those beyond the written limits follow at the second call, once the
        limits have expired.  Tokens that no peer accepts are used here until
        the second call, which returns them to the store.
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
        self._handoffs.log_unanswered()

    async def _wait_for_release(self):
        try:
            async with asyncio.timeout(RELEASE_WAIT):
                await self._refill.released.wait()
        except asyncio.TimeoutError:
            LOG.info(
                "limits_not_released", lost_at=self._exhaustion.store_lost_at
            )

    async def _return_to_store(self, deadline):
        """Return the tokens that no peer accepted to the store.

        :param deadline: monotonic time after which not to wait for it
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
        """Debit all tokens that may leave now; return them by budget."""
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
