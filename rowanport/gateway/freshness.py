"""Decides how old what a router knows of the fleet may be.

A router cannot tell "nothing is newer" from news that wait behind other bytes
on its own full link.  So it counts from when it asked: an answer proves what
its peer knew at that time at the earliest, however long it was on its way.
"""

import enum
import math

# Age in seconds up to which requests are sent by a view.  An upstream that
# leaves gets no new work after three, and on a link that is filling up a
# request is on its way for longer than the last answer.
AGE_LIMIT = 1.1
# Age from which on several peers are asked at once.
AGING = 0.6
# Age in seconds of the newest question that was answered, up to which the own
# link surely passes what peers know.
CONTACT_LIMIT = 0.9
# Age in seconds of a view that was never confirmed.
UNKNOWN_AGE = 10000.0


class Freshness(enum.Enum):
    """How far a view may be trusted."""

    CONFIRMED = "confirmed"
    # Peers answer at once, and know nothing newer: the store is away.
    LATEST_KNOWN = "newest known"
    STALE = "old"


class ViewAge:
    """Up to when a router's view of the fleet is known to hold.

    All times are steady times of this router.

    :ivar known_until: up to then the view is complete
    :ivar source: who confirmed that
    :ivar contact_at: when the newest question was sent that was answered
    """

    __slots__ = ("known_until", "source", "contact_at")

    def __init__(self):
        self.known_until = -math.inf
        self.source = ""
        self.contact_at = -math.inf

    def record_contact(self, sent_at):
        """Note that somebody answered what was sent at a time."""
        self.contact_at = max(self.contact_at, sent_at)

    def confirm(self, until, source):
        """Note who says that nothing is newer up to a time."""
        if until > self.known_until:
            self.known_until = until
            self.source = source

    def age(self, now):
        """Return the seconds since the view was known to hold."""
        return min(UNKNOWN_AGE, max(0.0, now - self.known_until))

    def is_aging(self, now):
        """Return whether it is time to ask several peers at once."""
        return self.age(now) > AGING

    def freshness(self, now):
        """Return the Freshness of the view."""
        if self.age(now) <= AGE_LIMIT:
            return Freshness.CONFIRMED
        if now - self.contact_at <= CONTACT_LIMIT:
            return Freshness.LATEST_KNOWN
        return Freshness.STALE


class WatchAge:
    """Up to when a watch of the store has told of all changes.

    A watch tells nothing while nothing changes.  But what it has to tell
    passes the same link as the answers to other calls: one that was sent
    after the watch and was answered proves that nothing waits.
    """

    __slots__ = ("_until", "_begun_at")

    def __init__(self):
        self.reset()

    def reset(self):
        """Note that nothing is known."""
        self._until = -math.inf
        self._begun_at = None

    def record_read(self, sent_at):
        """Note that all was read, by a call sent at a time."""
        self._until = max(self._until, sent_at)

    def begin(self, now):
        """Note that a watch was sent."""
        self._begun_at = now

    def complete(self, contact_at):
        """Note that the watch was answered.

        :param contact_at: as in :meth:`known_until`
        """
        self._until = max(self.known_until(contact_at), self._begun_at)
        self._begun_at = None

    def abort(self, contact_at):
        """Note that the watch ended without an answer."""
        self._until = self.known_until(contact_at)
        self._begun_at = None

    def known_until(self, contact_at):
        """Return the time up to which all changes were told.

        :param contact_at: when the newest call was sent that anybody
            answered
        """
        if self._begun_at is None or contact_at <= self._begun_at:
            return self._until
        return max(self._until, contact_at)
