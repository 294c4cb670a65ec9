"""Retries stay within the fleet's allowance, whatever happens to routers.

A state machine kills, starts, freezes, cuts off and adds routers in any order,
lets writes to the store and loans arrive late, and moves callers.  The oracle
counts as the platform's rule does.  Each broken variant must be found.
"""

from unittest import mock

from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import pytest

from rowanport.retries import claim
from rowanport.retries import earned
from rowanport.retries import permits
from rowanport.retries.claim import RENEW_SECONDS
from rowanport.retries.shares import ShareRecord

from .machines import run_machine
from .retry_world import RetryFleet
from .retry_world import SLACK

NAMES = ["a", "b"]
LATER_NAMES = ["c"]
STEPS = 40
EXAMPLES = 150
# Examples of a broken variant, which end at the first that shows it.
MOST_EXAMPLES = 1500


class SlackMachine(RuleBasedStateMachine):
    """Routers without requests, which retry by the slack alone."""

    def __init__(self):
        super().__init__()
        self.fleet = RetryFleet(NAMES)
        self.fleet.reaches_store = {*NAMES, *LATER_NAMES}
        self.frozen = set()

    @property
    def active(self):
        """Return the names of the routers that run and are not frozen."""
        return [n for n in self.fleet.names if n not in self.frozen]

    @rule()
    def retry_everywhere(self):
        for name in self.active:
            self.fleet.retry(name)

    @precondition(lambda self: self.active)
    @rule(data=st.data())
    def retry(self, data):
        self.fleet.retry(data.draw(st.sampled_from(self.active)))

    @precondition(lambda self: len(self.active) > 1)
    @rule(data=st.data())
    def ask_for_loan(self, data):
        name, lender = data.draw(st.permutations(self.active))[:2]
        self.fleet.ask(name, lender)

    @precondition(lambda self: self.active)
    @rule(data=st.data())
    def receive_loan(self, data):
        self.fleet.receive(data.draw(st.sampled_from(self.active)))

    @rule(seconds=st.sampled_from([0.1, 0.4, 2.5, 9.9, 10.8]))
    def wait(self, seconds):
        self.advance(seconds)

    @rule(count=st.sampled_from([1, 4]))
    def wait_long(self, count):
        for _step in range(count):
            self.advance(41.0)

    def advance(self, seconds):
        self.fleet.now += seconds
        for name in self.active:
            self.fleet.update(name)

    @rule(name=st.sampled_from(NAMES + LATER_NAMES))
    def start(self, name):
        self.frozen.discard(name)
        self.fleet.start(name)

    @precondition(lambda self: self.fleet.names)
    @rule(data=st.data())
    def kill(self, data):
        name = data.draw(st.sampled_from(self.fleet.names))
        del self.fleet.routers[name]
        self.frozen.discard(name)

    @precondition(lambda self: self.active)
    @rule(data=st.data())
    def freeze(self, data):
        self.frozen.add(data.draw(st.sampled_from(self.active)))

    @precondition(lambda self: self.frozen)
    @rule()
    def wake(self):
        self.frozen.clear()

    @rule(alone=st.sampled_from(NAMES + LATER_NAMES))
    def cut(self, alone):
        others = [n for n in NAMES + LATER_NAMES if n != alone]
        self.fleet.cut([[alone], others])

    @rule()
    def heal(self):
        self.fleet.cut([NAMES + LATER_NAMES])
        self.fleet.reaches_store = {*NAMES, *LATER_NAMES}

    @rule(name=st.sampled_from(NAMES))
    def cut_from_store(self, name):
        self.fleet.reaches_store.discard(name)

    @precondition(lambda self: self.active)
    @rule(data=st.data(), holders=st.sampled_from([0, 1, 2, 6]))
    def see_members(self, data, holders):
        name = data.draw(st.sampled_from(self.active))
        self.fleet.routers[name].holders = holders

    @precondition(lambda self: self.active)
    @rule(data=st.data())
    def write_without_answer(self, data):
        self.fleet.now += RENEW_SECONDS
        name = data.draw(st.sampled_from(self.active))
        self.fleet.update(name, answered=False)

    @rule()
    def write_late(self):
        self.fleet.store.write_late()

    @invariant()
    def within_the_allowance(self):
        assert self.fleet.excess <= 0

    @invariant()
    def shares_are_no_more_than_the_slack(self):
        record, _version = self.fleet.store.read()
        assert sum(r.permits for r in record.rows.values()) <= SLACK


class EarningMachine(RuleBasedStateMachine):
    """Routers without a share of the slack, whose callers move."""

    def __init__(self):
        super().__init__()
        self.fleet = RetryFleet(NAMES)
        self.fleet.oracle.slack = 0
        for name in NAMES:
            self.restart(name)

    @rule(
        name=st.sampled_from(NAMES),
        count=st.sampled_from([1, 5, 50]),
        steps=st.sampled_from([1, 4, 9]),
    )
    def request(self, name, count, steps):
        for _step in range(steps):
            self.fleet.request(name, count)
            self.fleet.now += 0.5

    @rule(name=st.sampled_from(NAMES))
    def retry(self, name):
        self.fleet.use_all(name)

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        self.fleet.reaches_store.clear()
        self.fleet.start(name)

    @rule(seconds=st.sampled_from([0.1, 2.5, 5.0, 9.7, 10.0]))
    def wait(self, seconds):
        self.fleet.now += seconds

    @invariant()
    def within_the_allowance(self):
        assert self.fleet.excess <= 0


@pytest.mark.parametrize("machine", [SlackMachine, EarningMachine])
def test_retries_stay_within_the_allowance(machine):
    run_machine(machine, EXAMPLES, STEPS)


# Broken variants


def available_for_longer(self, now):
    """Count requests of two windows."""
    return int(earned.RATIO_SHARE * self._ratio * len(self._requests)) - len(
        self._retries
    )


def all_slack(self, now):
    """Return the whole slack, as a router that sees only itself takes it."""
    return SLACK


def without_rest(self, wanted_share, wanted, now):
    """Lend permits without holding them for used."""
    return min(wanted, self.available(wanted_share, now))


def add_for_good(self, count, asked_at):
    """Keep loans until they are used."""
    self._expire_at += [float("inf")] * count


def reduce_at_once(self, share, fair, now):
    """Release permits that were used in this window."""
    self._limit = fair
    return fair


def confirm_for_good(self, record, sent_at):
    """Hold a share for valid however long the store is not reached."""
    row = record.rows.get(self._address)
    self._count = row.permits if row else 0
    self._valid_until = float("inf")
    self._renew_at = sent_at + claim.RENEW_SECONDS


VARIANTS = {
    "takes_the_whole_slack": (claim.ShareClaim, "permits", all_slack),
    "forgets_the_run_before": (claim, "rest_seconds", lambda window: 0.0),
    "uses_the_whole_ratio": (earned, "RATIO_SHARE", 1.0),
    "counts_requests_for_longer": (
        earned.EarnedRetries,
        "available",
        available_for_longer,
    ),
    "lends_what_it_uses": (permits.OwnPermits, "lend", without_rest),
    "keeps_loans": (permits.BorrowedPermits, "add", add_for_good),
    "takes_rows_over_early": (claim, "CLOCK_MARGIN", -100.0),
    "never_lapses": (claim.ShareClaim, "confirm", confirm_for_good),
    "releases_at_once": (claim.ShareClaim, "_reduce", reduce_at_once),
    "counts_no_shares": (ShareRecord, "free", lambda self, slack: slack),
}


EARNING_VARIANTS = ("uses_the_whole_ratio", "counts_requests_for_longer")


@pytest.mark.parametrize("variant", VARIANTS)
def test_a_broken_variant_is_found(variant):
    owner, name, value = VARIANTS[variant]
    earning = variant in EARNING_VARIANTS
    machine = EarningMachine if earning else SlackMachine
    with mock.patch.object(owner, name, value):
        with pytest.raises(AssertionError):
            run_machine(machine, MOST_EXAMPLES, STEPS)
