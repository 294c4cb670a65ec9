"""Detects congestion of this router's own network link.

A router with a saturated link delays all traffic, small requests as well as
large ones, and cannot reach peers or upstreams in time.  Large requests are
therefore rejected at once, so that their callers retry at other routers.
"""

import collections

import structlog

LOG = structlog.get_logger(__name__)

# A longer round trip to a peer (in seconds) counts as slow: within a region
# one takes less than 10 ms.
SLOW_ROUND_TRIP = 0.04
# Number of consecutive round trips, to random peers, that must all be slow:
# one or two peers may be slow themselves.
SLOW_SAMPLES = 3
# Older round trips (in seconds) are ignored.
MAX_SAMPLE_AGE = 5.0
# Requests with a body of at least this many bytes are rejected while the link
# is congested: prompts have several thousand bytes, requests for plain
# services a few hundred.
LARGE_BODY = 4000


class CongestionDetector:
    """Infers congestion of the own link from round trips to peers.

    :param clock: a Clock
    """

    def __init__(self, clock):
        self._clock = clock
        self._round_trips = collections.deque(maxlen=SLOW_SAMPLES)
        self._was_congested = False

    def record_round_trip(self, seconds):
        """Record how long a peer took to answer a small request.

        :param seconds: round-trip time
        """
        self._round_trips.append((seconds, self._clock.steady()))
        if self.congested != self._was_congested:
            self._was_congested = self.congested
            LOG.info(
                "link_congested" if self.congested else "link_clear",
                round_trips=[round(s, 3) for s, _at in self._round_trips],
            )

    def record_timeout(self, seconds):
        """Record that a peer did not answer within some seconds.

        On its own this says nothing about the link, as the peer may be down
        or partitioned.  While the link is congested it counts as one more
        slow round trip.
        """
        if self.congested:
            self.record_round_trip(seconds)

    @property
    def congested(self):
        """Return whether the link is too congested for large requests."""
        if len(self._round_trips) < SLOW_SAMPLES:
            return False
        oldest = self._clock.steady() - MAX_SAMPLE_AGE
        return all(
            seconds > SLOW_ROUND_TRIP and at > oldest
            for seconds, at in self._round_trips
        )

    def should_refuse(self, request):
        """Return whether an HttpRequest should be left to another router."""
        return len(request.body) >= LARGE_BODY and self.congested
