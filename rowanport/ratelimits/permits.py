"""Permits to send requests to an upstream that reports a rate limit.

One router grants them to all, so that they go to the routers that need them.
With a fixed share of a low limit for each router most of it would be unused.
A router that is denied permits uses other upstreams until the next permit may
be available.
"""

from ..rates import DecayingRate

# Seconds of a limit that may be granted at once after a pause.  More may be
# granted in all while the routers' views of each other differ.
BURST_SECONDS = 0.5
# Lowest rate in requests a second.  Upstreams report limits in answers only,
# so one with limit 0 needs some requests to report that it accepts more.
MIN_RATE = 0.1
# Seconds of a router's share of a limit that it asks for at once, and seconds
# for which granted permits are valid.
BATCH_SECONDS = 0.25
HOLD_SECONDS = 0.5
# Maximum permits in one grant.
MAX_BATCH = 64
# Minimum seconds until a router that was denied may ask again.
MIN_WAIT = 0.01
# Requests a second for permits to which all routers together are held: a base
# rate, and a number for each permit of the limit.  Otherwise all routers of a
# large fleet would come back for the same permit.
ASKS_A_SECOND = 20.0
ASKS_PER_PERMIT = 2.0
# Additional wait in seconds after a denial at twice that rate of requests.
SPREAD_SECONDS = 4.0
# Half-life in seconds of the measured rate of these requests.
ASK_HALF_LIFE = 0.5


def permit_batch_size(rate, routers):
    """Return how many permits to ask for at once.

    :param rate: the upstream's limit in requests a second
    :param routers: number of live routers
    """
    share = int(rate * BATCH_SECONDS / max(1, routers))
    return max(1, min(MAX_BATCH, share))


class TokenBucket:
    """A token bucket of permits for one upstream.

    :param rate: permits a second
    :param now: monotonic time
    """

    __slots__ = ("_rate", "_permits", "_filled_at", "_ask_rate")

    def __init__(self, rate, now):
        self._ask_rate = DecayingRate(ASK_HALF_LIFE)
        self._rate = max(MIN_RATE, rate)
        # Starts almost empty: another router may have just granted a burst.
        self._permits = 1.0
        self._filled_at = now

    def acquire(self, wanted, rate, now):
        """Take up to some permits; return how many were taken.

        :param rate: permits a second from now on
        :param now: monotonic time
        """
        self._fill(now)
        self._ask_rate.add(1, now)
        self._rate = max(MIN_RATE, rate)
        self._permits = min(self._capacity, self._permits)
        count = min(wanted, int(self._permits))
        self._permits -= count
        return count

    def next_at(self):
        """Return the monotonic time to ask again after a denial."""
        missing = max(0.0, 1.0 - self._permits)
        allowed = ASKS_A_SECOND + ASKS_PER_PERMIT * self._rate
        excess = self._ask_rate.rate(self._filled_at) / allowed - 1.0
        wait = max(missing / self._rate, SPREAD_SECONDS * excess)
        return self._filled_at + max(MIN_WAIT, wait)

    def _fill(self, now):
        new = max(0.0, now - self._filled_at) * self._rate
        self._permits = min(self._capacity, self._permits + new)
        self._filled_at = now

    @property
    def _capacity(self):
        """Return the maximum number of permits in the bucket."""
        return 1.0 + BURST_SECONDS * self._rate


class PermitGranter:
    """Grants permits from a TokenBucket for each upstream's run."""

    def __init__(self):
        self._buckets = {}

    def grant(self, name, rate, wanted, now):
        """Grant permits for an upstream's run.

        :param rate: its limit in requests a second
        :param now: monotonic time
        :returns: the number granted, and the monotonic time at which there may
            be more
        """
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = self._buckets[name] = TokenBucket(rate, now)
        count = bucket.acquire(wanted, rate, now)
        return count, bucket.next_at()

    def retain(self, names):
        """Remove all runs but these."""
        self._buckets = {k: b for k, b in self._buckets.items() if k in names}


class _UpstreamPermits:
    """Permits that this router holds for one upstream.

    :ivar count: number of permits
    :ivar expires_at: monotonic time at which they expire
    :ivar denied_until: monotonic time until which no more are asked for
    """

    __slots__ = ("count", "expires_at", "denied_until")

    def __init__(self):
        self.count = 0
        self.expires_at = 0.0
        self.denied_until = 0.0


class HeldPermits:
    """The permits that this router was granted, by name of the run."""

    def __init__(self):
        self._held = {}

    def add(self, name, count, next_at, now):
        """Add a grant.

        :param count: permits granted, 0 for a denial
        :param next_at: monotonic time at which there may be more
        :param now: monotonic time
        """
        held = self._held.setdefault(name, _UpstreamPermits())
        if not count:
            held.denied_until = next_at
            return
        held.count = self._count(held, now) + count
        held.expires_at = now + HOLD_SECONDS

    def acquire(self, name, now):
        """Use a permit; return whether there was one."""
        held = self._held.get(name)
        if held is None or not self._count(held, now):
            return False
        held.count -= 1
        return True

    def available_at(self, name, now):
        """Return the monotonic time from which a permit may be available."""
        held = self._held.get(name)
        if held is None or self._count(held, now):
            return now
        return max(now, held.denied_until)

    def retain(self, names):
        """Remove all runs but these."""
        self._held = {k: h for k, h in self._held.items() if k in names}

    @staticmethod
    def _count(held, now):
        return held.count if now < held.expires_at else 0
