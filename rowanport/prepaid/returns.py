"""Brings tokens that a router borrowed and does not need back to lenders.

A request sets aside what it may use at most and often uses half of that; the
rest stayed with its router, where nobody asked for it and where it was lost
with the machine.  In a fleet of 195 routers that was a third of many small
budgets (100,798 of 304,030 tokens at 30 routers), whose requests were refused.
"""

import random

from ..incarnation import address_of

# Seconds after the last request of a budget for which the rest is kept: a
# caller's next request, sent when an answer has come, often meets the same
# router.
KEEP_SECONDS = 0.5


class Returns:
    """Hands over what this router borrowed and does not need.

    :param accounts: the Accounts by budget
    :param refill: the Refill, which knows who draws on a budget
    :param hand_overs: the HandOvers
    :param members: the Membership
    :param clock: a Clock
    """

    def __init__(self, accounts, refill, hand_overs, members, clock):
        self._accounts = accounts
        self._refill = refill
        self._hand_overs = hand_overs
        self._members = members
        self._clock = clock

    def send(self):
        """Send idle tokens back, in one hand-over for each lender."""
        idle = [a for a in self._accounts.values() if self._is_idle(a)]
        if not idle:
            return
        ready = {address_of(p): p for p in self._members.ready_others()}
        tokens = {}
        for account in idle:
            holders = self._refill.holders(account.name)
            lenders = [ready[holder] for holder in holders if holder in ready]
            if lenders:
                share = tokens.setdefault(random.choice(lenders), {})
                share[account.name] = account.available
                account.take_out(account.available)
        for lender, share in tokens.items():
            self._hand_overs.send(lender, share)

    def _is_idle(self, account):
        if account.available <= 0 or account.waiting:
            return False
        if self._clock.steady() < account.granted_at + KEEP_SECONDS:
            return False
        return self._refill.is_borrower(account.name)
