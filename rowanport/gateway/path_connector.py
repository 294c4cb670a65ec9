"""Opens connections to upstreams, through a peer if the own link is lost."""

import asyncio

import structlog

from ..errors import PeerError
from ..errors import UpstreamError
from ..incarnation import address_of
from ..membership.members import READY
from ..paths import Verdict
from ..tasks import TaskSet
from ..tunnels import TunnelUnsupported
from ..web.connector import Connector

LOG = structlog.get_logger(__name__)

# Most peers that are asked to relay one connection.
MOST_ASKED = 9
# Seconds without an answer after which further peers are asked: a peer that
# relays answers within a few round trips.
STAGGER = 0.1
# Most peers that are asked at once.
MOST_AT_ONCE = 3
# Seconds for which an upstream that neither the own link nor any peer reaches
# is given up without trying.
UNREACHED_SECONDS = 0.5
# Peers that are asked whether an upstream crashed.
CONFIRMING_PEERS = 3


class PathConnector(Connector):
    """Opens direct connections, and tunnels where the own link is lost.

    :param own_link: the OwnLink
    :param links: the UpstreamLinks
    :param relays: the RelayPeers
    :param tunnels: the TunnelClient
    :param members: the Membership
    :param metrics: the GatewayMetrics
    :ivar client: the HttpClient that keeps surplus connections
    :ivar on_ended: function of an address, called when a new connection over
        the own link ended before it was answered
    """

    def __init__(self, own_link, links, relays, tunnels, members, metrics):
        self._own_link = own_link
        self._links = links
        self._relays = relays
        self._tunnels = tunnels
        self._members = members
        self._metrics = metrics
        self._tasks = TaskSet()
        self._unreached_until = {}
        self.client = None
        self.on_ended = None

    def close(self):
        """Cancel what is being opened."""
        self._tasks.cancel()

    # As a Connector

    async def open(self, address):
        cause = None
        if self._links.usable(address):
            try:
                return await self._own_link.open(address)
            except UpstreamError as error:
                cause = error
        path = await self._relayed(address)
        if path is not None:
            return path
        if cause is None and self._links.may_work(address):
            return await self._own_link.open(address)
        message = f"{address} cannot be reached, nor by peers"
        raise cause or UpstreamError(message, started=False)

    def may_reuse(self, path):
        if path.relay is None:
            return True
        # Back to the own link once it works.
        if self._links.usable(path.address):
            return False
        return self._relays.accepts(path.relay, _now())

    def record_answer(self, path):
        if path.relay is None:
            self._links.record_reached(path.address, path.opened_at)

    def record_failure(self, path, silent):
        if path.relay is not None:
            self._relays.record_unanswered(path.relay, True, _now())
        elif silent:
            self._own_link.record_lost(path.address, "silent")
        else:
            self.on_ended(path.address)

    # Relays

    def drop_relay(self, peer):
        """Use no tunnel through a peer any more, as it is shutting down."""
        self._relays.record(peer, "", Verdict.LEAVING, 0, _now())
        self.client.drop_idle(lambda path: path.relay == peer)

    def _ready_peers(self):
        """Return (peer address, data centre) of the peers that may relay."""
        return [
            (address_of(entry.incarnation), entry.data_centre)
            for entry in self._members.live()[1:]
            if entry.state == READY
        ]

    async def _relayed(self, address):
        """Return a Path through a peer, or None."""
        now = _now()
        if self._unreached_until.get(address, 0.0) > now:
            return None
        peers = self._ready_peers()
        self._relays.retain({peer for peer, _data_centre in peers})
        candidates = self._relays.candidates(peers, address, now)
        path = await self._first_path(candidates[:MOST_ASKED], address)
        outcome = "opened" if path else "denied"
        self._metrics.relayed_connections.inc({"outcome": outcome})
        if path is None:
            self._unreached_until = {
                known: until
                for known, until in self._unreached_until.items()
                if until > now
            }
            self._unreached_until[address] = _now() + UNREACHED_SECONDS
        return path

    async def _first_path(self, peers, address):
        """Return the first Path that some peers give, asked in their order.

        More of them are asked at once the longer it takes.
        """
        waiting, pending, count = list(peers), set(), 1
        while waiting or pending:
            if waiting:
                for peer in waiting[:count]:
                    pending.add(self._tasks.spawn(self._ask(peer, address)))
                del waiting[:count]
                count = min(count + 1, MOST_AT_ONCE)
            done, pending = await asyncio.wait(
                pending,
                timeout=STAGGER if waiting else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            paths = [task.result() for task in done if task.result()]
            if paths:
                self._keep_surplus(paths[1:], pending)
                return paths[0]
        return None

    def _keep_surplus(self, paths, pending):
        """Keep tunnels that were opened though another one came first."""
        for path in paths:
            self.client.keep(path)
        for task in pending:
            task.add_done_callback(self._keep_result)

    def _keep_result(self, task):
        if not task.cancelled() and task.exception() is None and task.result():
            self.client.keep(task.result())

    async def _ask(self, peer, address, fresh=False):
        """Ask a peer for a tunnel; return its Path, or None."""
        _verdict, path = await self._ask_verdict(peer, address, fresh)
        return path

    async def _ask_verdict(self, peer, address, fresh):
        """Ask a peer for a tunnel; return (Verdict or None, Path or None)."""
        try:
            verdict, tunnels, path = await self._tunnels.open(
                peer, address, fresh
            )
        except PeerError as error:
            supported = not isinstance(error, TunnelUnsupported)
            self._relays.record_unanswered(peer, supported, _now())
            LOG.info("relay_unanswered", peer=peer, error=str(error))
            return None, None
        self._relays.record(peer, address, verdict, tunnels, _now())
        if path is not None:
            self._record_relayed(address, peer)
        return verdict, path

    def _record_relayed(self, address, peer):
        if self._links.record_relayed(address, _now()):
            cut = self._links.cut
            LOG.warning(
                "cut_off_from_upstreams",
                reason=cut.reason,
                evidence=self._links.evidence,
                reached_by=peer,
            )

    # Crashes

    async def confirms_crash(self, address):
        """Return whether peers confirm that nobody listens at an address.

        What looks like a crash from here may be a fault of the own link.
        Without peers, and without another upstream by which they could tell,
        the own link's word is all there is.
        """
        peers = self._ready_peers()
        if not peers or len(self._own_link.addresses) < 2:
            return True
        candidates = self._relays.candidates(peers, "", _now())
        verdicts = await asyncio.gather(
            *(
                self._ask_and_keep(peer, address)
                for peer in candidates[:CONFIRMING_PEERS]
            )
        )
        LOG.info(
            "crash_verdicts",
            upstream_address=address,
            verdicts={
                peer: verdict and verdict.value
                for peer, verdict in zip(candidates, verdicts)
            },
        )
        if Verdict.REACHED in verdicts:
            return False
        return Verdict.REFUSED in verdicts

    async def _ask_and_keep(self, peer, address):
        verdict, path = await self._ask_verdict(peer, address, fresh=True)
        if path is not None:
            self.client.keep(path)
        return verdict


def _now():
    return asyncio.get_running_loop().time()
