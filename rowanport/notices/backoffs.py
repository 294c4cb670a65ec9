"""How long this router sends nothing to an upstream that refused it."""

from .parse import MAX_BACKOFF_SECONDS

# Seconds after the end of a back-off within which a router begins to send
# again, as a share of it and at most.  Each router draws its own moment, or
# all would come back in the same one.
SPREAD_SHARE = 0.1
MAX_SPREAD = 0.3
# After a back-off one request is sent, and twice as many more in each of some
# steps.  Seconds of a step, and steps after which there is no limit any more.
STEP_SECONDS = 0.25
STEPS = 6
# Longest time in seconds from a refusal to the end of its limits.
LONGEST_LIMIT_SECONDS = MAX_BACKOFF_SECONDS + MAX_SPREAD + STEPS * STEP_SECONDS


class Backoff:
    """The back-off that one run of an upstream asked this router for.

    Few requests are sent just after it, so that an upstream that still has no
    room refuses only these.
    """

    __slots__ = ("_until", "_begins_at", "_sent")

    def __init__(self):
        self._until = 0.0
        self._begins_at = 0.0
        self._sent = 0

    @property
    def until(self):
        """Return the monotonic time that the upstream named."""
        return self._until

    @property
    def ends_at(self):
        """Return the monotonic time from which sends are not limited."""
        return self._begins_at + STEPS * STEP_SECONDS

    def record(self, seconds, now, spread):
        """Record a refusal; it never shortens a known back-off.

        :param seconds: for how long the upstream wants no requests
        :param now: monotonic time of the refusal
        :param spread: part of the longest spread, 0 to 1
        :returns: whether it prolongs the back-off
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
            # The first request may come late; the steps count from it.
            self._begins_at = now
        self._sent += 1
        return True


class BackoffBook:
    """The Backoffs by name of the upstream's run."""

    def __init__(self):
        self._backoffs = {}

    @property
    def names(self):
        """Return the names of the runs that are limited."""
        return self._backoffs.keys()

    def count(self, now):
        """Return the number of runs that want no requests now."""
        return sum(one.until > now for one in self._backoffs.values())

    def get(self, name):
        """Return the Backoff of a run, or None."""
        return self._backoffs.get(name)

    def record(self, name, seconds, now, spread):
        """Record a refusal of a run, see Backoff.record().

        :returns: the Backoff, None if a longer one was known
        """
        backoff = self._backoffs.setdefault(name, Backoff())
        return backoff if backoff.record(seconds, now, spread) else None

    def drop(self, names):
        """Drop the back-offs of runs that have ended."""
        for name in names:
            self._backoffs.pop(name, None)

    def drop_ended(self, now):
        """Drop the back-offs that limit nothing any more.

        :returns: the names of their runs
        """
        ended = [
            name for name, one in self._backoffs.items() if now >= one.ends_at
        ]
        self.drop(ended)
        return ended
