"""Tracks which versions polling peers know, and what was sent to them."""

# Seconds after a peer's last poll during which changes are pushed to it.
PUSH_WINDOW = 0.6
# Seconds after which a version is sent again if the peer still polls for it.
RESEND_AFTER = 1.0
# Seconds without a poll after which a peer is forgotten.
FORGET_AFTER = 10.0


class PollingPeer:
    """The state of one router that polls this one.

    :ivar config: version of the configuration that it reported last
    :ivar upstreams: version of the list of upstreams that it reported last
    :ivar polled_at: monotonic time of its last poll
    :ivar sent_config: (version, monotonic time) of the last configuration
        that was sent to it
    :ivar sent_upstreams: the same for the list of upstreams
    """

    __slots__ = (
        "config",
        "upstreams",
        "polled_at",
        "sent_config",
        "sent_upstreams",
    )

    def __init__(self):
        self.config = 0
        self.upstreams = (0, 0)
        self.polled_at = 0.0
        self.sent_config = (0, 0.0)
        self.sent_upstreams = ((0, 0), 0.0)

    def begin_config_send(self, version, now):
        """Return whether to send a configuration, and record it as sent."""
        if not _is_due(version, self.config, self.sent_config, now):
            return False
        self.sent_config = (version, now)
        return True

    def begin_upstreams_send(self, version, now):
        """Return whether to send a list, and record it as sent."""
        if not _is_due(version, self.upstreams, self.sent_upstreams, now):
            return False
        self.sent_upstreams = (version, now)
        return True


def _is_due(version, known, sent, now):
    """Return whether a version is neither known nor in flight.

    :param sent: (version, monotonic time) of the last send
    """
    if version <= known:
        return False
    sent_version, sent_at = sent
    return version > sent_version or now > sent_at + RESEND_AFTER


class PollingPeers:
    """The peers that polled this router recently, by address."""

    def __init__(self):
        self._peers = {}

    def record_poll(self, address, config, upstreams, now):
        """Record the versions that a poll reports; return its PollingPeer."""
        peer = self._peers.get(address)
        if peer is None:
            self._forget_idle(now)
            peer = self._peers[address] = PollingPeer()
        if upstreams < peer.upstreams:
            # The peer restarted, or asks for the complete list.
            peer.sent_upstreams = ((0, 0), 0.0)
        peer.config = config
        peer.upstreams = upstreams
        peer.polled_at = now
        return peer

    def recent(self, now):
        """Return (address, PollingPeer) of the peers to push changes to."""
        return [
            (address, peer)
            for address, peer in self._peers.items()
            if now <= peer.polled_at + PUSH_WINDOW
        ]

    def _forget_idle(self, now):
        self._peers = {
            address: peer
            for address, peer in self._peers.items()
            if now <= peer.polled_at + FORGET_AFTER
        }
