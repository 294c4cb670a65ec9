"""Enforces the rate limits that upstreams name, together with the peers."""

import structlog

from ..errors import ErrorKind
from ..errors import MessageError
from ..errors import PeerError
from ..errors import RequestError
from ..hashing import rendezvous
from ..incarnation import address_of
from ..membership.members import LEAVING
from ..ratelimits import HeldPermits
from ..ratelimits import parse_limit
from ..ratelimits import permit_batch_size
from ..ratelimits import PermitGranter
from ..ratelimits import UpstreamLimits
from ..schema.messages import LimitNews
from ..schema.messages import PermitAsk
from ..schema.messages import Permits

LOG = structlog.get_logger(__name__)

# Time-out in seconds of a request for permits: many round trips within a
# region, and short compared to every objective.
PERMIT_TIMEOUT = 0.1
# Seconds for which a router that did not answer is not asked for permits.
UNAVAILABLE_SECONDS = 1.0


class RateLimits:
    """The rate limits of all upstreams, and the permits to send to them.

    For each upstream one router grants permits to all routers.  If that one is
    unavailable, the next one in the rendezvous order does, which is the same
    at all routers.

    :param peers: a PeerClient
    :param members: the Membership
    :param recipients: function that returns the addresses of the peers to
        which changes are sent at once
    :param address: this router's peer address
    :param clock: a Clock
    :param metrics: the GatewayMetrics
    """

    def __init__(self, peers, members, recipients, address, clock, metrics):
        self._peers = peers
        self._members = members
        self._recipients = recipients
        self._address = address
        self._clock = clock
        self._metrics = metrics
        self._limits = UpstreamLimits()
        self._permit_granter = PermitGranter()
        self._own_share = PermitGranter()
        self._held_permits = HeldPermits()
        self._unavailable_until = {}
        self._unreadable = {}

    # Limits named by upstreams

    def record_answer(self, run, text):
        """Record the rate limit that an answer of an upstream names.

        :param run: the UpstreamRun
        :param text: value of the header, None if the answer has none
        """
        rate = None
        if text is not None:
            try:
                rate = parse_limit(text)
            except MessageError as error:
                return self._log_unreadable(run, text, error)
        now = self._clock.steady()
        if self._limits.update(run.name, rate, now, now):
            self._on_change(run.name, rate, None)
            row = self._limits.row(run.name, now)
            message = LimitNews([row], self._address)
            self._peers.tell(self._recipients(), message)

    def _log_unreadable(self, run, text, error):
        """Log a limit that cannot be parsed, unless it repeats the last."""
        if self._unreadable.get(run.name) != text:
            self._unreadable[run.name] = text
            LOG.warning(
                "upstream_limit_unreadable",
                upstream=run.name,
                error=str(error),
            )

    def _on_change(self, name, rate, heard_from):
        LOG.info(
            "upstream_limit", upstream=name, rate=rate, heard_from=heard_from
        )
        self._metrics.limited_upstreams.set({}, self._limits.count)

    def retain(self, names):
        """Drop the state of all upstreams that are no longer listed.

        :param names: names of the runs of the listed upstreams
        """
        for part in (
            self._limits,
            self._permit_granter,
            self._own_share,
            self._held_permits,
        ):
            part.retain(names)
        self._unreadable = {
            name: text
            for name, text in self._unreadable.items()
            if name in names
        }

    # Selecting upstreams

    def with_permits(self, candidates, now):
        """Return the candidates for which a permit may be available now.

        :param candidates: UpstreamStates
        :param now: monotonic time in seconds
        :raises RequestError: there is no permit for any of them; the error
            carries the time of the next one
        """
        if not self._limits.count:
            return candidates
        times = {state: self._available_at(state, now) for state in candidates}
        available = [state for state in candidates if times[state] <= now]
        if candidates and not available:
            raise RequestError(
                ErrorKind.OVERLOADED,
                "the rate limits of all upstreams are exhausted",
                come_back_at=min(times.values()),
            )
        return available

    def unlimited(self, candidates):
        """Return the UpstreamStates among candidates without a rate limit."""
        if not self._limits.count:
            return candidates
        return [state for state in candidates if self._rate(state) is None]

    def _rate(self, state):
        return self._limits.rate(state.record.run.name)

    def _available_at(self, state, now):
        if self._rate(state) is None:
            return now
        return self._held_permits.available_at(state.record.run.name, now)

    async def acquire(self, state):
        """Acquire a permit to send to an upstream, unless it has no limit.

        :param state: the UpstreamState
        :returns: whether the request may be sent
        """
        rate = self._rate(state)
        if rate is None:
            return True
        name = state.record.run.name
        if self._held_permits.acquire(name, self._clock.steady()):
            return True
        await self._request_permits(name, rate)
        taken = self._held_permits.acquire(name, self._clock.steady())
        outcome = "granted" if taken else "denied"
        self._metrics.permits.inc({"outcome": outcome})
        return taken

    # Permits

    async def _request_permits(self, name, rate):
        """Request permits; the granted ones are added to those held."""
        now = self._clock.steady()
        routers = self._routers(now)
        wanted = permit_batch_size(rate, len(routers))
        granter = rendezvous(name, routers)[0]
        if granter == self._address:
            grant = self._permit_granter.grant(name, rate, wanted, now)
            return self._held_permits.add(name, *grant, now)
        ask = PermitAsk(name, rate, wanted)
        try:
            answer = await self._peers.call(granter, ask, PERMIT_TIMEOUT)
        except PeerError as error:
            LOG.info("permit_unanswered", upstream=name, error=str(error))
            return self._grant_share(name, rate, granter, len(routers))
        now = self._clock.steady()
        next_at = now + max(0.0, answer.wait)
        self._held_permits.add(name, answer.count, next_at, now)

    def _grant_share(self, name, rate, granter, routers):
        """Grant from this router's share while the granter is unavailable."""
        now = self._clock.steady()
        self._unavailable_until[granter] = now + UNAVAILABLE_SECONDS
        share = rate / max(1, routers)
        grant = self._own_share.grant(name, share, 1, now)
        self._held_permits.add(name, *grant, now)

    def _routers(self, now):
        """Return the addresses of the routers that can grant permits."""
        self._unavailable_until = {
            peer: until
            for peer, until in self._unavailable_until.items()
            if until > now
        }
        ready = map(address_of, self._members.ready_peers())
        other_routers = [
            peer for peer in ready if peer not in self._unavailable_until
        ]
        if other_routers and self._members.own_entry.state == LEAVING:
            # The other routers no longer ask a leaving router for permits.
            return other_routers
        return [self._address, *other_routers]

    def grant(self, ask):
        """Return the Permits that answer a PermitAsk."""
        rate = self._limits.rate(ask.upstream)
        if rate is None:
            rate = max(0.0, ask.rate)
        now = self._clock.steady()
        wanted = max(0, ask.wanted)
        count, next_at = self._permit_granter.grant(
            ask.upstream, rate, wanted, now
        )
        return Permits(count, next_at - now)

    # Peers

    def rows(self):
        """Return the next LimitRows to send to a peer."""
        return self._limits.next_rows(self._clock.steady())

    def receive(self, message):
        """Merge the LimitRows of a LimitNews message."""
        self.merge(message.rows, message.sender)

    def merge(self, rows, peer):
        """Merge LimitRows of a peer.

        :param rows: the LimitRows
        :param peer: peer address of their sender, for the log
        """
        now = self._clock.steady()
        for row in rows:
            if self._limits.merge(row, now):
                rate = self._limits.rate(row.upstream)
                self._on_change(row.upstream, rate, peer)
