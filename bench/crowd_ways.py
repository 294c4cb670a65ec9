"""``python -m bench.crowd_ways``: ways to spread a crowd, compared.

The crowd asks for three times a link's rate, the others together for 1.5
times, on 15 routers, with new connections for each request or kept ones.
Callers that are sent away go to any router, or all to the next one.
"""

import itertools
import random
import statistics

from bench.crowd import CROWD
from bench.crowd import LINK_RATE
from bench.crowd import Model
from bench.crowd import REQUEST
from bench.crowd import ROUTERS
from bench.crowd import SURGE_AT
from rowanport.diversion import Diversion
from rowanport.diversion import PeerUse
from rowanport.rates import DecayingRate

# Use of a link, as a part of its rate, above which callers are moved.
TARGET = 0.5
SECONDS = SURGE_AT + 20.0
SETTLED = SURGE_AT + 3.0
# Difference of the use of two links, as a part of their rate, that is noise.
ALIKE = 0.1


class Way:
    """How a router keeps its load down; this one does nothing."""

    def ready(self, now):
        """Return what the balancer is told."""
        return True

    def accept(self, now):
        """Return whether a new connection is accepted."""
        return True

    def serve(self, organisation, size, now, first):
        """Return whether a request that has come is served."""
        return True

    def closes(self, organisation, now):
        """Return whether an answer closes its connection."""
        return False

    def answered(self, organisation, size, now):
        """Count an answer."""


class Measured(Way):
    """A way that decides by the recent use of the link."""

    def __init__(self):
        self._rate = DecayingRate(0.2)

    def _use(self, now):
        return self._rate.rate(now) / LINK_RATE

    def _excess(self, now):
        """Return the part of the load that is too much."""
        return max(0.0, 1.0 - TARGET / max(TARGET, self._use(now)))

    def serve(self, organisation, size, now, first):
        self._rate.add(size, now)
        return True

    def answered(self, organisation, size, now):
        self._rate.add(size, now)


class NotReady(Measured):
    """Not ready, and all connections closed, as before this comparison."""

    def __init__(self):
        super().__init__()
        self._active = False
        self._until = 0.0

    def ready(self, now):
        if not self._active and self._use(now) > 0.55:
            self._active = True
            self._until = now + 2.0
        elif self._active and now >= self._until and self._use(now) < 0.3:
            self._active = False
        return not self._active

    def closes(self, organisation, now):
        return not self.ready(now)


class ClosePart(Measured):
    """A part of the connections is closed with the answer."""

    def closes(self, organisation, now):
        return random.random() < self._excess(now)


class RefusePart(Measured):
    """A part of the crowd's requests is refused at once."""

    def serve(self, organisation, size, now, first):
        super().serve(organisation, size, now, first)
        return organisation != CROWD or random.random() >= self._excess(now)


class Pause(Measured):
    """New connections are not accepted while the use is above the target.

    Each counts as a request as soon as it is accepted, so that those in
    transit are known.
    """

    def accept(self, now):
        if self._use(now) > TARGET:
            return False
        self._rate.add(REQUEST, now)
        return True

    def serve(self, organisation, size, now, first):
        self._rate.add(0 if first else size, now)
        return True


class PauseAndClose(Pause):
    """The same; meanwhile answers to the crowd close their connections."""

    def closes(self, organisation, now):
        return organisation == CROWD and self._use(now) > TARGET


class PauseCloseRefuse(PauseAndClose):
    """The same, and what comes on open connections is refused in part."""

    def serve(self, organisation, size, now, first):
        super().serve(organisation, size, now, first)
        if first or organisation != CROWD:
            return True
        return random.random() >= self._excess(now)


class Peer(Way):
    """A peer serves on behalf of the full router: bytes pass it all the same.

    On a full link that is no better than doing nothing.
    """


class Built(Way):
    """The decisions of rowanport.diversion.

    :param fleet: the Built of all routers
    """

    def __init__(self, fleet):
        self.peers = PeerUse("here")
        self.diversion = Diversion(LINK_RATE, self.peers)
        self._fleet = fleet
        self._report_at = 0.0
        fleet.append(self)

    def _exchange(self, now):
        """Tell the other routers of the own use, twice a second."""
        if now >= self._report_at:
            self._report_at = now + 0.5
            share = self.diversion.use.reported_share(now)
            for other in self._fleet:
                if other is not self:
                    other.peers.collect(id(self), "here", share, now)

    def ready(self, now):
        self._exchange(now)
        return True

    def accept(self, now):
        if self.diversion.is_active(now):
            return False
        self.diversion.record_connection(now)
        return True

    def serve(self, organisation, size, now, first):
        self._exchange(now)
        self.diversion.record_request(organisation, size, first, now)
        if random.random() < self.diversion.excess(organisation, now):
            return False
        self.diversion.record_sent(size, now)
        return True

    def closes(self, organisation, now):
        return random.random() < self.diversion.excess(organisation, now)

    def answered(self, organisation, size, now):
        self.diversion.record_answer(organisation, size, now)


def play(way, kept, crowd=3.0, **options):
    """Return the Model of a way after some seconds."""
    fleet = []
    args = [fleet] if way is Built else []
    ways = [way(*args) for _number in range(ROUTERS)]
    model = Model(ways, crowd, kept, **options)
    model.run(SECONDS)
    return model


def worth(model, crowd):
    """Return the mean worth of the crowd's requests, or of the others'."""
    worths = [
        worth
        for name, values in model.worths.items()
        if (name == CROWD) is crowd
        for worth in values
    ]
    return statistics.fmean(worths) if worths else 0.0


def ratios(model, since=SETTLED):
    """Return the load of the fullest link over the median, by sample."""
    return [
        max(rates) / max(0.01, statistics.median(rates))
        for now, rates in model.samples
        if now >= since
    ]


def changes(model, least=0.0):
    """Return how often another router became the fullest of a second.

    Routers whose use differs by less than ALIKE are alike.

    :param least: least ratio to the median of a link that counts
    """
    samples = [rates for _now, rates in model.samples]
    count, fullest = 0, None
    for at in range(0, len(samples), 10):
        means = [statistics.fmean(one) for one in zip(*samples[at : at + 10])]
        if max(means) < least * statistics.median(means):
            continue
        if fullest is None or means[fullest] < max(means) - ALIKE:
            count += fullest is not None
            fullest = means.index(max(means))
    return count


def slow_polls(model, since=SETTLED, seconds=0.04):
    """Return the share of polls of peers that took longer."""
    slow = [took > seconds for now, took in model.polls if now >= since]
    return statistics.fmean(slow)


def main():
    """Print the results of each way."""
    random.seed(1)
    print("kept near way crowd others max/median polls>40ms changes refused")
    for kept, near in itertools.product((False, True), repeat=2):
        for way in (
            Peer,
            NotReady,
            ClosePart,
            RefusePart,
            Pause,
            PauseAndClose,
            PauseCloseRefuse,
            Built,
        ):
            model = play(way, kept, near=near)
            ratio = statistics.quantiles(ratios(model), n=20)[-1]
            print(
                f"{kept!s:5} {near!s:5} {way.__name__:16}"
                f" {worth(model, True):.3f}"
                f" {worth(model, False):.3f} {ratio:6.2f}"
                f" {slow_polls(model):.3f} {changes(model):3d}"
                f" {len(model.refusals)}"
            )


if __name__ == "__main__":
    main()
