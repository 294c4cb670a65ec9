"""Tells the routers of a data centre how full each other's links are."""

from ..diversion import PeerSummary
from ..errors import MessageError
from .state_exchange import StateComponent

# Steps of a share of a link in a report, and the largest step: the shares are
# single bytes.
STEPS = 100
MOST_STEPS = 255


class LinkSharing(StateComponent):
    """Shares the used part of each router's link.

    A report is that part and the name of the data centre; the answer is the
    lower quartile and the median of the other routers there.

    :param diversion: the Diversion
    :param peers: the PeerUse
    :param data_centre: this router's data centre
    :param clock: a Clock
    """

    name = "link"

    def __init__(self, diversion, peers, data_centre, clock):
        self._diversion = diversion
        self._peers = peers
        self._data_centre = data_centre
        self._clock = clock

    @property
    def active(self):
        return self._diversion.use.link_rate > 0.0

    def report(self):
        share = self._diversion.use.reported_share(self._clock.steady())
        return _to_bytes(share) + self._data_centre.encode()

    def collect(self, data, sender):
        if not data:
            raise MessageError("an empty report of a link")
        try:
            data_centre = data[1:].decode()
        except UnicodeDecodeError:
            raise MessageError("not the name of a data centre") from None
        now = self._clock.steady()
        self._peers.collect(sender, data_centre, data[0] / STEPS, now)

    def summarize(self, receiver):
        summary = self._peers.summary_for(receiver, self._clock.steady())
        if summary is None:
            return b""
        return _to_bytes(summary.quartile) + _to_bytes(summary.median)

    def apply(self, data, sender):
        if len(data) != 2:
            raise MessageError("not a summary of links")
        summary = PeerSummary(data[0] / STEPS, data[1] / STEPS)
        self._peers.apply(summary, self._clock.steady())


def _to_bytes(share):
    return bytes([min(MOST_STEPS, round(share * STEPS))])
