"""When a lost link may be used again."""

import collections

# Seconds between two probes of a lost link.
PROBE_INTERVAL = 0.5
# Seconds for which all probes of a lost link have to succeed before it is used
# again, by the number of times that it was lost lately: a link that comes and
# goes fails the requests on it each time.
HOLD_SECONDS = (0.0, 2.0, 4.0, 8.0)
# Seconds for which a loss counts as recent.
LOSS_MEMORY = 30.0


class Outage:
    """A link that is lost, and the probes that decide when it is back.

    :param reason: how the loss showed
    :param now: monotonic time of the loss
    :param hold: seconds for which probes have to succeed
    :ivar reason: how the loss showed
    :ivar began_at: monotonic time of the loss
    :ivar probe_at: monotonic time of the next probe
    """

    __slots__ = ("reason", "began_at", "probe_at", "_hold", "_good_since")

    def __init__(self, reason, now, hold):
        self.reason = reason
        self.began_at = now
        self.probe_at = now + PROBE_INTERVAL
        self._hold = hold
        self._good_since = None

    @property
    def answering(self):
        """Return whether the last probe succeeded."""
        return self._good_since is not None

    def record_probe(self, reached, now):
        """Record the result of a probe; return whether the outage is over."""
        self.probe_at = now + PROBE_INTERVAL
        if not reached:
            self._good_since = None
            return False
        if self._good_since is None:
            self._good_since = now
        return now >= self._good_since + self._hold


class LossHistory:
    """The recent losses of one link."""

    __slots__ = ("_times",)

    def __init__(self):
        self._times = collections.deque(maxlen=len(HOLD_SECONDS))

    def begin(self, reason, now):
        """Record a loss; return its Outage."""
        while self._times and self._times[0] < now - LOSS_MEMORY:
            self._times.popleft()
        hold = HOLD_SECONDS[min(len(self._times), len(HOLD_SECONDS) - 1)]
        self._times.append(now)
        return Outage(reason, now, hold)
