"""Measures how old a router's view of the fleet may be.

On a congested link a router cannot tell whether nothing has changed or whether
updates are still queued.  The age of a view is therefore counted from the time
at which the router sent its query: an answer reflects the peer's state at that
time or later, however long the answer took.
"""

import enum
import math

# Age in seconds up to which requests are sent by a view.  A leaving upstream
# must get no new work after 3 s, and on a link that is filling up a request
# takes longer than the last answer did.
AGE_LIMIT = 1.1
# Age in seconds from which on several peers are queried at once.
AGING_THRESHOLD = 0.6
# Maximum seconds since the last answered query was sent for this router's own
# link to count as working, so that any newer view of its peers would arrive.
CONTACT_LIMIT = 0.9
# Age in seconds that is reported for a view that was never confirmed.
UNKNOWN_AGE = 10000.0


class Freshness(enum.Enum):
    """How far a view may be trusted."""

    CONFIRMED = "confirmed"
    # The store cannot be reached, but peers answer promptly and know nothing
    # newer.
    LATEST_KNOWN = "newest known"
    STALE = "old"


class ViewAge:
    """The time up to which a router's view of the fleet is confirmed.

    All times are on this router's monotonic clock.

    :ivar known_until: time up to which the view includes every change
    :ivar source: peer or store that confirmed it
    :ivar contact_at: when the last query that was answered was sent
    """

    __slots__ = ("known_until", "source", "contact_at")

    def __init__(self):
        self.known_until = -math.inf
        self.source = ""
        self.contact_at = -math.inf

    def record_contact(self, sent_at):
        """Record that a query sent at ``sent_at`` was answered."""
        self.contact_at = max(self.contact_at, sent_at)

    def confirm(self, until, source):
        """Record that a source knows of no change up to a time."""
        if until > self.known_until:
            self.known_until = until
            self.source = source

    def age(self, now):
        """Return the seconds since the view was last confirmed."""
        return min(UNKNOWN_AGE, max(0.0, now - self.known_until))

    def is_aging(self, now):
        """Return whether several peers should be queried at once."""
        return self.age(now) > AGING_THRESHOLD

    def freshness(self, now):
        """Return the Freshness of the view."""
        if self.age(now) <= AGE_LIMIT:
            return Freshness.CONFIRMED
        if now - self.contact_at <= CONTACT_LIMIT:
            return Freshness.LATEST_KNOWN
        return Freshness.STALE


class WatchAge:
    """The time up to which a store watch has reported all changes.

    A watch sends nothing while nothing changes.  Its events share a link with
    the answers to other calls, so the answer to a call that was sent after the
    watch shows that no event is still queued.
    """

    __slots__ = ("_until", "_started_at")

    def __init__(self):
        self.reset()

    def reset(self):
        """Forget the watch and everything read before."""
        self._until = -math.inf
        self._started_at = None

    def record_read(self, sent_at):
        """Record a complete read whose call was sent at ``sent_at``."""
        self._until = max(self._until, sent_at)

    def begin(self, now):
        """Record that a watch was sent."""
        self._started_at = now

    def complete(self, contact_at):
        """Record that the watch was answered.

        :param contact_at: as in :meth:`known_until`
        """
        self._until = max(self.known_until(contact_at), self._started_at)
        self._started_at = None

    def abort(self, contact_at):
        """Record that the watch ended without an answer.

        :param contact_at: as in :meth:`known_until`
        """
        self._until = self.known_until(contact_at)
        self._started_at = None

    def known_until(self, contact_at):
        """Return the time up to which all changes were reported.

        :param contact_at: when the last answered call to the store or a peer
            was sent
        """
        if self._started_at is None or contact_at <= self._started_at:
            return self._until
        return max(self._until, contact_at)
