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
DEMAND_LEAST_AGE = 2.0
# Part of the whole budget that the fleet holds at least: demand is lumpy, a
# single large request may need a tenth of a small budget.
FIRST_SHARE = 0.3
# Part of what is unspent that the fleet holds at most.  If all machines lose
# power while the store is down, what they held is lost; the rest must serve
# a fair part of what follows.
UNSPENT_SHARE = 0.5
# Draw when less than this part of the target is left.
LOW_WATER = 0.6
# Smallest draw, as a part of the budget: near exhaustion the target falls
# with each draw, and ever smaller ones would only cost store calls.
LEAST_DRAW = 0.01
# Seconds of what is granted that a router borrows beyond what it lacks, and
# requests a second from which on it does: what fewer ones would use later is
# brought back before they come.
LOAN_SECONDS = 1.0
LOAN_REQUESTS = 2.0
# Seconds for which what was left in the store is believed.  Others give back
# what they draw too much; a draw is trimmed to what is there (see trim).
LEFT_SECONDS = 5.0
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
PACE_FACTOR = 1.2
PACE_SHARE = 0.0105
# Part of an allowance that is used up when a new one is written.
ALLOWANCE_USED = 0.6


class Account:
    """A budget's tokens at this router.

    :ivar inflow: tokens that came in since the start
    :ivar outflow: tokens that went out or are set aside
    :ivar under_way: tokens set aside for requests that have not ended
    :ivar spent: tokens that requests of this router surely used
    :ivar reported: how many of these the store's record or a peer counts
    :ivar recorded: tokens that the budget's record counts as spent, as last
        seen
    :ivar heard: most tokens that a peer knew to be spent
    :ivar total: tokens paid for, as the configuration says
    :ivar left: tokens left in the store when it was last seen, or None
    :ivar left_at: steady time then
    :ivar recalled: whether all is to be given back first, as the total fell
    :ivar unanswered: whether the last peer asked for a loan did not answer
    :ivar lender: peer address of the last router that lent some, or None
    :ivar granted_at: steady time of the last request that got tokens here
    :ivar dry_until: steady time until which asking others is in vain
    :ivar waiting: waiters for tokens, the first one first
    """

    __slots__ = (
        "name",
        "inflow",
        "outflow",
        "under_way",
        "spent",
        "reported",
        "recorded",
        "heard",
        "total",
        "left",
        "left_at",
        "recalled",
        "granted_at",
        "dry_until",
        "unanswered",
        "lender",
        "waiting",
        "_unmet",
        "_demand",
        "_granted",
        "_requests",
    )

    def __init__(self, name):
        self.name = name
        self.inflow = 0
        self.outflow = 0
        self.under_way = 0
        self.spent = 0
        self.reported = 0
        self.recorded = 0
        self.heard = 0
        self.total = 0
        self.left = None
        self.left_at = 0.0
        self.recalled = False
        self.granted_at = -math.inf
        self.dry_until = 0.0
        self.unanswered = False
        self.lender = None
        self.waiting = []
        self._unmet = {}
        self._demand = DecayingRate(DEMAND_HALF_LIFE, DEMAND_LEAST_AGE)
        self._granted = DecayingRate(DEMAND_HALF_LIFE, DEMAND_LEAST_AGE)
        self._requests = DecayingRate(DEMAND_HALF_LIFE, DEMAND_LEAST_AGE)

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
        return max(self.recorded + self.unreported, self.heard)

    @property
    def unreported(self):
        """Return the tokens spent here that nobody else counts."""
        return self.spent - self.reported

    def hear_spent(self, tokens):
        """Take in how many tokens were surely used, as a peer knows."""
        self.heard = max(self.heard, tokens)

    @property
    def wanted(self):
        """Return the tokens that waiting requests need."""
        return sum(waiter.tokens for waiter in self.waiting)

    @property
    def lacking(self):
        """Return the tokens that waiting requests need beyond these."""
        return max(0, self.wanted - self.available)

    @property
    def unmet(self):
        """Return the tokens that borrowers lacked since the last record.

        All of them: a limit that opens for one borrower at a time lets the
        others have a few tokens each, which serves none of them.
        """
        return sum(self._unmet.values())

    @property
    def needed(self):
        """Return the tokens that are lacking here and at borrowers."""
        return max(0, self.wanted + self.unmet - self.available)

    def note_unmet(self, borrower, tokens):
        """Note how many tokens a borrower still lacks, in place of before."""
        self._unmet[borrower] = tokens

    def forget_unmet(self):
        """Begin anew to note what borrowers lack."""
        self._unmet.clear()

    def loan(self, room, now):
        """Return the tokens to ask a peer for, 0 if none are needed.

        What the next seconds need is asked for, too, as each loan is a wait
        for some request.

        :param room: tokens that may go out now, None for any number; borrowed
            ones may go out beyond it
        :param now: steady time
        """
        free = self._free(room)
        if self.wanted <= free:
            return 0
        if self._requests.rate(now) < LOAN_REQUESTS:
            return self.wanted - free
        return self.wanted - free + int(LOAN_SECONDS * self._granted.rate(now))

    def _free(self, room):
        """Return the tokens that are here and may go out now.

        :param room: tokens that may go out now, None for any number
        """
        if room is None:
            return self.available
        return max(0, min(self.available, room))

    # Requests

    def note_demand(self, tokens, now):
        """Count what a request asks for."""
        self._demand.add(tokens, now)
        self._requests.add(1, now)

    def reserve(self, tokens, room, now):
        """Set tokens aside if there are enough; return whether.

        :param room: tokens that may go out now, None for any number
        :param now: steady time
        """
        if self.recalled or self._free(room) < tokens:
            return False
        self._granted.add(tokens, now)
        self.granted_at = now
        self.outflow += tokens
        self.under_way += tokens
        return True

    def settle(self, tokens, used, now, spent=0):
        """End a reservation of which some tokens were used.

        :param used: tokens that may have been used, which do not come back
        :param now: steady time
        :param spent: tokens that surely were
        """
        unused = max(0, tokens - used)
        self.outflow -= unused
        self.under_way -= tokens
        self.spent += spent
        self._granted.add(-unused, now)

    def take_back(self, tokens, now):
        """Take in tokens that a borrower did not need.

        What comes back may go out again beyond a written limit, so it counts
        as not granted: what a limit covers besides may be lost with its
        router, and is not needed.
        """
        self.credit(tokens)
        self._granted.add(-tokens, now)

    def note_record(self, record, reported, now):
        """Take in what the store's record says after a batch.

        :param record: the BudgetRecord
        :param reported: tokens of ``spent`` that it counts
        :param now: steady time
        """
        self.left = record.left
        self.left_at = now
        self.reported = reported
        self.recorded = record.spent

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
        self.inflow += tokens

    def lend(self, tokens, room, now, draws=True):
        """Return the tokens lent to another router that lacks some.

        They count as granted, so that limits follow the borrowers' demand,
        too: without that a lender of a large fleet, whose callers it serves
        by others, had tokens and might not let them go.

        :param tokens: what it needs
        :param room: tokens that may go out now, None for any number
        :param now: steady time
        :param draws: whether it draws tokens itself; half of what is here is
            lent to it if that is more, so that it need not ask again soon.
            Others get what they need, so that a lender that takes its fleet
            for small does not lend the first one all.
        """
        if self.waiting or self.recalled:
            return 0
        free = self._free(room)
        if free <= 0:
            return 0
        lent = min(free, max(tokens, free // 2 if draws else 0))
        self.outflow += lent
        self._granted.add(lent, now)
        return lent

    def take_out(self, tokens):
        """Take free tokens out, to be given back or handed over."""
        self.outflow += tokens

    def put_back(self, tokens):
        """Undo a :meth:`take_out`."""
        self.outflow -= tokens

    # Sizes

    def allowance(self, holders, now):
        """Return the tokens that may go out at once after a record."""
        wanted = max(
            ALLOWANCE_SECONDS * self._granted.rate(now),
            ALLOWANCE_SHARE * self.total / holders,
        )
        return int(wanted) + self.wanted + self.unmet

    def pace(self, holders, now):
        """Return how many more may go out for each second of its age."""
        return max(
            PACE_FACTOR * self._granted.rate(now),
            PACE_SHARE * self.unspent / holders,
        )

    def _wanted_tokens(self, holders, now):
        return max(
            HORIZON * self._demand.rate(now),
            FIRST_SHARE * self.total / holders,
        )

    def is_heavy(self, holders, now):
        """Return whether this router alone needs more than a holder keeps.

        Loans would have to come one after the other, each a wait.

        :param holders: routers that hold tokens of this budget
        """
        if self._requests.rate(now) < HEAVY_REQUESTS:
            return False
        needed = HORIZON * self._demand.rate(now)
        return needed > FIRST_SHARE * self.total / holders

    def target(self, holders, now):
        """Return how many tokens to hold.

        :param holders: routers that hold tokens of this budget
        """
        wanted = self._wanted_tokens(holders, now)
        if self.left is not None and now < self.left_at + LEFT_SECONDS:
            wanted = min(wanted, self._most(holders, self.left))
        return int(wanted)

    def _most(self, holders, left):
        """Return the tokens to hold at most.

        The share of what all hold that this router sees is its own.

        :param left: tokens left in the store
        """
        return UNSPENT_SHARE * (left / holders + self.available)

    def trim(self, wish, holders, left):
        """Return what is left of a wish once the store's record is known.

        Others may have drawn since it was last seen.
        """
        if wish <= 0:
            return wish
        room = int(self._most(holders, left)) - self.available
        return max(self.needed, min(wish, room))

    def wish(self, holders, now):
        """Return the tokens to draw, or to give back if negative."""
        if self.recalled:
            return -self.available
        target = self.target(holders, now)
        if self.needed:
            return max(self.needed, target - self.available)
        if self.available < LOW_WATER * target:
            draw = target - self.available
            return draw if draw >= LEAST_DRAW * self.total else 0
        wanted = int(self._wanted_tokens(holders, now))
        if self.available > HIGH_WATER * wanted:
            return wanted - self.available
        return 0
