"""Limits this router's store writes to its share of the fleet's rate."""

# Share of the bucket that only urgent writes may use.
URGENT_RESERVE = 0.5


class WriteLimiter:
    """Token bucket for store writes, with a reserve for urgent ones.

    :param rate: writes per second allowed for the whole fleet
    :param burst: size of the bucket, in seconds of this router's share
    """

    def __init__(self, rate, burst=2.0):
        self._rate = rate
        self._burst = burst
        self._routers = 1
        self._saved = 1.0
        self._at = None

    def set_router_count(self, routers):
        """Set the number of routers that share the rate."""
        self._routers = max(1, routers)

    def try_acquire(self, urgent, now):
        """Take one write out of the bucket; return False if it is too empty.

        :param urgent: whether a caller waits for the write
        :param now: monotonic time in seconds
        """
        rate = self._rate / self._routers
        capacity = max(2.0, rate * self._burst)
        if self._at is not None:
            self._saved += max(0.0, now - self._at) * rate
        self._saved = min(capacity, self._saved)
        self._at = now
        needed = 1.0 if urgent else 1.0 + capacity * URGENT_RESERVE
        if self._saved < min(needed, capacity):
            return False
        self._saved -= 1.0
        return True
