"""Grants, reservations and loans of one ledger shard at one router.

A holder reserves only tokens of grants that it knows to be written to the
shard under its own id.  This is safe without membership, clocks or leases:
a holder that was paused, is cut off or has an outdated view of the fleet
can still spend only its own grants.
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

# Seconds for which a budget stays marked as exhausted.
EXHAUSTED_SECONDS = 0.5
# Seconds for which a release is kept, to refuse a late Reserve message.
RELEASE_MEMORY = 3600.0


class LateRelease:
    """A late release of a reservation that may have been presumed spent.

    :ivar message: the Settle message, with 0 tokens
    :ivar until: wall time until which the shard is checked for the
        presumption
    """

    __slots__ = ("message", "until")

    def __init__(self, message, until):
        self.message = message
        self.until = until


class Holder:
    """Reserves, lends and settles tokens of one shard at one router.

    :param holder: holder id, new at each start
    :param shard: shard number
    :param sizing: a Sizing
    :param new_id: function that returns unique ids
    """

    def __init__(self, holder, shard, sizing, new_id):
        self.shard = shard
        self._rebalancer = Rebalancer(sizing)
        self._new_id = new_id
        self._bills = UnwrittenBills()
        self._fenced = set()
        self._entries = set()
        self._answers = []
        # Kept when other routers recover this holder: a live entry router may
        # release a reservation of the old holder id that was presumed spent.
        self._released = {}
        self._late_releases = {}
        self._leaving = False
        self._reset(holder)

    def _reset(self, holder):
        """Start again under a holder id that is not in the shard yet."""
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
        """Return whether any reservation waits for an answer."""
        return any(account.waiting for account in self._accounts.values())

    @property
    def idle(self):
        """Return whether no reservation, loan or bill is open here."""
        return not self._bills and not any(
            account.reserved or account.waiting or account.borrowed
            for account in self._accounts.values()
        )

    @property
    def left(self):
        """Return whether a planned stop has given back all grants."""
        if self._leaving and self.record is None:
            return not self._bills and not self.waiting
        return self._left

    @property
    def leaving(self):
        """Return whether the holder is giving back all its grants."""
        return self._leaving

    @property
    def in_flight(self):
        """Return the batch whose write is not known to have succeeded."""
        return self._batch

    def account(self, name):
        """Return the account of a budget; create it if there is none."""
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
        """Return whether this very Reservation is still open here."""
        reserved = self.account(reservation.budget).reserved
        return reserved.get(reservation.reservation) is reservation

    def unsettled(self):
        """Return the ids of reservations whose bills are not written yet."""
        open_here = {one.reservation for one in self.reservations()}
        return open_here | self._bills.reservations()

    # Entries

    def set_entries(self, entries):
        """Set the entry routers that may reserve here, by incarnation.

        One with open reservations stays listed, so that it is asked to
        attest when this holder's grants are recovered.
        """
        kept = {reservation.entry for reservation in self.reservations()}
        kept.update(self._bills.entries())
        wanted = set(entries) | kept
        if wanted != self._entries:
            self._entries = wanted
            self._write_due = True

    def rename_entry(self, reservation, budget, entry):
        """Set the router that attests a reservation from now on; list it."""
        reserved = self.account(budget).reserved.get(reservation)
        if reserved is not None:
            reserved.entry = entry
            self._entries.add(entry)
            self._write_due = True

    # Reservations

    def reserve(self, message, now):
        """Reserve tokens for a run.

        :param message: the Reserve message
        :returns: Reserved, Refused, or None if the reservation has to wait;
            :meth:`take_answers` then returns the answer
        """
        account = self.account(message.budget)
        known = account.reserved.get(message.reservation)
        if known is not None:
            return Reserved(known.reservation, self.holder, known.tokens)
        if message.reservation in self._released:
            return _refused(ErrorKind.BUDGET_UNAVAILABLE, "voided")
        if self._leaving:
            return _refused(ErrorKind.STOPPING, "the home router is stopping")
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
            return _refused(
                ErrorKind.BUDGET_UNAVAILABLE, "ledger not read yet"
            )
        left = unspent_tokens(budget)
        if left < message.tokens:
            text = f"{message.tokens} tokens needed, {left} left"
            return _refused(ErrorKind.BUDGET_EXHAUSTED, text)
        text = f"{message.tokens} tokens needed, none available now"
        return _refused(ErrorKind.BUDGET_EXHAUSTED, text)

    def started(self, message, now):
        """Record the upstream of a run before the run is sent to it.

        :param message: the Started message
        :returns: Ack, or Refused if the reservation is no longer open
        """
        account = self.account(message.budget)
        reservation = account.reserved.get(message.reservation)
        if reservation is None:
            return _refused(
                ErrorKind.BUDGET_UNAVAILABLE, "reservation is not open"
            )
        reservation.upstream = message.upstream
        reservation.started_at = now
        return Ack()

    def settle(self, message, now):
        """Close a reservation of this holder or of a dead one.

        :param message: the Settle message
        :returns: Ack if nothing has to be written; Refused if the sender has
            to try again; None if the bill is queued, in which case the sender
            must keep it until :meth:`take_written` returns the reservation
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
        """Record that a reservation was released.

        :param reservation: the Reservation, None if it is not open here
        """
        until = now + RELEASE_MEMORY
        self._released[message.reservation] = until
        # An overload releases hundreds of reservations per second soon after
        # they are made.  Only those old enough to have been presumed spent are
        # looked up in each record that is read.
        if reservation is None or (
            now >= reservation.since + PRESUME_UNKNOWN_AFTER
        ):
            late = LateRelease(message, until)
            self._late_releases[message.reservation] = late

    def _settle_repeated(self, message):
        """Return the answer to a Settle whose reservation has a bill here.

        A presumption has to be written first; only then can the bill of the
        entry router replace it.
        """
        presumed = self._bills.is_presumed(message.reservation)
        if presumed and message.expiry != NO_BILL:
            return _refused(ErrorKind.NOT_READY, "presumption not written yet")
        return None

    def _is_written(self, bill):
        if self.record is None:
            return False
        return find_bill(self.record, bill.request, bill.run) is not None

    def pump(self, now):
        """Answer the waiting reservations that can be answered now."""
        for account in self._accounts.values():
            for key, message in list(account.waiting.items()):
                answer = self._answer_waiting(account, message, now)
                if answer is None:
                    break
                account.waiting.pop(key)
                self._answers.append((message, answer))

    def forget(self, now):
        """Drop expired records that are kept to answer repeated messages."""
        for key, until in list(self._released.items()):
            if until < now:
                del self._released[key]
        for key, late in list(self._late_releases.items()):
            if late.until < now:
                del self._late_releases[key]
        self._loans.forget(self._accounts, now)

    def _answer_waiting(self, account, message, now):
        if self._leaving:
            return _refused(ErrorKind.STOPPING, "the home router is stopping")
        if self.record is not None:
            if message.budget not in self.record.budgets:
                return _refused(ErrorKind.UNKNOWN_BUDGET, "no such budget")
        listed = message.entry in self.listed
        if listed and account.available >= message.tokens:
            return self._add_reservation(account, message, now)
        if now >= message.waits_until:
            return _refused(
                ErrorKind.BUDGET_UNAVAILABLE, "no tokens free in time"
            )
        if listed and now < account.exhausted_until:
            return self._refuse_exhausted(account, message)
        return None

    def take_answers(self):
        """Return new (Reserve, answer) pairs of reservations that waited."""
        answers = self._answers
        self._answers = []
        return answers

    def take_written(self):
        """Return ids of reservations whose bills were newly written."""
        return self._bills.pop_written()

    # Loans

    def asks(self, now):
        """Return the (holder, LendAsk) pairs to send to other holders now.

        Loans are requested for budgets whose waiting reservations exceed what
        is available here, one lender at a time.
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
            # No lender is left to ask: draw from the shard instead.
            self._write_due = True
        return ask

    def ask_refused(self, message):
        """Record that a lender refused a loan or did not answer.

        If it did lend, :meth:`borrow` still accepts a late answer.
        """
        account = self.account(message.budget)
        if account.pending_ask == message.ask:
            account.pending_ask = None

    def lend(self, message, now):
        """Lend tokens to another holder; answer a repeated ask the same."""
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
        """Accept lent tokens, once for each transfer."""
        account = self.account(message.budget)
        if message.lender in self._fenced:
            return
        if self._loans.borrow(account, message):
            self.ask_refused(message)
            self.pump(now)

    # Dead holders

    def attest(self, holder):
        """Return the outstanding tokens of a dead holder, by budget.

        The holder is fenced: no loan of it is accepted from now on.
        """
        self._fenced.add(holder)
        outstanding = collections.Counter()
        for account in self._accounts.values():
            for message in account.borrowed.values():
                if message.lender == holder:
                    outstanding[account.name] += message.tokens
        outstanding.update(self._bills.owed(holder))
        return outstanding

    def recover(self, recovery):
        """Add the recovery of a dead holder's grants to the next batch."""
        self._recoveries.append(recovery)

    # Batches

    def make_batch(self, now):
        """Return the batch to write next, or None if there is none.

        The batch in flight is returned again, unchanged, until it is known
        whether it was written.
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
        """Return whether the holder is not in the shard and need not be."""
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
        """Handle the confirmed write of the batch in flight.

        :param record: the ShardRecord with the batch applied
        """
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
        """Mark budgets exhausted that neither shard nor lenders could fill."""
        for name in batch.draws:
            account = self.account(name)
            if not account.shortfall:
                # The draw was enough, or no reservation waits any more.
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
        """Mark budgets exhausted whose shard cannot be written now.

        Only those are marked for which all lenders have been asked.
        """
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
        """Update the accounts from a newer record of the shard.

        :param record: the ShardRecord; must not be older than the last
            confirmed batch of this holder
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
        """Drop reservations that were billed through another home router."""
        for key, reservation in list(account.reserved.items()):
            bill = record.bills.get(reservation.request)
            if bill is not None and bill.reservation == key:
                del account.reserved[key]

    def _withdraw_presumed(self, record):
        """Undo presumptions about reservations that were released late.

        A bill of 0 tokens undoes the presumption in the shard.
        """
        for late in self._late_releases.values():
            message = late.message
            if message.reservation in self._bills:
                continue
            if is_presumed(record, message.request, message.reservation):
                self._bills.add(make_bill(message), None)

    # Stop

    def leave(self):
        """Begin a planned stop: refuse reservations, give back all grants."""
        self._leaving = True
        self._write_due = True

    def stay(self):
        """Cancel a :meth:`leave`; return whether that was possible.

        It is not once the batch that leaves the shard may have been written.
        """
        if self._left or (self._batch is not None and self._batch.leaving):
            return False
        self._leaving = False
        return True

    def expel(self, holder):
        """Start again under a new id after a recovery by another router.

        The shard keeps the tokens of open reservations under the old id;
        they are settled like those of a dead holder.

        :param holder: the new holder id
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
            answer = _refused(
                ErrorKind.NOT_READY, "grants of the home were recovered"
            )
            self._answers.append((message, answer))


def _refused(kind, detail):
    return Refused(kind.value, detail)
