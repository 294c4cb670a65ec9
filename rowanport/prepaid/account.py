"""One budget's tokens at one router, and how many it should hold.

The account does no I/O.  Tokens come in by a draw from the store or a loan
from a peer, and leave by being spent, lent or returned; a token is always in
exactly one place.  Every count of holders passed in is at least one.
"""

import math

from ..rates import DecayingRate

# Seconds of demand to hold: the longest store outage that users report is
# about 9 s, and draws are some tenths of a second apart.
HORIZON = 10.0
# Half-life in seconds of the demand average; short compared to a traffic
# burst.
DEMAND_HALF_LIFE = 4.0
# Seconds over which the first requests are averaged, so that a single one is
# not read as a rate.
DEMAND_MIN_AGE = 2.0
# Minimum part of the whole budget that the fleet holds: demand varies, and
# a single large request may need a tenth of a small budget.
MIN_HELD_SHARE = 0.3
# Maximum part of the unspent tokens that the fleet holds.  If all machines
# lose power while the store is down, what they held is lost, and the rest has
# to serve a fair part of the later requests.
MAX_HELD_SHARE = 0.5
# Draw when less than this part of the target is held.
LOW_WATER = 0.6
# Smallest draw as a part of the budget: near exhaustion the target falls with
# each draw, and ever smaller draws would only cost store calls.
MIN_DRAW = 0.01
# Seconds of granted demand that a router borrows beyond its shortfall, and the
# requests a second from which it does so.  With fewer requests the surplus
# would be returned before it is used.
LOAN_SECONDS = 1.0
LOAN_REQUESTS = 2.0
# Seconds for which the last seen count of tokens in the store is used.  Other
# routers return surplus tokens; a draw is limited to what is there (see trim).
STORE_VIEW_SECONDS = 5.0
# Requests a second for one budget from which a router of a larger fleet may
# draw itself; one large request of a small budget is not enough.
HEAVY_REQUESTS = 5.0
# Return what exceeds this multiple of the target.
HIGH_WATER = 2.5
# Tokens that may leave at once after a record: in seconds of granted demand,
# and as a part of the whole budget for budgets with rare, large requests.
# Requested tokens are not used as the measure: callers of an exhausted budget
# keep retrying, and all that a limit allows may be lost with its router.
ALLOWANCE_SECONDS = 0.6
ALLOWANCE_SHARE = 0.018
# Growth of that limit per second while no new record is written, as a multiple
# of the granted demand and as a part of the unspent tokens.  It has to last
# for an outage of the store.
GROWTH_FACTOR = 1.2
GROWTH_SHARE = 0.0105
# Used part of an allowance at which a new one is written.
ALLOWANCE_USED = 0.6


class Account:
    """A budget's tokens at this router.

    :ivar inflow: tokens received since the start
    :ivar outflow: tokens that left or are reserved
    :ivar in_flight: tokens reserved for requests that have not ended
    :ivar spent: tokens known to be used by requests of this router
    :ivar reported: part of ``spent`` that the store's record or a peer counts
    :ivar recorded: tokens that the budget's record counts as spent, as last
        seen
    :ivar peer_spent: highest count of spent tokens reported by a peer
    :ivar total: tokens paid for, by the configuration
    :ivar store_remaining: tokens left in the store when last seen, or None
    :ivar store_seen_at: monotonic time of that
    :ivar recalled: whether all tokens must be returned first, as the total
        was lowered
    :ivar loan_unanswered: whether the last peer asked for a loan did not
        answer
    :ivar last_lender: peer address of the last router that lent tokens, or
        None
    :ivar granted_at: monotonic time of the last successful reservation
    :ivar exhausted_until: monotonic time until which peers are not asked, as
        none had tokens
    :ivar waiters: requests waiting for tokens, in order of arrival
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
        """Return the tokens that are neither spent, reserved nor lent."""
        return self.inflow - self.outflow

    @property
    def unspent(self):
        """Return an upper bound of the budget's unspent tokens, fleet-wide.

        What peers spent lately is not known here.
        """
        return self.total - self.known_spent

    @property
    def known_spent(self):
        """Return a lower bound of the budget's spent tokens, fleet-wide.

        Tokens spent here are not added to a peer's count, which may include
        them already: two routers that exchanged counts would raise them
        indefinitely.
        """
        return max(self.recorded + self.unreported, self.peer_spent)

    @property
    def unreported(self):
        """Return the tokens spent here that are not reported yet."""
        return self.spent - self.reported

    def merge_spent(self, tokens):
        """Merge a peer's count of spent tokens."""
        self.peer_spent = max(self.peer_spent, tokens)

    @property
    def waiting_tokens(self):
        """Return the tokens that waiting requests need."""
        return sum(waiter.tokens for waiter in self.waiters)

    @property
    def shortfall(self):
        """Return the tokens that waiting requests need beyond those held."""
        return max(0, self.waiting_tokens - self.available)

    @property
    def borrower_shortfall(self):
        """Return the tokens that borrowers lacked since the last record.

        This is the sum over all borrowers: a limit raised for one of them
        would leave the others a few tokens each, too few for any request.
        """
        return sum(self._shortfalls.values())

    @property
    def total_shortfall(self):
        """Return the tokens lacking here and at borrowers."""
        return max(
            0, self.waiting_tokens + self.borrower_shortfall - self.available
        )

    def record_shortfall(self, borrower, tokens):
        """Set how many tokens a borrower still lacks."""
        self._shortfalls[borrower] = tokens

    def clear_shortfalls(self):
        """Forget what borrowers lack."""
        self._shortfalls.clear()

    def loan_size(self, headroom, now):
        """Return the tokens to ask a peer for, 0 if none are needed.

        The demand of the next seconds is included, as some request has to
        wait for each loan.

        :param headroom: tokens that the limits allow to leave, None if no
            limit is in effect; borrowed tokens are not limited
        :param now: monotonic time
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
        """Return how many available tokens may leave now.

        :param headroom: tokens that the limits allow to leave, None if no
            limit is in effect
        """
        if headroom is None:
            return self.available
        return max(0, min(self.available, headroom))

    # Requests

    def record_demand(self, tokens, now):
        """Count the tokens that a request asks for."""
        self._demand.add(tokens, now)
        self._requests.add(1, now)

    def reserve(self, tokens, headroom, now):
        """Reserve tokens if there are enough; return whether it did.

        :param headroom: tokens that the limits allow to leave, None if no
            limit is in effect
        :param now: monotonic time
        """
        if self.recalled or self._spendable(headroom) < tokens:
            return False
        self._granted.add(tokens, now)
        self.granted_at = now
        self.outflow += tokens
        self.in_flight += tokens
        return True

    def settle(self, tokens, used, now, spent=0):
        """End a reservation and release its unused tokens.

        :param used: tokens that may have been used; they are not released
        :param now: monotonic time
        :param spent: tokens that are known to be used
        """
        unused = max(0, tokens - used)
        self.outflow -= unused
        self.in_flight -= tokens
        self.spent += spent
        self._granted.add(-unused, now)

    def credit_returned(self, tokens, now):
        """Credit tokens that a borrower returned unused.

        Returned tokens may leave again beyond a written limit, so they are
        subtracted from the granted demand: a limit that covered them as well
        would be larger than needed, and what it allows may be lost with the
        router.
        """
        self.credit(tokens)
        self._granted.add(-tokens, now)

    def apply_record(self, record, reported, now):
        """Apply the store's record as a batch left it.

        :param record: the BudgetRecord
        :param reported: tokens of ``spent`` that it counts
        :param now: monotonic time
        """
        self.store_remaining = record.remaining
        self.store_seen_at = now
        self.reported = reported
        self.recorded = record.spent

    # Transfers

    def set_total(self, total):
        """Apply the total of a new configuration."""
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
        """Add tokens."""
        self.inflow += tokens

    def lend(self, tokens, headroom, now, draws=True):
        """Lend tokens to another router; return how many.

        They count as granted, so that limits follow the borrowers' demand as
        well.  Otherwise a lender in a large fleet, with little demand of its
        own, would hold tokens that its limits do not allow to leave.

        :param tokens: tokens that the borrower needs
        :param headroom: tokens that the limits allow to leave, None if no
            limit is in effect
        :param now: monotonic time
        :param draws: whether the borrower draws from the store itself.  It
            then gets half of what is here if that is more, so that it need
            not ask again soon.  Others get what they need only, so that a
            lender that underestimates the size of its fleet does not lend
            everything to the first borrower.
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
        """Remove available tokens, to be returned or handed off."""
        self.outflow += tokens

    def cancel_debit(self, tokens):
        """Undo a :meth:`debit`."""
        self.outflow -= tokens

    # Sizes

    def allowance(self, holders, now):
        """Return the tokens that may leave at once after a record."""
        wanted = max(
            ALLOWANCE_SECONDS * self._granted.rate(now),
            ALLOWANCE_SHARE * self.total / holders,
        )
        return int(wanted) + self.waiting_tokens + self.borrower_shortfall

    def limit_growth(self, holders, now):
        """Return the limit's growth in tokens a second."""
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
        """Return whether this router's demand exceeds a holder's share.

        Borrowing would then take one loan after another, with a wait for each.

        :param holders: number of routers that draw on this budget
        """
        if self._requests.rate(now) < HEAVY_REQUESTS:
            return False
        needed = HORIZON * self._demand.rate(now)
        return needed > MIN_HELD_SHARE * self.total / holders

    def target(self, holders, now):
        """Return how many tokens to hold.

        :param holders: number of routers that draw on this budget
        """
        wanted = self._demand_target(holders, now)
        if (
            self.store_remaining is not None
            and now < self.store_seen_at + STORE_VIEW_SECONDS
        ):
            wanted = min(wanted, self._max_held(holders, self.store_remaining))
        return int(wanted)

    def _max_held(self, holders, left):
        """Return the maximum number of tokens to hold.

        Of all held tokens this router knows only its own.

        :param left: tokens left in the store
        """
        return MAX_HELD_SHARE * (left / holders + self.available)

    def trim(self, draw, holders, left):
        """Reduce a planned draw to what the store's record allows.

        Other routers may have drawn since the record was last seen.

        :param left: tokens left in the store
        """
        if draw <= 0:
            return draw
        capacity = int(self._max_held(holders, left)) - self.available
        return max(self.total_shortfall, min(draw, capacity))

    def planned_draw(self, holders, now):
        """Return the tokens to draw; negative to return some."""
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
