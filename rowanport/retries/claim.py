"""Claims, renews and releases one router's share of the fleet's slack.

The shares in the store never add up to more than the slack, as each change is
written only if the record is still the one that it was planned by.  A share
is valid for a while after the last write that was confirmed, by the holder's
own clock; others remove a row that has stood still for longer by theirs.
"""

import math

from .permits import rest_seconds
from .shares import ShareRecord
from .shares import ShareRow

# Seconds after a confirmed write until which a share is valid.
VALID_SECONDS = 120.0
# Seconds after which a valid share is renewed: outages shorter than the
# difference cost no share.
RENEW_SECONDS = 40.0
# Seconds by which clocks may run apart while a row stands still.
CLOCK_MARGIN = 2.0
# A share is changed only if it is wrong by more than this factor, so that
# members that come and go change few shares.
TOLERANCE = 1.25


class _Sighting:
    """How long a row of another router has stood still.

    :ivar renewals: its renewals
    :ivar since: monotonic time at which they were first seen
    """

    __slots__ = ("renewals", "since")

    def __init__(self, renewals, since):
        self.renewals = renewals
        self.since = since


class ShareClaim:
    """The share of one router.

    :param address: this router's peer address, which no other live process
        has
    :param incarnation: this run of the router
    :param slack: permits of the fleet
    :param window: length of the platform's window in seconds
    :param now: monotonic time, after the earlier run at the address ended
    """

    def __init__(self, address, incarnation, slack, window, now):
        self._address = address
        self._incarnation = incarnation
        self._slack = int(slack)
        self._rest = rest_seconds(window)
        self._started = now
        self._count = 0
        self._usable_from = now
        self._valid_until = -math.inf
        self._renew_at = now
        # Permits that are used while the others rest before their release,
        # the monotonic time at which they have rested, and whether a confirmed
        # write ends the limit.  Before, a release may still take effect.
        self._limit = None
        self._rested_at = math.inf
        self._lifts_limit = False
        self._sightings = {}

    def permits(self, now):
        """Return the number of permits that this router may use or lend."""
        if not self._usable_from <= now < self._valid_until:
            return 0
        if self._limit is None:
            return self._count
        return min(self._limit, self._count)

    def is_due(self, now):
        """Return whether the share is to be claimed or renewed."""
        return now >= self._renew_at

    def plan(self, record, holders, now):
        """Return the ShareRecord to write, None if there is nothing to write.

        :param record: the ShareRecord in the store; no older than the last
            write that was confirmed
        :param holders: number of routers that are to have a share; 0 if this
            one is to have none
        :param now: monotonic time at which the record was known
        """
        self._observe(record, now)
        fair = math.ceil(self._slack / holders) if holders else 0
        rows = {
            name: row
            for name, row in record.rows.items()
            if name == self._address or not self._is_expired(name, now)
        }
        planned = ShareRecord(rows)
        own = rows.pop(self._address, None)
        permits = self._planned_permits(own, fair, planned, now)
        if permits:
            renewals = own.renewals + 1 if own else 1
            row = ShareRow(self._incarnation, permits, renewals)
            rows[self._address] = row
        elif own is None:
            self._renew_at = now + RENEW_SECONDS
            return None
        return planned

    def confirm(self, record, sent_at):
        """Apply a planned record that was written.

        :param sent_at: monotonic time just before it was sent
        """
        row = record.rows.get(self._address)
        self._count = row.permits if row else 0
        if self._lifts_limit:
            self._limit = None
        self._valid_until = sent_at + VALID_SECONDS
        self._renew_at = sent_at + RENEW_SECONDS

    def _planned_permits(self, own, fair, others, now):
        """Return the permits of the own row.

        :param own: the ShareRow as it is, or None
        :param others: ShareRecord of all other rows
        """
        self._lifts_limit = True
        if own is None:
            self._count = 0
            return min(fair, others.free(self._slack))
        if own.incarnation != self._incarnation:
            # The earlier run may have used all its permits until it ended.
            self._usable_from = self._started + self._rest
        free = others.free(self._slack) - own.permits
        if own.permits > TOLERANCE * fair:
            return self._reduce(own.permits, fair, now)
        if fair > TOLERANCE * own.permits:
            return own.permits + max(0, min(free, fair - own.permits))
        return own.permits

    def _reduce(self, permits, fair, now):
        """Return the permits of a share that is too large.

        What is released was not used for a whole window.
        """
        self._lifts_limit = False
        if self._limit is None or self._limit > fair:
            self._limit = fair
            self._rested_at = now + self._rest
        if now < self._rested_at:
            return permits
        return self._limit

    def _observe(self, record, now):
        sightings = {}
        for name, row in record.rows.items():
            seen = self._sightings.get(name)
            if seen is None or seen.renewals != row.renewals:
                seen = _Sighting(row.renewals, now)
            sightings[name] = seen
        self._sightings = sightings

    def _is_expired(self, name, now):
        """Return whether the share in another router's row is not valid."""
        since = self._sightings[name].since
        return now > since + VALID_SECONDS + self._rest + CLOCK_MARGIN
