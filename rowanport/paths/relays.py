"""Which peers relay to which upstreams."""

import random

from .verdict import Verdict

# Seconds for which a peer that does not relay is not asked again, by its
# answer.
PEER_PAUSE = {
    Verdict.CUT_OFF: 1.0,
    Verdict.LEAVING: 10.0,
    Verdict.BUSY: 0.3,
}
# The same for one upstream that the peer does not reach.
UPSTREAM_PAUSE = 1.0
# Seconds for which a peer that did not answer is not asked again.
UNANSWERED_PAUSE = 1.0
# The same for one that closed the connection instead: its version does not
# know the question.
UNSUPPORTED_PAUSE = 30.0
# Seconds for which a peer that relays nothing back comes last.
SUSPECT_PAUSE = 1.0
# Tunnels by which a peer may have more than another one and still be preferred
# for its data centre, or as it relayed before.
LOAD_STEP = 8


class _Peer:
    """What is known of one peer.

    :ivar paused_until: monotonic time until which it is not asked
    :ivar suspected_until: monotonic time until which it is asked last, and its
        tunnels are not used again
    :ivar tunnels: tunnels that it served when it answered last
    :ivar asked: questions that it has not answered yet
    :ivar relayed: whether it relayed when it was asked last
    :ivar unreached: monotonic times until which it is not asked for an
        upstream, by address
    :ivar backed_off: the same for upstreams that it backs off from; its
        tunnels to these are not used again either
    """

    __slots__ = (
        "paused_until",
        "suspected_until",
        "tunnels",
        "asked",
        "relayed",
        "unreached",
        "backed_off",
    )

    def __init__(self):
        self.paused_until = 0.0
        self.suspected_until = 0.0
        self.tunnels = 0
        self.asked = 0
        self.relayed = False
        self.unreached = {}
        self.backed_off = {}


class RelayPeers:
    """The peers that may relay, and what they answered lately.

    :param data_centre: name of this router's data centre
    :param seed: seed of the random choices, None for a random one
    """

    def __init__(self, data_centre, seed=None):
        self._data_centre = data_centre
        self._random = random.Random(seed)
        self._peers = {}

    def candidates(self, peers, address, now):
        """Return the peers to ask to relay to an upstream, the best first.

        Peers are told apart by their incarnation: one that restarted knows
        nothing of what its address answered before.

        Those with few tunnels come first, so that the routers that are not cut
        off share the load; among these the ones that relayed before, and those
        of the own data centre.

        :param peers: (incarnation, data centre) pairs
        :param address: address of the upstream
        """
        ranked = []
        for peer, data_centre in peers:
            known = self._peers.get(peer) or _Peer()
            if known.paused_until > now:
                continue
            if known.unreached.get(address, 0.0) > now:
                continue
            if known.backed_off.get(address, 0.0) > now:
                continue
            suspected = known.suspected_until > now
            remote = data_centre != self._data_centre
            load = (known.tunnels + known.asked) // LOAD_STEP
            rank = (suspected, load, not known.relayed, remote)
            ranked.append((rank, self._random.random(), peer))
        return [peer for _rank, _tie, peer in sorted(ranked)]

    def accepts(self, peer, address, now):
        """Return whether an open tunnel through a peer may be used again.

        :param address: address of the upstream
        """
        known = self._peers.get(peer)
        if known is None:
            return True
        backed_off = known.backed_off.get(address, 0.0)
        return (
            max(known.paused_until, known.suspected_until, backed_off) <= now
        )

    def suspect(self, peer, now):
        """Record that nothing comes back through a peer.

        It may be frozen: its kernel then still acknowledges everything.  Or
        the upstream takes long, so the peer is asked if there is no other.
        """
        known = self._peers.setdefault(peer, _Peer())
        known.suspected_until = now + SUSPECT_PAUSE

    def begin(self, peer):
        """Record that a peer is asked."""
        self._peers.setdefault(peer, _Peer()).asked += 1

    def end(self, peer):
        """Record that a question to a peer has ended, answered or not."""
        known = self._peers.get(peer)
        if known is not None:
            known.asked = max(0, known.asked - 1)

    def record(self, peer, address, verdict, tunnels, now):
        """Record a peer's answer.

        :param address: address of the upstream that it was asked for
        :param verdict: its Verdict
        :param tunnels: number of tunnels that it serves
        """
        known = self._peers.setdefault(peer, _Peer())
        known.tunnels = tunnels
        known.relayed = verdict is Verdict.REACHED
        if verdict is Verdict.REACHED:
            known.unreached.pop(address, None)
        elif verdict in PEER_PAUSE:
            known.paused_until = now + PEER_PAUSE[verdict]
        else:
            known.unreached[address] = now + UPSTREAM_PAUSE

    def record_backoff(self, peer, address, until, now):
        """Record that a peer backs off from an upstream.

        :param address: address of the upstream
        :param until: monotonic time until which it relays nothing there
        """
        known = self._peers.setdefault(peer, _Peer())
        known.backed_off = {
            other: end for other, end in known.backed_off.items() if end > now
        }
        known.backed_off[address] = until

    def record_unanswered(self, peer, supported, now):
        """Record that a peer gave no answer.

        :param supported: whether its version may know the question
        """
        known = self._peers.setdefault(peer, _Peer())
        known.relayed = False
        pause = UNANSWERED_PAUSE if supported else UNSUPPORTED_PAUSE
        known.paused_until = now + pause

    def retain(self, peers):
        """Drop what is known of peers that are gone.

        :param peers: incarnations
        """
        for peer in [peer for peer in self._peers if peer not in peers]:
            del self._peers[peer]
