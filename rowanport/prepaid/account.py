"""One budget at one router: what it holds, owes and should hold.

Nothing here waits or sends.  Tokens come in by a draw or a loan and go out
by being spent, lent or given back; at each moment a token is in one place.
A count of holders is one at least, whoever makes it.
"""

import math

from ..rates import DecayingRate

# Seconds of demand to hold: the longest outage of the store that the users
# describe is about 9 s, and draws are some tenths of a second apart.
HORIZON = 10.0
# Half life of the demand in seconds: short against a burst of traffic.
DEMAND_HALF_LIFE = 4.0
# Seconds over which the first requests are spread, so that a single one is
# not taken for a rate.
DEMAND_MIN_AGE = 2.0
# Part of the whole budget that the fleet holds at least: demand is lumpy, a
# single large request may need a tenth of a small budget.
MIN_HELD_SHARE = 0.3
# Part of what is unspent that the fleet holds at most.  If all machines lose
# power while the store is down, what they held is lost; the rest must serve
# a fair part of what follows.
MAX_HELD_SHARE = 0.5
# Draw when less than this part of the target is left.
LOW_WATER = 0.6
# Smallest draw, as a part of the budget: near exhaustion the target falls
# with each draw, and ever smaller ones would only cost store calls.
MIN_DRAW = 0.01
# Seconds of what is granted that a router borrows beyond what it lacks, and
# requests a second from which on it does: what fewer ones would use later is
# brought back before they come.
LOAN_SECONDS = 1.0
LOAN_REQUESTS = 2.0
# Seconds for which what was left in the store is believed.  Others give back
# what they draw too much; a draw is trimmed to what is there (see trim).
STORE_VIEW_SECONDS = 5.0
# Requests a second of one budget from which on a router of a larger fleet may
# draw itself: one large request of a small budget is no reason to.
HEAVY_REQUESTS = 5.0
# Give back what is above this multiple of the target.
HIGH_WATER = 2.5
# Tokens that may go out at once after a record, in seconds of what is granted
# and as a part of the whole budget for those that are asked rarely and then
# for much at once.  What is asked is no measure: callers of a dry budget ask
# again and again, and all that a limit lets go may be lost with its router.
ALLOWANCE_SECONDS = 0.6
ALLOWANCE_SHARE = 0.018
# How fast that limit grows while no new record is made, as a multiple of what
# is granted and as a part of what is unspent a second: what a cut from the
# store must bear.
GROWTH_FACTOR = 1.2
GROWTH_SHARE = 0.0105
# Part of an allowance that is used up when a new one is written.
ALLOWANCE_USED = 0.6


class Account:
    """A budget's tokens at this router.

    :ivar inflow: tokens that came in since the start
    :ivar outflow: tokens that went out or are set aside
    :ivar in_flight: tokens set aside for requests that have not ended
    :ivar spent: tokens that requests of this router surely used
    :ivar reported: how many of these the store's record or a peer counts
    :ivar recorded: tokens that the budget's record counts as spent, as last
        seen
    :ivar peer_spent: most tokens that a peer knew to be spent
    :ivar total: tokens paid for, as the configuration says
    :ivar store_remaining: tokens left in the store when it was last seen,
        or None
    :ivar store_seen_at: steady time then
    :ivar recalled: whether all is to be given back first, as the total fell
    :ivar loan_unanswered: whether the last peer asked for a loan did not
        answer
    :ivar last_lender: peer address of the last router that lent some, or None
    :ivar granted_at: steady time of the last request that got tokens here
    :ivar exhausted_until: steady time until which asking others is in vain
    :ivar waiters: waiters for tokens, the first one first
    """

    __slots__ = (
        "name",
        "inflow",
        "outflow",
        "in_flight",
        "spent",
        "reported",
        "recorded",
        "peer_spent",
        "total",
        "store_remaining",
        "store_seen_at",
        "recalled",
        "granted_at",
        "exhausted_until",
        "loan_unanswered",
        "last_lender",
        "waiters",
        "_shortfalls",
        "_demand",
        "_granted",
        "_requests",
    )

    def __init__(self, name):
        self.name = name
        self.inflow = 0
        self.outflow = 0
        self.in_flight = 0
        self.spent = 0
        self.reported = 0
        self.recorded = 0
        self.peer_spent = 0
        self.total = 0
        self.store_remaining = None
        self.store_seen_at = 0.0
        self.recalled = False
        self.granted_at = -math.inf
        self.exhausted_until = 0.0
        self.loan_unanswered = False
        self.last_lender = None
        self.waiters = []
        self._shortfalls = {}
        self._demand = DecayingRate(DEMAND_HALF_LIFE, DEMAND_MIN_AGE)
        self._granted = DecayingRate(DEMAND_HALF_LIFE, DEMAND_MIN_AGE)
        self._requests = DecayingRate(DEMAND_HALF_LIFE, DEMAND_MIN_AGE)

    @property
    def available(self):
        """Return the tokens that are nobody's yet."""
        return self.inflow - self.outflow

    @property
    def unspent(self):
        """Return the tokens that may be unspent, wherever they are.

        Never fewer than really are: what peers spent lately is not known.
        """
        return self.total - self.known_spent

    @property
    def known_spent(self):
        """Return the tokens that were surely used, as far as is known.

        What a peer knew is not added to: it may hold what is counted here,
        and two routers that told each other would count more and more.
        """
        return max(self.recorded + self.unreported, self.peer_spent)

    @property
    def unreported(self):
        """Return the tokens spent here that nobody else counts."""
        return self.spent - self.reported

    def merge_spent(self, tokens):
        """Take in how many tokens were surely used, as a peer knows."""
        self.peer_spent = max(self.peer_spent, tokens)

    @property
    def waiting_tokens(self):
        """Return the tokens that waiting requests need."""
        return sum(waiter.tokens for waiter in self.waiters)

    @property
    def shortfall(self):
        """Return the tokens that waiting requests need beyond these."""
        return max(0, self.waiting_tokens - self.available)

    @property
    def borrower_shortfall(self):
        """Return the tokens that borrowers lacked since the last record.

        All of them: a limit that opens for one borrower at a time lets the
        others have a few tokens each, which serves none of them.
        """
        return sum(self._shortfalls.values())

    @property
    def total_shortfall(self):
        """Return the tokens that are lacking here and at borrowers."""
        return max(
            0, self.waiting_tokens + self.borrower_shortfall - self.available
        )

    def record_shortfall(self, borrower, tokens):
        """Note how many tokens a borrower still lacks, in place of before."""
        self._shortfalls[borrower] = tokens

    def clear_shortfalls(self):
        """Begin anew to note what borrowers lack."""
        self._shortfalls.clear()

    def loan_size(self, headroom, now):
        """Return the tokens to ask a peer for, 0 if none are needed.

        What the next seconds need is asked for, too, as each loan is a wait
        for some request.

        :param headroom: tokens that may go out now, None for any number;
            borrowed ones may go out beyond it
        :param now: steady time
        """
        free = self._spendable(headroom)
        if self.waiting_tokens <= free:
            return 0
        if self._requests.rate(now) < LOAN_REQUESTS:
            return self.waiting_tokens - free
        return (
            self.waiting_tokens
            - free
            + int(LOAN_SECONDS * self._granted.rate(now))
        )

    def _spendable(self, headroom):
        """Return the tokens that are here and may go out now.

        :param headroom: tokens that may go out now, None for any number
        """
        if headroom is None:
            return self.available
        return max(0, min(self.available, headroom))

    # Requests

    def record_demand(self, tokens, now):
        """Count what a request asks for."""
        self._demand.add(tokens, now)
        self._requests.add(1, now)

    def reserve(self, tokens, headroom, now):
        """Set tokens aside if there are enough; return whether.

        :param headroom: tokens that may go out now, None for any number
        :param now: steady time
        """
        if self.recalled or self._spendable(headroom) < tokens:
            return False
        self._granted.add(tokens, now)
        self.granted_at = now
        self.outflow += tokens
        self.in_flight += tokens
        return True

    def settle(self, tokens, used, now, spent=0):
        """End a reservation of which some tokens were used.

        :param used: tokens that may have been used, which do not come back
        :param now: steady time
        :param spent: tokens that surely were
        """
        unused = max(0, tokens - used)
        self.outflow -= unused
        self.in_flight -= tokens
        self.spent += spent
        self._granted.add(-unused, now)

    def credit_returned(self, tokens, now):
        """Take in tokens that a borrower did not need.

        What comes back may go out again beyond a written limit, so it counts
        as not granted: what a limit covers besides may be lost with its
        router, and is not needed.
        """
        self.credit(tokens)
        self._granted.add(-tokens, now)

    def apply_record(self, record, reported, now):
        """Take in what the store's record says after a batch.

        :param record: the BudgetRecord
        :param reported: tokens of ``spent`` that it counts
        :param now: steady time
        """
        self.store_remaining = record.remaining
        self.store_seen_at = now
        self.reported = reported
        self.recorded = record.spent

    # Tokens that come and go

    def set_total(self, total):
        """Take over the total of a new configuration."""
        if total < self.total:
            self.recalled = True
        elif total > self.total:
            self.exhausted_until = 0.0
        if self.store_remaining is not None:
            self.store_remaining = max(
                0, self.store_remaining + total - self.total
            )
        self.total = total

    def credit(self, tokens):
        """Take in tokens."""
        self.inflow += tokens

    def lend(self, tokens, headroom, now, draws=True):
        """Return the tokens lent to another router that lacks some.

        They count as granted, so that limits follow the borrowers' demand,
        too: without that a lender of a large fleet, whose callers it serves
        by others, had tokens and might not let them go.

        :param tokens: what it needs
        :param headroom: tokens that may go out now, None for any number
        :param now: steady time
        :param draws: whether it draws tokens itself; half of what is here is
            lent to it if that is more, so that it need not ask again soon.
            Others get what they need, so that a lender that takes its fleet
            for small does not lend the first one all.
        """
        if self.waiters or self.recalled:
            return 0
        free = self._spendable(headroom)
        if free <= 0:
            return 0
        lent = min(free, max(tokens, free // 2 if draws else 0))
        self.outflow += lent
        self._granted.add(lent, now)
        return lent

    def debit(self, tokens):
        """Take free tokens out, to be given back or handed over."""
        self.outflow += tokens

    def cancel_debit(self, tokens):
        """Undo a :meth:`debit`."""
        self.outflow -= tokens

    # Sizes

    def allowance(self, holders, now):
        """Return the tokens that may go out at once after a record."""
        wanted = max(
            ALLOWANCE_SECONDS * self._granted.rate(now),
            ALLOWANCE_SHARE * self.total / holders,
        )
        return int(wanted) + self.waiting_tokens + self.borrower_shortfall

    def limit_growth(self, holders, now):
        """Return how many more may go out for each second of its age."""
        return max(
            GROWTH_FACTOR * self._granted.rate(now),
            GROWTH_SHARE * self.unspent / holders,
        )

    def _demand_target(self, holders, now):
        return max(
            HORIZON * self._demand.rate(now),
            MIN_HELD_SHARE * self.total / holders,
        )

    def has_heavy_demand(self, holders, now):
        """Return whether this router alone needs more than a holder keeps.

        Loans would have to come one after the other, each a wait.

        :param holders: routers that hold tokens of this budget
        """
        if self._requests.rate(now) < HEAVY_REQUESTS:
            return False
        needed = HORIZON * self._demand.rate(now)
        return needed > MIN_HELD_SHARE * self.total / holders

    def target(self, holders, now):
        """Return how many tokens to hold.

        :param holders: routers that hold tokens of this budget
        """
        wanted = self._demand_target(holders, now)
        if (
            self.store_remaining is not None
            and now < self.store_seen_at + STORE_VIEW_SECONDS
        ):
            wanted = min(wanted, self._max_held(holders, self.store_remaining))
        return int(wanted)

    def _max_held(self, holders, left):
        """Return the tokens to hold at most.

        The share of what all hold that this router sees is its own.

        :param left: tokens left in the store
        """
        return MAX_HELD_SHARE * (left / holders + self.available)

    def trim(self, planned_draw, holders, left):
        """Return what is left of a wish once the store's record is known.

        Others may have drawn since it was last seen.
        """
        if planned_draw <= 0:
            return planned_draw
        headroom = int(self._max_held(holders, left)) - self.available
        return max(self.total_shortfall, min(planned_draw, headroom))

    def planned_draw(self, holders, now):
        """Return the tokens to draw, or to give back if negative."""
        if self.recalled:
            return -self.available
        target = self.target(holders, now)
        if self.total_shortfall:
            return max(self.total_shortfall, target - self.available)
        if self.available < LOW_WATER * target:
            draw = target - self.available
            return draw if draw >= MIN_DRAW * self.total else 0
        wanted = int(self._demand_target(holders, now))
        if self.available > HIGH_WATER * wanted:
            return wanted - self.available
        return 0
