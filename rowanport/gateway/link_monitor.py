"""Watches the own link: finds out that it is lost, and that it is back."""

import asyncio
import random

import structlog

from ..clock import loop_time
from ..paths import CLOSED
from ..paths import SILENT
from ..paths import UNACKNOWLEDGED
from ..supervision import beat
from ..tasks import TaskSet
from ..web import stream

LOG = structlog.get_logger(__name__)

# Seconds between two checks.
CHECK_INTERVAL = 0.2
# Seconds after which a request has reached the upstream's kernel if the link
# works: many round trips within a region.
ACKNOWLEDGE_SECONDS = 0.25
# Seconds without a byte of any upstream, with a request unanswered, after
# which it is checked whether any upstream answers; or without one through a
# relay, after which others are preferred.
QUIET_SECONDS = 0.8
# Upstreams that are checked then.
CHECKED_UPSTREAMS = 2
# Seconds between two such checks.
QUIET_PAUSE = 1.0
# Probes under way at most.
MAX_PROBES = 4


class LinkMonitor:
    """Probes lost links, and looks for links that fell silent.

    :param own_link: the OwnLink
    :param links: the UpstreamLinks
    :param client: the HttpClient of the upstreams
    :param congestion: the CongestionDetector
    :param tunnels: the TunnelServer
    :param relays: the RelayPeers
    """

    def __init__(self, own_link, links, client, congestion, tunnels, relays):
        self._own_link = own_link
        self._links = links
        self._client = client
        self._congestion = congestion
        self._tunnels = tunnels
        self._relays = relays
        self._tasks = TaskSet()
        self._probing = set()
        self._checking = None
        self._quiet_checked_at = 0.0

    async def run(self):
        """Check periodically until cancelled."""
        try:
            while True:
                beat()
                self._links.retain(self._own_link.listed)
                self._start_probes()
                self._find_unacknowledged()
                self._find_silence()
                self._find_silent_relays()
                await asyncio.sleep(CHECK_INTERVAL)
        finally:
            self._tasks.cancel()

    # Lost links

    def verify(self, address):
        """Check a link on which a new connection ended without an answer."""
        if address not in self._probing and self._links.usable(address):
            self._spawn(address, self._verify(address))

    async def _verify(self, address):
        if not await self._own_link.check(address, CLOSED):
            self._own_link.record_lost(address, CLOSED)

    def _start_probes(self):
        now = loop_time()
        listed = self._own_link.listed
        for address in self._links.probes_due(listed, now):
            if len(self._probing) >= MAX_PROBES:
                return
            if address not in self._probing:
                self._links.begin_probe(address, now)
                self._spawn(address, self._probe(address))

    def _spawn(self, address, coroutine):
        self._probing.add(address)
        task = self._tasks.spawn(coroutine)
        task.add_done_callback(lambda _task: self._probing.discard(address))

    async def _probe(self, address):
        outage = self._links.cut or self._links.outage(address)
        if outage is None:
            return
        was_cut = self._links.cut
        reached = await self._own_link.check(address, outage.reason)
        now = loop_time()
        back = self._links.record_probe(address, reached, now)
        if was_cut is not None and not self._links.cut_off:
            seconds = round(now - was_cut.began_at, 3)
            LOG.warning("upstreams_reached_again", seconds=seconds)
            self._drop_idle_tunnels()
        if back:
            seconds = round(now - outage.began_at, 3)
            LOG.info(
                "upstream_link_back", upstream_address=address, seconds=seconds
            )
            self._drop_idle_tunnels()

    def _drop_idle_tunnels(self):
        """Close the kept tunnels to upstreams that the own link reaches."""
        self._client.drop_idle(
            lambda path: path.relay is not None
            and self._links.usable(path.address)
        )

    # Links that fell silent

    def _find_unacknowledged(self):
        """Look for requests that the upstreams' kernels do not acknowledge."""
        if self._congestion.congested:
            return
        since = loop_time() - ACKNOWLEDGE_SECONDS
        hanging = {
            path.address
            for path, sent_at in self._client.waiting
            if path.relay is None
            and sent_at < since
            and stream.unacknowledged(path.writer)
        }
        for address in hanging:
            self._own_link.record_lost(address, UNACKNOWLEDGED)
        if hanging:
            self._drop_idle_direct(lambda address: address in hanging)
        if len(hanging) > 1 and not self._checking and not self._links.cut_off:
            self._checking = self._tasks.spawn(self._check_link(hanging))
            self._checking.add_done_callback(self._end_check)

    async def _check_link(self, hanging):
        """Begin a cut unless other upstreams take connections.

        :param hanging: addresses of upstreams that acknowledge nothing
        """
        works = self._own_link.works(hanging, loop_time(), UNACKNOWLEDGED)
        if not await works:
            self._begin_cut(UNACKNOWLEDGED, hanging)

    def _end_check(self, _task):
        self._checking = None

    def _find_silence(self):
        """Check the link if a request waits and no upstream says anything."""
        now = loop_time()
        since = now - QUIET_SECONDS
        waiting = {
            path.address
            for path, sent_at in self._client.waiting
            if path.relay is None and sent_at < since
        }
        if not waiting or self._client.heard_at() > since:
            return
        if self._links.cut_off or now < self._quiet_checked_at + QUIET_PAUSE:
            return
        self._quiet_checked_at = now
        self._tasks.spawn(self._check_silence(waiting))

    def _find_silent_relays(self):
        """Look for peers through which nothing comes back."""
        now = loop_time()
        since = now - QUIET_SECONDS
        silent = {
            path.relay
            for path, sent_at in self._client.waiting
            if path.relay is not None
            and sent_at < since
            and self._client.heard_at(path.relay) < since
        }
        for relay in silent:
            self._relays.suspect(relay, now)
        if silent:
            self._client.drop_idle(lambda path: path.relay in silent)

    async def _check_silence(self, waiting):
        """Begin a cut unless some upstream answers.

        :param waiting: addresses of upstreams that have not answered
        """
        begin = loop_time()
        checkable = self._own_link.checkable
        checkable = {a for a in checkable if self._own_link.may_probe(a)}
        checked = sorted(checkable - waiting or checkable)
        if not checked:
            return
        checked = random.sample(checked, min(CHECKED_UPSTREAMS, len(checked)))
        answers = await asyncio.gather(*map(self._own_link.answers, checked))
        if not any(answers) and self._client.heard_at() < begin:
            self._begin_cut(SILENT, waiting.union(checked))

    def _begin_cut(self, reason, evidence):
        if self._links.begin_cut(reason, loop_time()):
            LOG.warning(
                "cut_off_from_upstreams",
                reason=reason,
                evidence=sorted(evidence),
                reached_by=None,
            )
        self._drop_idle_direct(lambda _address: True)
        self._tunnels.drop()

    def _drop_idle_direct(self, choose):
        """Drop kept connections over the own link.

        :param choose: function from an upstream's address to whether the
            connections to it are dropped
        """
        self._client.drop_idle(
            lambda path: path.relay is None and choose(path.address)
        )
