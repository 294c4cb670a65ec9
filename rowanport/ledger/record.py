"""The ledger shard as stored, and how a batch changes it.

For each budget ``settled + absorbed + all open grants <= total`` holds
before and after each change.  A batch carries all that one holder did in an
interval; its number makes a repeat harmless.
"""

from ..errors import RowanportError
from ..schema.messages import BillRecord
from ..schema.messages import BudgetRecord
from ..schema.messages import HolderRecord
from ..schema.messages import ShardRecord

EXPELLED_MEMORY = 7 * 86400.0
# The expiry of a settlement that must appear on no bill.
NO_BILL = -1.0


class Expelled(RowanportError):
    """The holder was recovered by others: its grants are gone."""


class MemoryLimits:
    """How long bills are remembered.

    :ivar limit: seconds after which one is forgotten even though some
        holder has not written since
    """

    __slots__ = ("limit",)

    def __init__(self, limit=21600.0):
        self.limit = limit


class Draw:
    """A wish for tokens, sized when the batch meets the shard.

    :ivar need: tokens that waiting reservations lack
    :ivar available: tokens the holder could reserve
    :ivar demand: tokens a second
    """

    __slots__ = ("need", "available", "demand")

    def __init__(self, need, available, demand):
        self.need = need
        self.available = available
        self.demand = demand


class Batch:
    """All that one holder did to a shard since its batch before.

    :ivar holder: holder id
    :ivar number: 1 for its first batch, and so on
    :ivar at: when it was made
    :ivar entries: incarnations that may reserve from its grants
    :ivar draws: Draw by budget
    :ivar returns: tokens by budget
    :ivar bills: BillEntry list
    :ivar transfers: TransferRecord list, tokens lent to this holder
    :ivar closed: ids of transfers that this holder lent and saw applied
    :ivar wants: budgets by which it marks or clears (time 0) its need
    :ivar recoveries: Recovery list
    :ivar leaving: whether the holder gives up all and goes
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
    """Return the tokens of a budget that are not spent, granted or not."""
    return budget.total - budget.settled - budget.absorbed


def free_tokens(budget):
    """Return the tokens of a budget that are in no grant and not spent."""
    return unspent_tokens(budget) - sum(budget.grants.values())


def live_holders(record):
    """Return the ids of the holders that were not recovered."""
    return record.holders.keys() - record.expelled.keys()


def absorbed_key(request, run):
    """Return the key under which an unbilled run is remembered."""
    return f"{request}/{run}"


def find_bill(record, request, run):
    """Return the record of a run that was already accounted for."""
    bill = record.bills.get(request)
    if bill is not None and bill.run == run:
        return bill
    return record.bills.get(absorbed_key(request, run))


def is_applied(record, batch):
    """Return whether the shard already holds the batch.

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
    """Apply a batch to the shard in place, once.

    :param record: the ShardRecord, as read from the store
    :param sizing: the Sizing of draws
    :param limits: the MemoryLimits
    :returns: whether anything was applied
    :raises Expelled: the holder was recovered by others
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
    """Account for what one run consumed, once.

    The first run of a request is billed.  Another run of it, or one whose
    request may have been forgotten, is taken from the budget but appears on
    no bill: tokens served never exceed the total, and nobody pays twice.
    One without tokens says that a reservation's run never began.
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
    """Return whether a presumed run is the very one that was billed.

    A witness that missed a reservation's end presumes it spent.
    """
    bill = record.bills.get(entry.request)
    if bill is None or entry.expiry != NO_BILL:
        return False
    return bill.reservation == entry.reservation


def is_presumed(record, request, reservation):
    """Return whether a reservation stands there as presumed spent."""
    return absorbed_key(request, reservation) in record.bills


def _withdraw_presumption(record, budget, entry):
    """Take back that a reservation was presumed spent; return its tokens.

    Its entry lives after all and says what it consumed.  Without this a
    router that was cut off, or paused, cost the customer the worst case of
    each run that had not begun.
    """
    key = absorbed_key(entry.request, entry.reservation)
    presumed = record.bills.pop(key, None)
    if presumed is None:
        return 0
    budget.absorbed -= presumed.tokens
    return presumed.tokens


def _debit(budget, holder, tokens):
    """Take tokens from a grant, below nothing if need be.

    A holder may have spent or lent what it borrowed before the loan stands
    in the shard.  The loan makes up for it then; until it does, the lender's
    grant still has the tokens, so the sum of all grants stays true.
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
    """Trim a dead holder's grants to what is still owed of them.

    While anything is, it stays listed: it is recovered again, to give back
    what its runs did not use.
    """
    holder = record.holders.get(recovery.holder)
    if holder is None or holder.batch != recovery.batch:
        return
    # A holder that joined since has attested nothing: it may have borrowed.
    if not set(record.holders) <= {*recovery.attested, recovery.holder}:
        return
    # More owed than granted means that it spent borrowed tokens which are
    # still in the lender's grant: nothing can be told apart until then.
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
    """Return whether a dead holder's grants cover all it still owes."""
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
    """Forget bills that no holder can still bring a second time."""
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


# Operators' changes


def add_budget(record, name, total):
    """Add a budget; return False if it exists."""
    if name in record.budgets:
        return False
    record.budgets[name] = BudgetRecord(total, 0, 0, {}, {})
    return True
