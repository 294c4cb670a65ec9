"""Keeps the rate limits that upstreams name, together with the peers."""

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

# Longest wait in seconds for a permit: many round trips within a region, and
# short against every objective.
PERMIT_TIMEOUT = 0.1
# Seconds for which a router that gave no answer is passed over.
PASS_OVER_SECONDS = 1.0


class RateLimits:
    """The rate limits of all upstreams, and permits to send to these.

    For each upstream one router grants permits to all; if it is away, the
    next one in an order that all agree on.

    :param peers: a PeerClient
    :param members: the Membership
    :param listeners: function that returns the addresses of the peers that
        are told news at once
    :param address: this router's peer address
    :param clock: a Clock
    :param metrics: the GatewayMetrics
    """

    def __init__(self, peers, members, listeners, address, clock, metrics):
        self._peers = peers
        self._members = members
        self._listeners = listeners
        self._address = address
        self._clock = clock
        self._metrics = metrics
        self._named = UpstreamLimits()
        self._book = PermitGranter()
        self._own_share = PermitGranter()
        self._purse = HeldPermits()
        self._away_until = {}
        self._unreadable = {}

    # What upstreams say

    def record_answer(self, run, text):
        """Take in what an upstream's answer says of its limit.

        :param run: the UpstreamRun
        :param text: the limit that it names, None if it names none
        """
        rate = None
        if text is not None:
            try:
                rate = parse_limit(text)
            except MessageError as error:
                return self._note_unreadable(run, text, error)
        now = self._clock.steady()
        if self._named.update(run.name, rate, now, now):
            self._note_change(run.name, rate, None)
            row = self._named.row(run.name, now)
            news = LimitNews([row], self._address)
            self._peers.tell(self._listeners(), news)

    def _note_unreadable(self, run, text, error):
        """Log once what an upstream says instead of a limit."""
        if self._unreadable.get(run.name) != text:
            self._unreadable[run.name] = text
            LOG.warning(
                "upstream_limit_unreadable",
                upstream=run.name,
                error=str(error),
            )

    def _note_change(self, name, rate, heard_from):
        LOG.info(
            "upstream_limit", upstream=name, rate=rate, heard_from=heard_from
        )
        self._metrics.limited_upstreams.set({}, self._named.count)

    def retain(self, names):
        """Forget all upstreams but some.

        :param names: names of upstreams' runs
        """
        for part in (self._named, self._book, self._own_share, self._purse):
            part.retain(names)
        self._unreadable = {
            name: text
            for name, text in self._unreadable.items()
            if name in names
        }

    # Where requests may go

    def with_permits(self, candidates, now):
        """Return the UpstreamStates among some that may have a permit left.

        :raises RequestError: none has, with the time of the next permit
        """
        if not self._named.count:
            return candidates
        times = {state: self._open_at(state, now) for state in candidates}
        fit = [state for state in candidates if times[state] <= now]
        if candidates and not fit:
            raise RequestError(
                ErrorKind.OVERLOADED,
                "all upstreams get as much as they take",
                come_back_at=min(times.values()),
            )
        return fit

    def unlimited(self, candidates):
        """Return the UpstreamStates among some that name no limit."""
        if not self._named.count:
            return candidates
        return [state for state in candidates if self._rate(state) is None]

    def _rate(self, state):
        return self._named.rate(state.record.run.name)

    def _open_at(self, state, now):
        if self._rate(state) is None:
            return now
        return self._purse.available_at(state.record.run.name, now)

    async def acquire(self, state):
        """Take a permit to send to an upstream, if it takes one now.

        :returns: whether the request may be sent
        """
        rate = self._rate(state)
        if rate is None:
            return True
        name = state.record.run.name
        if self._purse.acquire(name, self._clock.steady()):
            return True
        await self._ask(name, rate)
        taken = self._purse.acquire(name, self._clock.steady())
        outcome = "granted" if taken else "denied"
        self._metrics.permits.inc({"outcome": outcome})
        return taken

    # Permits

    async def _ask(self, name, rate):
        """Ask for permits; what comes of it is in the purse."""
        now = self._clock.steady()
        routers = self._routers(now)
        wanted = permit_batch_size(rate, len(routers))
        granter = rendezvous(name, routers)[0]
        if granter == self._address:
            grant = self._book.grant(name, rate, wanted, now)
            return self._purse.add(name, *grant, now)
        ask = PermitAsk(name, rate, wanted)
        try:
            answer = await self._peers.call(granter, ask, PERMIT_TIMEOUT)
        except PeerError as error:
            LOG.info("permit_unanswered", upstream=name, error=str(error))
            return self._grant_share(name, rate, granter, len(routers))
        now = self._clock.steady()
        next_at = now + max(0.0, answer.wait)
        self._purse.add(name, answer.count, next_at, now)

    def _grant_share(self, name, rate, granter, routers):
        """Take this router's share where nobody grants permits."""
        now = self._clock.steady()
        self._away_until[granter] = now + PASS_OVER_SECONDS
        share = rate / max(1, routers)
        grant = self._own_share.grant(name, share, 1, now)
        self._purse.add(name, *grant, now)

    def _routers(self, now):
        """Return the addresses of the routers that may grant permits."""
        self._away_until = {
            peer: until
            for peer, until in self._away_until.items()
            if until > now
        }
        ready = map(address_of, self._members.ready_peers())
        others = [peer for peer in ready if peer not in self._away_until]
        if others and self._members.own_entry.state == LEAVING:
            # No other router takes it for one that grants any more.
            return others
        return [self._address, *others]

    def grant(self, ask):
        """Answer a PermitAsk."""
        rate = self._named.rate(ask.upstream)
        if rate is None:
            rate = max(0.0, ask.rate)
        now = self._clock.steady()
        wanted = max(0, ask.wanted)
        count, next_at = self._book.grant(ask.upstream, rate, wanted, now)
        return Permits(count, next_at - now)

    # Peers

    def rows(self):
        """Return LimitRows for a peer."""
        return self._named.next_rows(self._clock.steady())

    def receive(self, news):
        """Take in LimitNews."""
        self.merge(news.rows, news.sender)

    def merge(self, rows, peer):
        """Take in LimitRows of a peer."""
        now = self._clock.steady()
        for row in rows:
            if self._named.merge(row, now):
                rate = self._named.rate(row.upstream)
                self._note_change(row.upstream, rate, peer)
