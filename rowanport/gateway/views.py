"""What a router knows from outside: configuration and upstreams.

Both come from the store while it can be reached, and from peers that know
newer ones.  Neither ever goes back to an older one.
"""

import asyncio
import collections
import random
import zlib

import structlog

from ..errors import MessageError
from ..errors import PeerError
from ..incarnation import address_of
from ..schema.messages import SuspectNews
from ..schema.messages import UpstreamNews
from ..schema.messages import ViewAsk
from ..schema.messages import ViewGive
from ..supervision import beat
from ..tasks import TaskSet
from .askers import Askers
from .expired_entries import RetainedUpstreams
from .freshness_tracker import FreshnessTracker
from .store_watchers import store_watchers
from .upstream import UpstreamList
from .upstream_delta import ChangeLog
from .upstream_delta import NO_LIST
from .upstream_delta import UpstreamDelta

LOG = structlog.get_logger(__name__)

# Seconds between two questions to peers: a change reaches all routers of a
# cell in about three rounds.
POLL_INTERVAL = 0.25
# Seconds for an answer: a router whose link is congested learns late, but it
# learns, and a late answer tells it of its link.
ASK_TIMEOUT = 3.0
# Questions under way at once: one each interval, as long as answers take.
ASKS_AT_ONCE = 12
# Peers that are asked at once while nobody confirms the views.
ASKS_WHEN_AGING = 4
# Seconds after the start during which a router may not know the fleet yet.
LEARN_SECONDS = 5.0
# Seconds after the start before a router follows the store if its fleet starts
# for the first time and its settings name seeds, which follow it at once: by
# then it knows most of the others, and their starts end no watch of its own.
SEEDED_PAUSE = 2.0


class Views:
    """The newest configuration and list of upstreams known here.

    :param decode: function from the bytes of a configuration to a
        RoutingTable; raises MessageError
    :param address: this router's peer address
    :param clock: a Clock
    :param clocks: the FleetClocks, which learn from each exchange
    :param congestion: the CongestionDetector, which does, too
    :ivar freshness: the FreshnessTracker of both
    :ivar on_answer: function that is called after each answer of a peer, or
        None
    :ivar tell: function of a peer's address and a message that sends the
        message on a connection that the peer has open
    :ivar loads: the LoadSync that asks and answers along with it, or None
    :ivar crashes: the SuspectSync that does, too, or None
    :ivar limits: the RateLimits that do, too, or None
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
        self._asks = TaskSet()
        self._asked = collections.Counter()
        self._askers = Askers()
        self._changes = ChangeLog()
        self._list_wanted = False
        self._retained = RetainedUpstreams()
        self._started = clock.steady()
        self._config_data = b""
        self._config_packed = b""
        self.freshness = FreshnessTracker(members, clock)
        self.table = None
        self.upstreams = UpstreamList()
        self.on_table = None
        self.on_answer = None
        self.tell = None
        self.on_upstreams = None
        self.loads = None
        self.crashes = None
        self.limits = None

    @property
    def watches_store(self):
        """Return whether this router follows the store, for others too.

        Where all routers stop none is left to do so: each does for itself.
        """
        if self.starting_up and self._leads:
            return True
        if self._clock.steady() < self._started + SEEDED_PAUSE:
            return False
        duty = store_watchers(self._members)
        return not duty or self._address in duty

    @property
    def _leads(self):
        """Return whether this router, just started, follows for others.

        Where a fleet starts for the first time its seeds are the first to be
        asked.  Else each does for itself: those that it could ask may be cut
        off from the store while it is not.
        """
        if self._members.listed:
            return True
        seeds = self._members.seeds
        return not seeds or self._address in seeds

    @property
    def starting_up(self):
        """Return whether this router may not know the fleet yet."""
        return self._clock.steady() < self._started + LEARN_SECONDS

    # What is known

    def apply_config(self, data, source):
        """Take over a configuration if it is newer.

        :param data: its bytes as the store holds them
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
        """Take over an UpstreamList if it is newer."""
        if upstreams.version > self.upstreams.version:
            self._take_list(upstreams, source)

    def _take_list(self, upstreams, source):
        upstreams.upstreams = self._retained.apply(
            upstreams.upstreams,
            self.upstreams.upstreams,
            self._clock.steady(),
        )
        self._put_in_force(upstreams, source)

    def _put_in_force(self, upstreams, source):
        self._changes.note(self.upstreams, upstreams)
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
        self._tell_askers()

    def _drop_lapsed(self):
        """Drop upstreams that were kept without an entry for too long."""
        ended = self._retained.pop_overdue(self._clock.steady())
        if not ended:
            return
        known = self.upstreams
        kept = [u for name, u in known.upstreams.items() if name not in ended]
        self._put_in_force(
            UpstreamList(known.revision, kept, known.step), "lapsed"
        )

    # Peers

    @property
    def _version(self):
        return self.table.version if self.table else 0

    def handle(self, message):
        """Answer a ViewAsk."""
        self._clocks.observe(message.asker, message.wall)
        suspects = SuspectNews(0, [])
        age = round(1000 * self.freshness.age)
        away = round(1000 * self.freshness.store_age)
        wall = self._clock.wall()
        steady = self.freshness.store_steady
        give = ViewGive(
            0, b"", 0, b"", wall, [], suspects, [], age, away, 0, steady
        )
        if self.loads is not None:
            seconds = message.recent / 1000
            give.notes = self.loads.recent(seconds, message.asker)
        if self.crashes is not None:
            give.suspects = self.crashes.answer_poll(message.suspects)
        if self.limits is not None:
            self.limits.merge(message.limits, message.asker)
            give.limits = self.limits.rows()
        self._give_news(message, give)
        return give

    def _give_news(self, ask, give):
        """Add what the asker of a ViewAsk does not know.

        What is on its way to it already is named only.
        """
        now = self._clock.steady()
        has = (ask.upstreams, ask.step)
        asker = self._askers.hear(ask.asker, ask.config, has, now)
        if ask.config < self._version:
            give.config = self._version
            if asker.begin_config_send(self._version, now):
                give.config_data = self._pack_config()
        if has < self.upstreams.version:
            give.upstreams, give.step = self.upstreams.version
            if asker.begin_upstreams_send(self.upstreams.version, now):
                give.upstream_data = self._pack_changes(has)

    def _pack_changes(self, base):
        return self._changes.delta(base, self.upstreams).pack()

    def _tell_askers(self):
        """Tell routers that asked lately what changed.

        Those that follow the store hear of it themselves.
        """
        now = self._clock.steady()
        version = self.upstreams.version
        duty = store_watchers(self._members)
        packed = {}
        for address, asker in self._askers.recent(now):
            if address in duty:
                continue
            if asker.begin_upstreams_send(version, now):
                base = asker.upstreams
                if base not in packed:
                    packed[base] = self._pack_changes(base)
                self.tell(address, UpstreamNews(self._address, packed[base]))

    def hear_news(self, news):
        """Take in UpstreamNews."""
        self._take_packed_list(news.data, news.sender)

    def _pack_config(self):
        """Return the configuration compressed.

        Like routes repeat, and slow links are full for as long as it passes.
        """
        if not self._config_packed:
            self._config_packed = zlib.compress(self._config_data)
        return self._config_packed

    async def run(self):
        """Ask one peer after the other until cancelled."""
        try:
            while True:
                beat()
                self.freshness.log_change()
                self._drop_lapsed()
                for address in self._next_sources():
                    # Not awaited: one that is cut off would hold up the next.
                    if len(self._asks) < ASKS_AT_ONCE:
                        self._asks.spawn(self.ask(address))
                await asyncio.sleep(POLL_INTERVAL)
        finally:
            self._asks.cancel()

    def _next_sources(self):
        """Return the addresses of the peers that are asked next.

        One that has a question to answer is asked again only if there is no
        other.
        """
        sources = self._sources()
        free = [peer for peer in sources if not self._asked[peer]]
        count = ASKS_WHEN_AGING if self.freshness.aging else 1
        return (free or sources)[:count]

    def _sources(self):
        """Return the addresses of peers that may know something new.

        They are shuffled; any will do while no follower is known.
        """
        ready = [address_of(peer) for peer in self._members.ready_peers()]
        duty = store_watchers(self._members)
        follow = [peer for peer in ready if peer in duty]
        if follow and not self.freshness.aging:
            return follow
        sources = follow + [peer for peer in ready if peer not in duty]
        return sources or self._silent_sources(duty)

    def _silent_sources(self, duty):
        """Return the addresses of peers though none seems alive.

        It may be the own link that was silent, and nobody else asks for it.
        """
        known = {*duty, *self._members.seeds, *self._members.listed}
        known.discard(self._address)
        return random.sample(sorted(known), len(known))

    async def ask(self, address, timeout=ASK_TIMEOUT):
        """Ask the peer at an address for what it has newer.

        :param timeout: longest wait in seconds
        """
        has = NO_LIST if self._list_wanted else self.upstreams.version
        seconds = self.loads.advance_poll_window() if self.loads else 0.0
        ask = ViewAsk(
            self._version,
            has[0],
            self._address,
            self._clock.wall(),
            round(1000 * seconds),
            self.crashes.build_poll() if self.crashes else SuspectNews(0, []),
            self.limits.rows() if self.limits else [],
            has[1],
        )
        asked_at = self._clock.steady()
        self._asked[address] += 1
        try:
            give = await self._peers.call(
                address, ask, timeout, repeatable=True
            )
        except PeerError as error:
            LOG.debug("views_unread", peer=address, error=str(error))
            self._congestion.record_timeout(self._clock.steady() - asked_at)
            return
        finally:
            self._asked[address] -= 1
        if not isinstance(give, ViewGive):
            return
        self.freshness.record_peer_answer(
            asked_at, give.store_age / 1000, give.steady / 10
        )
        # Without the time in which a silent connection was found out.
        self._congestion.record_round_trip(self._peers.last_trip(address))
        self._clocks.observe(address, give.wall)
        for note in give.notes:
            self.loads.apply(note)
        if self.crashes is not None:
            self.crashes.receive_answer(give.suspects)
        if self.limits is not None:
            self.limits.merge(give.limits, address)
        if give.config_data:
            self._take_packed_config(give.config_data, address)
        if give.upstream_data:
            self._take_packed_list(give.upstream_data, address)
        if self.on_answer is not None:
            self.on_answer()
        if self._has(give):
            self.freshness.confirm(asked_at - give.age / 1000, address)

    def _has(self, give):
        """Return whether all that a peer knew is known here."""
        upstreams = (give.upstreams, give.step)
        newest = upstreams <= self.upstreams.version
        config = give.config <= self._version
        return newest and config and not self._list_wanted

    def _take_packed_list(self, packed, address):
        """Take over what a peer says has changed."""
        try:
            delta = UpstreamDelta.unpack(packed)
        except MessageError as error:
            LOG.error("upstreams_unreadable", error=str(error))
            return
        whole = delta.base == NO_LIST and self._list_wanted
        if delta.version < self.upstreams.version:
            return
        if delta.version == self.upstreams.version and not whole:
            return
        upstreams = delta.apply(self.upstreams)
        if upstreams is None:
            return
        # Peers may have concluded different things from the same revision.
        self._list_wanted = upstreams.digest != delta.digest
        if self._list_wanted:
            LOG.info("upstreams_differ", version=delta.version, peer=address)
        self._take_list(upstreams, address)

    def _take_packed_config(self, packed, address):
        """Take over a configuration that a peer handed on."""
        try:
            data = zlib.decompress(packed)
        except zlib.error as error:
            LOG.error("config_unreadable", source=address, error=str(error))
            return
        self.apply_config(data, address)
