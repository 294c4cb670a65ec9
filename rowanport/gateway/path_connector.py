"""Opens connections to upstreams, through a peer if the own link is lost."""

import asyncio
import random

import structlog

from ..clock import loop_time
from ..errors import ConnectionRefused
from ..errors import NoConnectionFree
from ..errors import PeerError
from ..errors import UpstreamError
from ..incarnation import address_of
from ..paths import SILENT
from ..paths import Verdict
from ..tasks import TaskSet
from ..tunnels import TunnelUnsupported
from ..web.connector import Connector

LOG = structlog.get_logger(__name__)

# Most peers that are asked to relay one connection.
MOST_ASKED = 9
# Peers that reach others, but not the upstream, after which no more are asked.
MOST_DENIALS = 2
DENIALS = (Verdict.REFUSED, Verdict.UNREACHABLE)
# Verdicts of peers that got a connection to the upstream.
REACHING = {Verdict.REACHED, Verdict.BACKED_OFF}
# Seconds for which a connection that was just found impossible over the own
# link waits for peers; they are asked on, but another upstream may be quicker.
FIRST_WAIT = 0.1
# The same if it is known that the own link is lost.
RELAY_WAIT = 0.5
# Seconds without an answer after which further peers are asked: a peer that
# relays answers within a few round trips.
STAGGER = 0.1
# Most peers that are asked at once.
MOST_AT_ONCE = 3
# Seconds for which an upstream that neither the own link nor any peer reaches
# is given up without trying.
UNREACHED_SECONDS = 1.0
# Seconds after which answers on whether an upstream crashed no longer count.
CONFIRM_TIMEOUT = 0.4


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
        # Tasks that look for a peer which relays, by address.
        self._searches = {}
        # Until when an address is given up, and the Verdicts of the peers.
        self._unreached = {}
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
            except NoConnectionFree:
                # A peer's connection would be one too many as well.
                raise
            except UpstreamError as error:
                cause = error
        wait = RELAY_WAIT if cause is None else FIRST_WAIT
        path, verdicts = await self._relayed(address, wait)
        if path is not None:
            return path
        if cause is None and self._links.may_work(address):
            return await self._own_link.open(address)
        message = f"{address} cannot be reached, nor by peers"
        if Verdict.REFUSED in verdicts:
            raise ConnectionRefused(message)
        raise cause or UpstreamError(message, started=False)

    def may_probe(self, address):
        return self._own_link.may_probe(address)

    def may_reuse(self, path):
        if path.relay is None:
            return self._own_link.may_reuse(path)
        # Back to the own link once it works.
        if self._links.usable(path.address):
            return False
        return self._relays.accepts(path.relay, path.address, loop_time())

    def record_answer(self, path):
        if path.relay is None:
            self._links.record_reached(path.address, path.opened_at)

    def record_failure(self, path, silent):
        if path.relay is None:
            if silent:
                self._own_link.record_lost(path.address, SILENT)
            else:
                self.on_ended(path.address)
        elif silent:
            self._relays.record_unanswered(path.relay, True, loop_time())

    # Relays

    def drop_relay(self, peer):
        """Use no tunnel through a peer any more, as it is shutting down."""
        self._relays.record(peer, "", Verdict.LEAVING, 0, loop_time())
        self.client.drop_idle(lambda path: path.relay == peer)

    def avoid_tunnels(self, peer, address, seconds):
        """Use no tunnel to an upstream through a peer for a time.

        :param peer: its incarnation
        :param address: address of the upstream
        :param seconds: for how long
        """
        LOG.info(
            "relay_backs_off",
            peer=address_of(peer),
            upstream_address=address,
            seconds=seconds,
        )
        now = loop_time()
        self._relays.record_backoff(peer, address, now + seconds, now)
        self.client.drop_idle(
            lambda path: (path.relay, path.address) == (peer, address)
        )

    def _ready_peers(self):
        """Return (incarnation, data centre) of the peers that may relay."""
        return [
            (entry.incarnation, entry.data_centre)
            for entry in self._members.ready_entries()
        ]

    async def _relayed(self, address, wait):
        """Return a Path through a peer, or None, and the peers' Verdicts.

        :param wait: longest wait in seconds; the search goes on after it
        """
        search = self._searches.get(address)
        if search is not None:
            # One search at a time: an upstream that is down is asked for once,
            # however many requests wait for it.
            await asyncio.wait({search}, timeout=wait)
            if not search.done():
                return None, ()
        until, verdicts = self._unreached.get(address, (0.0, ()))
        if until > loop_time():
            return None, verdicts
        search = self._tasks.spawn(self._search(address))
        self._searches[address] = search
        taken = False
        try:
            await asyncio.wait({search}, timeout=wait)
            taken = search.done() and not search.cancelled()
        finally:
            # Also if the caller of the request left meanwhile.
            if not taken:
                search.add_done_callback(self._keep_result)
        return search.result() if taken else (None, ())

    async def _search(self, address):
        """Ask peers for a tunnel; return a Path or None, and Verdicts."""
        try:
            peers = self._ready_peers()
            self._relays.retain({peer for peer, _data_centre in peers})
            ranked = self._relays.candidates(peers, address, loop_time())
            path, verdicts = await self._first_path(
                ranked[:MOST_ASKED], address
            )
        finally:
            if self._searches.get(address) is asyncio.current_task():
                del self._searches[address]
        outcome = "opened" if path else "denied"
        self._metrics.relayed_connections.inc({"outcome": outcome})
        if path is None:
            self._record_unreached(address, verdicts)
        return path, verdicts

    def _record_unreached(self, address, verdicts):
        now = loop_time()
        self._unreached = {
            known: row
            for known, row in self._unreached.items()
            if row[0] > now
        }
        self._unreached[address] = (now + UNREACHED_SECONDS, verdicts)

    async def _first_path(self, peers, address):
        """Ask peers in their order until one gives a Path.

        More of them are asked at once the longer it takes.

        :returns: the Path or None, and the Verdicts so far
        """
        waiting, pending, count = list(peers), set(), 1
        verdicts = []
        while waiting or pending:
            if sum(verdict in DENIALS for verdict in verdicts) >= MOST_DENIALS:
                self._keep_surplus((), pending)
                break
            if waiting:
                for peer in waiting[:count]:
                    pending.add(self._start_ask(peer, address))
                del waiting[:count]
                count = min(count + 1, MOST_AT_ONCE)
            done, pending = await asyncio.wait(
                pending,
                timeout=STAGGER if waiting else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            answers = [task.result() for task in done]
            verdicts += [verdict for _path, verdict in answers]
            paths = [path for path, _verdict in answers if path is not None]
            if paths:
                self._keep_surplus(paths[1:], pending)
                return paths[0], verdicts
        return None, verdicts

    def _keep_surplus(self, paths, pending):
        """Keep tunnels that were opened though another one came first."""
        for path in paths:
            self.client.keep(path)
        for task in pending:
            task.add_done_callback(self._keep_result)

    def _keep_result(self, task):
        if task.cancelled() or task.exception() is not None:
            return
        path, _verdicts = task.result()
        if path is not None:
            self.client.keep(path)

    def _start_ask(self, peer, address, fresh=False):
        """Start to ask a peer for a tunnel; return the task."""
        # At once, so that requests that are sent together ask several peers.
        self._relays.begin(peer)
        return self._tasks.spawn(self._ask(peer, address, fresh))

    async def _ask(self, peer, address, fresh):
        """Ask a peer for a tunnel; return (Path or None, Verdict or None)."""
        try:
            verdict, tunnels, path = await self._tunnels.open(
                peer, address, fresh
            )
        except PeerError as error:
            supported = not isinstance(error, TunnelUnsupported)
            self._relays.record_unanswered(peer, supported, loop_time())
            LOG.info(
                "relay_unanswered", peer=address_of(peer), error=str(error)
            )
            return None, None
        finally:
            self._relays.end(peer)
        self._relays.record(peer, address, verdict, tunnels, loop_time())
        if path is not None:
            self._record_relayed(address, peer)
        return path, verdict

    def _record_relayed(self, address, peer):
        if self._links.record_relayed(address, loop_time()):
            cut = self._links.cut
            LOG.warning(
                "cut_off_from_upstreams",
                reason=cut.reason,
                evidence=self._links.evidence,
                reached_by=address_of(peer),
            )

    # Crashes

    async def confirms_crash(self, address):
        """Return whether peers confirm that nobody listens at an address.

        What looks like a crash from here may be a fault of the own link.
        Without peers, and without another upstream by which they could tell,
        the own link's word is all there is.  If all peers of the fleet were
        asked and none reaches the upstream, it is down for everyone, though
        none can tell from a cut what it is.
        """
        peers = self._ready_peers()
        if not peers or len(self._own_link.listed) < 2:
            return True
        chosen = random.sample(peers, min(MOST_ASKED, len(peers)))
        asked = {
            self._start_ask(peer, address, fresh=True): peer
            for peer, _data_centre in chosen
        }
        answered, late = await asyncio.wait(asked, timeout=CONFIRM_TIMEOUT)
        self._keep_surplus((), [*answered, *late])
        verdicts = {asked[task]: task.result()[1] for task in answered}
        LOG.info(
            "crash_verdicts",
            upstream_address=address,
            verdicts={
                address_of(peer): verdict and verdict.value
                for peer, verdict in verdicts.items()
            },
        )
        given = {verdict for verdict in verdicts.values() if verdict}
        if given & REACHING or not given:
            return False
        return Verdict.REFUSED in given or len(chosen) == len(peers)
