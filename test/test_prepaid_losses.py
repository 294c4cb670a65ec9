"""Tokens lost by power failures."""

import contextlib
from test import machines
from test.prepaid_world import ADDRESSES
from test.prepaid_world import BUDGET
from test.prepaid_world import World
from test.test_prepaid import machine_recovered_at_any_age
from unittest import mock

from hypothesis import strategies
from hypothesis.stateful import initialize
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import pytest

from rowanport.prepaid import batches
from rowanport.prepaid import HolderRecord
from rowanport.prepaid.allowance import GROWTH_DELAY
from rowanport.prepaid.allowance import LEASE_SPANS
from rowanport.prepaid.batches import HOLDER_PREFIX
from rowanport.prepaid.leases import REUSE_SHARE

TOTAL = 1_000_000
# Tokens of a request, and seconds between two requests: the budget lasts for
# 50 s.
REQUEST = 1000
REQUEST_GAP = 0.05
SEEDS = range(4)


def make_busy_world(seed):
    """Return a world whose routers have served for some seconds."""
    world = World(seed, TOTAL)
    for address in ADDRESSES:
        world.start(address)
    world.advance(3.0)
    serve(world, 8.0)
    return world


def serve(world, seconds):
    """Send requests to the routers in turn."""
    for number in range(int(seconds / REQUEST_GAP)):
        address = ADDRESSES[number % len(ADDRESSES)]
        world.request(address, REQUEST, REQUEST, 0.3)
        world.advance(REQUEST_GAP)


def lose_power(world, addresses, down):
    """Cut the power of some machines; return once they are back."""
    for address in addresses:
        world.kill(address, down, power=True)
    world.advance(down + 0.5)


def lost(world):
    """Return the tokens drawn that are neither held nor used."""
    used = world.spent + world.under_way()
    return world.taken() - world.held() - used


def worst_loss(addresses, down):
    """Return the largest part of the budget lost by two power failures."""
    return max(lose_power_twice(seed, addresses, down) for seed in SEEDS)


def lose_power_twice(seed, addresses, down):
    """Return the part of the budget lost by two power failures."""
    world = make_busy_world(seed)
    lose_power(world, addresses, down)
    serve(world, 8.0)
    lose_power(world, addresses, down)
    world.advance(5.0)
    world.check()
    part = lost(world) / world.total
    world.close()
    return part


def test_two_power_failures_of_all_routers_cost_less_than_a_twentieth():
    # After three power failures in one day all tokens were gone: requests were
    # served for four seconds, and 12 s after the return 101 of 131 were
    # refused.  What a router may have let out since its last record is lost.
    # Limits grew from the record on, also while the machine was off: for 2 s
    # where the clocks said 1.4 to 1.9.  By the next runs' logs 673,863 of
    # 4,557,796 tokens were "let_go" in three failures, nearly all of them
    # unused, 0 "stranded" and 590,611 "under_way".
    costs = {down: worst_loss(ADDRESSES, down) for down in (0.5, 1.2)}
    assert max(costs.values()) < 0.05, costs


def test_machines_without_power_for_seconds_recover_most_tokens():
    # Routers that came back after 4 or 5 s without power recovered nothing:
    # their next runs logged "tokens_stranded", "age": null, "wall_age": 5.0 to
    # 5.4, and 11 % of all budgets were lost (474,225 of 4,431,165 tokens
    # "stranded").  Limits and leases lasted for 2.6 s, after which nothing
    # proved how much had left.
    world = make_busy_world(0)
    held_each = world.held() / len(ADDRESSES) / world.total
    world.close()
    for count in (2, 4):
        # Two failures, with half of the held tokens lost each time.
        most = count * held_each
        for down in (2.0, 4.0, 5.0):
            assert worst_loss(ADDRESSES[:count], down) < most, (count, down)


# Seconds from a machine's start until it reads its leases, and seconds for
# which the store stays down after that.
START_SECONDS = 0.1
OUTAGE_AFTER = 1.0


class PowerMachine(RuleBasedStateMachine):
    """Routers lose power, some or all, with and without the store.

    Checks both sides: no token is used twice, and no more are lost than what
    limits may have let go by the age that leases prove, and what came in since
    the last record.
    """

    @initialize(
        seed=strategies.sampled_from(range(1000)),
        total=strategies.sampled_from((3000, 30000)),
    )
    def start(self, seed, total):
        self.world = World(seed, total)
        self.most_lost = 0
        for address in ADDRESSES:
            self.world.start(address)
        self.world.advance(2.0)

    @rule(
        tokens=strategies.sampled_from((10, 60, 150)),
        share=strategies.sampled_from((0.3, 1.0)),
        count=strategies.sampled_from((4, 20, 40)),
        seconds=strategies.sampled_from((0.1, 1.0)),
    )
    def serve(self, tokens, share, count, seconds):
        for number in range(count):
            address = ADDRESSES[number % len(ADDRESSES)]
            used = int(share * tokens)
            self.world.request(address, tokens, used, seconds)
            self.world.advance(0.05)

    @rule(seconds=strategies.sampled_from((0.2, 0.7, 3.0)))
    def wait(self, seconds):
        self.world.advance(seconds)
        self.world.check()

    @rule(seconds=strategies.sampled_from((0.5, 2.5, 6.0)))
    def lose_the_store(self, seconds):
        self.world.store_down = True
        self.serve(10, 1.0, int(seconds / 0.05), 0.1)

    @rule(
        count=strategies.sampled_from((1, 2, 4)),
        down=strategies.sampled_from((0.5, 1.2, 2.0, 4.0, 8.0, 10.0)),
        outage=strategies.booleans(),
    )
    def lose_power(self, count, down, outage):
        world = self.world
        world.store_down = world.store_down or outage
        for address in ADDRESSES[:count]:
            self.most_lost += self._most_lost(address, down)
            world.kill(address, down, power=True)
        if world.store_down:
            world.advance(down + START_SECONDS + OUTAGE_AFTER)
            world.store_down = False
            world.advance(2.0)
        else:
            world.advance(down + 1.0)
        # Tokens of loans that were on their way are with their borrowers.
        world.advance(1.0)
        world.check()
        assert lost(world) <= self.most_lost

    def _most_lost(self, address, down):
        """Return the tokens that a loss of power may cost one router."""
        account = self.world.routers[address].keeper.accounts[BUDGET]
        data = self.world.read(HOLDER_PREFIX + address).data
        record = HolderRecord.unpack(data)
        if record.incarnation != self.world.routers[address].incarnation:
            return account.available
        if BUDGET not in record.holdings:
            return account.available
        age = self.world.routers[address].clock.steady() - record.made_at
        proved = _proved(age + down + START_SECONDS)
        if proved is None:
            return account.available
        tokens_in, base, pace = record.holdings[BUDGET]
        limit = int(base + pace * max(0.0, proved - GROWTH_DELAY))
        since = account.inflow - tokens_in
        let_go = min(tokens_in, limit) - account.outflow
        return min(account.available, max(0, since) + max(0, let_go))

    def teardown(self):
        if hasattr(self, "world"):
            self.world.heal()
            self.world.advance(8.0)
            self.world.check()
            self.world.close()


def _proved(age):
    """Return the age that leases prove.

    A reused lease may have started before the record.
    """
    fresh = 1.0 - REUSE_SHARE
    return next((span for span in LEASE_SPANS if age < fresh * span), None)


def run_machine(examples):
    machines.run_machine(PowerMachine, examples, 12)


def test_a_power_failure_costs_no_more_than_limits_allow():
    run_machine(30)


@contextlib.contextmanager
def no_machine_recovered():
    with mock.patch.object(batches, "machine_age", lambda *_: None):
        yield


@pytest.mark.parametrize(
    "broken",
    (machine_recovered_at_any_age, no_machine_recovered),
    ids=lambda b: b.__name__,
)
def test_the_power_machine_finds(broken):
    with broken(), pytest.raises(AssertionError):
        run_machine(200)
