"""One router's side of one ledger shard: grants, reservations, loans.

A holder hands out only tokens of grants that it knows to stand in the
shard under its own id.  Neither membership nor clocks nor leases are needed
for that to be safe: a holder that froze, was cut off or believes in an old
view still spends nothing but its own.
"""

import collections

from ..errors import ErrorKind
from ..schema.messages import Ack
from ..schema.messages import Refused
from ..schema.messages import Reserved
from .account import Account
from .account import Reservation
from .bills import make_bill
from .bills import UnwrittenBills
from .loans import Loans
from .loans import transfers
from .orphans import PRESUME_UNKNOWN_AFTER
from .rebalancer import Rebalancer
from .record import Batch
from .record import find_bill
from .record import is_presumed
from .record import live_holders
from .record import NO_BILL
from .record import unspent_tokens

EXHAUSTED_SECONDS = 0.5
RELEASE_MEMORY = 3600.0


class LateRelease:
    """A reservation that was given back late: it may have been presumed.

    :ivar message: the Settle message, without tokens
    :ivar until: until when that is looked for in the shard
    """

    __slots__ = ("message", "until")

    def __init__(self, message, until):
        self.message = message
        self.until = until


class Holder:
    """Decides for one shard at one router.

    :param holder: holder id, an incarnation made at start
    :param shard: shard number
    :param sizing: a Sizing
    :param new_id: function that returns fresh ids
    """

    def __init__(self, holder, shard, sizing, new_id):
        self.shard = shard
        self._rebalancer = Rebalancer(sizing)
        self._new_id = new_id
        self._bills = UnwrittenBills()
        self._fenced = set()
        self._entries = set()
        self._answers = []
        # Kept when others recover this holder: an entry that lives may give
        # back what was presumed of the holder's old id.
        self._released = {}
        self._late_releases = {}
        self._leaving = False
        self._reset(holder)

    def _reset(self, holder):
        """Start under a holder id that the shard does not know yet."""
        self.holder = holder
        self.record = None
        self.listed = frozenset()
        self._accounts = {}
        self._number = 0
        self._batch = None
        self._loans = Loans(self._new_id)
        self._recoveries = []
        self._left = False
        self._write_due = False

    # Views

    @property
    def waiting(self):
        """Return whether a reservation waits for tokens."""
        return any(account.waiting for account in self._accounts.values())

    @property
    def idle(self):
        """Return whether nothing is open here."""
        return not self._bills and not any(
            account.reserved or account.waiting or account.borrowed
            for account in self._accounts.values()
        )

    @property
    def left(self):
        """Return whether all was given back at a planned stop."""
        if self._leaving and self.record is None:
            return not self._bills and not self.waiting
        return self._left

    @property
    def leaving(self):
        """Return whether it gives all back."""
        return self._leaving

    @property
    def in_flight(self):
        """Return the batch whose fate is not known, if any."""
        return self._batch

    def account(self, name):
        """Return the account of a budget, made if need be."""
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = Account(name)
        return account

    def accounts(self):
        """Return all accounts."""
        return self._accounts.values()

    def reservations(self):
        """Return all open reservations."""
        return [
            reservation
            for account in self._accounts.values()
            for reservation in account.reserved.values()
        ]

    def holds(self, reservation):
        """Return whether a Reservation is still open here."""
        reserved = self.account(reservation.budget).reserved
        return reserved.get(reservation.reservation) is reservation

    def unsettled(self):
        """Return the ids of reservations whose bills are yet to be written."""
        open_here = {one.reservation for one in self.reservations()}
        return open_here | self._bills.reservations()

    # Entries

    def set_entries(self, entries):
        """Say which entries may reserve here, by incarnation.

        One with open reservations stays listed, so that a recovery after
        this holder's death asks it.
        """
        kept = {reservation.entry for reservation in self.reservations()}
        kept.update(self._bills.entries())
        wanted = set(entries) | kept
        if wanted != self._entries:
            self._entries = wanted
            self._write_due = True

    def rename_entry(self, reservation, budget, entry):
        """Note who remembers a reservation from now on, and list it."""
        reserved = self.account(budget).reserved.get(reservation)
        if reserved is not None:
            reserved.entry = entry
            self._entries.add(entry)
            self._write_due = True

    # Reservations

    def reserve(self, message, now):
        """Set tokens aside.

        :returns: Reserved, Refused, or None if it waits for tokens; the
            answer then comes from :meth:`take_answers`
        """
        account = self.account(message.budget)
        known = account.reserved.get(message.reservation)
        if known is not None:
            return Reserved(known.reservation, self.holder, known.tokens)
        if message.reservation in self._released:
            return _refused(ErrorKind.BUDGET_UNAVAILABLE, "voided")
        if self._leaving:
            return _refused(ErrorKind.STOPPING, "the home is stopping")
        if message.reservation not in account.waiting:
            account.demand.add(message.tokens, now)
        if self.record is not None and message.budget not in (
            self.record.budgets
        ):
            return _refused(ErrorKind.UNKNOWN_BUDGET, "no such budget")
        if message.entry not in self.listed:
            self._write_due = True
            self._entries.add(message.entry)
            account.waiting[message.reservation] = message
            return None
        if account.available >= message.tokens and not account.waiting:
            return self._add_reservation(account, message, now)
        if now < account.exhausted_until:
            return self._refuse_exhausted(account, message)
        account.waiting[message.reservation] = message
        return None

    def _add_reservation(self, account, message, now):
        reservation = Reservation(message, now)
        account.reserved[message.reservation] = reservation
        return Reserved(message.reservation, self.holder, message.tokens)

    def _refuse_exhausted(self, account, message):
        budget = self.record and self.record.budgets.get(account.name)
        if budget is None:
            return _refused(ErrorKind.BUDGET_UNAVAILABLE, "ledger not read")
        left = unspent_tokens(budget)
        if left < message.tokens:
            text = f"{message.tokens} tokens needed, {left} left"
            return _refused(ErrorKind.BUDGET_EXHAUSTED, text)
        text = f"{message.tokens} tokens needed, none to be had now"
        return _refused(ErrorKind.BUDGET_EXHAUSTED, text)

    def started(self, message, now):
        """Note where a reserved run goes, before it is sent there.

        :returns: Refused if the reservation was given back meanwhile
        """
        account = self.account(message.budget)
        reservation = account.reserved.get(message.reservation)
        if reservation is None:
            return _refused(ErrorKind.BUDGET_UNAVAILABLE, "not reserved")
        reservation.upstream = message.upstream
        reservation.started_at = now
        return Ack()

    def settle(self, message, now):
        """Close a reservation, of this holder or of a dead one.

        :returns: Ack if nothing needs to be written, else None: the caller
            may forget it once :meth:`take_written` names the reservation
        """
        account = self.account(message.budget)
        own = message.holder == self.holder
        reservation = account.reserved.pop(message.reservation, None)
        account.waiting.pop(message.reservation, None)
        if message.tokens == 0:
            self._record_release(message, reservation, now)
            return Ack()
        if message.reservation in self._bills:
            return self._settle_repeated(message)
        bill = make_bill(message)
        if own and reservation is None:
            if self._is_written(bill):
                return Ack()
        if own:
            account.unwritten += message.tokens
        self._bills.add(bill, reservation.entry if reservation else None)
        return None

    def _record_release(self, message, reservation, now):
        """Note that a reservation was given back.

        :param reservation: the Reservation, None if it is not open here
        """
        until = now + RELEASE_MEMORY
        self._released[message.reservation] = until
        # An overload gives back hundreds a second, within moments: only those
        # that others may have presumed spent are looked up in each record.
        if reservation is None or (
            now >= reservation.since + PRESUME_UNKNOWN_AFTER
        ):
            late = LateRelease(message, until)
            self._late_releases[message.reservation] = late

    def _settle_repeated(self, message):
        """Return the answer to a Settle whose reservation has a bill here.

        What was presumed has to be written before the entry's own word can
        take its place.
        """
        presumed = self._bills.is_presumed(message.reservation)
        if presumed and message.expiry != NO_BILL:
            return _refused(ErrorKind.NOT_READY, "presumed, not written yet")
        return None

    def _is_written(self, bill):
        if self.record is None:
            return False
        return find_bill(self.record, bill.request, bill.run) is not None

    def pump(self, now):
        """Answer waiting reservations that can be answered now."""
        for account in self._accounts.values():
            for key, message in list(account.waiting.items()):
                answer = self._answer_waiting(account, message, now)
                if answer is None:
                    break
                account.waiting.pop(key)
                self._answers.append((message, answer))

    def forget(self, now):
        """Drop what is remembered only against late repeats."""
        for key, until in list(self._released.items()):
            if until < now:
                del self._released[key]
        for key, late in list(self._late_releases.items()):
            if late.until < now:
                del self._late_releases[key]
        self._loans.forget(self._accounts, now)

    def _answer_waiting(self, account, message, now):
        if self._leaving:
            return _refused(ErrorKind.STOPPING, "the home is stopping")
        if self.record is not None:
            if message.budget not in self.record.budgets:
                return _refused(ErrorKind.UNKNOWN_BUDGET, "no such budget")
        listed = message.entry in self.listed
        if listed and account.available >= message.tokens:
            return self._add_reservation(account, message, now)
        if now >= message.waits_until:
            return _refused(ErrorKind.BUDGET_UNAVAILABLE, "no tokens in time")
        if listed and now < account.exhausted_until:
            return self._refuse_exhausted(account, message)
        return None

    def take_answers(self):
        """Return (Reserve, answer) pairs of reservations that waited."""
        answers = self._answers
        self._answers = []
        return answers

    def take_written(self):
        """Return ids of reservations whose bills stand in the shard."""
        return self._bills.pop_written()

    # Loans

    def asks(self, now):
        """Return (holder, LendAsk) pairs to send to other holders now.

        They go out when reservations wait and the shard has nothing free.
        """
        if self.record is None or self._leaving:
            return []
        result = []
        for account in self._accounts.values():
            if not account.shortfall or now < account.exhausted_until:
                continue
            if account.pending_ask is not None:
                continue
            ask = self._request_loan(account)
            if ask is not None:
                result.append(ask)
        return result

    def _request_loan(self, account):
        known = account.name in self.record.budgets
        if not known or self.holder not in self.record.holders:
            return None
        ask = self._loans.next_ask(
            account, self.record, self.holder, self._fenced
        )
        if ask is None:
            # Nobody is left to ask: only the shard can help.
            self._write_due = True
        return ask

    def ask_refused(self, message):
        """Note that a lender gave nothing, or cannot be reached.

        Tokens that it lent all the same are still taken in when its answer
        comes late.
        """
        account = self.account(message.budget)
        if account.pending_ask == message.ask:
            account.pending_ask = None

    def lend(self, message, now):
        """Lend tokens to another holder, once for each ask."""
        known = self._loans.previous_answer(message.ask)
        if known is not None:
            return known
        account = self.account(message.budget)
        record = self.record
        if record is None or message.borrower not in live_holders(record):
            return _refused(ErrorKind.BUDGET_UNAVAILABLE, "not a holder")
        if self._leaving:
            return _refused(ErrorKind.BUDGET_EXHAUSTED, "nothing to lend")
        return self._loans.lend(account, message, self.holder, now)

    def borrow(self, message, now):
        """Take in lent tokens, once for each transfer."""
        account = self.account(message.budget)
        if message.lender in self._fenced:
            return
        if self._loans.borrow(account, message):
            self.ask_refused(message)
            self.pump(now)

    # Dead holders

    def attest(self, holder):
        """Return what is borrowed from a holder; shun it from now on."""
        self._fenced.add(holder)
        outstanding = collections.Counter()
        for account in self._accounts.values():
            for message in account.borrowed.values():
                if message.lender == holder:
                    outstanding[account.name] += message.tokens
        outstanding.update(self._bills.owed(holder))
        return outstanding

    def recover(self, recovery):
        """Take back a dead holder's grants with the next batch."""
        self._recoveries.append(recovery)

    # Batches

    def make_batch(self, now):
        """Return the batch to write next, or None if nothing is due.

        A batch whose fate is unknown is returned again, unchanged.
        """
        if self._batch is not None:
            return self._batch
        if self.record is None or self._left:
            return None
        batch = Batch(
            self.holder, self._number + 1, now, self._sorted_entries()
        )
        self._fill_draws(batch, now)
        self._fill_returns(batch, now)
        batch.bills = list(self._bills)
        batch.transfers = transfers(self._accounts.values())
        batch.closed = self._loans.closed
        batch.recoveries = list(self._recoveries)
        batch.leaving = self._may_leave()
        if batch.leaving and self._never_registered(batch):
            self._left = True
            return None
        if not self._is_due(batch, now):
            return None
        self._write_due = False
        self._number += 1
        self._batch = batch
        for name, tokens in batch.returns.items():
            self.account(name).returning += tokens
        return batch

    def _never_registered(self, batch):
        """Return whether there is neither a grant nor anything to write."""
        known = self.holder in self.record.holders
        return not (known or batch.bills or batch.transfers or batch.closed)

    def _sorted_entries(self):
        return sorted(self._entries)

    def _is_due(self, batch, now):
        if batch.bills or batch.transfers or batch.closed or batch.returns:
            return True
        if batch.draws or batch.wants or batch.recoveries or batch.leaving:
            return True
        return self._write_due and not self._leaving

    def _may_leave(self):
        return (
            self._leaving
            and not any(a.reserved for a in self._accounts.values())
            and not any(a.lent for a in self._accounts.values())
        )

    def _fill_draws(self, batch, now):
        if self._leaving:
            return
        for name, budget in self.record.budgets.items():
            account = self.account(name)
            self._rebalancer.fill_draw(batch, account, budget, now)

    def _fill_returns(self, batch, now):
        for name, account in self._accounts.items():
            budget = self.record.budgets.get(name)
            if budget is not None:
                self._rebalancer.fill_return(
                    batch, account, budget, self._leaving, now
                )

    def batch_applied(self, record, now):
        """Take in the shard as it stands with the batch in flight."""
        batch = self._batch
        self._batch = None
        for name, tokens in batch.returns.items():
            self.account(name).returning -= tokens
        for transfer in batch.transfers:
            account = self.account(transfer.budget)
            account.borrowed.pop(transfer.transfer, None)
        for bill in batch.bills:
            self._forget_bill(bill)
        self._loans.forget_closed(batch.closed)
        for recovery in batch.recoveries:
            self._recoveries.remove(recovery)
        self._left = batch.leaving
        self.observe(record, now)
        self._finish_sync(batch, record, now)

    def _forget_bill(self, bill):
        self._bills.mark_written(bill)
        if bill.holder == self.holder:
            self.account(bill.budget).unwritten -= bill.tokens

    def _finish_sync(self, batch, record, now):
        """Call a budget dry when neither shard nor lenders had enough."""
        for name in batch.draws:
            account = self.account(name)
            if not account.shortfall:
                # The draw was enough, or nobody waits any more.
                account.asked_lenders.clear()
                continue
            budget = record.budgets[name]
            if self._all_lenders_asked(account, budget, record):
                account.exhausted_until = now + EXHAUSTED_SECONDS
                account.asked_lenders.clear()
        self.pump(now)

    def _all_lenders_asked(self, account, budget, record):
        others = {
            holder
            for holder in budget.grants
            if holder != self.holder and holder in live_holders(record)
        }
        return account.pending_ask is None and (
            others <= account.asked_lenders | self._fenced
        )

    def store_failed(self, now):
        """Note that the shard cannot be written at present."""
        if self.record is None:
            return
        for account in self._accounts.values():
            budget = self.record.budgets.get(account.name)
            if budget is None or not account.shortfall:
                continue
            if self._all_lenders_asked(account, budget, self.record):
                account.exhausted_until = now + EXHAUSTED_SECONDS
                account.asked_lenders.clear()
        self.pump(now)

    def observe(self, record, now):
        """Take in a newer reading of the shard.

        :param record: the ShardRecord; never one read before the last
            batch of this holder was known to be applied
        """
        self.record = record
        own = record.holders.get(self.holder)
        self.listed = frozenset(own.entries) if own else frozenset()
        for name, budget in record.budgets.items():
            if self.holder in budget.grants or name in self._accounts:
                account = self.account(name)
                account.granted = budget.grants.get(self.holder, 0)
                self._loans.observe(account, record)
                self._drop_billed(account, record)
        self._withdraw_presumed(record)
        self.pump(now)

    def _drop_billed(self, account, record):
        """Drop reservations that were billed through another home."""
        for key, reservation in list(account.reserved.items()):
            bill = record.bills.get(reservation.request)
            if bill is not None and bill.reservation == key:
                del account.reserved[key]

    def _withdraw_presumed(self, record):
        """Bill nothing for what was given back, but presumed spent."""
        for late in self._late_releases.values():
            message = late.message
            if message.reservation in self._bills:
                continue
            if is_presumed(record, message.request, message.reservation):
                self._bills.add(make_bill(message), None)

    # Ends

    def leave(self):
        """Begin a planned stop: reserve nothing new, give all back."""
        self._leaving = True
        self._write_due = True

    def stay(self):
        """Take back a :meth:`leave`; return whether that is possible.

        It is not once a batch that gives all back may have been written.
        """
        if self._left or (self._batch is not None and self._batch.leaving):
            return False
        self._leaving = False
        return True

    def expel(self, holder):
        """Start anew under another id after a recovery by others.

        Reservations of the old id were kept aside in the shard; their
        settlements go there as those of a dead holder.
        """
        waiting = [
            message
            for account in self._accounts.values()
            for message in account.waiting.values()
        ]
        self._fenced.add(self.holder)
        self._reset(holder)
        self._write_due = True
        for message in waiting:
            answer = _refused(ErrorKind.NOT_READY, "its home was recovered")
            self._answers.append((message, answer))


def _refused(kind, detail):
    return Refused(kind.value, detail)
