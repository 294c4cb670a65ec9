"""Loans of tokens between holders, used when the shard has too few.

A loan is debited at the lender before the answer is sent, and credited once
at the borrower.  The borrower's next batch writes it to the shard as a
transfer.
"""

from ..errors import ErrorKind
from ..schema.messages import LendAsk
from ..schema.messages import Lent
from ..schema.messages import Refused
from ..schema.messages import TransferRecord
from .account import Loan
from .record import live_holders

# Seconds for which a repeated LendAsk gets the same answer.
LOAN_MEMORY = 3600.0


class Loans:
    """Loans that one holder gave and received.

    :param new_id: function that returns unique ids
    """

    def __init__(self, new_id):
        self._new_id = new_id
        self._loans = {}
        self._asks = set()
        self._closed = set()

    # Borrowing

    def next_ask(self, account, record, holder, fenced):
        """Return the next (lender, LendAsk) for an account, or None.

        :param record: the ShardRecord as last read; it has the budget
        :param holder: id of the holder that asks
        :param fenced: ids of dead holders, which are not asked
        """
        budget = record.budgets[account.name]
        for lender in _lenders(budget, holder):
            if lender not in live_holders(record):
                continue
            if lender not in account.asked_lenders | fenced:
                account.asked_lenders.add(lender)
                account.pending_ask = self._new_id()
                self._asks.add(account.pending_ask)
                message = LendAsk(
                    account.pending_ask,
                    account.name,
                    account.shortfall,
                    holder,
                )
                return lender, message
        return None

    def borrow(self, account, message):
        """Accept a Lent message once; return whether it was new."""
        if message.ask not in self._asks:
            return False
        self._asks.discard(message.ask)
        account.asked_lenders.discard(message.lender)
        account.borrowed[message.ask] = message
        return True

    # Lending

    def previous_answer(self, ask):
        """Return the answer given to an ask before, or None."""
        loan = self._loans.get(ask)
        return loan.answer if loan is not None else None

    def lend(self, account, message, holder, now):
        """Lend tokens of an account; return Lent or Refused.

        :param holder: id of the lending holder
        """
        # Borrowed tokens are not in this holder's grant in the shard yet, so
        # they are not lent again.
        borrowed = sum(lent.tokens for lent in account.borrowed.values())
        spare = account.available - borrowed
        if account.waiting or spare <= 0:
            return Refused(ErrorKind.BUDGET_EXHAUSTED.value, "nothing to lend")
        # Lend what was asked, or half of what is spare if that is more.
        tokens = min(spare, max(message.tokens, spare // 2))
        answer = Lent(message.ask, message.budget, tokens, holder)
        loan = Loan(tokens, message.borrower, answer, now + LOAN_MEMORY)
        self._loans[message.ask] = loan
        account.lent[message.ask] = loan
        return answer

    def forget(self, accounts, now):
        """Drop answers to asks that are too old to be repeated.

        :param accounts: Account by budget
        """
        for key, loan in list(self._loans.items()):
            account = accounts.get(loan.answer.budget)
            open_here = account is not None and key in account.lent
            if loan.until < now and not open_here:
                del self._loans[key]

    # The shard

    @property
    def closed(self):
        """Return ids of transfers lent here that were seen in the shard."""
        return sorted(self._closed)

    def forget_closed(self, closed):
        """Drop closed transfers that a batch has removed from the shard."""
        self._closed.difference_update(closed)

    def observe(self, account, record):
        """Drop an account's loans that the shard shows to be resolved.

        A loan is resolved once its transfer is in the shard, or once its
        borrower was recovered.
        """
        for transfer, loan in list(account.lent.items()):
            if transfer in record.transfers:
                self._closed.add(transfer)
            elif loan.borrower not in record.expelled:
                continue
            del account.lent[transfer]


def transfers(accounts):
    """Return TransferRecords of all loans that the accounts received."""
    return [
        TransferRecord(lent.ask, account.name, lent.tokens, lent.lender)
        for account in accounts
        for lent in account.borrowed.values()
    ]


def _lenders(budget, holder):
    """Return the other holders of a budget, largest grant first."""
    names = (
        name
        for name, tokens in budget.grants.items()
        if name != holder and tokens > 0
    )
    return sorted(names, key=lambda name: -budget.grants[name])
