"""Deltas of the list of upstreams, and to which peers they are sent."""

import random
import zlib

import msgpack
import pytest

from rowanport.errors import MessageError
from rowanport.gateway import upstream_delta
from rowanport.gateway.polling_peers import PollingPeers
from rowanport.gateway.polling_peers import PUSH_WINDOW
from rowanport.gateway.polling_peers import RESEND_AFTER
from rowanport.gateway.upstream import Upstream
from rowanport.gateway.upstream import UpstreamList
from rowanport.gateway.upstream_delta import ChangeLog
from rowanport.gateway.upstream_delta import NO_LIST
from rowanport.gateway.upstream_delta import UpstreamDelta

NAMES = [f"i-{number:010x}" for number in range(70)]


def upstream(name, leaving=False, lapsing=False):
    address = f"10.1.64.{NAMES.index(name) + 1}:8302"
    return Upstream(name, "llm", address, "hall-a", 24, leaving, 0, lapsing)


def full_list(revision=1):
    return UpstreamList(revision, [upstream(name) for name in NAMES])


class Sender:
    """A router that always has the newest list."""

    def __init__(self):
        self.known = UpstreamList()
        self.log = ChangeLog()

    def put(self, revision, upstreams, step=0):
        new = UpstreamList(revision, upstreams, step)
        self.log.record(self.known, new)
        self.known = new

    def delta(self, base):
        return UpstreamDelta.unpack(self.log.delta(base, self.known).pack())


def change_at_random(draw, upstreams):
    """Return upstreams of which a few were added, changed or removed."""
    changed = dict(upstreams)
    for _number in range(draw.randint(0, 4)):
        name = draw.choice(NAMES)
        if name not in changed:
            changed[name] = upstream(name)
        elif changed[name].leaving:
            del changed[name]
        else:
            changed[name] = upstream(name, leaving=True)
    return changed


def test_a_delta_is_much_smaller_than_the_list():
    sender = Sender()
    sender.put(1, full_list().upstreams.values())
    left = dict(sender.known.upstreams)
    for name in NAMES[:4]:
        left[name] = upstream(name, leaving=True)
    sender.put(2, left.values())
    whole = len(sender.log.delta(NO_LIST, sender.known).pack())
    part = len(sender.log.delta((1, 0), sender.known).pack())
    assert part < 200
    assert part * 4 < whole


def test_lost_late_and_repeated_deltas_lose_no_change():
    for seed in range(60):
        draw = random.Random(seed)
        sender, deltas = Sender(), []
        sender.put(1, full_list().upstreams.values())
        known = sender.delta(NO_LIST).apply(UpstreamList())
        for revision in range(2, 40):
            changed = change_at_random(draw, sender.known.upstreams)
            sender.put(revision, changed.values(), draw.randint(0, 2))
            deltas.append(sender.delta(known.version))
            if draw.random() < 0.3:
                deltas.append(sender.delta(draw.choice([NO_LIST, (1, 0)])))
            while deltas and draw.random() < 0.6:
                delta = draw.choice(deltas)
                if draw.random() < 0.5:
                    deltas.remove(delta)
                if delta.version <= known.version:
                    continue
                taken = delta.apply(known)
                if taken is not None:
                    known = taken
                    assert known.digest == delta.digest, seed
        last = sender.delta(known.version)
        if known.version < sender.known.version:
            known = last.apply(known)
        assert known.upstreams == sender.known.upstreams


def test_a_delta_with_a_newer_base_is_not_applied():
    sender = Sender()
    for revision in (1, 2, 3):
        sender.put(revision, [upstream(name) for name in NAMES[:revision]])
    delta = sender.delta((2, 0))
    assert delta.apply(UpstreamList(1, [])) is None


def test_a_router_that_missed_too_many_changes_gets_the_full_list(monkeypatch):
    monkeypatch.setattr(upstream_delta, "MAX_CHANGES", 3)
    sender = Sender()
    sender.put(1, full_list().upstreams.values())
    for revision in range(2, 12):
        name = NAMES[revision]
        listed = dict(sender.known.upstreams)
        listed[name] = upstream(name, leaving=True)
        sender.put(revision, listed.values())
    assert sender.delta((1, 0)).base == NO_LIST
    delta = sender.delta((10, 0))
    assert delta.base == (10, 0)
    assert [changed.id for changed in delta.changed] == [NAMES[11]]


def test_lapsing_upstreams_do_not_change_the_digest():
    known = [upstream(name) for name in NAMES[:3]]
    guess = [*known, upstream(NAMES[5], lapsing=True)]
    more = [*guess, upstream(NAMES[6])]
    assert UpstreamList(1, known).digest == UpstreamList(1, guess).digest
    assert UpstreamList(1, known).digest != UpstreamList(1, more).digest


def test_the_order_of_upstreams_does_not_change_the_digest():
    listed = [upstream(name) for name in NAMES[:5]]
    other = UpstreamList(1, reversed(listed))
    assert UpstreamList(1, listed).digest == other.digest


@pytest.mark.parametrize("data", (b"", b"{}", b"\x00" * 20))
def test_malformed_bytes_are_rejected(data):
    with pytest.raises(MessageError):
        UpstreamDelta.unpack(data)


def test_a_version_in_flight_is_not_sent_again():
    polling = PollingPeers()
    peer = polling.record_poll("peer", 5, (100, 0), 10.0)
    assert peer.begin_upstreams_send((101, 0), 10.0)
    peer = polling.record_poll("peer", 5, (100, 0), 10.25)
    assert not peer.begin_upstreams_send((101, 0), 10.25)
    assert peer.begin_upstreams_send((101, 1), 10.3)
    again = 10.3 + RESEND_AFTER + 0.1
    assert polling.record_poll(
        "peer", 5, (100, 0), again
    ).begin_upstreams_send((101, 1), again)


def test_a_version_that_the_peer_knows_is_not_sent():
    peer = PollingPeers().record_poll("peer", 5, (100, 1), 10.0)
    assert not peer.begin_upstreams_send((100, 1), 10.0)
    assert not peer.begin_upstreams_send((99, 9), 10.0)
    assert not peer.begin_config_send(5, 10.0)
    assert peer.begin_config_send(6, 10.0)
    assert not peer.begin_config_send(6, 10.1)


def test_a_restarted_peer_is_sent_the_list_at_once():
    polling = PollingPeers()
    polling.record_poll("peer", 5, (100, 0), 10.0).begin_upstreams_send(
        (101, 0), 10.0
    )
    peer = polling.record_poll("peer", 0, NO_LIST, 10.2)
    assert peer.begin_upstreams_send((101, 0), 10.2)


def test_updates_go_to_peers_that_polled_recently():
    polling = PollingPeers()
    for number in range(4):
        polling.record_poll(f"peer-{number}", 1, (1, 0), 10.0 + number)
    now = 13.0 + PUSH_WINDOW
    assert [address for address, _peer in polling.recent(now)] == ["peer-3"]


# Versions of software


def versioned(name, version):
    """Return an Upstream of a version."""
    return Upstream(
        name, "llm", "10.0.0.1:80", "hall-a", 24, False, version=version
    )


def test_versions_of_software_pass_with_a_list():
    known = UpstreamList(3, [versioned("a", "v1"), versioned("b", "v2")])
    packed = ChangeLog().delta(NO_LIST, known).pack()
    delta = UpstreamDelta.unpack(packed)
    copy = delta.apply(UpstreamList())
    assert copy.upstreams == known.upstreams
    assert delta.versions_digest == copy.versions_digest
    assert known.versions("llm") == {"v1", "v2"}


def test_routers_of_earlier_versions_read_a_list_without_versions():
    known = UpstreamList(3, [versioned("a", "v1")])
    packed = ChangeLog().delta(NO_LIST, known).pack()
    base, version, digest, rows, removed = msgpack.unpackb(
        zlib.decompress(packed)
    )
    assert (base, version, removed) == ([0, 0], [3, 0], [])
    assert rows == [["a", "llm", "10.0.0.1:80", "hall-a", 24, False, 0, False]]
    assert digest == known.digest


def test_a_list_of_an_earlier_version_names_no_versions():
    known = UpstreamList(3, [versioned("a", "v1")])
    rows = [upstream.fields() for upstream in known.upstreams.values()]
    fields = [NO_LIST, (3, 0), known.digest, rows, []]
    delta = UpstreamDelta.unpack(zlib.compress(msgpack.packb(fields)))
    assert delta.versions_digest is None
    assert delta.apply(UpstreamList()).versions("llm") == {""}


def test_a_changed_version_is_a_change_of_the_list():
    old, new = versioned("a", "v1"), versioned("a", "v2")
    assert old != new
    before, after = UpstreamList(3, [old]), UpstreamList(4, [new])
    assert before.versions_digest != after.versions_digest
    changes = ChangeLog()
    changes.record(UpstreamList(), before)
    changes.record(before, after)
    delta = UpstreamDelta.unpack(changes.delta((3, 0), after).pack())
    assert delta.apply(before).upstreams["a"].version == "v2"
