"""The gateway: creates its components, connects, starts and stops them."""

import asyncio
import functools

import structlog

from ..clock import SystemClock
from ..diversion import Diversion
from ..diversion import LinkReadiness
from ..diversion import PeerUse
from ..incarnation import new_incarnation
from ..incarnation import NOTICES_PROTOCOL
from ..membership import Membership
from ..membership import MembershipLoop
from ..membership.members import LEAVING
from ..membership.members import READY
from ..notices import LONGEST_LIMIT_SECONDS
from ..paths import RelayPeers
from ..paths import UpstreamLinks
from ..peers import PeerClient
from ..prepaid import BudgetKeeper
from ..prepaid import FleetClocks
from ..schema import messages
from ..schema.settings import MembershipSettings
from ..supervision import Supervisor
from ..tasks import TaskSet
from ..tunnels import TunnelClient
from ..tunnels import TunnelServer
from ..web import HttpClient
from ..web import HttpServer
from ..web.connector import DirectConnector
from ..web.connector import Keepalive
from ..web.server import HttpLimits
from ..wire import PeerServer
from .admission_control import AdmissionControl
from .answer_ends import AnswerEnds
from .blocklist import Blocklist
from .bounds import BoundLog
from .caller_diversion import CallerDiversion
from .choice import NearestChoice
from .choice import PrefixChoice
from .cold_starts import ColdStarts
from .congestion import CongestionDetector
from .connection_shares import ConnectionShares
from .connection_shares import CountingConnector
from .crash_guard import CrashGuard
from .engine_speeds import EngineSpeeds
from .exchange import Exchange
from .fingerprint import Fingerprints
from .forwarder import Forwarder
from .health import HealthServer
from .job import Admission
from .link_monitor import LinkMonitor
from .link_sharing import LinkSharing
from .load_sync import LoadSync
from .metrics import GatewayMetrics
from .migrations import Migrations
from .notices import UpstreamNotices
from .own_link import OwnLink
from .part_trials import PartTrials
from .path_connector import PathConnector
from .pool import UpstreamPool
from .prefix_map import PrefixMap
from .rate_limits import RateLimits
from .refusals import Refusals
from .replica_state import ReplicaState
from .retry_allowances import RetryAllowances
from .settings import split_address
from .speed_choice import SpeedChoice
from .state_exchange import StateExchange
from .stopping import GracefulStop
from .store_watchers import FULL_MESH_LIMIT
from .store_watchers import update_recipients
from .stream_sync import StreamSync
from .version_record import StoredVersions
from .views import Views

LOG = structlog.get_logger(__name__)

# Time-out in seconds for connecting to an upstream: a hundred round trips
# within a region, and much shorter than any objective.
CONNECT_TIMEOUT = 0.3
# Heartbeats.  A killed router is detected after about 3 s; until then calls to
# it fail at once.  The intervals keep the traffic between data centres low,
# since it is billed.
MEMBERSHIP = {
    "interval": 0.8,
    "fanout": 1,
    "entries": 24,
    "suspect_after": 3.0,
    "forget_after": 60.0,
    "list_interval": 10.0,
}
# Maximum seconds between two heartbeats of a supervised loop.  Loops that
# watch the store, for up to 21 s at a time, or read it periodically have a
# longer limit.
LOOP_TIMEOUT = 10.0
STORE_LOOP_TIMEOUT = 30.0
# Seconds between two checks whether the gateway can become ready.
READY_POLL = 0.02
# Seconds between two rounds of polls to seeds at the start.
SEED_PAUSE = 0.1
# Time-out of such a poll in seconds.
SEED_TIMEOUT = 0.5
# Seconds between two checks whether all requests are finished.
STOP_POLL = 0.05
# Maximum wait in seconds for partially received requests once all accepted
# ones are finished.
STOP_READ_TIMEOUT = 0.5
# Maximum wait in seconds after the cut-off for answers that are being sent.
STOP_WRITE_TIMEOUT = 0.1


class Gateway:
    """A gateway instance.

    :param settings: GatewaySettings
    :param dialect: a Dialect
    :param store: a TransactionStore for budgets
    :param directory: a Directory of routers
    :param sources: objects whose ``run(views)`` updates the Views
    :param decode: function from the bytes of a configuration to a
        RoutingTable
    :param clock: a Clock, by default the system's
    """

    def __init__(
        self, settings, dialect, store, directory, sources, decode, clock=None
    ):
        self.settings = settings
        self.dialect = dialect
        self.clock = clock or SystemClock()
        self.metrics = GatewayMetrics()
        self._sources = sources
        self._store = store
        self._tasks = TaskSet()
        self._loops = Supervisor(self._tasks, self.clock, self._count_restart)
        self._build_peers(settings, store, directory, decode)
        self._build_paths(settings)
        self._build_forwarding(settings)

    def _build_peers(self, settings, store, directory, decode):
        incarnation = new_incarnation(settings.region, settings.peers)
        self.incarnation = incarnation
        own, _port = split_address(settings.peers)
        self._peers = PeerClient(incarnation, settings.secret, None, own)
        self._peer_server = PeerServer(self._answer_peer, settings.secret)
        membership = MembershipSettings(MEMBERSHIP)
        self.members = Membership(
            incarnation, settings.data_centre, membership, self.clock
        )
        self.members.set_seeds(settings.seeds)
        self._membership = MembershipLoop(
            self.members,
            self._peers,
            directory,
            membership,
            lambda instances: None,
        )
        clocks = FleetClocks(self.clock)
        self.congestion = CongestionDetector(self.clock)
        self._views = Views(
            decode,
            self.members,
            self._peers,
            settings.peers,
            self.clock,
            clocks,
            self.congestion,
        )
        self._views.on_table = self._apply_table
        self._views.on_upstreams = self._apply_upstreams
        self._views.push = self._peer_server.tell
        self._peers.on_told = self._handle_pushed
        self.budgets = BudgetKeeper(
            incarnation,
            store,
            self._peers,
            self.members,
            self.clock,
            clocks,
        )

    def _build_paths(self, settings):
        """Create what opens connections to upstreams, and to relay them."""
        keepalive = Keepalive()
        own, _port = split_address(settings.peers)
        self.connections = ConnectionShares(self, self.clock, self.metrics)
        direct = CountingConnector(
            DirectConnector(CONNECT_TIMEOUT, keepalive),
            self.connections.counts,
        )
        self.links = UpstreamLinks()
        self._own_link = OwnLink(direct, self.links, self)
        relays = RelayPeers(settings.data_centre)
        self._connector = PathConnector(
            self._own_link,
            self.links,
            relays,
            TunnelClient(self.incarnation, settings.secret, keepalive, own),
            self.members,
            self.metrics,
        )
        self.client = HttpClient(
            keepalive=keepalive, connector=self._connector
        )
        self._own_link.client = self._connector.client = self.client
        self.tunnels = TunnelServer(self._own_link, keepalive, self.members)
        self._link_monitor = LinkMonitor(
            self._own_link,
            self.links,
            self.client,
            self.congestion,
            self.tunnels,
            relays,
        )
        self._connector.on_ended = self._link_monitor.verify
        self._peer_server.on_tunnel = self.tunnels.serve

    def _build_forwarding(self, settings):
        # A fault that stalled a connection to a peer may have stalled those to
        # upstreams, where a request would have to wait for its time-out.
        self._peers.on_silence = self.client.doubt
        recipients = functools.partial(
            update_recipients, self.members, settings.peers
        )
        self.limits = self._views.limits = RateLimits(
            self._peers,
            self.members,
            recipients,
            settings.peers,
            self.clock,
            self.metrics,
        )
        self.cold = ColdStarts(self, settings.peers, self.clock, self.metrics)
        self.streams = StreamSync(
            self._peers,
            self.members,
            settings.peers,
            self.clock,
            self.metrics,
        )
        self._stored_versions = StoredVersions(
            self._store,
            self.streams.history,
            self.members,
            settings.peers,
            self.clock,
        )
        self.streams.on_versions = self._stored_versions.schedule
        self.retries = RetryAllowances(
            settings,
            self.incarnation,
            self._store,
            self._peers,
            self.members,
            self.clock,
            self.metrics,
        )
        self.pool = UpstreamPool(self._views.evacuations)
        self.notices = self._views.notices = UpstreamNotices(
            self.dialect,
            self.limits,
            self.pool,
            self._peers,
            self.members,
            recipients,
            settings.peers,
            self.clock,
            self.metrics,
            self._own_link.ask_health,
            self._tell_tunnel_users,
        )
        self.exchange = Exchange(
            self.client, self.dialect, self.clock, self.notices
        )
        fingerprints = Fingerprints(settings.secret)
        self.admission = Admission(self.dialect, fingerprints)
        self.crashes = CrashGuard(
            self.pool,
            self.client,
            self._peers,
            recipients,
            settings.peers,
            self.clock,
            self.metrics,
            PartTrials(self._store, self.clock, self.metrics),
            self._connector.confirms_crash,
        )
        self._views.suspect_sync = self.crashes.sync
        self._blocklist = Blocklist(
            self._store,
            self.crashes,
            self.members,
            settings.peers,
            self.clock,
        )
        self.crashes.on_blocklist_change = self._blocklist.on_blocked
        self.crashes.on_blocked_answered = self._blocklist.on_blocked_answered
        self.refusals = Refusals(self.clock, lambda: self.large_fleet)
        self.state = StateExchange(self._peers, self.members, settings.peers)
        link_peers = PeerUse(settings.data_centre)
        spreads = settings.refused_callers_retry
        self.diversion = Diversion(
            settings.link_rate if spreads else 0.0, link_peers
        )
        self.readiness = LinkReadiness(0.0 if spreads else settings.link_rate)
        self._full = False
        self.callers = CallerDiversion(self, self._tasks)
        self.state.add(
            LinkSharing(
                self.diversion, link_peers, settings.data_centre, self.clock
            )
        )
        self.admission_control = AdmissionControl(self)
        self.state.add(self.admission_control.sync)
        self.stopping = GracefulStop(self.members, self.clock)
        self.ends = AnswerEnds(self, self._peers)
        self.migrations = Migrations(self, settings)
        self.notices.on_leaving = self.migrations.move_leaving
        self.forwarder = Forwarder(self)
        self.crashes.on_blocked = self.forwarder.abort
        self._prefixes = prefixes = PrefixMap()
        self._prefix_choice = PrefixChoice(settings.data_centre, prefixes)
        self._speed_choice = SpeedChoice(settings.data_centre, prefixes)
        self.speeds = EngineSpeeds(
            self.pool, self.clock, self.metrics, lambda: self.large_fleet
        )
        self.state.add(self.speeds)
        self.replicas = ReplicaState(self, self.clock)
        self.state.add(self.replicas)
        self._nearest_choice = NearestChoice(
            settings.data_centre, self.replicas
        )
        self.loads = self._views.loads = LoadSync(
            self.pool,
            prefixes,
            self._peers,
            self.members,
            settings.peers,
            self.clock,
        )
        self._limits = HttpLimits()
        self._server = HttpServer(
            self.forwarder.handle, self._refuse, self._limits
        )
        self._server.admits = self.callers.admit_connection
        self.callers.server = self._server
        self._health = HealthServer(self)
        self._build_bounds()

    def _build_bounds(self):
        """Let all that receives answers report what is beyond a bound."""
        self.bounds = bounds = BoundLog(self.metrics)
        self.client.on_exceeded = bounds.record
        self._own_link.on_exceeded = bounds.record
        self._store.on_exceeded = bounds.record
        self._peers.on_exceeded = bounds.record_peer
        self._peer_server.on_exceeded = bounds.record_peer
        self._server.on_stalled = bounds.record_stalled

    # Views

    @property
    def views(self):
        """Return the Views."""
        return self._views

    @property
    def table(self):
        """Return the active RoutingTable, or None."""
        return self._views.table

    @property
    def upstreams(self):
        """Return the active UpstreamList."""
        return self._views.upstreams

    @property
    def ready(self):
        """Return whether the router accepts new callers.

        A router that lost one of its loops would route by increasingly stale
        views.
        """
        if self._loops.failing or self._views.freshness.stale:
            return False
        return self.members.own_entry.state == READY

    @property
    def large_fleet(self):
        """Return whether what only pays in a large fleet is used.

        Up to FULL_MESH_LIMIT other routers, each hears of all long prompts.
        """
        if self.settings.large_fleet is not None:
            return self.settings.large_fleet
        return len(self.members.addresses) > FULL_MESH_LIMIT + 1

    def is_full(self):
        """Return whether the router is not ready as its link fills up.

        Without peers its callers could go nowhere.  Changes are logged.
        """
        now = self.clock.steady()
        active = self.readiness.is_active(now)
        # Known peers count, alive or not: on a full link none seems alive.
        full = active and self.members.knows_peers
        if full is not self._full:
            self._full = full
            share = round(self.readiness.share(now), 2)
            LOG.info(
                "callers_diverted" if full else "callers_welcome",
                link_share=share,
            )
        return full

    def is_diverting(self):
        """Return whether callers are left to other routers now."""
        return self.is_full() or self.callers.diverting

    def loop_silences(self):
        """Return the seconds since the last heartbeat, by loop."""
        return self._loops.silences()

    def choice(self, engine):
        """Return the Choice of upstreams for an engine or a plain service."""
        if not engine:
            return self._nearest_choice
        if self.speeds.exceeds_own_estimates:
            return self._speed_choice
        return self._prefix_choice

    def unread(self, state, job, now):
        """Return the prompt tokens of a job that an engine has not cached."""
        return self.choice(True).uncached_tokens(state, job, now)

    def _apply_table(self, table):
        limits = table.limits
        self._limits.head = limits.head
        self._limits.body = limits.body
        self._limits.head_timeout = limits.head_timeout
        self._limits.body_timeout = limits.head_timeout
        self._limits.idle_timeout = limits.idle_timeout
        totals = {
            item.name: item.prepaid
            for item in table.organisations.values()
            if item.prepaid is not None
        }
        self.budgets.set_totals(totals, table.version)

    def _apply_upstreams(self, upstreams):
        listed = upstreams.upstreams.values()
        # Before the pool asks what is known of runs that are new to it.
        self.notices.retain(listed)
        restarted = self.pool.update(upstreams.upstreams, self.notices)
        for name in restarted:
            self._prefixes.remove_engine(name)
            self.links.forget(upstreams.upstreams[name].address)
            LOG.info("upstream_restarted", upstream=name)
        self.speeds.update()
        self.connections.update(listed)
        self.replicas.retain(listed)
        self.streams.update(listed)
        names = {upstream.run.name for upstream in listed}
        self.limits.retain(names)
        self.cold.retain(names)
        self.migrations.move_leaving()

    # Peers

    @functools.cached_property
    def _handlers(self):
        """Return the function that handles a peer's message, by its type."""
        return {
            messages.Gossip: self.members.receive,
            messages.ViewAsk: self._views.handle,
            messages.UpstreamNews: self._views.handle_update,
            messages.LoadNote: self.loads.receive,
            messages.SuspectNews: self.crashes.sync.receive,
            messages.SuspectRun: self.crashes.sync.receive_run,
            messages.PlacementAsk: self._answer_operator,
            messages.BlockedAsk: self.crashes.answer_operator,
            messages.LimitNews: self.limits.receive,
            messages.LeaveNews: self.notices.receive,
            messages.BackoffNews: self.notices.receive_backoff,
            messages.PermitAsk: self.limits.grant,
            messages.RetryPermitAsk: self.retries.lend,
            messages.StreamNews: self.streams.receive,
            messages.StreamAsk: self.streams.answer,
            messages.StateReport: self.state.answer,
            messages.EndAsk: self.ends.answer,
            messages.RelayLeaving: self._handle_relay_leaving,
            messages.RelayBackoff: self._handle_relay_backoff,
        }

    async def _answer_peer(self, message):
        handle = self._handlers.get(type(message), self.budgets.handle)
        return handle(message)

    def _handle_pushed(self, message):
        """Handle a message that a polled peer pushed."""
        handle = self._handlers.get(type(message))
        if handle is None:
            LOG.error("peer_told_unknown", kind=type(message).__name__)
            return
        handle(message)

    def _answer_operator(self, _message):
        evacuations = self._views.evacuations
        return messages.Placement(
            evacuations.revision,
            sorted(evacuations.data_centres),
            evacuations.unreadable,
            self.cold.rows(),
        )

    def _handle_relay_leaving(self, message):
        self._connector.drop_relay(message.sender)

    def _handle_relay_backoff(self, message):
        seconds = min(LONGEST_LIMIT_SECONDS, message.seconds)
        self._connector.avoid_tunnels(message.sender, message.address, seconds)

    # Callers

    async def _refuse(self, responder, error):
        LOG.info("request", outcome=error.kind.value, why=error.detail)
        responder.closing = True
        await self.refusals.send(responder, error)

    # Start and stop

    async def start(self):
        """Listen, and become ready once the views are known."""
        own = self.settings
        await self._peer_server.start(*split_address(own.peers))
        await self._health.start(own.health)
        await self._server.start(*split_address(own.callers))
        self._start_loops()
        self._tasks.spawn(self._ask_seeds())
        self._tasks.spawn(self._become_ready())
        LOG.info("gateway_started", incarnation=self.incarnation)

    def _start_loops(self):
        """Start the loops that must run as long as this router serves."""
        for source in self._sources:
            run = functools.partial(source.run, self._views)
            name = type(source).__name__
            self._loops.start(name, run, STORE_LOOP_TIMEOUT)
        run = self._membership.run_heartbeats
        self._loops.start("heartbeats", run, LOOP_TIMEOUT)
        run = self._membership.run_list
        self._loops.start("router_list", run, STORE_LOOP_TIMEOUT)
        self._loops.start("views", self._views.run, LOOP_TIMEOUT)
        self._loops.start("budgets", self.budgets.run, LOOP_TIMEOUT)
        self._loops.start("suspects", self.crashes.run, LOOP_TIMEOUT)
        self._loops.start("retries", self.retries.run, STORE_LOOP_TIMEOUT)
        self._loops.start("blocklist", self._blocklist.run, LOOP_TIMEOUT)
        self._loops.start("versions", self._stored_versions.run, LOOP_TIMEOUT)
        self._loops.start("links", self._link_monitor.run, LOOP_TIMEOUT)
        self._loops.start("notices", self.notices.run, LOOP_TIMEOUT)
        self._loops.start("state", self.state.run, LOOP_TIMEOUT)

    def _count_restart(self, loop):
        self.metrics.loop_restarts.inc({"loop": loop})

    async def _ask_seeds(self):
        """Poll the seeds until the views are known."""
        while not self._has_initial_views and self.settings.seeds:
            for address in self.settings.seeds:
                if address != self.settings.peers:
                    await self._views.ask(address, SEED_TIMEOUT)
            await asyncio.sleep(SEED_PAUSE)

    @property
    def _has_initial_views(self):
        return self.table is not None and self.upstreams.revision > 0

    async def _become_ready(self):
        while not self._has_initial_views:
            await asyncio.sleep(READY_POLL)
        if not self.stopping.begun:
            self.members.set_state(READY)
            LOG.info("gateway_ready", config=self.table.version)

    def reload(self, settings):
        """Apply settings that may change while running: the seeds."""
        self.settings.seeds = settings.seeds
        self.members.set_seeds(settings.seeds)
        LOG.info("settings_reloaded", seeds=settings.seeds)

    async def stop(self):
        """Shut down: finish the requests, and hand off the tokens."""
        self.stopping.begin(self.settings.stop_grace)
        self.members.set_state(LEAVING)
        self._server.drain()
        self._end_tunnels()
        self.streams.hand_off()
        self.forwarder.bound_open()
        LOG.info("gateway_stopping", busy=self._server.busy)
        self.budgets.withhold(self.stopping.remaining_tokens)
        await self._hand_off()
        await self._finish_requests()
        self.stopping.close()
        self.budgets.withhold({})
        await self._hand_off()
        await self._server.finish(self._read_timeout(), self._time_to_cutoff)
        LOG.info(
            "gateway_stopped",
            busy=self._server.busy,
            cut=self.stopping.cut,
            refused=self.stopping.refused,
        )
        await self.close()

    def _tell_tunnel_users(self, address, seconds):
        """Tell the users of tunnels to an upstream to use them no more.

        :param address: its address
        :param seconds: for how long
        """
        for peer in self.tunnels.callers_of(address):
            if self.members.speaks(peer, NOTICES_PROTOCOL):
                message = messages.RelayBackoff(
                    address, seconds, self.incarnation
                )
                self._peers.tell([peer], message)

    def _end_tunnels(self):
        """Open no more tunnels, and tell the users of the open ones."""
        self.tunnels.closing = True
        message = messages.RelayLeaving(self.incarnation)
        for peer in self.tunnels.callers:
            self._peer_server.tell(peer, message)

    async def _hand_off(self):
        """Hand off tokens; an error must not interrupt answers in flight."""
        try:
            await self.budgets.hand_off()
        except Exception:
            LOG.exception("hand_over_failed")

    async def _finish_requests(self):
        """Wait until all accepted and relayed requests are answered.

        What is unfinished at the cut-off is cut off.
        """
        while not self.stopping.finished or self.tunnels.count:
            if (
                self.clock.steady()
                >= self.stopping.cutoff_at + STOP_WRITE_TIMEOUT
            ):
                return
            if not self.stopping.deregistering:
                self._server.close_idle()
            await asyncio.sleep(STOP_POLL)

    @property
    def _time_to_cutoff(self):
        return self.stopping.cutoff_at - self.clock.steady()

    def _read_timeout(self):
        return max(
            STOP_WRITE_TIMEOUT, min(STOP_READ_TIMEOUT, self._time_to_cutoff)
        )

    async def close(self):
        """Close all connections and stop all tasks at once."""
        self._tasks.cancel()
        self.crashes.close()
        self.retries.close()
        self.streams.close()
        self.migrations.close()
        await self._server.close()
        await self._health.close()
        await self._peer_server.close()
        self._peers.close()
        self._connector.close()
        self._own_link.close()
        self.client.close()
