"""Choice among the upstreams of one group.

Bounded-load rendezvous hashing (Mirrokni et al., 2016; Thaler and
Ravishankar, 1996): a key's first upstream takes the request unless it has
more than its share, else the next one does.  The key is an organisation's
prompt prefix, so that engines find it in their cache.
"""

import math

from ..hashing import rendezvous

SPREAD = 1.25
SLOW_START = 5.0
SLOW_FLOOR = 0.2
EJECT_AFTER = 3
EJECT_SECONDS = 5.0
REPORT_LIFE = 5.0


class Upstream:
    """One upstream as this router sees it.

    :ivar outstanding: requests of this router that run there
    :ivar leaving_until: until when it is taken to be leaving
    :ivar ejected_until: until when it gets nothing after failures
    """

    __slots__ = (
        "record",
        "outstanding",
        "waiting",
        "report_until",
        "leaving",
        "leaving_until",
        "ejected_until",
        "failures",
        "full_from",
    )

    def __init__(self, record, full_from):
        self.record = record
        self.outstanding = 0
        self.waiting = 0
        self.report_until = 0.0
        self.leaving = False
        self.leaving_until = 0.0
        self.ejected_until = 0.0
        self.failures = 0
        self.full_from = full_from

    @property
    def address(self):
        return self.record.address


class Pool:
    """The upstreams of a group.

    :param oversubscription: requests that the fleet sends an upstream for
        each that it can run at once
    :param clock: a Clock
    """

    def __init__(self, oversubscription, clock):
        self._oversubscription = oversubscription
        self._clock = clock
        self._upstreams = {}
        self._routers = 1

    # Changes

    def update(self, records, first=False):
        """Take over the configured upstreams.

        :param records: UpstreamRecords of the group
        :param first: whether this is the router's first configuration, in
            which case no upstream needs a slow start
        """
        now = self._clock.steady()
        known = self._upstreams
        self._upstreams = {}
        for record in records:
            upstream = known.get(record.address)
            if upstream is None:
                start = now if first or not known else now + SLOW_START
                upstream = Upstream(record, start)
            upstream.record = record
            self._upstreams[record.address] = upstream

    def set_routers(self, count):
        """Set the number of live routers that share the upstreams."""
        self._routers = max(1, count)

    def set_leaving(self, addresses):
        """Take over which upstreams the platform lists as leaving."""
        for upstream in self._upstreams.values():
            upstream.leaving = upstream.address in addresses

    def note_leaving(self, address, until):
        """Take an upstream's or a peer's word that it is leaving.

        :param until: wall time at which the note lapses
        :returns: whether that is news
        """
        upstream = self._upstreams.get(address)
        if upstream is None or upstream.leaving_until >= until:
            return False
        news = upstream.leaving_until <= self._clock.wall()
        upstream.leaving_until = until
        return news

    def note_load(self, address, waiting):
        """Take in an engine's report of its queue."""
        upstream = self._upstreams.get(address)
        if upstream is not None:
            upstream.waiting = waiting
            upstream.report_until = self._clock.steady() + REPORT_LIFE

    # Views

    def upstreams(self):
        """Return all upstreams."""
        return list(self._upstreams.values())

    def is_open(self, upstream):
        """Return whether an upstream may get new work."""
        return not (
            upstream.leaving
            or upstream.record.leaving
            or upstream.leaving_until > self._clock.wall()
        )

    def _usable(self):
        """Return the open upstreams, without ejected ones if any is left.

        At most half of a group is ejected: beyond that the fault is hardly
        the upstreams' own.
        """
        now = self._clock.steady()
        open_ones = [u for u in self._upstreams.values() if self.is_open(u)]
        healthy = [u for u in open_ones if u.ejected_until <= now]
        if 2 * len(healthy) < len(open_ones):
            return open_ones
        return healthy

    def limit(self, upstream):
        """Return how many requests this router may have there at once."""
        share = upstream.record.capacity * self._oversubscription
        share /= self._routers
        now = self._clock.steady()
        if now < upstream.full_from:
            left = (upstream.full_from - now) / SLOW_START
            share *= max(SLOW_FLOOR, 1.0 - left)
        reported = now < upstream.report_until
        if reported and upstream.waiting > upstream.record.capacity:
            share /= 2
        return max(1, math.ceil(share))

    def slots(self):
        """Return how many requests the group runs for this router."""
        return sum(self.limit(upstream) for upstream in self._usable())

    def has_room(self):
        """Return whether any upstream could take a request now."""
        return any(u.outstanding < self.limit(u) for u in self._usable())

    # Choice

    def order(self, key):
        """Return the addresses in the order in which a key prefers them."""
        return rendezvous(key, self._upstreams)

    def choose(self, key, avoid=()):
        """Return the upstream for a key, or None if all are full.

        :param avoid: addresses that already failed this request
        """
        usable = {
            upstream.address: upstream
            for upstream in self._usable()
            if upstream.address not in avoid
        }
        if not usable:
            return None
        total = sum(upstream.outstanding for upstream in usable.values()) + 1
        bound = math.ceil(SPREAD * total / len(usable))
        order = [usable[name] for name in rendezvous(key, usable)]
        for cap in (bound, math.inf):
            for upstream in order:
                if upstream.outstanding < min(cap, self.limit(upstream)):
                    return upstream
        return None

    def any_usable(self):
        """Return whether the group has an upstream that may get work."""
        return bool(self._usable())

    # Outcomes

    def started(self, upstream):
        """Count a request in."""
        upstream.outstanding += 1

    def ended(self, upstream, failed):
        """Count a request out; eject an upstream that keeps failing."""
        upstream.outstanding -= 1
        if not failed:
            upstream.failures = 0
            return
        upstream.failures += 1
        if upstream.failures >= EJECT_AFTER:
            upstream.failures = 0
            now = self._clock.steady()
            upstream.ejected_until = now + EJECT_SECONDS
            upstream.full_from = upstream.ejected_until + SLOW_START
