"""How much of a link's rate is used, in each direction."""

import math

from ..rates import DecayingRate

# Half-life in seconds of the use that decides: long enough to bridge the gaps
# between requests, short against the time that callers wait.
HALF_LIFE = 0.2
# Half-life in seconds of the use that peers are told, twice a second.
REPORT_HALF_LIFE = 1.0
# Seconds ahead within which pending bytes pass the link.
HORIZON = 0.1
# The time in seconds that an average of HALF_LIFE covers.
_WINDOW = HALF_LIFE / math.log(2)
# Payload of a full packet, and the headers of a packet below it, in bytes.
PACKET_PAYLOAD = 1448
PACKET_HEADERS = 66


def bytes_on_link(size):
    """Return the bytes that a message takes on a link, in packets."""
    packets = max(1, math.ceil(size / PACKET_PAYLOAD))
    return size + packets * PACKET_HEADERS


class _Direction:
    """One direction of a link.

    :ivar pending: bytes that are still to pass within HORIZON
    """

    __slots__ = ("_rate", "_report_rate", "pending")

    def __init__(self):
        self._rate = DecayingRate(HALF_LIFE)
        self._report_rate = DecayingRate(REPORT_HALF_LIFE)
        self.pending = 0.0

    def add(self, size, now):
        self._rate.add(size, now)
        self._report_rate.add(size, now)

    def use(self, now):
        """Return the bytes a second, those pending included.

        What is pending counts over the past and the next HORIZON together:
        in a steady flow it replaces what has passed.
        """
        rate = max(0.0, self._rate.rate(now))
        ahead = (rate * _WINDOW + self.pending) / (_WINDOW + HORIZON)
        return max(rate, ahead)

    def reported_use(self, now):
        return max(0.0, self._report_rate.rate(now))


class LinkUse:
    """The use of a link that passes the same rate each way.

    :param link_rate: bytes a second each way, 0 if that is not known
    :ivar link_rate: the same
    """

    def __init__(self, link_rate):
        self.link_rate = link_rate
        self._in = _Direction()
        self._out = _Direction()

    def add_in(self, size, now):
        """Count bytes that came in; negative to correct an estimate."""
        self._in.add(size, now)

    def add_out(self, size, now):
        """Count bytes that went out."""
        self._out.add(size, now)

    def add_pending(self, size_in, size_out):
        """Count bytes that are still to pass; negative once they have."""
        self._in.pending = max(0.0, self._in.pending + size_in)
        self._out.pending = max(0.0, self._out.pending + size_out)

    def share(self, now):
        """Return the used part of the fuller direction, 0 if not known."""
        return self._share_of(max(self._in.use(now), self._out.use(now)))

    def reported_share(self, now):
        """Return the same over a longer time, for peers."""
        used = [one.reported_use(now) for one in (self._in, self._out)]
        return self._share_of(max(used))

    def _share_of(self, used):
        return used / self.link_rate if self.link_rate else 0.0
