"""Bounds how often requests are sent again, over all routers together."""

import collections

# Part of the fleet's allowance that is used: routers see the number of
# others late.
CAUTION = 0.7


class RetryWindow:
    """Sends past the first of each request to one service, at one router.

    :param ratio: sends allowed for each request
    :param slack: sends that all routers together may make beyond that
    :param window: seconds over which both are counted
    """

    def __init__(self, ratio, slack, window):
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._requests = collections.deque()
        self._sends = collections.deque()

    def record_request(self, now):
        """Count a request for the service."""
        self._requests.append(now)
        self._trim(self._requests, now)

    def allows(self, routers, now):
        """Return whether a request may be sent once more.

        :param routers: number of live routers, which share the slack
        """
        self._trim(self._requests, now)
        self._trim(self._sends, now)
        allowed = self._slack / routers + self._ratio * len(self._requests)
        return len(self._sends) + 1 <= CAUTION * allowed

    def acquire(self, routers, now):
        """Return whether a request may be sent once more, and count it.

        :param routers: number of live routers, which share the slack
        """
        if not self.allows(routers, now):
            return False
        self._sends.append(now)
        return True

    def _trim(self, times, now):
        while times and times[0] < now - self._window:
            times.popleft()
