"""Limits that a router keeps for a while after it wrote them down.

A router writes with each batch how many tokens of each budget it will let
go at most, as a total since its start that grows with the age of the record.
It keeps to that limit until ``HOLD_SECONDS`` have passed since it made the
record, and writes a new one long before.  Only a router that cannot write
any more goes beyond.

So whoever knows an age of the last record by which its router had ended also
knows that it let go no more than the limit at that age, and the rest can be
given back.  Its own next run may know, in two ways:

- A killed process: both runs read the same steady clock.
- A machine that restarted has a new steady clock.  Then leases tell, which
  began anew before the record was made and were written with it: while the
  key of one is there, the store counted less time than it spans.  A store
  that is down may keep a lease waiting; so the wall clocks of the fleet must
  agree too.
"""

import math

# Seconds for which a written limit binds: the longest time in which a machine
# comes back and still gets back a part of what it held.  In a longer cut from
# the store all that is held serves.
HOLD_SECONDS = 6.0
# Spans in seconds of the leases that go with a record.  An age is proved up to
# the shortest one that is left, so they tell a short absence from a long one.
LEASE_SPANS = (1.5, 2.0, 3.5, HOLD_SECONDS)
# Seconds after which a limit is written anew.
RENEW_SECONDS = 0.7
# Age in seconds from which a limit grows.  A router that reaches the store has
# written two records more by then.  A machine that lost power for a moment is
# back and gets back all but what the limit let go at once; in a cut that much
# has to serve so long.
GROWTH_DELAY = 1.5
# Disagreement of steady and wall clock in seconds beyond which a machine
# may have been restarted, with a steady clock that began anew.
CLOCK_TOLERANCE = 1.0


class Limit:
    """Most tokens of one budget out, as a total since a router's start.

    :ivar base: tokens at the time of the record
    :ivar growth: tokens a second by which it grows later
    :ivar delay: age of the record in seconds from which it grows
    """

    __slots__ = ("base", "growth", "delay")

    def __init__(self, base, growth=0.0, delay=GROWTH_DELAY):
        self.base = base
        self.growth = growth
        self.delay = delay

    def at(self, age):
        """Return the limit when its record has some age in seconds."""
        return int(self.base + self.growth * max(0.0, age - self.delay))

    def age_of(self, tokens):
        """Return the age in seconds from which it is some tokens at least."""
        if tokens <= self.base:
            return 0.0
        if not self.growth:
            return math.inf
        # One token more: a limit is rounded down.
        return self.delay + (tokens + 1 - self.base) / self.growth


class Allowance:
    """One record's limits.

    :ivar made_at: steady time just before the record was written
    :ivar grows_at: steady time from which its limits grow
    :ivar lapses_at: steady time from which they bind no more
    :ivar limits: Limit by budget; budgets not named are free
    :ivar inflows: tokens in by budget that the record counts and that are
        here; what comes in otherwise is not in the record and may go out
        beyond the limit
    """

    __slots__ = ("made_at", "grows_at", "lapses_at", "limits", "inflows")

    def __init__(self, made_at, limits, inflows):
        self.made_at = made_at
        self.grows_at = made_at + GROWTH_DELAY
        self.lapses_at = made_at + HOLD_SECONDS
        self.limits = limits
        self.inflows = inflows

    def headroom(self, account, now):
        """Return how many more tokens of an Account may go out."""
        limit = self.limits[account.name].at(now - self.made_at)
        return limit - self.inflows[account.name] + account.available

    def allowed_at(self, account, tokens):
        """Return the steady time from which some tokens may go out."""
        out = tokens + self.inflows[account.name] - account.available
        age = self.limits[account.name].age_of(out)
        return min(self.made_at + age, self.lapses_at)

    def add_drawn(self, name, tokens):
        """Note that tokens drawn by the record's own batch have come in.

        The record counts them, so they do not widen its limit.
        """
        self.inflows[name] = self.inflows.get(name, 0) + tokens


class Allowances:
    """The limits of all records that may stand in the store."""

    def __init__(self):
        self._active = []

    def add(self, allowance):
        """Take in the limits of a record that is about to be written."""
        if allowance not in self._active:
            self._active.append(allowance)

    def discard(self, allowance):
        """Forget a record that surely does not stand in the store."""
        if allowance in self._active:
            self._active.remove(allowance)

    def confirm(self, allowance):
        """Keep only the record that surely stands in the store."""
        self._active = [allowance]

    def headroom(self, account, now):
        """Return how many more tokens of an Account may go out, or None.

        :returns: None if no limit binds
        """
        binding = self._in_effect(account.name, now)
        return min(
            (one.headroom(account, now) for one in binding), default=None
        )

    def allowed_at(self, account, tokens, now):
        """Return the steady time from which limits let some tokens go.

        :param tokens: tokens that the Account holds, or fewer
        """
        binding = self._in_effect(account.name, now)
        times = (one.allowed_at(account, tokens) for one in binding)
        return max(times, default=now)

    def _in_effect(self, name, now):
        """Return the Allowances that bind a budget now."""
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
    :param steady: steady time now, of the machine that wrote it
    :param wall: wall time now, of the same machine
    :returns: seconds; None if that is not proved, or limits bound no more
    """
    age = steady - record.made_at
    if not 0.0 <= age < record.effective_seconds:
        return None
    proved = abs(wall - record.wall - age) < CLOCK_TOLERANCE
    return age if proved else None


def machine_age(record, span, heard, latest):
    """Return the age of a record by which a restarted machine had ended.

    :param record: its last HolderRecord
    :param span: seconds of the shortest lease that outlived it, or None
    :param heard: whether any other machine's clock was heard
    :param latest: the latest wall time that any clock of the fleet showed
        when the next run began
    :returns: seconds, one of ``LEASE_SPANS``; None if that is not proved, or
        limits bound no more
    """
    if span is None or not heard:
        return None
    age = latest - record.earliest
    if age < 0.0:
        return None
    spans = [s for s in LEASE_SPANS if span <= s <= record.effective_seconds]
    return next((s for s in spans if age < s), None)
