"""Evacuations reach each router, whatever order copies arrive in.

A state machine lets an operator write and withdraw records while routers
watch, list, restart, lose their history and pass on copies, some of them late.
A router that is as current as the store must send to no evacuated data centre,
and to each other one.  Each broken variant must be found.
"""

from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import pytest

from rowanport.evacuations import EvacuationChange
from rowanport.evacuations import Evacuations

from .machines import run_machine

DATA_CENTRES = ["a", "b"]
ROUTERS = ["r1", "r2", "r3"]
EXAMPLES = 200
MOST_EXAMPLES = 1500
STEPS = 30


class Store:
    """The records of an operator, with their changes."""

    def __init__(self):
        self.revision = 1
        self.evacuated = set()
        self.changes = []

    def write(self, name, evacuated):
        """Write or withdraw a record; return whether that changed it."""
        if not evacuated and name not in self.evacuated:
            return
        self.revision += 1
        (self.evacuated.add if evacuated else self.evacuated.discard)(name)
        self.changes.append(EvacuationChange(self.revision, name, evacuated))


class Router:
    """One router: its Evacuations, and the revision that it watches from."""

    def __init__(self, kind):
        self.state = kind()
        self.watched = None


class EvacuationMachine(RuleBasedStateMachine):
    """Routers of one region, their store, and copies that are under way."""

    kind = Evacuations

    def __init__(self):
        super().__init__()
        self.store = Store()
        self.now = 0.0
        self.routers = {name: Router(self.kind) for name in ROUTERS}
        self.copies = []

    @rule(name=st.sampled_from(DATA_CENTRES), evacuated=st.booleans())
    def write(self, name, evacuated):
        self.store.write(name, evacuated)

    @rule(name=st.sampled_from(ROUTERS))
    def list_all(self, name):
        router, store = self.routers[name], self.store
        router.state.replace(store.revision, store.evacuated, self.now)
        router.watched = store.revision

    @rule(name=st.sampled_from(ROUTERS), swap=st.booleans())
    def watch(self, name, swap):
        router = self.routers[name]
        if router.watched is None:
            return
        changes = [
            change
            for change in self.store.changes
            if change.revision > router.watched
        ]
        router.watched = self.store.revision
        if swap:
            changes.reverse()
        router.state.apply(changes, self.now)

    @rule(name=st.sampled_from(ROUTERS))
    def lose_history(self, name):
        self.routers[name].watched = None

    @rule(name=st.sampled_from(ROUTERS))
    def restart(self, name):
        self.routers[name] = Router(self.kind)

    @rule(name=st.sampled_from(ROUTERS))
    def answer_poll(self, name):
        state = self.routers[name].state
        self.copies.append((state.revision, state.data_centres))

    @rule(name=st.sampled_from(ROUTERS), data=st.data())
    def receive_copy(self, name, data):
        if self.copies:
            revision, names = data.draw(st.sampled_from(self.copies))
            self.routers[name].state.replace(revision, names, self.now)

    @rule(name=st.sampled_from(ROUTERS))
    def read_old(self, name):
        """Read an answer that may be old: only what is there counts."""
        changes = [c for c in self.store.changes[:2] if c.evacuated]
        self.routers[name].state.apply(changes, self.now)

    @invariant()
    def current_routers_agree_with_the_store(self):
        for router in self.routers.values():
            if router.watched == self.store.revision:
                assert router.state.data_centres == self.store.evacuated

    @invariant()
    def equal_revisions_mean_equal_states(self):
        # Old reads end at the revision of a record, which the store has
        # passed; only what a router knows from lists and watches compares.
        known = {}
        for router in self.routers.values():
            if router.watched is None:
                continue
            state = router.state
            names = known.setdefault(state.revision, state.data_centres)
            assert names == state.data_centres


class TakesLateCopies(Evacuations):
    """Takes each copy for the newest."""

    def replace(self, revision, data_centres, now):
        self._revision = min(self._revision, revision)
        return super().replace(max(revision, 1), data_centres, now)


class ForgetsWithdrawals(Evacuations):
    """Passes over that a record was withdrawn."""

    def apply(self, changes, now):
        return super().apply([c for c in changes if c.evacuated], now)


class AppliesInOrderOfArrival(Evacuations):
    """Lets the change that comes last decide."""

    def apply(self, changes, now):
        for change in changes:
            super().apply([change], now)


class AddsToTheList(Evacuations):
    """Keeps what a complete list does not name any more."""

    def replace(self, revision, data_centres, now):
        return super().replace(
            revision, self._data_centres | set(data_centres), now
        )


class NamesNoRevision(Evacuations):
    """Keeps the revision of its last change at a list that changes nothing."""

    def replace(self, revision, data_centres, now):
        if self._data_centres == frozenset(data_centres):
            return False
        return super().replace(revision, data_centres, now)


def machine_of(kind):
    """Return the state machine of routers that keep a kind of Evacuations."""
    return type(
        f"Machine{kind.__name__}", (EvacuationMachine,), {"kind": kind}
    )


def test_routers_agree_with_the_store():
    run_machine(EvacuationMachine, EXAMPLES, STEPS)


@pytest.mark.parametrize(
    "kind",
    [
        TakesLateCopies,
        ForgetsWithdrawals,
        AppliesInOrderOfArrival,
        AddsToTheList,
        NamesNoRevision,
    ],
)
def test_a_broken_variant_is_found(kind):
    with pytest.raises(AssertionError):
        run_machine(machine_of(kind), MOST_EXAMPLES, STEPS)


def test_the_end_of_an_evacuation_is_remembered_with_its_time():
    state = Evacuations()
    state.replace(5, ["a", "b"], 1.0)
    assert not state.replace(6, ["a", "b"], 2.0)
    assert state.replace(7, ["b"], 3.0)
    assert state.returned_at("a") == 3.0
    assert state.returned_at("b") is None
