"""Limits that a router keeps for a while after it wrote them down.

A router writes with each batch how many tokens of each budget it will let
go at most, as a total since its start.  It keeps to that limit until
``HOLD_SECONDS`` have passed since it made the record, and writes a new one
long before.  Only a router that cannot write any more goes beyond.

So whoever knows that a router ended within ``HOLD_SECONDS`` of its last
record also knows that it let go no more than the limits say, and the rest
can be given back.  Its own next run may know, in two ways:

- A killed process: both runs read the same steady clock.
- A machine that restarted has a new steady clock.  Then a lease tells, which
  was granted before the record was made and written with it: while its key
  is there, the store counted less time than that.  A store that is down may
  keep a lease waiting; so the wall clocks of the fleet must agree too.
"""

# Seconds for which a written limit binds.  A process or a machine is back
# 0.6 to 1.5 s after it ended (the users' days), its last record is up to
# RENEW_SECONDS old by then, and a start takes 0.3 s.
HOLD_SECONDS = 2.6
# Seconds after which a limit is written anew.
RENEW_SECONDS = 0.7
# Disagreement of steady and wall clock in seconds beyond which a machine
# may have been restarted, with a steady clock that began anew.
CLOCK_TOLERANCE = 1.0


class Allowance:
    """One record's limits.

    :ivar made_at: steady time just before the record was written
    :ivar limits: most tokens out by budget; budgets not named are free
    :ivar inflows: tokens in by budget that the record counts and that are
        here; what comes in otherwise is not in the record and may go out
        beyond the limit
    """

    __slots__ = ("made_at", "limits", "inflows")

    def __init__(self, made_at, limits, inflows):
        self.made_at = made_at
        self.limits = limits
        self.inflows = inflows

    def note_drawn(self, name, tokens):
        """Note that tokens drawn by the record's own batch have come in.

        The record counts them, so they do not widen its limit.
        """
        self.inflows[name] = self.inflows.get(name, 0) + tokens


class Allowances:
    """The limits of all records that may stand in the store."""

    def __init__(self):
        self._binding = []

    def add(self, allowance):
        """Take in the limits of a record that is about to be written."""
        if allowance not in self._binding:
            self._binding.append(allowance)

    def drop(self, allowance):
        """Forget a record that surely does not stand in the store."""
        if allowance in self._binding:
            self._binding.remove(allowance)

    def settle_on(self, allowance):
        """Keep only the record that surely stands in the store."""
        self._binding = [allowance]

    def room(self, account, now):
        """Return how many more tokens of an Account may go out, or None.

        :returns: None if no limit binds
        """
        name = account.name
        rooms = [
            allowance.limits[name] - allowance.inflows[name]
            for allowance in self._binding
            if name in allowance.limits
            and now < allowance.made_at + HOLD_SECONDS
        ]
        return min(rooms) + account.available if rooms else None

    def lapse_at(self, name, now):
        """Return the steady time from which no limit binds a budget."""
        times = [
            allowance.made_at + HOLD_SECONDS
            for allowance in self._binding
            if name in allowance.limits
        ]
        return max(times + [now])

    def newest(self):
        """Return the newest Allowance, or None."""
        return self._binding[-1] if self._binding else None


def process_ended_in_time(record, steady, wall):
    """Return whether a killed process ended within its limits.

    :param record: its last HolderRecord
    :param steady: steady time now, of the machine that wrote it
    :param wall: wall time now, of the same machine
    """
    age = steady - record.made_at
    if not 0.0 <= age < HOLD_SECONDS:
        return False
    return abs(wall - record.wall - age) < CLOCK_TOLERANCE


def machine_ended_in_time(record, lease_lives, heard, latest):
    """Return whether a machine that restarted ended within its limits.

    :param record: its last HolderRecord
    :param lease_lives: whether the key of the record's lease is there
    :param heard: whether any other machine's clock was heard
    :param latest: the latest wall time that any clock of the fleet showed
        when the next run began
    """
    if not lease_lives or not heard:
        return False
    return 0.0 <= latest - record.earliest < HOLD_SECONDS
