"""A router's share of the store writes that the fleet may make."""

URGENT_RESERVE = 0.5


class Allowance:
    """Grants store writes; urgent ones may use what others must leave.

    :param rate: writes a second that the whole fleet may make
    :param burst: seconds of the share that may be saved up
    """

    def __init__(self, rate, burst=2.0):
        self._rate = rate
        self._burst = burst
        self._routers = 1
        self._saved = 1.0
        self._at = None

    def share(self, routers):
        """Set the number of routers that share the rate."""
        self._routers = max(1, routers)

    def take(self, urgent, now):
        """Return whether a write may be made now.

        :param urgent: whether a caller waits for it
        :param now: steady time
        """
        rate = self._rate / self._routers
        most = max(2.0, rate * self._burst)
        if self._at is not None:
            self._saved += max(0.0, now - self._at) * rate
        self._saved = min(most, self._saved)
        self._at = now
        needed = 1.0 if urgent else 1.0 + most * URGENT_RESERVE
        if self._saved < min(needed, most):
            return False
        self._saved -= 1.0
        return True
