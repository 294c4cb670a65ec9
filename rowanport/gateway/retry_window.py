"""Limits retries in proportion to requests, over all routers together."""

import collections

# Share of the fleet's allowance that is used: routers learn the number of live
# routers with a delay.
SAFETY_SHARE = 0.7


class RetryWindow:
    """Sliding window of requests and retries of one service at one router.

    Every send after a request's first one is a retry.

    :param ratio: retries allowed per request
    :param slack: further retries allowed for all routers together
    :param window: length of the window in seconds
    """

    def __init__(self, ratio, slack, window):
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._requests = collections.deque()
        self._retries = collections.deque()

    def record_request(self, now):
        """Record a request for the service.

        :param now: monotonic time in seconds
        """
        self._requests.append(now)
        self._expire(self._requests, now)

    def allows(self, routers, now):
        """Return whether a retry is allowed.

        :param routers: number of live routers, which share the slack
        :param now: monotonic time in seconds
        """
        self._expire(self._requests, now)
        self._expire(self._retries, now)
        allowed = self._slack / routers + self._ratio * len(self._requests)
        return len(self._retries) + 1 <= SAFETY_SHARE * allowed

    def acquire(self, routers, now):
        """Record a retry if one is allowed.

        :param routers: number of live routers, which share the slack
        :param now: monotonic time in seconds
        :returns: whether it is allowed
        """
        if not self.allows(routers, now):
            return False
        self._retries.append(now)
        return True

    @property
    def counts(self):
        """Return the numbers of requests and retries in the window."""
        return len(self._requests), len(self._retries)

    def _expire(self, times, now):
        while times and times[0] < now - self._window:
            times.popleft()
