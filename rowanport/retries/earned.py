"""Retries that a router earns by the requests that it receives."""

import collections

# Part of the ratio that may be used.  The windows of routers end at different
# times, and callers may move between routers: the requests that pay for the
# retries of one window may lie in two windows, of which one counts.
RATIO_SHARE = 0.5
# Seconds from the decision on a retry until its bytes are sent at the latest.
SEND_SECONDS = 0.25


class EarnedRetries:
    """Sliding window of the requests and earned retries of one service.

    :param ratio: retries that the platform allows per request
    :param window: length of its window in seconds
    """

    __slots__ = (
        "_ratio",
        "_request_span",
        "_retry_span",
        "_requests",
        "_retries",
    )

    def __init__(self, ratio, window):
        self._ratio = ratio
        # A retry arrives after it was decided on, a request before it was
        # received: neither may fall out of the windows that count it.
        self._request_span = window - SEND_SECONDS
        self._retry_span = window + SEND_SECONDS
        self._requests = collections.deque()
        self._retries = collections.deque()

    @property
    def counts(self):
        """Return the numbers of requests and earned retries in the window."""
        return len(self._requests), len(self._retries)

    def record_request(self, now):
        """Record a request for the service.

        :param now: monotonic time in seconds
        """
        self._requests.append(now)
        _expire(self._requests, now - self._request_span)

    def available(self, now):
        """Return the number of retries that are earned and not used."""
        _expire(self._requests, now - self._request_span)
        _expire(self._retries, now - self._retry_span)
        earned = int(RATIO_SHARE * self._ratio * len(self._requests))
        return max(0, earned - len(self._retries))

    def acquire(self, now):
        """Use a retry; return whether one was available."""
        if not self.available(now):
            return False
        self._retries.append(now)
        return True


def _expire(times, limit):
    while times and times[0] < limit:
        times.popleft()
