"""Whether the own network link is congested.

A router whose link is full delays all that it passes on, small requests as
well as large ones, and cannot reach peers or upstreams in time.  Callers that
are refused at once are served by other routers.
"""

import collections

import structlog

LOG = structlog.get_logger(__name__)

# Round trip to a peer in seconds from which on it counts as slow: within a
# region one takes less than 10 ms.
SLOW_ROUND_TRIP = 0.04
# Round trips in a row, to peers chosen at random, that must all be slow: one
# or two peers may be slow themselves.
SLOW_SAMPLES = 3
# Age in seconds up to which a round trip tells anything.
MAX_SAMPLE_AGE = 5.0
# Bytes of a body from which on a request is a load for the link: prompts have
# several thousand, requests for plain services some hundred.
LARGE_BODY = 4000


class CongestionDetector:
    """What round trips tell of the own link.

    :param clock: a Clock
    """

    def __init__(self, clock):
        self._clock = clock
        self._round_trips = collections.deque(maxlen=SLOW_SAMPLES)
        self._was_congested = False

    def record_round_trip(self, seconds):
        """Note how long a peer took to answer a small question."""
        self._round_trips.append((seconds, self._clock.steady()))
        if self.congested != self._was_congested:
            self._was_congested = self.congested
            LOG.info(
                "link_congested" if self.congested else "link_clear",
                round_trips=[round(s, 3) for s, _at in self._round_trips],
            )

    def record_timeout(self, seconds):
        """Note that a peer did not answer within some seconds.

        By itself that tells nothing: the peer may be gone, or cut off.  On a
        link that is known to be congested it is one more slow answer.
        """
        if self.congested:
            self.record_round_trip(seconds)

    @property
    def congested(self):
        """Return whether the link is too full for large requests."""
        if len(self._round_trips) < SLOW_SAMPLES:
            return False
        oldest = self._clock.steady() - MAX_SAMPLE_AGE
        return all(
            seconds > SLOW_ROUND_TRIP and at > oldest
            for seconds, at in self._round_trips
        )

    def should_refuse(self, request):
        """Return whether an HttpRequest should go to another router."""
        return len(request.body) >= LARGE_BODY and self.congested
