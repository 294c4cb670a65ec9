"""Selection among the upstreams of one group.

Rendezvous hashing with bounded loads (Mirrokni et al., 2016; Thaler and
Ravishankar, 1996): a request goes to the first upstream in its key's order
that has not reached its load bound.  The key of a chat request is its
organisation and prompt prefix, so that engines find the prefix in their
caches.
"""

import math
import random

from ..hashing import rendezvous
from ..notices import Backoff

# Load bound of an upstream, as a multiple of the mean load.
LOAD_FACTOR = 1.25
SLOW_START_SECONDS = 5.0
SLOW_START_SHARE = 0.2
EJECT_AFTER_FAILURES = 3
EJECT_SECONDS = 5.0
LOAD_REPORT_TTL = 5.0


class Upstream:
    """One upstream and this router's state for it.

    Times are monotonic unless stated otherwise.

    :ivar record: its UpstreamRecord in the configuration
    :ivar outstanding: number of this router's requests that run there
    :ivar waiting: queue length that the engine last reported
    :ivar load_expires_at: time up to which that report is used
    :ivar leaving: whether the platform lists it as leaving
    :ivar leaving_until: wall time up to which a notice of leaving is in effect
    :ivar ejected_until: time up to which it is ejected after failures
    :ivar failures: number of consecutive failures
    :ivar full_share_at: time at which its slow start ends
    :ivar backoff: the Backoff that it asked for, or None
    """

    __slots__ = (
        "record",
        "outstanding",
        "waiting",
        "load_expires_at",
        "leaving",
        "leaving_until",
        "ejected_until",
        "failures",
        "full_share_at",
        "backoff",
    )

    def __init__(self, record, full_share_at):
        self.record = record
        self.outstanding = 0
        self.waiting = 0
        self.load_expires_at = 0.0
        self.leaving = False
        self.leaving_until = 0.0
        self.ejected_until = 0.0
        self.failures = 0
        self.full_share_at = full_share_at
        self.backoff = None

    @property
    def address(self):
        return self.record.address

    def available_at(self, now):
        """Return the monotonic time from which it may get a request."""
        return now if self.backoff is None else self.backoff.available_at(now)


class Pool:
    """The upstreams of a group.

    :param oversubscription: number of requests that the fleet may send to an
        upstream for each one that it can run concurrently
    :param clock: a Clock
    """

    def __init__(self, oversubscription, clock):
        self._oversubscription = oversubscription
        self._clock = clock
        self._upstreams = {}
        self._routers = 1

    # Changes

    def update(self, records, first=False):
        """Apply the configured upstreams, keeping the state of known ones.

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
                start = now if first or not known else now + SLOW_START_SECONDS
                upstream = Upstream(record, start)
            upstream.record = record
            self._upstreams[record.address] = upstream

    def set_routers(self, count):
        """Set the number of live routers that share the upstreams."""
        self._routers = max(1, count)

    def set_leaving(self, addresses):
        """Set which upstreams the platform lists as leaving."""
        for upstream in self._upstreams.values():
            upstream.leaving = upstream.address in addresses

    def note_leaving(self, address, until):
        """Mark an upstream as leaving, by its own or a peer's report.

        :param until: wall time at which the mark expires
        :returns: whether no mark was in effect
        """
        upstream = self._upstreams.get(address)
        if upstream is None or upstream.leaving_until >= until:
            return False
        is_new = upstream.leaving_until <= self._clock.wall()
        upstream.leaving_until = until
        return is_new

    def note_backoff(self, address, seconds):
        """Record a refusal by which an upstream asks for a time without work.

        :returns: whether it prolongs such a time
        """
        upstream = self._upstreams.get(address)
        if upstream is None:
            return False
        if upstream.backoff is None:
            upstream.backoff = Backoff()
        now = self._clock.steady()
        return upstream.backoff.record(seconds, now, random.random())

    def note_load(self, address, waiting):
        """Record the queue length that an engine reported."""
        upstream = self._upstreams.get(address)
        if upstream is not None:
            upstream.waiting = waiting
            upstream.load_expires_at = self._clock.steady() + LOAD_REPORT_TTL

    # Views

    def upstreams(self):
        """Return all upstreams."""
        return list(self._upstreams.values())

    def is_open(self, upstream):
        """Return whether an upstream is not leaving."""
        return not (
            upstream.leaving
            or upstream.record.leaving
            or upstream.leaving_until > self._clock.wall()
        )

    def backs_off(self, address):
        """Return whether an upstream is to get nothing for now."""
        upstream = self._upstreams.get(address)
        now = self._clock.steady()
        return upstream is not None and upstream.available_at(now) > now

    def available_at(self):
        """Return when the first upstream takes requests again.

        :returns: monotonic time, None unless this router backs off from all
            that are open
        """
        now = self._clock.steady()
        times = [
            upstream.available_at(now)
            for upstream in self._upstreams.values()
            if self.is_open(upstream)
        ]
        first = min(times, default=now)
        return first if first > now else None

    def _usable(self):
        """Return the open upstreams without the ejected ones.

        Those from which this router backs off never are.  If more than half of
        the others are ejected, none of these is left out: the cause is then
        probably not the upstreams themselves.
        """
        now = self._clock.steady()
        open_upstreams = [
            u
            for u in self._upstreams.values()
            if self.is_open(u) and u.available_at(now) <= now
        ]
        healthy = [u for u in open_upstreams if u.ejected_until <= now]
        if 2 * len(healthy) < len(open_upstreams):
            return open_upstreams
        return healthy

    def limit(self, upstream):
        """Return this router's concurrency limit at an upstream."""
        share = upstream.record.capacity * self._oversubscription
        share /= self._routers
        now = self._clock.steady()
        if now < upstream.full_share_at:
            left = (upstream.full_share_at - now) / SLOW_START_SECONDS
            share *= max(SLOW_START_SHARE, 1.0 - left)
        reported = now < upstream.load_expires_at
        if reported and upstream.waiting > upstream.record.capacity:
            share /= 2
        return max(1, math.ceil(share))

    def slots(self):
        """Return this router's concurrency limit for the whole group."""
        return sum(self.limit(upstream) for upstream in self._usable())

    def has_room(self):
        """Return whether any upstream has a free slot."""
        return any(u.outstanding < self.limit(u) for u in self._usable())

    # Choice

    def order(self, key):
        """Return the addresses in the rendezvous order of a key."""
        return rendezvous(key, self._upstreams)

    def choose(self, key, avoid=()):
        """Return the upstream for a key, or None if none has a free slot.

        :param avoid: addresses of upstreams not to choose
        """
        usable = {
            upstream.address: upstream
            for upstream in self._usable()
            if upstream.address not in avoid
        }
        if not usable:
            return None
        total = sum(upstream.outstanding for upstream in usable.values()) + 1
        bound = math.ceil(LOAD_FACTOR * total / len(usable))
        order = [usable[name] for name in rendezvous(key, usable)]
        for cap in (bound, math.inf):
            for upstream in order:
                if upstream.outstanding < min(cap, self.limit(upstream)):
                    return upstream
        return None

    def any_usable(self):
        """Return whether any upstream may get new requests."""
        return bool(self._usable())

    # Outcomes

    def started(self, upstream):
        """Record the start of a request."""
        upstream.outstanding += 1
        if upstream.backoff is not None:
            upstream.backoff.acquire(self._clock.steady())

    def ended(self, upstream, failed):
        """Record the end of a request; eject an upstream that keeps failing.

        :param failed: whether the failure counts against the upstream
        """
        upstream.outstanding -= 1
        if not failed:
            upstream.failures = 0
            return
        upstream.failures += 1
        if upstream.failures >= EJECT_AFTER_FAILURES:
            upstream.failures = 0
            now = self._clock.steady()
            upstream.ejected_until = now + EJECT_SECONDS
            upstream.full_share_at = (
                upstream.ejected_until + SLOW_START_SECONDS
            )
