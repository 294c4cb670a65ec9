"""Tracks how current a router's views of the fleet are."""

import math

import structlog

from ..errors import ErrorKind
from ..errors import RequestError
from .expired_entries import StoreAvailability
from .freshness import CONTACT_LIMIT
from .freshness import Freshness
from .freshness import UNKNOWN_AGE
from .freshness import ViewAge

LOG = structlog.get_logger(__name__)

# Longest span without a store outage that is reported to peers, in tenths of a
# second: an earlier outage no longer affects any entry.
MAX_STORE_UPTIME = 120


class FreshnessTracker:
    """Combines what peers and the store report about the age of the views.

    :param members: the Membership
    :param clock: a Clock
    """

    def __init__(self, members, clock):
        self._members = members
        self._clock = clock
        self._age = ViewAge()
        self._watches = {}
        self._reach = None
        self._store_availability = StoreAvailability()
        self._peer_contact_at = -math.inf
        self._logged = Freshness.CONFIRMED

    @property
    def store_availability(self):
        """Return the StoreAvailability, as far as this router knows it."""
        if self._reach is not None:
            self._store_availability.record_answer(
                self._reach.last_answered_at
            )
        return self._store_availability

    @property
    def store_age(self):
        """Return the seconds since the store last answered any router."""
        age = self._clock.steady() - self.store_availability.until
        return min(UNKNOWN_AGE, age)

    @property
    def store_uptime(self):
        """Return how long the store had answered without an outage.

        The value is in tenths of a second, as in messages to peers.
        """
        availability = self.store_availability
        if availability.since == -math.inf:
            return 0
        span = 10 * (availability.until - availability.since)
        return int(min(MAX_STORE_UPTIME, span))

    @property
    def may_have_expired(self):
        """Return whether an entry that disappears now may have expired.

        Entries expire only if the store is out for all routers.  Without other
        routers, such an outage cannot be told from a failure of this router's
        own link.
        """
        if not self._members.knows_peers:
            return True
        return self.store_availability.may_have_expired(self._clock.steady())

    @property
    def peers_responsive(self):
        """Return whether peers answer promptly, True if there are none."""
        if not self._members.knows_peers:
            return True
        return self._clock.steady() <= self._peer_contact_at + CONTACT_LIMIT

    @property
    def contact_at(self):
        """Return when the last call that was answered was sent.

        The call may have gone to the store or to a peer.
        """
        return self._age.contact_at

    @property
    def age(self):
        """Return the seconds since the views were last confirmed."""
        self._confirm_from_watches()
        return self._age.age(self._clock.steady())

    @property
    def aging(self):
        """Return whether the views need to be confirmed soon."""
        if not self._members.knows_peers:
            return False
        self._confirm_from_watches()
        return self._age.is_aging(self._clock.steady())

    @property
    def current(self):
        """Return the Freshness of the views."""
        if not self._members.knows_peers:
            # No other router could know anything newer.
            return Freshness.LATEST_KNOWN
        self._confirm_from_watches()
        return self._age.freshness(self._clock.steady())

    @property
    def stale(self):
        """Return whether the views are too old to route requests by."""
        return self.current is Freshness.STALE

    def check(self):
        """Raise RequestError if the views are too old to route requests by."""
        if self.stale:
            raise RequestError(
                ErrorKind.NOT_READY,
                f"view of the fleet last confirmed {self.age:.1f} s ago",
            )

    def register_watch(self, name, age, reach):
        """Register a watch of the store.

        :param name: the prefix that it watches
        :param age: its WatchAge
        :param reach: the Reachability of the store
        """
        self._watches[name] = age
        self._reach = reach

    def record_contact(self, sent_at):
        """Record that the store answered a call sent at ``sent_at``."""
        self._age.record_contact(sent_at)

    def record_peer_answer(self, sent_at, store_age, store_uptime):
        """Record that a peer answered a query.

        :param sent_at: when the query was sent
        :param store_age: seconds since the store answered any router, as far
            as the peer knew
        :param store_uptime: seconds for which the store had answered without
            an outage until then
        """
        self._age.record_contact(sent_at)
        self._peer_contact_at = max(self._peer_contact_at, sent_at)
        until = sent_at - store_age
        self._store_availability.merge(until - store_uptime, until)

    def confirm(self, until, source):
        """Record that a source knows of no change up to a time."""
        self._age.confirm(until, source)

    def _confirm_from_watches(self):
        """Apply what this router's own store watches confirm."""
        contact = self._age.contact_at
        known = [age.known_until(contact) for age in self._watches.values()]
        self._age.confirm(min(known, default=-math.inf), "store")

    def log_change(self):
        """Log the freshness of the views if it has changed."""
        freshness = self.current
        if freshness is self._logged:
            return
        self._logged = freshness
        now = self._clock.steady()
        LOG.info(
            "views_standing",
            standing=freshness.value,
            age=round(self._age.age(now), 3),
            contact=round(now - self._age.contact_at, 3),
            confirmed_by=self._age.source,
        )
