"""How long an upstream that turned this router away gets no requests."""

# Seconds after the end of a rest within which routers begin to send again, as
# a part of the rest and at most: each draws its own moment, or all would come
# back in the same one.
SPREAD_SHARE = 0.1
MAX_SPREAD = 0.3
# Seconds after which the sends that are allowed after a rest double, from one
# on, and doublings after which there is no limit any more.
STEP_SECONDS = 0.25
STEPS = 6


class Rest:
    """The rest that one run of an upstream asked this router for.

    Afterwards a few requests are sent first, one and twice as many more each
    STEP_SECONDS: an upstream that still has no room says so to these.
    """

    __slots__ = ("_until", "_begins_at", "_sent")

    def __init__(self):
        self._until = 0.0
        self._begins_at = 0.0
        self._sent = 0

    @property
    def until(self):
        """Return the monotonic time at which the rest ends."""
        return self._until

    @property
    def ends_at(self):
        """Return the monotonic time from which sends are not limited."""
        return self._begins_at + STEPS * STEP_SECONDS

    def record(self, seconds, now, spread):
        """Record a refusal; a shorter rest than the known one is no news.

        :param seconds: for how long nothing is wanted
        :param now: monotonic time of the refusal
        :param spread: part of the longest spread, 0 to 1
        :returns: whether the rest is longer than was known
        """
        until = now + seconds
        if until <= self._until:
            return False
        self._until = until
        longest = min(MAX_SPREAD, SPREAD_SHARE * seconds)
        self._begins_at = until + spread * longest
        self._sent = 0
        return True

    def available_at(self, now):
        """Return the monotonic time from which one more may be sent."""
        if now >= self.ends_at:
            return now
        # After n steps 2 ** (n + 1) - 1 sends are allowed.
        steps = (self._sent + 1).bit_length() - 1
        return max(now, self._begins_at + steps * STEP_SECONDS)

    def acquire(self, now):
        """Count a send if it is allowed; return whether it is."""
        if self.available_at(now) > now:
            return False
        if not self._sent:
            self._begins_at = now
        self._sent += 1
        return True


class RestBook:
    """The Rests by name of the upstream's run."""

    def __init__(self):
        self._rests = {}

    def record(self, name, seconds, now, spread):
        """Record a refusal of a run; the arguments are those of Rest.record.

        :returns: the Rest, None if a longer one was known
        """
        rest = self._rests.setdefault(name, Rest())
        return rest if rest.record(seconds, now, spread) else None

    @property
    def names(self):
        """Return the names of the runs that rest, or did so lately."""
        return self._rests.keys()

    def drop(self, names):
        """Drop the rests of runs that have ended."""
        for name in names:
            self._rests.pop(name, None)

    def get(self, name):
        """Return the Rest of a run, or None."""
        return self._rests.get(name)

    def drop_ended(self, now):
        """Drop the rests that limit nothing any more.

        :returns: the names of their runs
        """
        ended = [
            name for name, rest in self._rests.items() if now >= rest.ends_at
        ]
        for name in ended:
            del self._rests[name]
        return ended

    def count(self, now):
        """Return the number of runs that rest."""
        return sum(rest.until > now for rest in self._rests.values())
