"""Outflow limits that a router writes to the store and then keeps to.

With each batch a router writes how many tokens of each budget it will let out
at most, as a total since its start that grows with the age of the record.  It
keeps to that limit until ``HOLD_SECONDS`` after it made the record, and writes
a new one long before.  Only a router that can no longer write outlives its
limits.

So if the router is known to have ended by some age of its last record, it let
out no more than the limit at that age, and the rest can be returned.  Its next
run can prove such an age in two cases:

- The process was killed: both runs read the same monotonic clock.
- The machine restarted, which resets the monotonic clock.  Then leases prove
  the age.  They are renewed before the record is made and written with it:
  while the key of one is there, less time than its span has passed on the
  store's clock.  A store that is down may delay the expiry of a lease, so the
  wall clocks of the fleet must agree as well.
"""

import math

# Seconds for which a written limit is in effect.  A machine that comes back
# within this time recovers a part of what it held; a router that is cut off
# from the store for longer may use all that it holds.
HOLD_SECONDS = 6.0
# Spans in seconds of the leases written with a record.  The age is proved to
# be below the shortest span whose lease is left, so several spans tell a short
# absence from a long one.
LEASE_SPANS = (1.5, 2.0, 3.5, HOLD_SECONDS)
# Seconds after which a limit is written again.
RENEW_SECONDS = 0.7
# Age in seconds from which a limit grows.  A router that reaches the store has
# written two newer records by then.  A machine that lost power for a moment is
# back by then and recovers all but what the limit allowed at once; in a cut
# from the store that amount has to last for this time.
GROWTH_DELAY = 1.5
# Difference in seconds between monotonic and wall clock beyond which the
# machine may have restarted, which resets the monotonic clock.
CLOCK_TOLERANCE = 1.0


class Limit:
    """Maximum outflow of one budget, as a total since the router's start.

    :ivar base: tokens at the time of the record
    :ivar growth: tokens a second added once ``delay`` has passed
    :ivar delay: age of the record in seconds from which the limit grows
    """

    __slots__ = ("base", "growth", "delay")

    def __init__(self, base, growth=0.0, delay=GROWTH_DELAY):
        self.base = base
        self.growth = growth
        self.delay = delay

    def at(self, age):
        """Return the limit at an age of its record in seconds."""
        return int(self.base + self.growth * max(0.0, age - self.delay))

    def age_of(self, tokens):
        """Return the age in seconds from which it allows some tokens."""
        if tokens <= self.base:
            return 0.0
        if not self.growth:
            return math.inf
        # One more token, as limits are rounded down.
        return self.delay + (tokens + 1 - self.base) / self.growth


class Allowance:
    """The limits in one record.

    :ivar made_at: monotonic time just before the record was written
    :ivar grows_at: monotonic time from which its limits grow
    :ivar lapses_at: monotonic time from which they are not in effect
    :ivar limits: Limit by budget; other budgets are not limited
    :ivar inflows: tokens received by budget, as counted in the record; what
        was received otherwise is not in the record and may leave beyond the
        limit
    """

    __slots__ = ("made_at", "grows_at", "lapses_at", "limits", "inflows")

    def __init__(self, made_at, limits, inflows):
        self.made_at = made_at
        self.grows_at = made_at + GROWTH_DELAY
        self.lapses_at = made_at + HOLD_SECONDS
        self.limits = limits
        self.inflows = inflows

    def headroom(self, account, now):
        """Return how many more tokens of an Account may leave."""
        limit = self.limits[account.name].at(now - self.made_at)
        return limit - self.inflows[account.name] + account.available

    def allowed_at(self, account, tokens):
        """Return the monotonic time from which some tokens may leave."""
        out = tokens + self.inflows[account.name] - account.available
        age = self.limits[account.name].age_of(out)
        return min(self.made_at + age, self.lapses_at)

    def add_drawn(self, name, tokens):
        """Count tokens that the record's own batch drew as received.

        The record includes them, so they do not raise its limit.
        """
        self.inflows[name] = self.inflows.get(name, 0) + tokens


class Allowances:
    """The limits of all records that may be in the store."""

    def __init__(self):
        self._active = []

    def add(self, allowance):
        """Add the limits of a record that is about to be written."""
        if allowance not in self._active:
            self._active.append(allowance)

    def discard(self, allowance):
        """Remove a record that is known not to be in the store."""
        if allowance in self._active:
            self._active.remove(allowance)

    def confirm(self, allowance):
        """Keep only the record that is known to be in the store."""
        self._active = [allowance]

    def headroom(self, account, now):
        """Return how many more tokens of an Account may leave.

        :returns: tokens, None if no limit is in effect
        """
        active = self._in_effect(account.name, now)
        return min((a.headroom(account, now) for a in active), default=None)

    def allowed_at(self, account, tokens, now):
        """Return the monotonic time from which limits let some tokens out.

        :param tokens: no more tokens than the Account holds
        """
        active = self._in_effect(account.name, now)
        times = (a.allowed_at(account, tokens) for a in active)
        return max(times, default=now)

    def _in_effect(self, name, now):
        """Return the Allowances that limit a budget now."""
        return [
            one
            for one in self._active
            if name in one.limits and now < one.lapses_at
        ]

    def newest(self):
        """Return the newest Allowance, or None."""
        return self._active[-1] if self._active else None


def process_age(record, steady, wall):
    """Return the age of a record by which a killed process had ended.

    :param record: its last HolderRecord
    :param steady: monotonic time now, of the machine that wrote it
    :param wall: wall time now, of the same machine
    :returns: seconds; None if not proved or if the limits had expired
    """
    age = steady - record.made_at
    if not 0.0 <= age < record.effective_seconds:
        return None
    proved = abs(wall - record.wall - age) < CLOCK_TOLERANCE
    return age if proved else None


def machine_age(record, span, has_recent_peers, latest):
    """Return the age of a record by which a restarted machine had ended.

    :param record: its last HolderRecord
    :param span: span in seconds of the shortest lease left of it, or None
    :param has_recent_peers: whether another machine's clock was observed
    :param latest: latest wall time that any clock of the fleet showed when
        the next run began
    :returns: seconds, one of ``LEASE_SPANS``; None if not proved or if the
        limits had expired
    """
    if span is None or not has_recent_peers:
        return None
    age = latest - record.earliest
    if age < 0.0:
        return None
    spans = [s for s in LEASE_SPANS if span <= s <= record.effective_seconds]
    return next((s for s in spans if age < s), None)
