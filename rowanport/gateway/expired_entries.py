"""Decides how long to retain upstreams whose entries may have expired.

Entries expire in an outage of the store although their upstreams are alive,
and return soon after it.  A router that watches the store can only presume
that an entry expired rather than was removed.  It marks such an upstream as
lapsing for its peers, and a peer that has dropped the upstream already does
not bring it back.
"""

import math

# Seconds after an outage within which expired entries return.  An upstream
# whose entry is still missing after that gets no more work.
EXPIRY_GRACE = 2.3
# Shortest outage in seconds in which an entry expires.
MIN_EXPIRY_OUTAGE = 2.4
# Longest time in seconds between a call sent during an outage and its answer
# at the end of the outage.
MAX_CALL_SECONDS = 1.0
# Seconds without an answer to any router that count as an outage.
MIN_OUTAGE = MIN_EXPIRY_OUTAGE - MAX_CALL_SECONDS


class StoreAvailability:
    """The last span in which the store answered routers without an outage.

    Entries expire only in an outage for all routers.  An entry that disappears
    while the store answers any router was removed, even if this router could
    reach neither the store nor a peer at that time.

    :ivar since: monotonic time at which the span began
    :ivar until: monotonic time of the last known answer
    """

    __slots__ = ("since", "until")

    def __init__(self):
        self.since = self.until = -math.inf

    def record_answer(self, sent_at):
        """Record that the store answered a call sent at ``sent_at``."""
        self.merge(sent_at, sent_at)

    def merge(self, since, until):
        """Merge a span in which the store answered some router."""
        if since >= self.until + MIN_OUTAGE:
            self.since, self.until = since, until
        elif until > self.since - MIN_OUTAGE:
            self.since = min(self.since, since)
            self.until = max(self.until, until)

    def may_have_expired(self, now):
        """Return whether an entry that disappears now may have expired."""
        if now >= self.until + MIN_OUTAGE:
            return True
        return now < self.since + MAX_CALL_SECONDS + EXPIRY_GRACE


class RetainedUpstreams:
    """The upstreams in the active list that have no entry any more."""

    def __init__(self):
        self._until = {}

    def apply(self, upstreams, known, now):
        """Return the upstreams of a newer list that are to be used.

        :param upstreams: Upstream by id in the newer list
        :param known: Upstream by id in the active list
        :param now: monotonic time in seconds
        """
        upstreams = {
            name: upstream
            for name, upstream in upstreams.items()
            # That a lapsing upstream's entry expired is only presumed, so one
            # that was dropped here is not added again.
            if not upstream.lapsing or name in known
        }
        self._until = {
            name: self._until.get(name, now + EXPIRY_GRACE)
            for name, upstream in upstreams.items()
            if upstream.lapsing
        }
        return upstreams

    def pop_overdue(self, now):
        """Remove and return the ids whose grace period has ended."""
        overdue = [name for name, until in self._until.items() if now >= until]
        for name in overdue:
            del self._until[name]
        return overdue
