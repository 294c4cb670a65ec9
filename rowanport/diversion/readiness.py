"""Decides by the bytes that pass a router's link whether it is ready for more.

For balancers whose callers do not try again after a refused connection: the
router reports itself not ready, and its callers go to another one.
"""

from ..rates import DecayingRate

# Half-life in seconds of the average of bytes: shorter than a burst that a
# link holds up for longer than a caller waits, longer than a large request
# takes.
RATE_HALF_LIFE = 0.4
# Share of the link's rate from which new callers are sent elsewhere, well
# before bytes have to wait: the platform takes two seconds to act.
START_SHARE = 0.55
# Share of the link's rate below which they are welcome again.
STOP_SHARE = 0.3
# Shortest time in seconds for which callers are sent elsewhere: the platform
# asks once a second.
LEAST_SECONDS = 2.0
# Bytes that a request and its answer take on the link besides their bodies:
# heads, packets, acknowledgements.
OVERHEAD_BYTES = 1500


class LinkReadiness:
    """Whether new callers should go to other routers.

    :param link_rate: bytes a second that the link passes each way, 0 if that
        is not known
    """

    def __init__(self, link_rate):
        self._link_rate = link_rate
        self._rate = DecayingRate(RATE_HALF_LIFE)
        self._active = False
        self._until = 0.0

    def record(self, size, now):
        """Count a request or an answer.

        Each passes the link in both directions: in from the caller and out to
        the upstream, or the other way round.

        :param size: bytes of its body
        :param now: monotonic time
        """
        self._rate.add(size + OVERHEAD_BYTES / 2, now)

    def share(self, now):
        """Return the used part of the link's rate, 0 if that is not known."""
        if not self._link_rate:
            return 0.0
        return self._rate.rate(now) / self._link_rate

    def is_active(self, now):
        """Return whether new callers should go elsewhere."""
        share = self.share(now)
        if not self._active:
            if share > START_SHARE:
                self._active = True
                self._until = now + LEAST_SECONDS
        elif now >= self._until and share < STOP_SHARE:
            self._active = False
        return self._active
