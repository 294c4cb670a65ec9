"""Configuration under concurrent changes, lost responses and outages.

A state machine publishes concurrent changes and spreads versions between
followers, some of them stale.  It checks that a router's version only
increases, and that in the end each accepted change is active and audited once.
"""

import asyncio
import contextlib
from test.test_ledger import run_machine
from unittest import mock

from hypothesis import strategies
from hypothesis.stateful import initialize
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import pytest

from rowanport.clock import ManualClock
from rowanport.config import ConfigEditor
from rowanport.config import ConfigFollower
from rowanport.config import editor as editor_module
from rowanport.config import follower as follower_module
from rowanport.config.editor import put_organisation
from rowanport.config.snapshot import ROOT_KEY
from rowanport.errors import ConflictError
from rowanport.errors import PeerError
from rowanport.errors import StoreConflict
from rowanport.errors import StoreError
from rowanport.errors import StoreUnavailable
from rowanport.errors import UserError
from rowanport.schema.messages import OrganisationRecord
from rowanport.store import Store
from rowanport.store import Value

FOLLOWERS = 3
places = strategies.integers(0, FOLLOWERS - 1)


class MemoryStore(Store):
    """A store that can be down, lose responses and interleave writes."""

    def __init__(self):
        self.values = {}
        self.down = False
        self.lose = 0
        self.before_root = None

    async def get(self, key):
        if self.down:
            raise StoreUnavailable("down")
        version, data = self.values.get(key, (0, b""))
        return Value(data, version)

    async def put(self, key, data, version):
        if self.down:
            raise StoreUnavailable("down")
        if key == ROOT_KEY and self.before_root is not None:
            race, self.before_root = self.before_root, None
            await race()
        current, _data = self.values.get(key, (0, b""))
        if current != version:
            raise StoreConflict(key)
        self.values[key] = (version + 1, data)
        if self.lose:
            self.lose -= 1
            raise StoreUnavailable("the answer was lost")
        return version + 1

    async def watch(self, key, version, wait):
        return await self.get(key)


class _Members:
    def set_config(self, version):
        self.version = version


class ConfigMachine(RuleBasedStateMachine):
    """Operators race; followers read from the store and from each other."""

    @initialize()
    def start(self):
        self.store = MemoryStore()
        self.clock = ManualClock()
        self.editor = ConfigEditor(self.store, "tester", self.clock)
        self.seen = [0] * FOLLOWERS
        self.followers = [
            self.make_follower(place) for place in range(FOLLOWERS)
        ]
        self.accepted = set()
        self.names = 0

    def make_follower(self, place):
        def on_change(snapshot):
            assert snapshot.version > self.seen[place], "an older version"
            self.seen[place] = snapshot.version

        return ConfigFollower(self.store, None, _Members(), on_change)

    def change(self):
        self.names += 1
        name = f"org{self.names}"
        record = OrganisationRecord(name, b"", b"", 1, 0, 0.0)
        return name, put_organisation(record)

    async def publish(self, expected=None):
        name, make = self.change()
        try:
            await self.editor.apply(name, make, expected)
            self.accepted.add(name)
        except ConflictError:
            assert name not in await self.stored()
        except UserError as error:
            # A refused change was not made, unless it says it may have been.
            if "may have taken effect" not in str(error):
                assert name not in await self.stored()

    async def stored(self):
        snapshot, _version = await self.editor.read()
        return snapshot.organisations

    @rule(lost=strategies.integers(0, 2), race=strategies.booleans())
    def operator(self, lost, race):
        self.store.lose = lost
        if race:
            self.store.before_root = self.publish
        with mock.patch.object(editor_module, "PAUSE", 0):
            asyncio.run(self.publish())
        self.store.before_root = None
        self.store.lose = 0

    @rule()
    def operator_who_expects_a_version(self):
        async def race():
            snapshot, _version = await self.editor.read()
            self.store.before_root = self.publish
            await self.publish(snapshot.version)

        if not self.store.down:
            asyncio.run(race())

    @rule(down=strategies.booleans())
    def outage(self, down):
        self.store.down = down

    @rule(place=places)
    def watch(self, place):
        with contextlib.suppress(StoreError):
            asyncio.run(self.followers[place]._watch(0.0))

    @rule(place=places, other=places)
    def hear(self, place, other):
        source = self.followers[other]

        class Peers:
            async def call(self, address, message, timeout):
                return source.handle(message)

        follower = self.followers[place]
        follower._peers = Peers()
        with contextlib.suppress(PeerError):
            asyncio.run(follower._fetch("there"))

    @rule(place=places)
    def restart(self, place):
        self.seen[place] = 0
        self.followers[place] = self.make_follower(place)

    def teardown(self):
        if not hasattr(self, "store"):
            return
        self.store.down = False
        for place in range(FOLLOWERS):
            self.watch(place)
            found = set(self.followers[place].snapshot.organisations)
            assert self.accepted <= found, "an accepted change is gone"
        trail = asyncio.run(self.editor.trail(10000))
        changes = [entry.change for entry in trail]
        assert len(changes) == len(set(changes)), "audited twice"
        assert set(changes) == found, "change and audit differ"


def test_versions_only_rise_and_no_accepted_change_is_lost():
    run_machine(ConfigMachine, 150)


# Broken variants, each of which the state machine must detect


@contextlib.contextmanager
def older_version_applied():
    offer = ConfigFollower.offer

    def offer_any_version(self, root, parts):
        if root.version < self.snapshot.version:
            self.snapshot.root.version = 0
        return offer(self, root, parts)

    def handle(self, message):
        message.version = -1
        return real(self, message)

    real = ConfigFollower.handle
    with (
        mock.patch.object(ConfigFollower, "offer", offer_any_version),
        mock.patch.object(ConfigFollower, "handle", handle),
    ):
        yield


@contextlib.contextmanager
def lost_response_treated_as_failure():
    async def never_applied(self, root, change):
        return False

    with mock.patch.object(ConfigEditor, "_is_applied", never_applied):
        yield


@contextlib.contextmanager
def root_written_without_version_check():
    put = MemoryStore.put

    async def put_unchecked(self, key, data, version):
        if key == ROOT_KEY:
            race, self.before_root = self.before_root, None
            if race is not None:
                await race()
            version = self.values.get(key, (0, b""))[0]
        return await put(self, key, data, version)

    with mock.patch.object(MemoryStore, "put", put_unchecked):
        yield


@pytest.mark.parametrize(
    "broken",
    (
        older_version_applied,
        lost_response_treated_as_failure,
        root_written_without_version_check,
    ),
    ids=lambda broken: broken.__name__,
)
def test_the_state_machine_detects(broken):
    with broken(), pytest.raises((AssertionError, UserError)):
        run_machine(ConfigMachine, 300)


def test_a_cell_has_two_watchers():
    assert follower_module.WATCHERS == 2
