"""Decides how long upstreams are kept whose entries may only have lapsed.

Entries lapse in an outage of the store, though their upstreams live, and are
back soon after it.  Which ones did is a guess of the router that follows the
store: it is passed on as such, and nobody takes it over who knows better.
"""

import math

# Seconds after an outage in which entries that lapsed are back; one that is
# still missing then is gone, and is sent no more work.
EXPIRY_GRACE = 2.3
# The shortest outage in seconds in which an entry lapses.
MIN_EXPIRY_OUTAGE = 2.4
# Longest time in seconds of a call that was sent in an outage and is answered
# at its end.
MAX_CALL_SECONDS = 1.0
# Seconds without an answer of the store to any router that make an outage.
MIN_OUTAGE = MIN_EXPIRY_OUTAGE - MAX_CALL_SECONDS


class StoreAvailability:
    """For how long the store has answered routers without an outage.

    An outage of the store is one for all.  What went while it answered others
    was removed, also where one router could not reach it or heard of nobody.

    :ivar since: from then on it answered some router all the time
    :ivar until: up to then
    """

    __slots__ = ("since", "until")

    def __init__(self):
        self.since = self.until = -math.inf

    def record_answer(self, sent_at):
        """Note that the store answered a call that was sent at a time."""
        self.merge(sent_at, sent_at)

    def merge(self, since, until):
        """Take in a span in which the store answered some router."""
        if since >= self.until + MIN_OUTAGE:
            self.since, self.until = since, until
        elif until > self.since - MIN_OUTAGE:
            self.since = min(self.since, since)
            self.until = max(self.until, until)

    def may_have_expired(self, now):
        """Return whether an entry that goes now may have lapsed."""
        if now >= self.until + MIN_OUTAGE:
            return True
        return now < self.since + MAX_CALL_SECONDS + EXPIRY_GRACE


class RetainedUpstreams:
    """Upstreams in force that are kept without an entry."""

    def __init__(self):
        self._until = {}

    def apply(self, upstreams, known, now):
        """Return what is to be in force of a newer list.

        :param upstreams: Upstream by id, as the list has it
        :param known: Upstream by id, as it was in force until now
        """
        upstreams = {
            name: upstream
            for name, upstream in upstreams.items()
            # One that was dropped here is not taken back by a guess.
            if not upstream.lapsing or name in known
        }
        self._until = {
            name: self._until.get(name, now + EXPIRY_GRACE)
            for name, upstream in upstreams.items()
            if upstream.lapsing
        }
        return upstreams

    def pop_overdue(self, now):
        """Return the ids of those that were kept for long enough."""
        ended = [name for name, until in self._until.items() if now >= until]
        for name in ended:
            del self._until[name]
        return ended
