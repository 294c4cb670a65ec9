"""Brings what a router borrowed and does not need back to lenders.

A request sets aside what it may use at most, and what it leaves unused stayed
with its router, where nobody asked for it and where it was lost with the
machine.  In a large fleet that is a good part of a small budget.

Lenders hear what was used, too: who draws tells others that a budget is spent,
so that callers are not told to come back in vain.
"""

import random

from ..incarnation import address_of

# Seconds between two looks at all accounts: not each time that tokens are
# drawn for somebody who waits.
CHECK_SECONDS = 0.25
# Seconds after the last request of a budget for which the rest is kept: a
# caller's next request, sent when an answer has come, often meets the same
# router.
IDLE_SECONDS = 0.5


class _Share:
    """What one lender is sent, by budget.

    :ivar tokens: idle tokens
    :ivar spent: tokens that it is to count as used
    """

    __slots__ = ("tokens", "spent")

    def __init__(self):
        self.tokens = {}
        self.spent = {}


class LoanReturns:
    """Hands over what this router borrowed and does not need.

    :param accounts: the Accounts by budget
    :param holders: the Holders
    :param refill: the Refill, which knows what is borrowed
    :param handoffs: the Handoffs
    :param members: the Membership
    :param clock: a Clock
    """

    def __init__(self, accounts, holders, refill, handoffs, members, clock):
        self._accounts = accounts
        self._holders = holders
        self._refill = refill
        self._handoffs = handoffs
        self._members = members
        self._clock = clock
        self._next_check = clock.steady()

    def send(self):
        """Send idle tokens and what was spent, each lender at once."""
        now = self._clock.steady()
        if now < self._next_check:
            return
        self._next_check = now + CHECK_SECONDS
        idle = [a for a in self._accounts.values() if self._is_idle(a)]
        if not idle:
            return
        ready = {address_of(p): p for p in self._members.ready_others()}
        shares = {}
        for account in idle:
            holders = self._holders.for_budget(account.name)
            lenders = [ready[holder] for holder in holders if holder in ready]
            if lenders:
                lender = ready.get(account.last_lender)
                if lender not in lenders:
                    lender = random.choice(lenders)
                self._add_to_share(
                    account, shares.setdefault(lender, _Share())
                )
        for lender, share in shares.items():
            self._handoffs.send(lender, share.tokens, share.spent)

    def _is_idle(self, account):
        if account.waiters:
            return False
        if (
            account.available <= 0
            and self._refill.reportable_spent(account) <= 0
        ):
            return False
        if self._clock.steady() < account.granted_at + IDLE_SECONDS:
            return False
        return self._refill.is_borrower(account.name)

    def _add_to_share(self, account, share):
        if account.available > 0:
            share.tokens[account.name] = account.available
            account.debit(account.available)
        reportable_spent = self._refill.reportable_spent(account)
        if reportable_spent > 0:
            share.spent[account.name] = reportable_spent
            # At once: an answer that names more would count it twice.
            account.reported += reportable_spent
