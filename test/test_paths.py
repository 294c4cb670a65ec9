"""Which way connections to upstreams take: own link, or which peer."""

import pytest

from rowanport.errors import MessageError
from rowanport.paths import RelayPeers
from rowanport.paths import UpstreamLinks
from rowanport.paths import Verdict
from rowanport.paths.links import CLOSED
from rowanport.paths.links import REFUSED
from rowanport.paths.links import SILENT
from rowanport.paths.outage import HOLD_SECONDS
from rowanport.paths.outage import LOSS_MEMORY
from rowanport.paths.outage import PROBE_INTERVAL

A, B, C = "10.9.0.1:80", "10.9.0.2:80", "10.9.0.3:80"


def cut_off_links(now=100.0):
    """Return UpstreamLinks of a router that is cut off."""
    links = UpstreamLinks()
    for address in (A, B):
        links.record_lost(address, REFUSED, now)
        links.record_relayed(address, now)
    assert links.cut_off
    return links


# Own links


def test_a_lost_link_is_used_again_once_a_probe_succeeds():
    links = UpstreamLinks()
    assert links.usable(A)
    assert links.record_lost(A, REFUSED, 100.0)
    assert not links.record_lost(A, REFUSED, 100.1)
    assert not links.usable(A)
    assert links.usable(B)
    assert links.probes_due({A, B}, 100.0) == []
    assert links.probes_due({A, B}, 100.0 + PROBE_INTERVAL) == [A]
    assert not links.record_probe(A, False, 100.5)
    assert links.record_probe(A, True, 101.0)
    assert links.usable(A)


def test_one_upstream_that_only_peers_reach_does_not_mean_cut_off():
    links = UpstreamLinks()
    links.record_lost(A, REFUSED, 100.0)
    assert not links.record_relayed(A, 100.0)
    assert not links.record_relayed(A, 100.1)
    assert links.usable(B)


def test_two_upstreams_that_only_peers_reach_mean_cut_off():
    links = cut_off_links()
    assert not links.usable(C)


def test_a_cut_keeps_the_reason_that_asks_for_the_strictest_probes():
    links = UpstreamLinks()
    for address, reason in ((A, REFUSED), (B, CLOSED)):
        links.record_lost(address, reason, 100.0)
        links.record_relayed(address, 100.0)
    assert links.cut.reason == CLOSED


def test_a_relayed_upstream_whose_link_works_is_no_evidence():
    links = UpstreamLinks()
    links.record_lost(A, REFUSED, 100.0)
    links.record_relayed(A, 100.0)
    assert not links.record_relayed(B, 100.0)
    assert not links.cut_off


def test_an_answer_on_a_new_connection_clears_the_evidence():
    links = UpstreamLinks()
    links.record_lost(A, REFUSED, 100.0)
    links.record_relayed(A, 100.0)
    links.record_reached(C, 100.1)
    links.record_lost(B, REFUSED, 100.2)
    assert not links.record_relayed(B, 100.2)


def test_an_answer_on_a_connection_that_was_open_says_nothing_of_new_ones():
    links = UpstreamLinks()
    links.record_lost(A, REFUSED, 100.0)
    links.record_relayed(A, 100.0)
    links.record_reached(C, 99.0)
    assert not links.others_reached(99.5, {A})
    links.record_lost(B, REFUSED, 100.2)
    assert links.record_relayed(B, 100.2)


def test_while_cut_off_one_upstream_is_probed_at_a_time_each_in_turn():
    links = cut_off_links()
    listed = {A, B, C}
    probed = []
    now = 100.0
    for _ in range(6):
        now += PROBE_INTERVAL
        (address,) = links.probes_due(listed, now)
        links.begin_probe(address, now)
        assert links.probes_due(listed, now) == []
        links.record_probe(address, False, now)
        probed.append(address)
    assert sorted(probed[:3]) == sorted(probed[3:]) == [A, B, C]


def test_a_probe_that_succeeds_ends_the_cut_and_each_lost_link_is_probed():
    links = cut_off_links()
    links.record_probe(C, True, 101.0)
    assert not links.cut_off
    assert links.usable(C)
    assert not links.usable(A)
    assert sorted(links.probes_due({A, B, C}, 101.0)) == [A, B]


def test_a_link_that_comes_and_goes_is_held_longer_each_time():
    links = UpstreamLinks()
    now = 100.0
    for hold in HOLD_SECONDS:
        links.record_lost(A, REFUSED, now)
        now += PROBE_INTERVAL
        assert links.record_probe(A, True, now) is (hold == 0.0)
        if hold:
            assert not links.record_probe(A, True, now + hold - 0.1)
            now += hold
            assert links.record_probe(A, True, now)
    now += LOSS_MEMORY + 1.0
    links.record_lost(A, REFUSED, now)
    assert links.record_probe(A, True, now)


def test_a_failed_probe_begins_the_hold_anew():
    links = UpstreamLinks()
    links.record_lost(A, REFUSED, 100.0)
    links.record_probe(A, True, 100.5)
    links.record_lost(A, REFUSED, 101.0)
    links.record_probe(A, True, 101.5)
    links.record_probe(A, False, 103.0)
    assert not links.record_probe(A, True, 103.5)
    assert not links.record_probe(A, True, 103.5 + HOLD_SECONDS[1] - 0.1)
    assert links.record_probe(A, True, 103.5 + HOLD_SECONDS[1])


def test_a_link_on_trial_or_only_silent_is_used_if_there_is_no_other_way():
    links = UpstreamLinks()
    links.record_lost(A, REFUSED, 100.0)
    assert not links.may_work(A)
    links.record_probe(A, True, 100.5)
    links.record_lost(A, REFUSED, 101.0)
    links.record_probe(A, True, 101.5)
    assert not links.usable(A) and links.may_work(A)
    links.begin_cut(SILENT, 102.0)
    assert links.may_work(B)


def test_a_cut_by_silence_ends_by_a_probe_too():
    links = UpstreamLinks()
    assert links.begin_cut(SILENT, 100.0)
    assert not links.begin_cut(SILENT, 100.1)
    links.record_probe(A, True, 100.5)
    assert links.usable(A) and links.usable(B)


def test_an_address_that_is_no_longer_listed_is_forgotten():
    links = UpstreamLinks()
    links.record_lost(A, REFUSED, 100.0)
    links.record_lost(B, REFUSED, 100.0)
    links.retain({B})
    assert links.lost == [B]
    links.forget(B)
    assert links.usable(B)


# Peers


NEAR = [f"north/10.0.0.{n}:82/a" for n in range(2, 5)]
FAR = [f"north/10.0.1.{n}:82/a" for n in range(2, 5)]
PEERS = [(peer, "near") for peer in NEAR] + [(peer, "far") for peer in FAR]


def relay_peers():
    return RelayPeers("near", seed=1)


def test_peers_of_the_own_data_centre_are_asked_first():
    first = relay_peers().candidates(PEERS, A, 100.0)
    assert len(first) == len(PEERS)
    assert set(first[:3]) == set(NEAR)


def test_peers_that_relay_a_lot_come_after_those_that_do_not():
    relays = relay_peers()
    for peer, data_centre in PEERS:
        if data_centre == "near":
            relays.record(peer, A, Verdict.REACHED, 40, 100.0)
    first = relays.candidates(PEERS, A, 100.0)
    assert set(first[:3]) == set(FAR)


def test_questions_under_way_count_as_tunnels():
    relays = relay_peers()
    first = PEERS[0][0]
    for _ in range(8):
        relays.begin(first)
    assert relays.candidates(PEERS, A, 100.0)[-1] == first
    relays.end(first)
    assert relays.candidates(PEERS, A, 100.0)[-1] != first


def test_a_peer_that_relayed_is_preferred_to_one_that_was_not_asked():
    relays = relay_peers()
    relays.record(FAR[0], A, Verdict.REACHED, 1, 100.0)
    assert relays.candidates(PEERS, B, 100.0)[0] == FAR[0]


def test_a_peer_that_restarted_is_asked_again_at_once():
    relays = relay_peers()
    old = NEAR[0]
    relays.record(old, A, Verdict.LEAVING, 0, 100.0)
    restarted = old.removesuffix("a") + "b"
    assert relays.candidates([(old, "near")], A, 100.1) == []
    assert relays.candidates([(restarted, "near")], A, 100.1) == [restarted]


@pytest.mark.parametrize(
    "verdict, others",
    [
        (Verdict.CUT_OFF, False),
        (Verdict.LEAVING, False),
        (Verdict.BUSY, False),
        (Verdict.BACKED_OFF, True),
        (Verdict.REFUSED, True),
        (Verdict.UNREACHABLE, True),
        (Verdict.UNLISTED, True),
    ],
)
def test_a_refusal_counts_for_the_peer_or_for_one_upstream(verdict, others):
    relays = relay_peers()
    peer = PEERS[0][0]
    relays.record(peer, A, verdict, 0, 100.0)
    assert peer not in relays.candidates(PEERS, A, 100.1)
    assert (peer in relays.candidates(PEERS, B, 100.1)) is others
    assert peer in relays.candidates(PEERS, A, 111.0)


def test_a_peer_through_which_nothing_comes_back_is_asked_last():
    relays = relay_peers()
    frozen = NEAR[0]
    relays.record(frozen, A, Verdict.REACHED, 1, 100.0)
    relays.suspect(frozen, 100.0)
    assert not any(relays.accepts(frozen, one, 100.5) for one in (A, B, C))
    assert relays.candidates(PEERS, A, 100.5)[-1] == frozen
    assert all(relays.accepts(frozen, one, 101.5) for one in (A, B, C))
    assert relays.candidates(PEERS, A, 101.5)[0] == frozen


def test_a_peer_that_backs_off_from_an_upstream_relays_to_others():
    relays = relay_peers()
    peer = PEERS[0][0]
    relays.record(peer, A, Verdict.REACHED, 1, 100.0)
    relays.record_backoff(peer, A, 103.0, 100.0)
    # An answer that was under way does not end it.
    relays.record(peer, A, Verdict.REACHED, 1, 100.1)
    assert not relays.accepts(peer, A, 102.9)
    assert relays.accepts(peer, B, 100.2)
    assert peer not in relays.candidates(PEERS, A, 102.9)
    assert peer in relays.candidates(PEERS, B, 100.2)
    assert relays.accepts(peer, A, 103.0)
    assert peer in relays.candidates(PEERS, A, 103.0)


def test_a_peer_that_does_not_know_tunnels_is_left_alone_for_longer():
    relays = relay_peers()
    old, silent = PEERS[0][0], PEERS[1][0]
    relays.record_unanswered(old, False, 100.0)
    relays.record_unanswered(silent, True, 100.0)
    assert not any(relays.accepts(silent, one, 100.5) for one in (A, B, C))
    after = relays.candidates(PEERS, A, 102.0)
    assert silent in after and old not in after


def test_an_unknown_verdict_is_an_error():
    assert Verdict.parse("cut_off") is Verdict.CUT_OFF
    with pytest.raises(MessageError):
        Verdict.parse("perhaps")
