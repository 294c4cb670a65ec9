"""The stored record of a ledger shard, and how a batch changes it.

For each budget, ``settled + absorbed + sum of all grants <= total`` holds
before and after every change.  A batch carries all changes of one holder
since its previous batch.  Batches are numbered per holder, so that applying
one again has no effect.
"""

from ..errors import RowanportError
from ..schema.messages import BillRecord
from ..schema.messages import BudgetRecord
from ..schema.messages import HolderRecord
from ..schema.messages import ShardRecord

EXPELLED_MEMORY = 7 * 86400.0
# Expiry of a settlement that is debited but never billed.
NO_BILL = -1.0


class Expelled(RowanportError):
    """Another router has recovered the holder's grants."""


class MemoryLimits:
    """How long bills are kept to detect duplicates.

    :ivar limit: seconds after which an expired bill is removed even though
        some holder has not written since it expired
    """

    __slots__ = ("limit",)

    def __init__(self, limit=21600.0):
        self.limit = limit


class Draw:
    """A request for tokens, sized when the batch is applied to the shard.

    :ivar need: tokens that waiting reservations still need
    :ivar available: tokens that the holder can reserve
    :ivar demand: demand for the budget at the holder, in tokens per second
    """

    __slots__ = ("need", "available", "demand")

    def __init__(self, need, available, demand):
        self.need = need
        self.available = available
        self.demand = demand


class Batch:
    """All changes of one holder to a shard since its previous batch.

    :ivar holder: holder id
    :ivar number: sequence number at this holder, from 1
    :ivar at: wall time at which it was made
    :ivar entries: incarnations of the routers that may reserve from the
        holder's grants
    :ivar draws: Draw by budget
    :ivar returns: tokens given back, by budget
    :ivar bills: BillEntry list
    :ivar transfers: TransferRecord list, tokens lent to this holder
    :ivar closed: ids of transfers that this holder lent and that it found in
        the shard, which may now be removed there
    :ivar wants: by budget, the wall time until which the holder is marked as
        short of tokens; 0 clears the mark
    :ivar recoveries: Recovery list
    :ivar leaving: whether the holder is removed from the shard
    """

    __slots__ = (
        "holder",
        "number",
        "at",
        "entries",
        "draws",
        "returns",
        "bills",
        "transfers",
        "closed",
        "wants",
        "recoveries",
        "leaving",
    )

    def __init__(self, holder, number, at, entries):
        self.holder = holder
        self.number = number
        self.at = at
        self.entries = entries
        self.draws = {}
        self.returns = {}
        self.bills = []
        self.transfers = []
        self.closed = []
        self.wants = {}
        self.recoveries = []
        self.leaving = False


# Reading


def new_shard():
    """Return an empty shard."""
    return ShardRecord(0.0, {}, {}, {}, {}, {}, [], "")


def unspent_tokens(budget):
    """Return the unspent tokens of a budget, including granted ones."""
    return budget.total - budget.settled - budget.absorbed


def free_tokens(budget):
    """Return the unspent tokens of a budget that are not granted."""
    return unspent_tokens(budget) - sum(budget.grants.values())


def live_holders(record):
    """Return the ids of the holders that have not been recovered."""
    return record.holders.keys() - record.expelled.keys()


def absorbed_key(request, run):
    """Return the key in ``bills`` of a run that was debited, not billed."""
    return f"{request}/{run}"


def find_bill(record, request, run):
    """Return the BillRecord of a run, None if it was not debited yet."""
    bill = record.bills.get(request)
    if bill is not None and bill.run == run:
        return bill
    return record.bills.get(absorbed_key(request, run))


def is_applied(record, batch):
    """Return whether the batch has already been applied to the shard.

    :raises Expelled: the holder was recovered
    """
    if batch.holder in record.expelled:
        raise Expelled(batch.holder)
    holder = record.holders.get(batch.holder)
    if holder is None:
        if batch.number > 1 and not batch.leaving:
            raise Expelled(batch.holder)
        return batch.number > 1
    return holder.batch >= batch.number


# Changing


def apply_batch(record, batch, sizing, limits):
    """Apply a batch to the shard record in place, unless it already was.

    :param record: the ShardRecord, as read from the store
    :param sizing: the Sizing of draws
    :param limits: the MemoryLimits
    :returns: False if the batch had been applied before
    :raises Expelled: the holder was recovered by another router
    """
    if is_applied(record, batch):
        return False
    for transfer in batch.transfers:
        _apply_transfer(record, batch.holder, transfer)
    for entry in batch.bills:
        apply_bill(record, entry, batch.at)
    for name, tokens in batch.returns.items():
        _debit(record.budgets[name], batch.holder, tokens)
    for transfer in batch.closed:
        record.transfers.pop(transfer, None)
    for recovery in batch.recoveries:
        _apply_recovery(record, recovery, batch.at)
    for name, draw in batch.draws.items():
        _apply_draw(record, batch.holder, name, draw, sizing)
    for name, until in batch.wants.items():
        _apply_want(record, batch.holder, name, until)
    if batch.leaving:
        record.holders.pop(batch.holder, None)
    else:
        record.holders[batch.holder] = HolderRecord(
            batch.number, batch.at, list(batch.entries)
        )
    _prune(record, batch.at, limits)
    return True


def apply_bill(record, entry, at):
    """Debit the tokens that a run consumed, once per run.

    The first run of a request is billed.  Another run of the same request,
    or a run whose request may already have been pruned, is debited from the
    budget without a bill: tokens served never exceed the total, and no
    request is billed twice.  An entry of 0 tokens says that the
    reservation's run never began.
    """
    if find_bill(record, entry.request, entry.run) is not None:
        return
    if _presumes_billed_run(record, entry):
        return
    budget = record.budgets[entry.budget]
    covered = _withdraw_presumption(record, budget, entry)
    _debit(budget, entry.holder, max(0, entry.tokens - covered))
    if not entry.tokens:
        return
    known = record.bills.get(entry.request)
    bill = BillRecord(
        entry.run,
        entry.reservation,
        entry.budget,
        entry.tokens,
        entry.expiry,
    )
    if known is None and entry.expiry >= record.pruned_until:
        budget.settled += entry.tokens
        record.bills[entry.request] = bill
        return
    budget.absorbed += entry.tokens
    bill.expiry = max(entry.expiry, at + 3600.0)
    record.bills[absorbed_key(entry.request, entry.run)] = bill


def _presumes_billed_run(record, entry):
    """Return whether a presumption is about a reservation already billed.

    A witness that missed the end of a reservation may presume it spent.
    """
    bill = record.bills.get(entry.request)
    if bill is None or entry.expiry != NO_BILL:
        return False
    return bill.reservation == entry.reservation


def is_presumed(record, request, reservation):
    """Return whether the shard has a reservation as presumed spent."""
    return absorbed_key(request, reservation) in record.bills


def _withdraw_presumption(record, budget, entry):
    """Undo the presumption that a reservation was spent.

    The entry router turned out to be alive and reports what was consumed.
    Otherwise a router that was cut off or paused would cost the customer the
    full reservation of each run that had not begun.

    :returns: the tokens presumed spent, 0 if there was no presumption
    """
    key = absorbed_key(entry.request, entry.reservation)
    presumed = record.bills.pop(key, None)
    if presumed is None:
        return 0
    budget.absorbed -= presumed.tokens
    return presumed.tokens


def _debit(budget, holder, tokens):
    """Subtract tokens from a grant, which may become negative.

    A holder may spend or lend borrowed tokens before the loan is written to
    the shard.  Until it is written, the tokens are still in the lender's
    grant, so a negative grant keeps the sum of all grants correct.
    """
    left = budget.grants.get(holder, 0) - tokens
    if left:
        budget.grants[holder] = left
    else:
        budget.grants.pop(holder, None)


def _apply_transfer(record, borrower, transfer):
    if transfer.transfer in record.transfers:
        return
    budget = record.budgets[transfer.budget]
    _debit(budget, transfer.lender, transfer.tokens)
    _debit(budget, borrower, -transfer.tokens)
    record.transfers[transfer.transfer] = transfer


def _apply_recovery(record, recovery, at):
    """Reduce a dead holder's grants to its outstanding tokens.

    While any are outstanding the holder stays in the record, to be recovered
    again later: that frees the tokens which its runs did not use.
    """
    holder = record.holders.get(recovery.holder)
    if holder is None or holder.batch != recovery.batch:
        return
    # A holder that was added after the attestation was not asked and may
    # have borrowed from the dead holder.
    if not set(record.holders) <= {*recovery.attested, recovery.holder}:
        return
    # More outstanding than granted tokens mean that the dead holder spent
    # borrowed ones that are still in the lender's grant.  Its grants cannot be
    # reduced until the loan is written.
    if not _covers(record, recovery):
        return
    for name, budget in record.budgets.items():
        kept = recovery.kept.get(name, 0)
        budget.grants.pop(recovery.holder, None)
        if kept:
            budget.grants[recovery.holder] = kept
        budget.wanted.pop(recovery.holder, None)
    record.expelled[recovery.holder] = at + EXPELLED_MEMORY
    if not any(recovery.kept.values()):
        del record.holders[recovery.holder]


def _covers(record, recovery):
    """Return whether a dead holder's grants cover its outstanding tokens."""
    return all(
        kept <= record.budgets[name].grants.get(recovery.holder, 0)
        for name, kept in recovery.kept.items()
        if name in record.budgets
    )


def _apply_draw(record, holder, name, draw, sizing):
    budget = record.budgets.get(name)
    if budget is None:
        return
    tokens = sizing.draw(
        free_tokens(budget),
        unspent_tokens(budget),
        draw.need,
        draw.available,
        draw.demand,
    )
    if tokens > 0:
        budget.grants[holder] = budget.grants.get(holder, 0) + tokens


def _apply_want(record, holder, name, until):
    wanted = record.budgets[name].wanted
    if until:
        wanted[holder] = until
    else:
        wanted.pop(holder, None)


def _prune(record, at, limits):
    """Remove expired bills that no holder can submit again.

    A bill may be submitted again by a holder that has not synced since it
    expired.  Recovered holders are removed once their expiry has passed and
    no tokens of their grants are outstanding.
    """
    oldest = min(
        (holder.synced_at for holder in record.holders.values()), default=at
    )
    until = max(min(oldest, at), at - limits.limit)
    record.pruned_until = max(record.pruned_until, until)
    for key, bill in list(record.bills.items()):
        if bill.expiry < record.pruned_until:
            del record.bills[key]
    for holder, until in list(record.expelled.items()):
        if until < at and holder not in record.holders:
            del record.expelled[holder]


# Changes by operators


def add_budget(record, name, total):
    """Add a budget; return False if it exists."""
    if name in record.budgets:
        return False
    record.budgets[name] = BudgetRecord(total, 0, 0, {}, {})
    return True
