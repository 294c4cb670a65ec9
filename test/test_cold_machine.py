"""A cold upstream gets no more than it bears, whatever routers know.

A state machine lets all routers of a fleet send to one cold upstream as often
as they may, while it kills and starts routers and cuts the fleet in two, whose
halves forget each other after a while.  The oracle counts what arrives within
a second, as the platform's rule does.  Each broken variant must be found.
"""

import math
from unittest import mock

from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import pytest

from rowanport.warmup import ColdSends
from rowanport.warmup import SenderQuotas
from rowanport.warmup import sends

from .machines import run_machine

RUN = "engine@1"
RATE = 6.6
# What the platform lets all routers send in a second.
LIMIT = RATE * 1.5 + 5
NAMES = [f"r{number}" for number in range(20)]
# Seconds after its start during which a router may not know all others.
SETTLE_SECONDS = 5.0
# Seconds after which a router that is not heard of is forgotten.
FORGET_SECONDS = 60.0
STEPS = 40
EXAMPLES = 100
MOST_EXAMPLES = 600


class Router:
    """One run of a router, and the routers that it knows.

    :ivar heard: monotonic time at which each known router was last heard of
    """

    def __init__(self, name, now):
        self.name = name
        self.started = now
        self.heard = {name: now}
        self.quotas = SenderQuotas(name)
        self.sends = ColdSends()
        self._addresses = ()

    def addresses(self, now):
        """Return the known routers, the same tuple while they are the same."""
        self.heard[self.name] = now
        known = tuple(
            sorted(
                n for n, at in self.heard.items() if at > now - FORGET_SECONDS
            )
        )
        if known != self._addresses:
            self._addresses = known
        return self._addresses

    def send_all(self, now):
        """Send while that is allowed; return how often."""
        settled = now >= self.started + SETTLE_SECONDS
        quota = self.quotas.quota(RUN, RATE, self.addresses(now), settled)
        count = 0
        while self.sends.acquire(RUN, quota, now):
            count += 1
        return count


class ColdMachine(RuleBasedStateMachine):
    """A fleet in one or two parts, and one cold upstream."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.routers = {n: Router(n, -math.inf) for n in NAMES[:12]}
        self.parts = [set(NAMES)]
        self.arrivals = []
        self.gossip()

    def gossip(self):
        """Let the routers of each part hear of each other."""
        for part in self.parts:
            running = [n for n in part if n in self.routers]
            for name in running:
                for other in running:
                    self.routers[name].heard[other] = self.now

    @rule()
    def send_everywhere(self):
        for router in self.routers.values():
            self.arrivals += [self.now] * router.send_all(self.now)

    @rule(seconds=st.sampled_from([0.1, 0.5, 0.9, 1.2, 5.5]))
    def wait(self, seconds):
        self.now += seconds
        self.gossip()

    @rule()
    def wait_until_forgotten(self):
        for _step in range(13):
            self.wait(5.0)

    @rule(names=st.sets(st.sampled_from(NAMES), max_size=8))
    def restart(self, names):
        for name in names:
            self.routers[name] = Router(name, self.now)

    @rule()
    def restart_all(self):
        self.restart(list(self.routers))

    @rule(name=st.sampled_from(NAMES))
    def kill(self, name):
        self.routers.pop(name, None)

    @rule(count=st.sampled_from([2, 8, 14]))
    def cut(self, count):
        self.parts = [set(NAMES[:count]), set(NAMES[count:])]

    @rule()
    def heal(self):
        self.parts = [set(NAMES)]
        self.gossip()

    @invariant()
    def no_more_than_it_bears(self):
        recent = [at for at in self.arrivals if at > self.now - 1.0]
        assert len(recent) <= LIMIT


def test_a_cold_upstream_is_not_overrun():
    run_machine(ColdMachine, EXAMPLES, STEPS)


class EachIsTheOnlySender(SenderQuotas):
    def quota(self, upstream, rate, routers, settled):
        return super().quota(upstream, rate, (self._address,), settled)


class SendsBeforeItKnowsOthers(SenderQuotas):
    def quota(self, upstream, rate, routers, settled):
        return super().quota(upstream, rate, routers, True)


class DividesByItsOwnGuess(SenderQuotas):
    def quota(self, upstream, rate, routers, settled):
        return 1 if settled else 0


@pytest.mark.parametrize(
    "variant",
    [EachIsTheOnlySender, SendsBeforeItKnowsOthers, DividesByItsOwnGuess],
)
def test_a_broken_choice_of_senders_is_found(variant):
    with mock.patch(f"{__name__}.SenderQuotas", variant):
        with pytest.raises(AssertionError):
            run_machine(ColdMachine, MOST_EXAMPLES, STEPS)


def test_a_quota_that_is_counted_for_too_short_is_found():
    with mock.patch.object(sends, "QUOTA_SECONDS", 0.3):
        with pytest.raises(AssertionError):
            run_machine(ColdMachine, MOST_EXAMPLES, STEPS)


def test_the_parts_of_all_routers_add_up_to_the_rate():
    for count in (1, 2, 3, 5, 7, 74, 420):
        routers = tuple(f"10.0.0.{number}:80" for number in range(count))
        total = sum(
            SenderQuotas(router).quota(RUN, RATE, routers, True)
            for router in routers
        )
        assert 4 <= total <= RATE
