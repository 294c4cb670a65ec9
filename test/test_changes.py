"""What routers tell each other of changes in the list of upstreams."""

import random

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


class Giver:
    """A router that knows each list as soon as it is new."""

    def __init__(self):
        self.known = UpstreamList()
        self.log = ChangeLog()

    def put(self, revision, upstreams, step=0):
        new = UpstreamList(revision, upstreams, step)
        self.log.record(self.known, new)
        self.known = new

    def tell(self, base):
        return UpstreamDelta.unpack(self.log.delta(base, self.known).pack())


def change_at_random(draw, upstreams):
    """Return a list in which a few upstreams came, left or went."""
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


def test_what_changed_is_a_fraction_of_the_list():
    giver = Giver()
    giver.put(1, full_list().upstreams.values())
    left = dict(giver.known.upstreams)
    for name in NAMES[:4]:
        left[name] = upstream(name, leaving=True)
    giver.put(2, left.values())
    whole = len(giver.log.delta(NO_LIST, giver.known).pack())
    part = len(giver.log.delta((1, 0), giver.known).pack())
    assert part < 200
    assert part * 4 < whole


def test_lost_late_and_repeated_pieces_leave_no_hole():
    for seed in range(60):
        draw = random.Random(seed)
        giver, pieces = Giver(), []
        giver.put(1, full_list().upstreams.values())
        known = giver.tell(NO_LIST).apply(UpstreamList())
        for revision in range(2, 40):
            changed = change_at_random(draw, giver.known.upstreams)
            giver.put(revision, changed.values(), draw.randint(0, 2))
            pieces.append(giver.tell(known.version))
            if draw.random() < 0.3:
                pieces.append(giver.tell(draw.choice([NO_LIST, (1, 0)])))
            while pieces and draw.random() < 0.6:
                piece = draw.choice(pieces)
                if draw.random() < 0.5:
                    pieces.remove(piece)
                if piece.version <= known.version:
                    continue
                taken = piece.apply(known)
                if taken is not None:
                    known = taken
                    assert known.digest == piece.digest, seed
        last = giver.tell(known.version)
        if known.version < giver.known.version:
            known = last.apply(known)
        assert known.upstreams == giver.known.upstreams


def test_a_piece_that_starts_later_is_not_taken():
    giver = Giver()
    for revision in (1, 2, 3):
        giver.put(revision, [upstream(name) for name in NAMES[:revision]])
    piece = giver.tell((2, 0))
    assert piece.apply(UpstreamList(1, [])) is None


def test_who_missed_more_than_is_remembered_is_told_all(monkeypatch):
    monkeypatch.setattr(upstream_delta, "MAX_CHANGES", 3)
    giver = Giver()
    giver.put(1, full_list().upstreams.values())
    for revision in range(2, 12):
        name = NAMES[revision]
        listed = dict(giver.known.upstreams)
        listed[name] = upstream(name, leaving=True)
        giver.put(revision, listed.values())
    assert giver.tell((1, 0)).base == NO_LIST
    piece = giver.tell((10, 0))
    assert piece.base == (10, 0)
    assert [changed.id for changed in piece.changed] == [NAMES[11]]


def test_what_is_kept_as_a_guess_does_not_make_lists_differ():
    known = [upstream(name) for name in NAMES[:3]]
    guess = [*known, upstream(NAMES[5], lapsing=True)]
    more = [*guess, upstream(NAMES[6])]
    assert UpstreamList(1, known).digest == UpstreamList(1, guess).digest
    assert UpstreamList(1, known).digest != UpstreamList(1, more).digest


def test_the_order_of_upstreams_does_not_make_lists_differ():
    listed = [upstream(name) for name in NAMES[:5]]
    other = UpstreamList(1, reversed(listed))
    assert UpstreamList(1, listed).digest == other.digest


@pytest.mark.parametrize("data", (b"", b"{}", b"\x00" * 20))
def test_bytes_that_are_no_change_are_told_as_such(data):
    with pytest.raises(MessageError):
        UpstreamDelta.unpack(data)


def test_the_same_is_not_told_twice_while_it_is_on_its_way():
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


def test_what_an_asker_knows_is_not_told():
    peer = PollingPeers().record_poll("peer", 5, (100, 1), 10.0)
    assert not peer.begin_upstreams_send((100, 1), 10.0)
    assert not peer.begin_upstreams_send((99, 9), 10.0)
    assert not peer.begin_config_send(5, 10.0)
    assert peer.begin_config_send(6, 10.0)
    assert not peer.begin_config_send(6, 10.1)


def test_who_starts_again_is_told_at_once():
    polling = PollingPeers()
    polling.record_poll("peer", 5, (100, 0), 10.0).begin_upstreams_send(
        (101, 0), 10.0
    )
    peer = polling.record_poll("peer", 0, NO_LIST, 10.2)
    assert peer.begin_upstreams_send((101, 0), 10.2)


def test_updates_go_to_those_that_asked_lately():
    polling = PollingPeers()
    for number in range(4):
        polling.record_poll(f"peer-{number}", 1, (1, 0), 10.0 + number)
    now = 13.0 + PUSH_WINDOW
    assert [address for address, _peer in polling.recent(now)] == ["peer-3"]
