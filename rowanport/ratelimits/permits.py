"""Permits to send to an upstream that names a rate limit.

One router grants them for all, so that they go to whoever needs them: a fixed
share of a low limit would leave most of it unused.  Who was denied some looks
elsewhere until the next permit may be there.
"""

from ..rates import DecayingRate

# Seconds of a limit that may be granted at once after a pause; what the
# routers' views of each other lack for a moment comes on top.
BURST_SECONDS = 0.5
# Lowest rate in requests a second: what takes none says so with an answer
# only, and so does one that takes some again.
LEAST_RATE = 0.1
# Seconds of a router's share of a limit for which it is granted permits at
# once, and for which these hold.
CHUNK_SECONDS = 0.25
HOLD_SECONDS = 0.5
# Permits in one grant at most.
CHUNK_LIMIT = 64
# Shortest time in seconds until a denied permit is asked for again.
LEAST_WAIT = 0.01
# Questions a second to which all askers together are held, beyond those that
# the limit needs: in a large fleet all would come back for the same permit.
ASKS_A_SECOND = 20.0
ASKS_FOR_EACH = 2.0
# Seconds that a denied asker waits longer where there are twice as many.
SPREAD_SECONDS = 4.0
# Half life in seconds of the rate of questions.
ASKS_HALF_LIFE = 0.5


def permit_batch_size(rate, routers):
    """Return how many permits to ask for at once.

    :param rate: the upstream's limit in requests a second
    :param routers: number of live routers
    """
    share = int(rate * CHUNK_SECONDS / max(1, routers))
    return max(1, min(CHUNK_LIMIT, share))


class TokenBucket:
    """Permits that come in at a rate.

    :param rate: permits a second
    :param now: steady time
    """

    __slots__ = ("_rate", "_permits", "_at", "_asks")

    def __init__(self, rate, now):
        self._asks = DecayingRate(ASKS_HALF_LIFE)
        self._rate = max(LEAST_RATE, rate)
        # Another router may have granted the burst a moment ago.
        self._permits = 1.0
        self._at = now

    def acquire(self, wanted, rate, now):
        """Return how many of some permits are granted.

        :param rate: permits a second from now on
        """
        self._fill(now)
        self._asks.add(1, now)
        self._rate = max(LEAST_RATE, rate)
        self._permits = min(self._most, self._permits)
        count = min(wanted, int(self._permits))
        self._permits -= count
        return count

    def next_at(self):
        """Return the steady time at which one who is denied may ask again."""
        missing = max(0.0, 1.0 - self._permits)
        allowed = ASKS_A_SECOND + ASKS_FOR_EACH * self._rate
        excess = self._asks.rate(self._at) / allowed - 1.0
        wait = max(missing / self._rate, SPREAD_SECONDS * excess)
        return self._at + max(LEAST_WAIT, wait)

    def _fill(self, now):
        new = max(0.0, now - self._at) * self._rate
        self._permits = min(self._most, self._permits + new)
        self._at = now

    @property
    def _most(self):
        """Return the most permits that are saved."""
        return 1.0 + BURST_SECONDS * self._rate


class PermitGranter:
    """The TokenBuckets from which a router grants, by name of the run."""

    def __init__(self):
        self._buckets = {}

    def grant(self, name, rate, wanted, now):
        """Grant permits for an upstream's run.

        :param rate: its limit in requests a second
        :returns: how many, and the steady time at which there may be more
        """
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = self._buckets[name] = TokenBucket(rate, now)
        count = bucket.acquire(wanted, rate, now)
        return count, bucket.next_at()

    def retain(self, names):
        """Forget all runs but some."""
        self._buckets = {k: b for k, b in self._buckets.items() if k in names}


class _Held:
    """Permits in hand for one upstream.

    :ivar count: how many
    :ivar until: steady time at which they lapse
    :ivar denied_until: steady time until which it is not asked for more
    """

    __slots__ = ("count", "until", "denied_until")

    def __init__(self):
        self.count = 0
        self.until = 0.0
        self.denied_until = 0.0


class HeldPermits:
    """The permits that a router was granted, by name of the run."""

    def __init__(self):
        self._held = {}

    def add(self, name, count, next_at, now):
        """Take in a grant.

        :param next_at: steady time at which there may be more
        """
        held = self._held.setdefault(name, _Held())
        if not count:
            held.denied_until = next_at
            return
        held.count = self._count(held, now) + count
        held.until = now + HOLD_SECONDS

    def acquire(self, name, now):
        """Use a permit; return whether there was one."""
        held = self._held.get(name)
        if held is None or not self._count(held, now):
            return False
        held.count -= 1
        return True

    def available_at(self, name, now):
        """Return the steady time from which on a permit may be had."""
        held = self._held.get(name)
        if held is None or self._count(held, now):
            return now
        return max(now, held.denied_until)

    def retain(self, names):
        """Forget all runs but some."""
        self._held = {k: h for k, h in self._held.items() if k in names}

    @staticmethod
    def _count(held, now):
        return held.count if now < held.until else 0
