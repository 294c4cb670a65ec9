"""Draws tokens from the store, borrows and lends among routers."""

import asyncio
import random

import structlog

from .account import Account
from .record import BudgetRecord
from ..errors import ErrorKind
from ..errors import MessageError
from ..errors import PeerError
from ..errors import RequestError
from ..errors import StoreBusy
from ..errors import StoreConflict
from ..errors import StoreError
from ..hashing import new_id
from ..incarnation import address_of
from ..schema.messages import Ack
from ..schema.messages import HandOver
from ..schema.messages import LendAsk
from ..schema.messages import Lent
from ..schema.messages import Refused
from ..store import Write
from ..tasks import TaskSet

LOG = structlog.get_logger(__name__)

# Seconds between two looks at all accounts while nobody waits: a draw covers
# seconds of demand, so this delays nothing.
TICK = 0.5
# Shortest time in seconds between two draws while requests wait, and after
# the store failed.
URGENT_PAUSE = 0.02
FAILED_PAUSE = 0.3
# Budgets in one batch; the store takes 32 entries, a condition and a write
# for each budget.
BATCH_LIMIT = 15
# Writes of one batch in a row that others' writes may overtake.
CONFLICT_TRIES = 6
# Longest wait of a request for tokens in seconds: a refusal within a quarter
# of the shortest objective of a stream (600 ms) still helps its caller.
RESERVE_WAIT = 0.14
# Longest wait for a peer's loan: a few round trips between data centres.
ASK_TIMEOUT = 0.1
# Peers asked at once; each lends half of what it has.
ASK_FANOUT = 3
# Seconds for which a budget is called dry after nobody had tokens.
DRY_SECONDS = 0.25
STORE_DRY_SECONDS = 0.7
# Seconds for which answers to loans and transfers are remembered.
ANSWER_MEMORY = 30.0
# A hand-over at a planned stop: tries, and seconds for each.
HAND_OVER_TRIES = 4
HAND_OVER_TIMEOUT = 0.4
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


class _Seen:
    """A budget's record as this router last saw it."""

    __slots__ = ("record", "version")

    def __init__(self, record, version):
        self.record = record
        self.version = version


class _Batch:
    """Moves between the store and this router, written together.

    :ivar wishes: tokens wished by budget; negative to give back
    :ivar moves: tokens moved by budget by the write last sent
    :ivar unsure: whether that write may have taken effect unheard
    """

    __slots__ = ("number", "wishes", "moves", "unsure")

    def __init__(self, number, wishes):
        self.number = number
        self.wishes = wishes
        self.moves = {}
        self.unsure = False


def budget_key(name):
    """Return the store key of a budget."""
    return f"rowanport/budget/{name}"


class BudgetKeeper:
    """All budgets of one router.

    :param incarnation: this router's incarnation
    :param store: a TransactionStore
    :param peers: a PeerClient
    :param members: the Membership
    :param clock: a Clock
    """

    def __init__(self, incarnation, store, peers, members, clock):
        self._incarnation = incarnation
        self._store = store
        self._peers = peers
        self._members = members
        self._clock = clock
        self._accounts = {}
        self._seen = {}
        self._version = 0
        self._number = 0
        self._batch = None
        self._store_dry = {}
        self._answers = {}
        self._tasks = TaskSet()
        self._askers = {}
        self._wake = asyncio.Event()
        self._failing = False
        self._stopping = False

    @property
    def accounts(self):
        """Return the accounts by budget."""
        return self._accounts

    def _holders(self, name):
        """Return the routers that draw on a budget; others borrow."""
        return self._members.homes(name, "budget")[:HOLDERS]

    # Configuration

    def set_totals(self, totals, version):
        """Take over the totals of a configuration.

        :param totals: tokens paid for by budget
        """
        self._version = version
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

    # Requests

    async def reserve(self, name, tokens):
        """Set tokens of a budget aside, with a short wait.

        :raises RequestError: there are none to be had
        """
        now = self._clock.steady()
        account = self._account(name)
        account.note_demand(tokens, now)
        if account.reserve(tokens):
            return
        if now < account.dry_until:
            raise _exhausted(account, tokens)
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
                raise _exhausted(account, tokens) from None
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
            if account.reserve(waiter.tokens):
                account.waiting.remove(waiter)
                waiter.future.set_result(None)

    def _fail(self, account):
        """Refuse all that wait: nobody has tokens."""
        account.dry_until = self._clock.steady() + DRY_SECONDS
        for waiter in account.waiting:
            if not waiter.future.done():
                error = _exhausted(account, waiter.tokens)
                waiter.future.set_exception(error)
        account.waiting.clear()

    # Loans

    def _start_asking(self, account):
        task = self._askers.get(account.name)
        if task is None or task.done():
            task = self._tasks.spawn(self._ask_peers(account))
            self._askers[account.name] = task

    async def _ask_peers(self, account):
        others = self._lenders(account.name)
        while others and account.lacking:
            wave, others = others[:ASK_FANOUT], others[ASK_FANOUT:]
            await asyncio.gather(*(self._ask(account, p) for p in wave))
        if account.waiting and self._is_store_dry(account):
            self._fail(account)

    def _lenders(self, name):
        """Return the other live routers, those that draw first."""
        others = self._members.others()
        random.shuffle(others)
        holders = self._holders(name)
        others.sort(key=lambda other: other not in holders)
        return others[: 2 * HOLDERS]

    def _is_store_dry(self, account):
        if self._failing:
            return True
        return self._clock.steady() < self._store_dry.get(account.name, 0.0)

    async def _ask(self, account, peer):
        message = LendAsk(
            new_id(), account.name, account.lacking, self._incarnation
        )
        try:
            answer = await self._peers.call(
                address_of(peer), message, ASK_TIMEOUT
            )
        except PeerError:
            self._members.suspect(peer)
            # Its answer may have been lost: ask once more for the same loan.
            self._tasks.spawn(self._collect(account, peer, message))
            return
        self._take_loan(account, answer, peer)

    async def _collect(self, account, peer, message):
        try:
            answer = await self._peers.call(
                address_of(peer), message, HAND_OVER_TIMEOUT
            )
        except PeerError:
            LOG.warning("loan_unanswered", budget=account.name, peer=peer)
            return
        self._take_loan(account, answer, peer)

    def _take_loan(self, account, answer, peer):
        if isinstance(answer, Lent):
            LOG.info(
                "tokens_borrowed",
                budget=account.name,
                tokens=answer.tokens,
                lender=peer,
            )
            account.credit(answer.tokens)
            self._pump(account)

    # Peers

    def handle(self, message):
        """Answer a LendAsk or a HandOver of a peer."""
        if isinstance(message, LendAsk):
            return self._once(message.ask, self._lend, message)
        return self._once(message.id, self._inherit, message)

    def _once(self, key, act, message):
        """Act on a message once, and give the same answer to repeats."""
        now = self._clock.steady()
        while self._answers:
            first = next(iter(self._answers))
            if self._answers[first][1] > now:
                break
            del self._answers[first]
        known = self._answers.get(key)
        if known is not None:
            return known[0]
        answer = act(message)
        self._answers[key] = (answer, now + ANSWER_MEMORY)
        return answer

    def _lend(self, message):
        account = self._account(message.budget)
        tokens = account.lend(message.tokens)
        if not tokens:
            return Refused(
                ErrorKind.BUDGET_EXHAUSTED.value, "nothing to lend"
            )
        LOG.info(
            "tokens_lent",
            budget=message.budget,
            tokens=tokens,
            borrower=message.borrower,
        )
        return Lent(message.ask, message.budget, tokens, self._incarnation)

    def _inherit(self, message):
        LOG.info("tokens_inherited", sender=message.sender)
        for name, tokens in message.tokens.items():
            account = self._account(name)
            account.credit(tokens)
            account.dry_until = 0.0
            self._pump(account)
        return Ack()

    # Store

    async def run(self):
        """Draw and give back until cancelled."""
        while True:
            self._wake.clear()
            pause = URGENT_PAUSE
            try:
                await self._sync()
                self._note_store(failing=False)
            except StoreBusy as error:
                pause = FAILED_PAUSE
                self._drop_batch(error)
            except StoreError as error:
                pause = FAILED_PAUSE
                self._note_store(failing=True, error=error)
            await asyncio.sleep(pause)
            if not self._waiting():
                await self._sleep()

    def _waiting(self):
        return any(account.waiting for account in self._accounts.values())

    async def _sleep(self):
        try:
            async with asyncio.timeout(TICK * (0.75 + random.random() / 2)):
                await self._wake.wait()
        except asyncio.TimeoutError:
            pass

    def _note_store(self, failing, error=None):
        if failing != self._failing:
            LOG.info("budget_store", failing=failing, error=str(error or ""))
        self._failing = failing

    async def _sync(self):
        if self._batch is None:
            self._batch = self._make_batch()
        if self._batch is not None:
            await self._write(self._batch)

    def _make_batch(self):
        now = self._clock.steady()
        wishes = {}
        for name, account in self._accounts.items():
            if self._stopping or len(wishes) >= BATCH_LIMIT:
                break
            holders = self._holders(name)
            if self._incarnation not in holders:
                continue
            wish = account.wish(len(holders), now)
            if wish > 0 and now < self._store_dry.get(name, 0.0):
                continue
            if wish or account.recalled:
                wishes[name] = wish
        return self._start_batch(wishes)

    def _start_batch(self, wishes):
        if not wishes:
            return None
        for name, wish in wishes.items():
            if wish < 0:
                # Tokens on their way back are nobody's to spend.
                self._accounts[name].available += wish
        self._number += 1
        return _Batch(self._number, wishes)

    def _drop_batch(self, error):
        """Take back a batch that the store refused, unless it is unsure."""
        batch = self._batch
        LOG.info("budget_store_busy", error=str(error))
        if batch is None or batch.unsure:
            return
        self._batch = None
        for name, wish in batch.wishes.items():
            if wish < 0:
                self._accounts[name].credit(-wish)

    async def _write(self, batch):
        for _try in range(CONFLICT_TRIES):
            writes = self._writes(batch)
            try:
                version = await self._store.commit(writes)
            except StoreConflict as conflict:
                self._note_values(batch, conflict.values)
                if self._is_applied(batch):
                    return self._finish(batch)
                # A write with older versions can no longer take effect.
                batch.unsure = False
                batch.moves = {}
                continue
            except StoreBusy:
                raise
            except StoreError:
                batch.unsure = True
                raise
            for write in writes:
                record = BudgetRecord.unpack(write.data)
                name = write.key.removeprefix(budget_key(""))
                self._seen[name] = _Seen(record, version)
            return self._finish(batch)

    def _writes(self, batch):
        """Return the writes of a batch; the same again while it is unsure."""
        writes = []
        for name, wish in batch.wishes.items():
            seen = self._seen.get(name) or _Seen(BudgetRecord(), 0)
            record = BudgetRecord.unpack(seen.record.pack())
            record.set_total(self._accounts[name].total, self._version)
            move = batch.moves.get(name, wish)
            batch.moves[name] = record.apply(
                self._incarnation, batch.number, move
            )
            writes.append(Write(budget_key(name), record.pack(), seen.version))
        return writes

    def _note_values(self, batch, values):
        for name in batch.wishes:
            value = values.get(budget_key(name))
            if value is None or not value.version:
                self._seen.pop(name, None)
                continue
            try:
                record = BudgetRecord.unpack(value.data)
            except MessageError as error:
                LOG.error("budget_unreadable", budget=name, error=str(error))
                continue
            self._seen[name] = _Seen(record, value.version)

    def _is_applied(self, batch):
        return any(
            name in self._seen
            and self._seen[name].record.is_applied(
                self._incarnation, batch.number
            )
            for name in batch.wishes
        )

    def _finish(self, batch):
        """Take in what a batch that stands in the store moved."""
        self._batch = None
        now = self._clock.steady()
        for name, wish in batch.wishes.items():
            account = self._accounts[name]
            moved = batch.moves[name]
            account.credit(max(0, moved))
            account.left = self._seen[name].record.left
            if wish <= 0:
                account.recalled = False
            if moved < wish:
                self._store_dry[name] = now + STORE_DRY_SECONDS
            self._pump(account)
            if account.waiting:
                self._start_asking(account)
        LOG.info("budget_batch", number=batch.number, moves=batch.moves)

    # Planned stop

    async def hand_over(self):
        """Pass all free tokens on to live routers, or back to the store."""
        self._stopping = True
        heirs = self._members.ready_others()[:HEIRS]
        if not heirs:
            return await self._give_back()
        shares = _split(
            {n: a.take_all() for n, a in self._accounts.items()}, len(heirs)
        )
        calls = [self._pass_on(h, s) for h, s in zip(heirs, shares) if s]
        await asyncio.gather(*calls)

    async def _give_back(self):
        wishes = {n: -a.available for n, a in self._accounts.items()}
        self._batch = self._batch or self._start_batch(
            {n: w for n, w in list(wishes.items())[:BATCH_LIMIT] if w}
        )
        if self._batch is None:
            return
        try:
            await self._write(self._batch)
        except StoreError as error:
            LOG.warning("tokens_stranded", error=str(error))

    async def _pass_on(self, heir, tokens):
        message = HandOver(new_id(), self._incarnation, tokens)
        for _try in range(HAND_OVER_TRIES):
            try:
                await self._peers.call(
                    address_of(heir), message, HAND_OVER_TIMEOUT
                )
            except PeerError:
                continue
            LOG.info("tokens_handed_over", heir=heir, tokens=tokens)
            return
        LOG.warning("tokens_stranded", heir=heir, tokens=tokens)


def _granted(future):
    """Return whether a waiter got its tokens."""
    return (
        future.done()
        and not future.cancelled()
        and future.exception() is None
    )


def _exhausted(account, tokens):
    text = f"{tokens} tokens needed, {account.available} to be had"
    return RequestError(ErrorKind.BUDGET_EXHAUSTED, text)


def _split(tokens, count):
    """Return tokens by budget in a number of even shares."""
    shares = [{} for _ in range(count)]
    for name, amount in tokens.items():
        for index, share in enumerate(shares):
            part = amount // count + (index < amount % count)
            if part:
                share[name] = part
    return shares
