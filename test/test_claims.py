"""Claims: at most one run of a request, even if store calls are lost.

A state machine drives claim queues of several home routers that write to one
simulated store value, and counts the runs of each request.
"""

import collections
import contextlib
from test.test_ledger import run_machine
from unittest import mock

from hypothesis import strategies
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import pytest

from rowanport.claims import shard
from rowanport.claims.shard import ClaimQueue
from rowanport.claims.shard import DONE
from rowanport.claims.shard import new_claim_shard
from rowanport.claims.shard import RELEASED
from rowanport.schema.messages import Claim
from rowanport.schema.messages import ClaimEnd

HOMES = 2
LIFE = 100.0
requests = strategies.integers(0, 1).map("request{}".format)
homes = strategies.integers(0, HOMES - 1)


class _Home:
    """A claim home router with its copy of the record."""

    def __init__(self):
        self.queue = ClaimQueue()
        self.record = None
        self.version = 0
        self.write = None


class ClaimMachine(RuleBasedStateMachine):
    """Homes that each believe they own the shard."""

    @initialize()
    def start(self):
        self.now = 0.0
        self.version = 0
        self.stored = new_claim_shard()
        self.homes = [_Home() for _number in range(HOMES)]
        self.count = 0
        self.pending = {}
        self.runs = collections.Counter()
        self.running = []

    @rule(request=requests, home=homes)
    def ask(self, request, home):
        self.count += 1
        run = f"run{self.count}"
        message = Claim(
            request, run, self.now + LIFE, "engine", "", self.now + 2.0
        )
        self.pending[run] = message
        self.homes[home].queue.claim(message)

    @rule(home=homes)
    def read(self, home):
        one = self.homes[home]
        one.record = self.stored.copy()
        one.version = self.version

    @rule(home=homes)
    def prepare(self, home):
        """Make a write that is sent only later."""
        one = self.homes[home]
        if one.record is not None:
            record = one.record.copy()
            answers = one.queue.apply(record, self.now)
            one.write = (record, one.version, answers)

    @rule(
        home=homes, fate=strategies.sampled_from(("ok", "answer lost", "lost"))
    )
    def send(self, home, fate):
        one = self.homes[home]
        if one.write is None:
            return
        record, version, answers = one.write
        one.write = None
        if version != self.version or fate == "lost":
            one.record = None
            return
        self.stored = record.copy()
        self.version += 1
        if fate == "answer lost":
            one.record = None
            return
        one.record = record
        one.version = self.version
        one.queue.written()
        for message, answer in answers:
            self.answer(message, answer)

    @rule(home=homes, fate=strategies.sampled_from(("ok", "answer lost")))
    def write(self, home, fate):
        self.read(home)
        self.prepare(home)
        self.send(home, fate)

    def answer(self, message, answer):
        """The entry runs only what it holds the claim of."""
        if self.pending.pop(message.run, None) is None:
            return
        if answer.run == message.run:
            self.runs[message.request] += 1
            self.running.append(message)

    @rule(home=homes)
    def give_up(self, home):
        """Claims that waited too long are refused and released."""
        queue = self.homes[home].queue
        for message, _refused in queue.expire(self.now):
            self.pending.pop(message.run, None)
            queue.end(ClaimEnd(message.request, message.run, RELEASED))

    @rule(home=homes)
    def finish(self, home):
        if self.running:
            message = self.running.pop()
            end = ClaimEnd(message.request, message.run, DONE)
            self.homes[home].queue.end(end)

    @rule(home=homes)
    def die(self, home):
        self.homes[home] = _Home()

    @rule(seconds=strategies.sampled_from((0.1, 3.0, 30.0)))
    def wait(self, seconds):
        # Stay well before the expiry of claims: after it, no run can start as
        # the deadlines of the requests have passed.
        self.now = min(self.now + seconds, LIFE / 2)

    @invariant()
    def at_most_one_run(self):
        for request, count in getattr(self, "runs", {}).items():
            assert count <= 1, f"{request} ran {count} times"


def test_no_request_runs_twice_whatever_is_lost():
    run_machine(ClaimMachine, 300)


# Deliberately broken variants, each of which the machine must detect


@contextlib.contextmanager
def claim_granted_before_the_write():
    apply = ClaimQueue.apply

    def hasty(self, record, now):
        answers = apply(self, record, now)
        for message, answer in answers:
            answer.run = message.run
        return answers

    with mock.patch.object(ClaimQueue, "apply", hasty):
        yield


@contextlib.contextmanager
def anyone_may_release():
    def apply_end(record, message):
        record.claims.pop(message.request, None)

    with mock.patch.object(shard, "apply_end", apply_end):
        yield


@contextlib.contextmanager
def claims_forgotten_at_once():
    def prune(record, now):
        record.claims.clear()

    with mock.patch.object(shard, "prune", prune):
        yield


@pytest.mark.parametrize(
    "broken",
    (
        claim_granted_before_the_write,
        anyone_may_release,
        claims_forgotten_at_once,
    ),
    ids=lambda broken: broken.__name__,
)
def test_the_machine_finds(broken):
    with broken(), pytest.raises(AssertionError):
        run_machine(ClaimMachine, 1000)
