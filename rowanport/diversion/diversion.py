"""Decides when a router leaves callers to others, and which."""

from .link_use import bytes_on_link
from .link_use import LinkUse
from .shares import OrganisationBytes

# Least and largest use of a link, as a part of its rate, above which callers
# are moved.  Below the largest nothing waits for long: bursts of some requests
# take up the rest.
LEAST_TARGET = 0.4
MOST_TARGET = 0.7
# Use of the peers' links from which on the largest target rises, by how much
# for each part, and up to what: callers that are sent away find less room.
BUSY_PEERS = 0.5
TARGET_SLOPE = 1.0
BUSY_TARGET = 0.85
# Use of the peers' links from which on nobody is refused: no caller that
# leaves would be better off.  Connections that the own link cannot serve are
# still not accepted, as the requests on it would all be late with them.
FULL_PEERS = 0.85
# The target while the use of the peers' links is not known.
DEFAULT_TARGET = 0.5
# The target over the median of the peers' links: the fullest link is to be
# below 3 times the median.
TARGET_OVER_MEDIAN = 2.0
# Use over the target above which the pauses do not suffice, as the load comes
# on connections that are open.
REFUSE_OVER_TARGET = 1.25
# The target over the use while round trips to peers show that the link is
# congested, whatever its rate is thought to be.
CONGESTED_TARGET = 0.5
# Assumed bytes of a connection's first request before any is known, and the
# weight of each in their mean.
FIRST_SIZE = 4000.0
FIRST_WEIGHT = 0.05
# Bytes of opening and closing a connection, each way.
CONNECTION_BYTES = 250


class Diversion:
    """Which callers a router leaves to others.

    :param link_rate: bytes a second that the link passes each way, 0 if that
        is not known
    :param peers: a PeerUse
    :ivar use: the LinkUse
    """

    def __init__(self, link_rate, peers):
        self.use = LinkUse(link_rate)
        self._peers = peers
        self._organisations = OrganisationBytes()
        self._first_size = FIRST_SIZE

    # Load

    def record_connection(self, now):
        """Count a connection that is accepted, with its first request.

        So the requests in transit are known before their bytes have come.
        """
        self.use.add_in(CONNECTION_BYTES + self._first_size, now)
        self.use.add_out(CONNECTION_BYTES, now)

    def record_request(self, organisation, size, first, now):
        """Count a request.

        :param organisation: its name, "" if it has none
        :param size: bytes of head and body
        :param first: whether it is the first on its connection
        """
        size = bytes_on_link(size)
        counted = 0.0
        if first:
            counted = self._first_size
            self._first_size += FIRST_WEIGHT * (size - self._first_size)
        self.use.add_in(size - counted, now)
        self._organisations.add(organisation, size, now)

    def record_sent(self, size, now):
        """Count a request that went out to an upstream."""
        self.use.add_out(bytes_on_link(size), now)

    def record_answer(self, organisation, size, now, relayed=True):
        """Count bytes of an answer, or of a refusal.

        :param relayed: whether they came in from an upstream before
        """
        size = bytes_on_link(size)
        self.use.add_out(size, now)
        if relayed:
            self.use.add_in(size, now)
            self._organisations.add(organisation, size, now)

    # Decisions

    def target(self, now, congested=False):
        """Return the use above which callers are moved, None for never."""
        if not self.use.link_rate:
            return None
        summary = self._peers.summary(now)
        target = DEFAULT_TARGET
        if summary is not None:
            target = _target_beside(summary)
        if congested:
            target = min(target, CONGESTED_TARGET * self.use.share(now))
        return target

    def is_active(self, now, congested=False):
        """Return whether new connections should go to other routers."""
        target = self.target(now, congested)
        return target is not None and self.use.share(now) > target

    def excess(self, organisation, now, congested=False):
        """Return the part of an organisation's requests to refuse.

        This is the part beyond its share, while the load on open connections
        alone is too much.
        """
        target = self.target(now, congested)
        if target is None or self._peers_full(now):
            return 0.0
        if self.use.share(now) <= REFUSE_OVER_TARGET * target:
            return 0.0
        rate = target * self.use.link_rate
        return self._organisations.excess(organisation, rate, now)

    def _peers_full(self, now):
        """Return whether no caller that leaves would be better off."""
        summary = self._peers.summary(now)
        return summary is not None and summary.quartile >= FULL_PEERS


def _target_beside(summary):
    """Return the target beside peers of a PeerSummary."""
    busy = max(0.0, summary.quartile - BUSY_PEERS)
    most = min(BUSY_TARGET, MOST_TARGET + TARGET_SLOPE * busy)
    return max(LEAST_TARGET, min(most, TARGET_OVER_MEDIAN * summary.median))
