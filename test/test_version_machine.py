"""No stream is joined from two versions, whatever happens to routers.

A state machine starts, kills and cuts off routers, lists upstreams late, ends
versions and begins others, and takes streams up at any router.  Each broken
variant must be found.
"""

from unittest import mock

from hypothesis import strategies as st
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import pytest

from rowanport.versions import Knowledge
from rowanport.versions import resolve
from rowanport.versions import resumption
from rowanport.versions import streams
from rowanport.versions import StreamVersions
from rowanport.versions import VersionHistory
from rowanport.versions import VersionRecord

from .machines import run_machine

NAMES = ["a", "b", "c"]
VERSIONS = ["v1", "v2", "v3"]
SERVICE = "llm"
# Seconds for which some router has to know all versions, and after which a
# list is known to all routers that are not cut off.
SPAN = 17.0
LIST_SECONDS = 1.0
# Seconds for which a caller goes on trying: longer than its route's time-out,
# which no router can tell.
CALLER_SECONDS = 300.0
EXAMPLES = 200
MOST_EXAMPLES = 2000
STEPS = 30


class Listed:
    """An upstream as a router sees it."""

    def __init__(self, version):
        self.service = SERVICE
        self.version = version


class Router:
    """What one run of a router knows."""

    def __init__(self):
        self.streams = StreamVersions()
        self.history = VersionHistory()

    def knowledge(self, key, now):
        """Return its Knowledge of a stream."""
        return Knowledge(
            self.streams.find(key, now),
            self.history.versions(SERVICE, now),
            self.history.watched(now),
        )


class Stream:
    """A stream as its caller has it."""

    def __init__(self, version, until):
        self.version = version
        self.until = until


class VersionMachine(RuleBasedStateMachine):
    """Routers, the versions of the upstreams, and streams under way."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.listed = {"v1"}
        self.routers = {}
        self.cut = set()
        self.streams = {}
        self.count = 0
        self.stored = b""
        for name in NAMES:
            self.start(name)

    @rule(name=st.sampled_from(NAMES))
    def start(self, name):
        self.cut.discard(name)
        history = self.start_history()
        self.routers[name] = Router()
        self.routers[name].history = history
        self.see(name)

    def start_history(self):
        """Return the VersionHistory of a router that has read the store."""
        history = VersionHistory()
        if self.stored:
            self.merge_stored(history)
        else:
            history.begin(self.now)
        return history

    def merge_stored(self, history):
        record = VersionRecord.unpack(self.stored)
        history.merge(record, self.now, self.now)

    def see(self, name):
        upstreams = [Listed(version) for version in sorted(self.listed)]
        history = self.routers[name].history
        history.update(upstreams, self.now)
        stored = self.stored and VersionRecord.unpack(self.stored).listed
        if history.record(self.now, self.now).listed != stored:
            if self.stored:
                self.merge_stored(history)
            self.stored = history.record(self.now, self.now).pack()

    @precondition(lambda self: self.routers)
    @rule(data=st.data())
    def kill(self, data):
        del self.routers[data.draw(st.sampled_from(sorted(self.routers)))]

    @precondition(lambda self: self.routers)
    @rule(listed=st.sampled_from([{"v1"}, {"v2"}, {"v1", "v3"}]))
    def kill_all(self, listed):
        """Kill all routers, and start them after a release."""
        self.routers.clear()
        self.listed = set(listed)
        for name in NAMES:
            self.start(name)

    @rule(names=st.sampled_from([(), ("a",), ("b",), ("b", "c")]))
    def cut_off(self, names):
        self.cut = set(names)

    @rule(version=st.sampled_from(VERSIONS), seen=st.sampled_from(NAMES))
    def add_version(self, version, seen):
        """List a version, which one router sees before the others."""
        self.listed.add(version)
        if seen in self.routers:
            self.see(seen)

    @precondition(lambda self: len(self.listed) > 1)
    @rule(data=st.data())
    def end_version(self, data):
        self.listed.remove(data.draw(st.sampled_from(sorted(self.listed))))
        self.advance(LIST_SECONDS)

    @rule(seconds=st.sampled_from([0.5, 3.0, 20.0]))
    def wait(self, seconds):
        self.advance(seconds)

    def advance(self, seconds):
        for _step in range(int(seconds / LIST_SECONDS) or 1):
            self.now += min(seconds, LIST_SECONDS)
            for name in self.routers:
                self.see(name)

    @precondition(lambda self: self.routers)
    @rule(data=st.data())
    def begin(self, data):
        name = data.draw(st.sampled_from(sorted(self.routers)))
        version = data.draw(st.sampled_from(sorted(self.listed)))
        self.begin_at(name, version)

    @rule(
        version=st.sampled_from(VERSIONS),
        name=st.sampled_from(NAMES),
        alone=st.booleans(),
    )
    def begin_at_new_version(self, version, name, alone):
        """Begin a stream at a version that no other router has listed yet."""
        if name in self.routers:
            self.listed.add(version)
            if alone:
                self.cut = {name}
            self.begin_at(name, version)

    def begin_at(self, name, version):
        # A router sends nothing to what it has not listed.
        self.see(name)
        # Each try of a caller has an id of its own.
        self.count += 1
        key = f"s{self.count}"
        self.announce(name, key, version)
        self.streams[key] = Stream(version, self.now + CALLER_SECONDS)

    def announce(self, name, key, version):
        self.routers[name].streams.record(key, version, self.now)
        for keeper in self.keepers(key):
            if keeper in self.reached(name):
                self.routers[keeper].streams.record(key, version, self.now)

    def keepers(self, key):
        """Return the names of the routers that keep a stream's record."""
        number = int(key.removeprefix("s"))
        names = sorted(self.routers)
        return [names[(number + n) % len(names)] for n in range(2)]

    def reached(self, name):
        """Return the names of the routers that a router reaches."""
        if name in self.cut:
            return {name} & {*self.routers}
        return {*self.routers} - self.cut

    @precondition(lambda self: self.routers and self.streams)
    @rule(data=st.data())
    def take_up(self, data):
        name = data.draw(st.sampled_from(sorted(self.routers)))
        key = data.draw(st.sampled_from(sorted(self.streams)))
        self.check_resumption(name, key)

    @precondition(lambda self: self.routers and self.streams)
    @rule()
    def take_up_everywhere(self):
        for name in sorted(self.routers):
            for key in sorted(self.streams):
                self.check_resumption(name, key)

    def check_resumption(self, name, key):
        reached = self.reached(name)
        known = [
            self.routers[other].knowledge(key, self.now)
            for other in sorted(reached)
        ]
        answered = reached.issuperset(self.keepers(key))
        version = resolve(known, answered, SPAN).version
        stream = self.streams[key]
        if version is not None and self.now <= stream.until:
            assert version == stream.version


def test_no_stream_is_joined_from_two_versions():
    run_machine(VersionMachine, EXAMPLES, STEPS)


def test_a_stream_that_a_keeper_knows_goes_on():
    router, now = Router(), 1000.0
    router.streams.record("s1", "v1", now)
    known = [router.knowledge("s1", now), Router().knowledge("s1", now)]
    assert resolve(known, False, SPAN).version == "v1"


def test_an_id_that_was_used_for_two_versions_goes_on_at_none():
    router, other, now = Router(), Router(), 1000.0
    router.streams.record("s1", "v1", now)
    other.streams.record("s1", "v2", now)
    known = [one.knowledge("s1", now) for one in (router, other)]
    assert resolve(known, True, SPAN).version is None
    router.streams.record("s1", "v2", now)
    assert resolve(known[:1], True, SPAN).version == "v1"
    known = [router.knowledge("s1", now)]
    assert resolve(known, True, SPAN).version is None


def test_a_record_is_kept_while_a_stream_may_last():
    router, now = Router(), 1000.0
    router.streams.record("s1", "v1", now)
    assert router.streams.find("s1", now + SPAN) == "v1"
    assert router.streams.find("s1", now + 1000.0) is None
    assert not len(router.streams)


def test_records_are_bounded(monkeypatch):
    monkeypatch.setattr(streams, "MAX_RECORDS", 10)
    versions = StreamVersions()
    for number in range(100):
        versions.record(f"s{number}", "v1", 1000.0)
    assert len(versions) <= 11


# Broken variants


def latest_version(known, keepers_answered, span):
    """Go on at the newest version that is listed."""
    versions = set().union(*(item.versions for item in known))
    return resumption.Resolution(max(versions, default=None), "known")


def without_history(self, service, now):
    """Forget versions that are not listed any more."""
    return self._listed.get(service, set())


def without_record(self, history):
    """Begin as if no router had been there before."""
    history.begin(self.now)


def without_keepers(known, keepers_answered, span):
    """Go by what is listed though keepers of the stream did not answer."""
    return resumption.resolve(known, True, span)


VARIANTS = {
    "goes_on_at_the_newest": (f"{__name__}.resolve", latest_version),
    "forgets_ended_versions": (
        "rowanport.versions.VersionHistory.versions",
        without_history,
    ),
    "vouches_at_its_start": (
        "rowanport.versions.VersionHistory.watched",
        lambda self, now: 1000.0,
    ),
    "forgets_at_its_start": (
        f"{__name__}.VersionMachine.merge_stored",
        without_record,
    ),
    "asks_no_keeper": (f"{__name__}.resolve", without_keepers),
}


@pytest.mark.parametrize("variant", VARIANTS)
def test_a_broken_variant_is_found(variant):
    target, value = VARIANTS[variant]
    with mock.patch(target, value):
        with pytest.raises(AssertionError):
            run_machine(VersionMachine, MOST_EXAMPLES, STEPS)
