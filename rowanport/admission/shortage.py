"""How long capacity has been short, and how long it may remain so."""

# Seconds without a sign of shortage after which it is over.
END_SECONDS = 1.0
# Bounds in seconds of the expected rest of a shortage: shorter ones end
# before a caller is back, and callers do not wait for longer.
LEAST_REST = 0.5
MOST_REST = 4.0


class Shortage:
    """The shortage of capacity of one service."""

    __slots__ = ("_since", "_seen")

    def __init__(self):
        self._since = None
        self._seen = 0.0

    def record(self, now):
        """Record that capacity is short.

        A shortage is expected to last for as long again as it has lasted.

        :returns: monotonic time at which the shortage is expected to end
        """
        if self._since is None or now > self._seen + END_SECONDS:
            self._since = now
        self._seen = now
        rest = min(MOST_REST, max(LEAST_REST, now - self._since))
        return now + rest
