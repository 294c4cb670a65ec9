"""A router's views of the fleet: the configuration and the upstreams.

Both come from the store while it can be reached, and from peers that have
newer versions.  Neither is ever replaced by an older version.
"""

import asyncio
import collections
import random
import zlib

import structlog

from ..errors import MessageError
from ..errors import PeerError
from ..evacuations import Evacuations
from ..incarnation import address_of
from ..incarnation import EVACUATIONS_PROTOCOL
from ..schema.messages import SuspectNews
from ..schema.messages import UpstreamNews
from ..schema.messages import ViewAsk
from ..schema.messages import ViewGive
from ..supervision import beat
from ..tasks import TaskSet
from .expired_entries import RetainedUpstreams
from .freshness_tracker import FreshnessTracker
from .polling_peers import PollingPeers
from .store_watchers import store_watchers
from .upstream import UpstreamList
from .upstream_delta import ChangeLog
from .upstream_delta import NO_LIST
from .upstream_delta import UpstreamDelta

LOG = structlog.get_logger(__name__)

# Seconds between two polls of peers; a change reaches all routers of a cell in
# about three rounds.
POLL_INTERVAL = 0.25
# Time-out of a poll in seconds.  On a congested link answers arrive late; they
# are still of use, and their delay shows that the link is congested.
POLL_TIMEOUT = 3.0
# Limit of polls in flight: one for each POLL_INTERVAL within POLL_TIMEOUT.
MAX_POLLS_IN_FLIGHT = 12
# Peers that are polled at once while the views are not confirmed.
POLLS_WHEN_AGING = 4
# Seconds after the start during which a router may not know the fleet yet.
DISCOVERY_SECONDS = 5.0
# Seconds after the start before a router that is no seed watches the store, if
# its fleet starts for the first time and has seeds, which watch at once.  By
# then it knows most other routers, so their starts do not end its watches.
SEEDED_WATCH_DELAY = 2.0


class Views:
    """The newest configuration and list of upstreams that a router knows.

    :param decode: function from the bytes of a configuration to a
        RoutingTable; raises MessageError
    :param members: the Membership
    :param peers: the PeerClient for polls
    :param address: this router's peer address
    :param clock: a Clock
    :param clocks: the FleetClocks, updated by each poll
    :param congestion: the CongestionDetector, updated by each poll
    :ivar freshness: the FreshnessTracker of the views
    :ivar table: the active RoutingTable, or None
    :ivar upstreams: the active UpstreamList
    :ivar evacuations: the Evacuations
    :ivar on_table: function of a RoutingTable, called when it becomes active
    :ivar on_upstreams: function of an UpstreamList, called when it becomes
        active
    :ivar on_answer: function that is called after each answer of a peer, or
        None
    :ivar push: function of a peer's address and a message that sends the
        message on a connection that the peer has open
    :ivar loads: the LoadSync whose data is exchanged in polls, or None
    :ivar suspect_sync: the SuspectSync whose data is exchanged in polls, or
        None
    :ivar limits: the RateLimits whose data is exchanged in polls, or None
    :ivar notices: the UpstreamNotices whose data is exchanged in polls, or
        None
    """

    def __init__(
        self, decode, members, peers, address, clock, clocks, congestion
    ):
        self._decode = decode
        self._members = members
        self._peers = peers
        self._address = address
        self._clock = clock
        self._clocks = clocks
        self._congestion = congestion
        self._polls = TaskSet()
        self._in_flight = collections.Counter()
        self._polling = PollingPeers()
        self._changes = ChangeLog()
        self._needs_full_list = False
        self._retained = RetainedUpstreams()
        self._started = clock.steady()
        self._config_data = b""
        self._config_packed = b""
        self.freshness = FreshnessTracker(members, clock)
        self.table = None
        self.upstreams = UpstreamList()
        self.evacuations = Evacuations()
        self.on_table = None
        self.on_answer = None
        self.push = None
        self.on_upstreams = None
        self.loads = None
        self.suspect_sync = None
        self.limits = None
        self.notices = None

    @property
    def watches_store(self):
        """Return whether this router watches the store, also for its peers.

        If all routers are stopping, none is chosen to watch the store, and
        each watches it itself.
        """
        if self.starting_up and self._watches_at_start:
            return True
        if self._clock.steady() < self._started + SEEDED_WATCH_DELAY:
            return False
        watchers = store_watchers(self._members)
        return not watchers or self._address in watchers

    @property
    def _watches_at_start(self):
        """Return whether this router watches the store right after its start.

        If the fleet starts for the first time, only its seeds do, since they
        are polled first.  If the fleet ran before, each router does: the peers
        that it could poll may be cut off from the store while it is not.
        """
        if self._members.listed:
            return True
        seeds = self._members.seeds
        return not seeds or self._address in seeds

    @property
    def starting_up(self):
        """Return whether this router may not know the fleet yet."""
        return self._clock.steady() < self._started + DISCOVERY_SECONDS

    # Applying views

    def apply_config(self, data, source):
        """Apply a configuration if it is newer than the active one.

        :param data: its bytes as stored
        :param source: where it came from, for the log
        """
        try:
            table = self._decode(data)
        except MessageError as error:
            LOG.error("config_unreadable", source=source, error=str(error))
            return
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        self._config_data = data
        self._config_packed = b""
        self._members.set_config(table.version)
        LOG.info("config_in_force", version=table.version, source=source)
        self.on_table(table)

    def apply_upstreams(self, upstreams, source):
        """Apply an UpstreamList if it is newer than the active one."""
        if upstreams.version > self.upstreams.version:
            self._apply_list(upstreams, source)

    def _apply_list(self, upstreams, source):
        upstreams.upstreams = self._retained.apply(
            upstreams.upstreams,
            self.upstreams.upstreams,
            self._clock.steady(),
        )
        self._activate(upstreams, source)

    def _activate(self, upstreams, source):
        self._changes.record(self.upstreams, upstreams)
        self.upstreams = upstreams
        records = upstreams.upstreams.values()
        LOG.info(
            "upstreams_in_force",
            revision=upstreams.revision,
            step=upstreams.step,
            source=source,
            leaving=[record.id for record in records if record.leaving],
            lapsing=[record.id for record in records if record.lapsing],
            count=len(records),
        )
        self.on_upstreams(upstreams)
        self._push_changes()

    def apply_evacuations(self, revision, data_centres, source):
        """Apply the evacuated data centres if they are newer.

        :param revision: revision of the store to which they are complete
        :param data_centres: their names
        :param source: where they came from, for the log
        """
        now = self._clock.steady()
        if self.evacuations.replace(revision, data_centres, now):
            self._log_evacuations(source)

    def apply_evacuation_changes(self, changes, source):
        """Apply all EvacuationChanges since the last revision."""
        if self.evacuations.apply(changes, self._clock.steady()):
            self._log_evacuations(source)

    def _log_evacuations(self, source):
        records = self.upstreams.upstreams.values()
        known = {record.data_centre for record in records}
        evacuated = self.evacuations.data_centres
        LOG.info(
            "evacuations_in_force",
            revision=self.evacuations.revision,
            data_centres=sorted(evacuated),
            without_upstreams=sorted(evacuated - known),
            source=source,
        )

    def _drop_overdue(self):
        """Drop upstreams whose entry is missing beyond the grace period."""
        overdue = self._retained.pop_overdue(self._clock.steady())
        if not overdue:
            return
        known = self.upstreams
        upstreams = [
            upstream
            for name, upstream in known.upstreams.items()
            if name not in overdue
        ]
        self._activate(
            UpstreamList(known.revision, upstreams, known.step), "lapsed"
        )

    # Peers

    @property
    def _version(self):
        return self.table.version if self.table else 0

    def handle(self, message):
        """Return the answer to a peer's poll.

        :param message: the ViewAsk
        """
        self._clocks.observe(message.asker, message.wall)
        suspects = SuspectNews(0, [])
        age = round(1000 * self.freshness.age)
        away = round(1000 * self.freshness.store_age)
        wall = self._clock.wall()
        uptime = self.freshness.store_uptime
        give = ViewGive(
            0, b"", 0, b"", wall, [], suspects, [], age, away, 0, uptime
        )
        if self.loads is not None:
            seconds = message.recent / 1000
            give.notes = self.loads.recent(seconds, message.asker)
        if self.suspect_sync is not None:
            give.suspects = self.suspect_sync.answer_poll(message.suspects)
        if self.limits is not None:
            self.limits.merge(message.limits, message.asker)
            give.limits = self.limits.rows()
        if self.notices is not None:
            self.notices.merge(message.leaves, message.asker)
            give.leaves = self.notices.rows_for(message.asker)
        self._add_updates(message, give)
        if not self._members.predates(message.asker, EVACUATIONS_PROTOCOL):
            give.evacuations = self.evacuations.revision
            give.evacuated = sorted(self.evacuations.data_centres)
        return give

    def _add_updates(self, ask, give):
        """Add the newer versions that a polling peer does not have.

        A version that was sent to the peer already is only named.
        """
        now = self._clock.steady()
        has = (ask.upstreams, ask.step)
        peer = self._polling.record_poll(ask.asker, ask.config, has, now)
        if ask.config < self._version:
            give.config = self._version
            if peer.begin_config_send(self._version, now):
                give.config_data = self._pack_config()
        if has < self.upstreams.version:
            give.upstreams, give.step = self.upstreams.version
            if peer.begin_upstreams_send(self.upstreams.version, now):
                give.upstream_data = self._pack_changes(has)

    def _pack_changes(self, base):
        return self._changes.delta(base, self.upstreams).pack(
            self._clock.steady()
        )

    def _push_changes(self):
        """Push the latest changes to the peers that polled recently.

        Peers that watch the store get the changes from there.
        """
        now = self._clock.steady()
        version = self.upstreams.version
        watchers = store_watchers(self._members)
        packed = {}
        for address, peer in self._polling.recent(now):
            if address in watchers:
                continue
            if peer.begin_upstreams_send(version, now):
                base = peer.upstreams
                if base not in packed:
                    packed[base] = self._pack_changes(base)
                self.push(address, UpstreamNews(self._address, packed[base]))

    def handle_update(self, update):
        """Apply the UpstreamNews that a polled peer pushed."""
        self._apply_packed_list(update.data, update.sender)

    def _pack_config(self):
        """Return the compressed configuration.

        Similar routes compress well, and an uncompressed configuration of
        hundreds of routes congests slow links.
        """
        if not self._config_packed:
            self._config_packed = zlib.compress(self._config_data)
        return self._config_packed

    async def run(self):
        """Poll peers in turn until cancelled."""
        try:
            while True:
                beat()
                self.freshness.log_change()
                self._drop_overdue()
                for address in self._next_sources():
                    # Not awaited: a peer that is cut off would delay the next.
                    if len(self._polls) < MAX_POLLS_IN_FLIGHT:
                        self._polls.spawn(self.ask(address))
                await asyncio.sleep(POLL_INTERVAL)
        finally:
            self._polls.cancel()

    def _next_sources(self):
        """Return the addresses of the peers to poll next.

        A peer with a poll in flight is polled again only if there is no other.
        """
        sources = self._sources()
        idle = [peer for peer in sources if not self._in_flight[peer]]
        count = POLLS_WHEN_AGING if self.freshness.aging else 1
        return (idle or sources)[:count]

    def _sources(self):
        """Return the addresses of peers that may have newer views, shuffled.

        Store watchers come first.  Other peers are polled only if no store
        watcher is ready, or while the views are aging.
        """
        ready = [address_of(peer) for peer in self._members.ready_peers()]
        watchers = store_watchers(self._members)
        watching = [peer for peer in ready if peer in watchers]
        if watching and not self.freshness.aging:
            return watching
        sources = watching + [peer for peer in ready if peer not in watchers]
        return sources or self._fallback_sources(watchers)

    def _fallback_sources(self, watchers):
        """Return the addresses of all known peers if none seems alive.

        They may seem dead because this router's own link failed, and no other
        router polls on its behalf.
        """
        known = {*watchers, *self._members.seeds, *self._members.listed}
        known.discard(self._address)
        return random.sample(sorted(known), len(known))

    async def ask(self, address, timeout=POLL_TIMEOUT):
        """Poll a peer for newer views, and apply its answer.

        :param address: the peer's address
        :param timeout: time-out in seconds
        """
        has = NO_LIST if self._needs_full_list else self.upstreams.version
        seconds = self.loads.advance_poll_window() if self.loads else 0.0
        ask = ViewAsk(
            self._version,
            has[0],
            self._address,
            self._clock.wall(),
            round(1000 * seconds),
            (
                self.suspect_sync.build_poll()
                if self.suspect_sync
                else SuspectNews(0, [])
            ),
            self.limits.rows() if self.limits else [],
            has[1],
            self.notices.rows_for(address) if self.notices else [],
        )
        sent_at = self._clock.steady()
        self._in_flight[address] += 1
        try:
            give = await self._peers.call(
                address, ask, timeout, repeatable=True
            )
        except PeerError as error:
            LOG.debug("poll_failed", peer=address, error=str(error))
            self._congestion.record_timeout(self._clock.steady() - sent_at)
            return
        finally:
            self._in_flight[address] -= 1
        if not isinstance(give, ViewGive):
            return
        self.freshness.record_peer_answer(
            sent_at, give.store_age / 1000, give.steady / 10
        )
        # The last round trip excludes the time spent on a stalled connection.
        self._congestion.record_round_trip(self._peers.last_trip(address))
        self._clocks.observe(address, give.wall)
        for note in give.notes:
            self.loads.apply(note)
        if self.suspect_sync is not None:
            self.suspect_sync.receive_answer(give.suspects)
        if self.limits is not None:
            self.limits.merge(give.limits, address)
        if self.notices is not None:
            self.notices.merge(give.leaves, address)
        self.apply_evacuations(give.evacuations, give.evacuated, address)
        if give.config_data:
            self._apply_packed_config(give.config_data, address)
        if give.upstream_data:
            self._apply_packed_list(give.upstream_data, address)
        if self.on_answer is not None:
            self.on_answer()
        if self._is_covered(give):
            self.freshness.confirm(sent_at - give.age / 1000, address)

    def _is_covered(self, give):
        """Return whether a peer's answer names no newer version than these."""
        upstreams = (give.upstreams, give.step)
        newest = upstreams <= self.upstreams.version
        config = give.config <= self._version
        return newest and config and not self._needs_full_list

    def _apply_packed_list(self, packed, address):
        """Apply a peer's UpstreamDelta if it is newer or was requested."""
        try:
            delta = UpstreamDelta.unpack(packed, self._clock.steady())
        except MessageError as error:
            LOG.error("upstreams_unreadable", error=str(error))
            return
        complete = delta.base == NO_LIST and self._needs_full_list
        if delta.version < self.upstreams.version:
            return
        if delta.version == self.upstreams.version and not complete:
            return
        upstreams = delta.apply(self.upstreams)
        if upstreams is None:
            return
        # Peers may have made different changes at the same revision.
        self._needs_full_list = (
            upstreams.digest != delta.digest
            or delta.versions_digest is not None
            and upstreams.versions_digest != delta.versions_digest
        )
        if self._needs_full_list:
            LOG.info("upstreams_differ", version=delta.version, peer=address)
        self._apply_list(upstreams, address)

    def _apply_packed_config(self, packed, address):
        """Apply a packed configuration of a peer if it is newer."""
        try:
            data = zlib.decompress(packed)
        except zlib.error as error:
            LOG.error("config_unreadable", source=address, error=str(error))
            return
        self.apply_config(data, address)
