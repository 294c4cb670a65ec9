"""One budget at one holder: granted, reserved, lent and borrowed tokens."""

import collections

from ..rates import DecayingRate

DEMAND_HALF_LIFE = 10.0


class Reservation:
    """Tokens reserved for one run.

    :ivar entry: incarnation of the router that attests it: its entry router,
        or the witness if that is the home router itself
    :ivar upstream: address the run is sent to, empty until that is known
    :ivar since: wall time at which it was made
    :ivar started_at: wall time at which its upstream was recorded, or None
    :ivar orphaned_at: wall time at which its router was first found dead;
        None while it seems alive
    :ivar router_ended_at: wall time at which the process of its router was
        known to have ended, or None
    """

    __slots__ = (
        "request",
        "reservation",
        "budget",
        "tokens",
        "entry",
        "deadline",
        "upstream",
        "since",
        "started_at",
        "orphaned_at",
        "router_ended_at",
    )

    def __init__(self, message, now):
        self.request = message.request
        self.reservation = message.reservation
        self.budget = message.budget
        self.tokens = message.tokens
        self.entry = message.entry
        self.deadline = message.deadline
        self.upstream = ""
        self.since = now
        self.started_at = None
        self.orphaned_at = None
        self.router_ended_at = None

    @property
    def router(self):
        """Return the incarnation of the router that sends the run."""
        return self.entry


class Account:
    """One budget at one holder; all amounts in tokens.

    :ivar granted: grant in the shard after the last confirmed batch
    :ivar borrowed: Lent message by transfer id, of loans not yet written to
        the shard
    :ivar lent: Loan by transfer id, of loans not yet seen in the shard
    :ivar reserved: Reservation by id
    :ivar unwritten: settled, but the bill is not yet written
    :ivar returning: given back by the batch in flight
    :ivar waiting: Reserve message by reservation id, of those not answered
    :ivar demand: DecayingRate of tokens that were asked for
    :ivar exhausted_until: wall time until which reservations that cannot be
        met are refused at once
    :ivar pending_ask: id of the LendAsk that is not answered yet, or None
    :ivar asked_lenders: holders already asked for a loan
    """

    __slots__ = (
        "name",
        "granted",
        "borrowed",
        "lent",
        "reserved",
        "unwritten",
        "returning",
        "waiting",
        "demand",
        "exhausted_until",
        "pending_ask",
        "asked_lenders",
    )

    def __init__(self, name):
        self.name = name
        self.granted = 0
        self.borrowed = {}
        self.lent = {}
        self.reserved = {}
        self.unwritten = 0
        self.returning = 0
        self.waiting = collections.OrderedDict()
        self.demand = DecayingRate(DEMAND_HALF_LIFE)
        self.exhausted_until = 0.0
        self.pending_ask = None
        self.asked_lenders = set()

    @property
    def available(self):
        """Return the tokens that can be reserved now; may be negative."""
        have = self.granted + sum(m.tokens for m in self.borrowed.values())
        reserved = sum(r.tokens for r in self.reserved.values())
        lent = sum(m.tokens for m in self.lent.values())
        return have - lent - reserved - self.unwritten - self.returning

    @property
    def shortfall(self):
        """Return the tokens that waiting reservations still need."""
        wanted = sum(message.tokens for message in self.waiting.values())
        return max(0, wanted - max(0, self.available)) if wanted else 0


class Loan:
    """Tokens lent to another holder.

    :ivar until: wall time until which a repeated ask gets the same answer
    """

    __slots__ = ("tokens", "borrower", "answer", "until")

    def __init__(self, tokens, borrower, answer, until):
        self.tokens = tokens
        self.borrower = borrower
        self.answer = answer
        self.until = until
