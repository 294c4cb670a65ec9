"""How far a router's views of the fleet may be trusted right now."""

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

# Longest span in tenths of a second that peers are told for which the store
# has answered: an outage before that concerns no entry any more.
LONGEST_STEADY = 120


class FreshnessTracker:
    """Gathers what peers and the store tell of the age of the views.

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
        self._peers_at = -math.inf
        self._logged = Freshness.CONFIRMED

    @property
    def store_availability(self):
        """Return the StoreAvailability, as far as it is known here."""
        if self._reach is not None:
            self._store_availability.record_answer(self._reach.heard_at)
        return self._store_availability

    @property
    def store_age(self):
        """Return the seconds since the store last answered any router."""
        age = self._clock.steady() - self.store_availability.until
        return min(UNKNOWN_AGE, age)

    @property
    def store_steady(self):
        """Return for how long it had done so without an outage.

        In tenths of a second, as peers are told.
        """
        contact = self.store_availability
        if contact.since == -math.inf:
            return 0
        span = 10 * (contact.until - contact.since)
        return int(min(LONGEST_STEADY, span))

    @property
    def may_have_expired(self):
        """Return whether an entry that goes now may have lapsed.

        Only other routers can tell an outage of the store from one's own.
        """
        if not self._members.knows_peers:
            return True
        return self.store_availability.may_have_expired(self._clock.steady())

    @property
    def peers_responsive(self):
        """Return whether peers answer at once, if others are known."""
        if not self._members.knows_peers:
            return True
        return self._clock.steady() <= self._peers_at + CONTACT_LIMIT

    @property
    def contact_at(self):
        """Return when the newest call was sent that somebody answered."""
        return self._age.contact_at

    @property
    def age(self):
        """Return the seconds since the views were known to hold."""
        self._confirm_own()
        return self._age.age(self._clock.steady())

    @property
    def aging(self):
        """Return whether it is time to look for who confirms the views."""
        if not self._members.knows_peers:
            return False
        self._confirm_own()
        return self._age.is_aging(self._clock.steady())

    @property
    def current(self):
        """Return the Freshness of the views."""
        if not self._members.knows_peers:
            # There is nobody who could know anything newer.
            return Freshness.LATEST_KNOWN
        self._confirm_own()
        return self._age.freshness(self._clock.steady())

    @property
    def stale(self):
        """Return whether the views are too old to send requests by."""
        return self.current is Freshness.STALE

    def check(self):
        """Raise RequestError if the views are too old to send requests by."""
        if self.stale:
            raise RequestError(
                ErrorKind.NOT_READY,
                f"what is known of the fleet is {self.age:.1f} s old",
            )

    def register_watch(self, name, age, reach):
        """Take a watch of the store into account.

        :param age: its WatchAge
        :param reach: the Reach of the store
        """
        self._watches[name] = age
        self._reach = reach

    def record_contact(self, sent_at):
        """Note that the store answered what was sent at a time."""
        self._age.record_contact(sent_at)

    def record_peer_answer(self, asked_at, store_age, store_steady):
        """Note that a peer answered a question.

        :param asked_at: when it was asked
        :param store_age: seconds since the store answered any router, as far
            as the peer knew
        :param store_steady: seconds for which it had done so all the time
        """
        self._age.record_contact(asked_at)
        self._peers_at = max(self._peers_at, asked_at)
        until = asked_at - store_age
        self._store_availability.merge(until - store_steady, until)

    def confirm(self, until, source):
        """Note who says that nothing is newer up to a time."""
        self._age.confirm(until, source)

    def _confirm_own(self):
        """Take into account what this router's own watches tell."""
        contact = self._age.contact_at
        known = [age.known_until(contact) for age in self._watches.values()]
        self._age.confirm(min(known, default=-math.inf), "store")

    def log_change(self):
        """Log whether the views may be trusted, when that changes."""
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
