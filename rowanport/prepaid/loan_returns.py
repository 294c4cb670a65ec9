"""Returns borrowed tokens that a router does not need to lenders.

A request reserves the most that it may use.  Without returns, the unused rest
would stay with its router, where few requests need it and where it is lost
with the machine: in a large fleet a good part of a small budget.

Spent tokens are reported to lenders as well.  Routers that draw can then tell
the others that a budget is spent, and callers are not told to retry when
no tokens are left.
"""

import random

from ..incarnation import address_of

# Seconds between two checks of all accounts, so that they are not checked at
# each draw for a waiting request.
CHECK_SECONDS = 0.25
# Seconds after the last grant for which the rest is kept, as a caller's next
# request, sent after the answer, often arrives at the same router.
IDLE_SECONDS = 0.5


class _Share:
    """What is sent to one lender, by budget.

    :ivar tokens: idle tokens
    :ivar spent: tokens that it is to count as spent
    """

    __slots__ = ("tokens", "spent")

    def __init__(self):
        self.tokens = {}
        self.spent = {}


class LoanReturns:
    """Hands idle borrowed tokens off to lenders.

    :param accounts: the Accounts by budget
    :param holders: the Holders
    :param refill: the Refill, which knows which budgets are borrowed
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
        """Send idle tokens and spent counts, one message to each lender."""
        now = self._clock.steady()
        if now < self._next_check:
            return
        self._next_check = now + CHECK_SECONDS
        idle = [a for a in self._accounts.values() if self._is_idle(a)]
        if not idle:
            return
        ready = {address_of(p): p for p in self._members.ready_peers()}
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
            # Counted as reported before the answer, as counts received
            # meanwhile may include these tokens.
            account.reported += reportable_spent
