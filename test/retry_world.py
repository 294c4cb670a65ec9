"""A fleet's allowances for retries, on given time, and an oracle.

The oracle counts as the platform's rule does: the retries of all routers in a
window against the requests of the window that has most of three, and the
slack.
"""

import bisect

from rowanport.gateway.retry_window import RetryWindow

RATIO = 0.2
SLACK = 54
WINDOW = 10.0


class RetryOracle:
    """Counts the requests and retries of a whole fleet."""

    def __init__(self):
        self._requests = []
        self._retries = []

    def record_request(self, now):
        """Record a request of a caller, at any router."""
        self._requests.append(now)

    def record_retry(self, now):
        """Record a retry by any router."""
        self._retries.append(now)

    def excess(self, now):
        """Return the retries in the window up to a time beyond the limit."""
        retries = _count(self._retries, now - WINDOW, now)
        starts = (now - WINDOW, now - 1.5 * WINDOW, now - 2 * WINDOW)
        requests = max(
            _count(self._requests, start, start + WINDOW) for start in starts
        )
        return retries - (RATIO * requests + SLACK)


def _count(times, start, end):
    return bisect.bisect_right(times, end) - bisect.bisect_left(times, start)


class RetryFleet:
    """Routers that retry as often as they are allowed to.

    :param names: names of the routers
    """

    def __init__(self, names):
        self.now = 1000.0
        self.oracle = RetryOracle()
        # The routers that each one reaches, itself among them.
        self._reached = {name: set(names) for name in names}
        self._windows = {}
        for name in names:
            self.start(name)

    @property
    def names(self):
        """Return the names of the routers."""
        return list(self._reached)

    def start(self, name):
        """Start a router, or start it again after a kill."""
        self._windows[name] = RetryWindow(RATIO, SLACK, WINDOW)

    def cut(self, groups):
        """Let routers reach only those of their own group."""
        for group in groups:
            for name in group:
                self._reached[name] = set(group)

    def advance(self, seconds):
        """Move the clock forward."""
        self.now += seconds

    def request(self, name, count=1):
        """Let callers send requests to a router."""
        for _request in range(count):
            self.oracle.record_request(self.now)
            self._windows[name].record_request(self.now)

    def retry(self, name):
        """Let a router retry while it is allowed to; return how often."""
        count = 0
        while self._windows[name].acquire(len(self._reached[name]), self.now):
            self.oracle.record_retry(self.now)
            count += 1
        return count

    @property
    def excess(self):
        """Return the retries beyond the limit in the current window."""
        return self.oracle.excess(self.now)
