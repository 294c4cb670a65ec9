"""A crowd of callers at one router, as a model for ``bench.crowd_ways``.

15 routers of one data centre, the balancer in front of them and callers.  The
balancer picks a router by a hash of the organisation for each new connection,
and asks each router once a second whether it is ready, over the same link.
"""

import heapq
import itertools
import random

from rowanport.diversion.link_use import bytes_on_link
from rowanport.rates import DecayingRate

ROUTERS = 15
LINK_RATE = 625000.0
REQUEST = 3900 + 300
ANSWER = 1800
REFUSAL = 350
# Bytes each way of a connection, a poll of a peer or of readiness.
SMALL = 180
HOP = 0.0005
UPSTREAM = 0.06
# Objective and time limit of a caller, and a late answer's worth, in seconds.
OBJECTIVE = 0.335
LIMIT = 4.47
LATE_WORTH = 0.3
CROWD = "crowd"
OTHERS = 24
# When the crowd comes, and the part of its demand before that.
SURGE_AT = 2.0
QUIET = 0.1
# Connections that the callers of an organisation keep open at most.
KEPT = 64


class Link:
    """One direction of a link: first come, first served."""

    def __init__(self, rate):
        self._rate = rate
        self._free_at = 0.0
        self.passed = DecayingRate(0.3)

    def send(self, size, now):
        """Return when some bytes have passed."""
        size = bytes_on_link(size)
        self.passed.add(size, now)
        self._free_at = max(now, self._free_at) + size / self._rate
        return self._free_at + HOP


class Request:
    """A request; ``first`` is whether it opens its connection."""

    __slots__ = ("organisation", "sent_at", "retried", "first")

    def __init__(self, organisation, sent_at):
        self.organisation = organisation
        self.sent_at = sent_at
        self.retried = False
        self.first = False


class Model:
    """The routers, the balancer and the callers.

    :param ways: a Way of bench.crowd_ways for each router
    :param crowd: bytes a second of requests of the crowd, of a link
    :param kept: whether callers keep their connections open
    :param others: the same of all other organisations together
    :param connects: most connections that a request tries
    :param near: whether all that a router sends away go to the next one
    """

    def __init__(
        self, ways, crowd, kept, others=1.5, seed=1, connects=3, near=False
    ):
        self.ways = ways
        self._random = random.Random(seed)
        self._kept = kept
        self._connects = connects
        self._near = near
        self._events = []
        self._order = itertools.count()
        self.now = 0.0
        self.links_in = [Link(LINK_RATE) for _way in ways]
        self.links_out = [Link(LINK_RATE) for _way in ways]
        self._misses = [0] * len(ways)
        # The crowd's callers have been at one router before.
        self._idle = {CROWD: [self._home(CROWD)] * KEPT if kept else []}
        self.worths = {}
        self.polls = []
        self.refusals = []
        self.samples = []
        names = [f"org-{number}" for number in range(OTHERS)]
        each = others / OTHERS
        for name, demand in [(CROWD, crowd), *((n, each) for n in names)]:
            if demand:
                self.at(0.0, self._arrive, name, demand * LINK_RATE / REQUEST)
        for number in range(len(self.ways)):
            self.at(0.03 * number, self._poll_peer, number)
            self.at(0.05 * number, self._poll_ready, number)
        self.at(0.1, self._sample)

    def at(self, when, call, *details):
        """Call something at a time."""
        event = (when, next(self._order), call, details)
        heapq.heappush(self._events, event)

    def run(self, seconds):
        """Play some seconds."""
        while self._events and self._events[0][0] < seconds:
            self.now, _order, call, details = heapq.heappop(self._events)
            call(*details)

    def _arrive(self, organisation, rate):
        self._connect(Request(organisation, self.now))
        quiet = organisation == CROWD and self.now < SURGE_AT
        gap = self._random.expovariate(rate * (QUIET if quiet else 1.0))
        self.at(self.now + gap, self._arrive, organisation, rate)

    def _home(self, organisation):
        """Return the router that the balancer picks."""
        taking = [n for n, count in enumerate(self._misses) if count <= 2]
        order = random.Random(organisation)
        ranks = [order.random() for _way in self.ways]
        return min(taking or range(len(self.ways)), key=ranks.__getitem__)

    def _connect(self, request, avoid=None, tries=0):
        idle = self._idle.setdefault(request.organisation, [])
        request.first = avoid is not None or not idle
        if not request.first:
            return self._pass_in(request, idle.pop())
        number = self._home(request.organisation)
        if avoid is not None:
            step = self._random.randrange(1, len(self.ways))
            number = (avoid + (1 if self._near else step)) % len(self.ways)
        if self.ways[number].accept(self.now):
            self.links_in[number].send(SMALL, self.now)
            return self._pass_in(request, number)
        # One packet, whose headers are counted with each message.
        back = self.links_in[number].send(1, self.now)
        if tries + 1 < self._connects:
            self.at(back, self._connect, request, number, tries + 1)
        else:
            self._end(request, 0.0)

    def _pass_in(self, request, number):
        done = self.links_in[number].send(REQUEST, self.now)
        self.at(done, self._received, request, number, self.now)

    def _received(self, request, number, came):
        way, now = self.ways[number], self.now
        organisation = request.organisation
        if now > request.sent_at + LIMIT:
            return self._end(request, 0.0)
        if way.serve(organisation, REQUEST, now, request.first):
            done = self.links_out[number].send(REQUEST, now) + UPSTREAM
            return self.at(done, self._answer, request, number)
        back = self.links_out[number].send(REFUSAL, now)
        self.refusals.append(back - came)
        if request.retried:
            return self._end(request, 0.0)
        request.retried = True
        self.at(back, self._connect, request, number)

    def _answer(self, request, number):
        done = self.links_in[number].send(ANSWER, self.now)
        self.at(done, self._answer_out, request, number)

    def _answer_out(self, request, number):
        way, now = self.ways[number], self.now
        way.answered(request.organisation, ANSWER, now)
        done = self.links_out[number].send(ANSWER, now)
        seconds = done - request.sent_at
        late = LATE_WORTH if seconds < LIMIT else 0.0
        self._end(request, 1.0 if seconds < OBJECTIVE else late)
        if self._kept and not way.closes(request.organisation, now):
            self.at(done, self._keep, request.organisation, number)

    def _keep(self, organisation, number):
        idle = self._idle.setdefault(organisation, [])
        if len(idle) < KEPT:
            idle.append(number)

    def _end(self, request, worth):
        self.worths.setdefault(request.organisation, []).append(worth)

    def _poll_peer(self, number):
        out = self.links_out[number].send(SMALL, self.now)
        self.at(out, self._polled_peer, number, self.now)
        self.at(self.now + 0.1, self._poll_peer, number)

    def _polled_peer(self, number, sent):
        back = self.links_in[number].send(SMALL, self.now)
        self.polls.append((sent, back - sent))

    def _poll_ready(self, number):
        came = self.links_in[number].send(SMALL, self.now)
        self.at(came, self._polled_ready, number)
        # Two are missed unless the answer comes before the next poll.
        self._misses[number] += 1
        self.at(self.now + 1.0, self._poll_ready, number)

    def _polled_ready(self, number):
        back = self.links_out[number].send(SMALL, self.now)
        if self.ways[number].ready(self.now):
            self.at(back, self._misses.__setitem__, number, 0)

    def _sample(self):
        rates = [
            max(one.passed.rate(self.now) for one in pair) / LINK_RATE
            for pair in zip(self.links_in, self.links_out)
        ]
        self.samples.append((self.now, rates))
        self.at(self.now + 0.1, self._sample)
