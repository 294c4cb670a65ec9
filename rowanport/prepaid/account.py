"""One budget at one router: what it holds, owes and should hold.

Nothing here waits or sends.  Tokens enter by a draw or a loan and leave by
being spent, lent or given back; at each moment a token is in one place.
"""

from ..rates import DecayingRate

# Seconds of demand to hold: the longest outage of the store that the users
# describe is about 9 s, and draws are some tenths of a second apart.
HORIZON = 10.0
# Half life of the measured demand in seconds: short against a burst of 6 s.
DEMAND_HALF_LIFE = 4.0
# Part of the whole budget that the fleet holds before demand is known; it
# lasts 10 s at the demand for which a budget is usually bought.
FIRST_SHARE = 0.16
# Draw when less than this part of the target is left.
LOW_WATER = 0.6
# Smallest draw, as a part of the budget: near exhaustion the target falls
# with each draw, and ever smaller ones would only cost store calls.
LEAST_DRAW = 0.002
# Give back what is above this multiple of the target.
HIGH_WATER = 2.5


class Account:
    """A budget's tokens at this router.

    :ivar available: tokens that may be reserved
    :ivar reserved: tokens set aside for requests under way
    :ivar total: tokens paid for, as the configuration says
    :ivar left: tokens left in the store when it was last seen, or None
    :ivar recalled: whether all is to be given back first, as the total fell
    :ivar dry_until: steady time until which asking others is in vain
    """

    __slots__ = (
        "name",
        "available",
        "reserved",
        "total",
        "left",
        "recalled",
        "dry_until",
        "waiting",
        "_demand",
    )

    def __init__(self, name):
        self.name = name
        self.available = 0
        self.reserved = 0
        self.total = 0
        self.left = None
        self.recalled = False
        self.dry_until = 0.0
        self.waiting = []
        self._demand = DecayingRate(DEMAND_HALF_LIFE)

    @property
    def lacking(self):
        """Return the tokens that waiting requests need beyond these."""
        wanted = sum(waiter.tokens for waiter in self.waiting)
        return max(0, wanted - self.available)

    # Requests

    def note_demand(self, tokens, now):
        """Count what a request asks for."""
        self._demand.add(tokens, now)

    def reserve(self, tokens):
        """Set tokens aside if there are enough; return whether."""
        if self.recalled or self.available < tokens:
            return False
        self.available -= tokens
        self.reserved += tokens
        return True

    def settle(self, tokens, used):
        """End a reservation of which some tokens were used."""
        self.reserved -= tokens
        self.available += max(0, tokens - used)

    # Tokens that come and go

    def set_total(self, total):
        """Take over the total of a new configuration."""
        if total < self.total:
            self.recalled = True
        elif total > self.total:
            self.dry_until = 0.0
        if self.left is not None:
            self.left = max(0, self.left + total - self.total)
        self.total = total

    def credit(self, tokens):
        """Take in tokens."""
        self.available += tokens

    def lend(self, tokens):
        """Return the tokens lent to another router that lacks some.

        :param tokens: what it needs; half of what is here is lent if that
            is more, so that it need not ask again soon
        """
        if self.waiting or self.recalled or self.available <= 0:
            return 0
        lent = min(self.available, max(tokens, self.available // 2))
        self.available -= lent
        return lent

    def take_all(self):
        """Return all available tokens, which leave this account."""
        tokens = self.available
        self.available = 0
        return tokens

    # Sizes

    def _wanted(self, holders, now):
        return max(
            HORIZON * self._demand.rate(now),
            FIRST_SHARE * self.total / holders,
        )

    def target(self, holders, now):
        """Return how many tokens to hold.

        :param holders: routers that hold tokens of this budget
        """
        wanted = self._wanted(holders, now)
        if self.left is not None:
            # What a sudden end of all routers strands stays under half of
            # what is unspent.
            wanted = min(wanted, (self.left + self.available) / holders)
        return int(wanted)

    def wish(self, holders, now):
        """Return the tokens to draw, or to give back if negative."""
        if self.recalled:
            return -self.available
        target = self.target(holders, now)
        if self.lacking:
            return max(self.lacking, target - self.available)
        if self.available < LOW_WATER * target:
            draw = target - self.available
            return draw if draw >= LEAST_DRAW * self.total else 0
        wanted = int(self._wanted(holders, now))
        if self.available > HIGH_WATER * wanted:
            return wanted - self.available
        return 0
