"""The router: builds its components, connects, starts and stops them."""

import asyncio
import json
import random

import structlog

from .. import metrics
from ..claims import ClaimKeeper
from ..clock import SystemClock
from ..config import ConfigFollower
from ..errors import ErrorKind
from ..errors import PeerError
from ..errors import RequestError
from ..errors import UpstreamError
from ..hashing import new_id
from ..incarnation import address_of
from ..incarnation import new_incarnation
from ..ledger import LedgerKeeper
from ..ledger import ReservationBook
from ..ledger.client import LedgerClient
from ..ledger.orphans import RunUnknown
from ..ledger.write_limiter import WriteLimiter
from ..membership import Membership
from ..membership import MembershipLoop
from ..membership.members import LEAVING
from ..membership.members import READY
from ..pauses import PauseDetector
from ..peers import PeerClient
from ..scheduling import OrganisationLimits
from ..scheduling.group import GroupScheduler
from ..schema import messages
from ..store import InstanceDirectory
from ..store import KeyValueStore
from ..store.directory import LEAVING as LISTED_LEAVING
from ..tasks import TaskSet
from ..upstreams import EngineClient
from ..upstreams import ServiceClient
from ..web import HttpClient
from ..web.connector import Keepalive
from ..wire import PeerServer
from ..wire import Traffic
from .callers import CallerServer
from .chat import ChatRunner
from .operators import OperatorServer
from .service import ServiceRunner

LOG = structlog.get_logger(__name__)
ENGINE = "engine"
SERVICE = "service"
LEAVING_SECONDS = 10.0
NOTIFY_TIMEOUT = 1.0
LEAVING_FANOUT = 8
STOP_POLL = 0.05
# Maximum wait in seconds, at the end of a stop, for requests that are not
# completely read and for refusals that are being sent.
FINISH_SECONDS = 0.5
STORE_GRACE = 5.0
# Detects an upstream whose host is gone after 30 s.
UPSTREAM_KEEPALIVE = Keepalive(idle=10, interval=5, probes=4)
CANCEL_GRACE = 5.0


class Router:
    """One router instance.

    :param settings: Settings
    :param clock: a Clock, by default a SystemClock
    """

    def __init__(self, settings, clock=None):
        self.settings = settings
        self.clock = clock or SystemClock()
        own = settings.router
        address = own.advertised or f"{own.address}:{own.peer_port}"
        self.incarnation = new_incarnation(own.cell, address)
        self.metrics = metrics.Metrics()
        self.pauses = PauseDetector(self.clock)
        self.limits = OrganisationLimits()
        self.traffic = Traffic()
        self._groups = {}
        self._tasks = TaskSet()
        self._listed_leaving = frozenset()
        self.stopping = False
        self._build_platform(settings)
        self._build_peers(settings)
        self._build_ledger(settings)
        self._build_servers(settings)

    # Building

    def _build_platform(self, settings):
        platform = settings.platform
        name = settings.router.name
        self._http = HttpClient()
        # Stalled answers are waited for, so that only TCP keepalive detects an
        # upstream whose host is gone.
        self._upstream_http = HttpClient(keepalive=UPSTREAM_KEEPALIVE)
        self.store = KeyValueStore(
            self._http, platform.store, name, platform.call_timeout
        )
        self.directory = InstanceDirectory(
            self._http, platform.store, name, platform.call_timeout
        )
        self._write_limiter = WriteLimiter(platform.writes_per_second)

    def _build_peers(self, settings):
        secret = settings.router.secret
        own = settings.router.address
        self.peers = PeerClient(self.incarnation, secret, self.traffic, own)
        self._peer_server = PeerServer(
            self._handle_peer_message, secret, self.traffic
        )
        self.members = Membership(
            self.incarnation,
            settings.router.data_centre,
            settings.membership,
            self.clock,
        )
        self._membership = MembershipLoop(
            self.members,
            self.peers,
            self.directory,
            settings.membership,
            self._apply_instance_list,
            # Has the runs of an ended router settled at once, not only when
            # its heartbeats are missed.
            self.members.suspect_address,
        )
        self.config = ConfigFollower(
            self.store, self.peers, self.members, self._apply_config
        )

    def _build_ledger(self, settings):
        self.book = ReservationBook(self.incarnation, new_id)
        self.keeper = LedgerKeeper(
            self.incarnation,
            self.store,
            self.peers,
            self.members,
            self.book,
            settings.ledger,
            self._write_limiter,
            self.clock,
            self.metrics,
            self._resolve,
        )
        self.ledger = LedgerClient(
            self.incarnation,
            self.keeper,
            self.book,
            self.peers,
            self.members,
            settings.ledger,
            self.clock,
            self._resolve,
        )
        self.claims = ClaimKeeper(
            self.incarnation,
            self.store,
            self.peers,
            self.members,
            settings.claims,
            self._write_limiter,
            self.clock,
        )

    def _build_servers(self, settings):
        timeout = settings.scheduling.upstream_timeout
        self._engines = EngineClient(self._upstream_http, timeout)
        services = ServiceClient(self._upstream_http, timeout)
        self.chat = ChatRunner(self, self._engines)
        self.service = ServiceRunner(self, services)
        self.callers = CallerServer(self, settings)
        self._operators = OperatorServer(self, settings)

    # Upstream groups and policy variables

    def group(self, name):
        """Return the GroupScheduler of an upstream group."""
        return self._groups[name]

    def groups(self):
        """Return all GroupSchedulers by name."""
        return self._groups

    def engine_group(self, name):
        """Return the GroupRecord of a model.

        :raises RequestError: no engine group has this name
        """
        return self._find_group(name, ENGINE)

    def service_group(self, name):
        """Return the GroupRecord of a service.

        :raises RequestError: no service group has this name
        """
        return self._find_group(name, SERVICE)

    def _find_group(self, name, kind):
        group = self.config.snapshot.groups.get(name)
        if group is None or group.kind != kind:
            raise RequestError(
                ErrorKind.UNKNOWN_GROUP, f"no {kind} group {name!r}"
            )
        return group

    def facts(self, call, group, cost, size):
        """Return the variables of a request that a policy can use.

        :param cost: worst-case cost in tokens
        :param size: size of the body in bytes
        """
        return {
            "organisation": call.organisation.name,
            "budget": call.budget,
            "group": group,
            "kind": call.kind,
            "repeatable": call.repeatable,
            "stream": False,
            "tokens": cost,
            "max_tokens": 0,
            "body_bytes": size,
            "seconds_left": call.deadline - self.clock.wall(),
            "weight": call.organisation.weight,
        }

    # Configuration and instance list

    def _apply_config(self, snapshot):
        for name in snapshot.groups:
            records = [
                upstream
                for upstream in snapshot.upstreams.values()
                if upstream.group == name
            ]
            group = self._groups.get(name)
            first = group is None
            if first:
                group = GroupScheduler(self.settings.scheduling, self.clock)
                self._groups[name] = group
            group.pool.update(records, first)
            group.pool.set_leaving(self._listed_leaving)
            group.dispatch()

    def _apply_instance_list(self, instances):
        self._listed_leaving = frozenset(
            instance.address
            for instance in instances
            if instance.state == LISTED_LEAVING
        )
        for group in self._groups.values():
            group.pool.set_leaving(self._listed_leaving)

    def mark_leaving(self, address):
        """Stop sending new requests to an upstream for a while.

        :returns: whether it was not known to be leaving
        """
        until = self.clock.wall() + LEAVING_SECONDS
        return any(
            group.pool.note_leaving(address, until)
            for group in self._groups.values()
        )

    def announce_leaving(self, address):
        """Mark an upstream as leaving; notify peers if it was not marked.

        Each notified router notifies others, so that the whole fleet learns
        of it.
        """
        if not self.mark_leaving(address):
            return
        LOG.info("upstream_leaving", upstream=address)
        until = self.clock.wall() + LEAVING_SECONDS
        note = messages.LeavingNote(address, until)
        for peer in self.members.sample_peers(LEAVING_FANOUT):
            self._tasks.spawn(self._notify(address_of(peer), note))

    def record_refusal(self, address, error):
        """Record what an upstream said as it turned a request away.

        :param error: the UpstreamRefused
        """
        if error.leaving:
            self.announce_leaving(address)
        if not error.seconds:
            return
        prolonged = [
            group.pool.note_backoff(address, error.seconds)
            for group in self._groups.values()
        ]
        if any(prolonged):
            LOG.info(
                "upstream_backoff", upstream=address, seconds=error.seconds
            )

    async def _notify(self, address, message):
        try:
            await self.peers.call(address, message, NOTIFY_TIMEOUT)
        except PeerError:
            pass

    # Peers

    async def _handle_peer_message(self, message):
        """Handle a message of a peer and return the answer."""
        if isinstance(message, messages.Gossip):
            return self.members.receive(message)
        if isinstance(message, messages.ConfigAsk):
            return self.config.handle(message)
        if isinstance(message, (messages.Claim, messages.ClaimEnd)):
            return await self.claims.handle(message)
        if isinstance(message, (messages.Witness, messages.WitnessEnd)):
            return self.ledger.handle(message)
        if isinstance(message, messages.Started):
            return await self._handle_started(message)
        if isinstance(message, messages.StatusAsk):
            status = json.dumps(self._operators.status()).encode()
            return messages.StatusGive(status)
        if isinstance(message, messages.LeavingNote):
            self.announce_leaving(message.upstream)
            return messages.Ack()
        return await self.keeper.handle(message)

    async def _handle_started(self, message):
        """Record the upstream of a run, as its witness or as its home."""
        answer = self.ledger.handle(message)
        if isinstance(answer, messages.Ack):
            return answer
        return await self.keeper.handle(message)

    async def _resolve(self, reservation):
        """Return (run id, tokens) of a dead entry's run once it has ended.

        A run past its deadline is cancelled.

        :returns: None if the run goes on or its upstream does not answer
        :raises RunUnknown: the upstream answers that it has no such run
        """
        late = self.clock.wall() > reservation.deadline
        try:
            usage = await self._engines.usage(
                reservation.upstream, reservation.request, cancel=late
            )
        except UpstreamError:
            return None
        if usage is None:
            raise RunUnknown(
                reservation.upstream, self._is_engine(reservation.upstream)
            )
        if usage.finish is None:
            return None
        return usage.run, usage.tokens

    # Background tasks

    async def _poll_loads(self):
        """Poll the engines' loads in random order, at a bounded rate.

        The cost does not grow with the number of engines.  A leaving engine is
        soon noticed by one of the routers, which notifies the others.
        """
        pause = 1.0 / self.settings.scheduling.load_reads
        waiting = []
        while True:
            if not waiting:
                waiting = self._engine_addresses()
                random.shuffle(waiting)
            if waiting:
                self._tasks.spawn(self._poll_load(*waiting.pop()))
            await asyncio.sleep(pause)

    def _is_engine(self, address):
        return any(address == known for _, known in self._engine_addresses())

    def _engine_addresses(self):
        groups = self.config.snapshot.groups
        return [
            (group, upstream.address)
            for name, group in self._groups.items()
            if name in groups and groups[name].kind == ENGINE
            for upstream in group.pool.upstreams()
        ]

    async def _poll_load(self, group, address):
        if group.pool.backs_off(address):
            return
        try:
            waiting, leaving = await self._engines.load(address)
        except UpstreamError:
            return
        group.pool.note_load(address, waiting)
        if leaving:
            self.announce_leaving(address)

    async def _update_router_count(self):
        """Apply the number of live routers to the limits that they share."""
        while True:
            count = len(self.members.live())
            self._write_limiter.set_router_count(count)
            self.metrics.live_routers.set({}, count)
            for group in self._groups.values():
                group.pool.set_routers(count)
                group.lane.shed(group.pool.slots())
                group.dispatch()
            await asyncio.sleep(0.5)

    # Start and stop

    @property
    def ready(self):
        """Return whether this router accepts requests of callers."""
        return self.members.own_entry.state == READY

    async def start(self):
        """Listen, and become ready once a configuration is active."""
        own = self.settings.router
        await self._peer_server.start(own.address, own.peer_port)
        await self._operators.start(own.address, own.operator_port)
        await self.callers.start(own.address, own.caller_port)
        loops = (
            self._membership.run(),
            self.config.run(),
            self.keeper.run(),
            self.ledger.run(),
            self.claims.run(),
            self.pauses.run(),
            self._poll_loads(),
            self._update_router_count(),
            self._become_ready(),
        )
        for loop in loops:
            self._tasks.spawn(loop)
        LOG.info("router_started", incarnation=self.incarnation)

    async def _become_ready(self):
        while not self.config.snapshot.version:
            await asyncio.sleep(STOP_POLL)
        if not self.stopping:
            self.members.set_state(READY)
            LOG.info("router_ready")

    async def stop(self, at_once):
        """Stop: finish open requests, then release grants and claims.

        :param at_once: event that ends the wait for open requests
        """
        self.stopping = True
        self.members.set_state(LEAVING)
        LOG.info("router_stopping", streams=self.callers.busy)
        deadline = self.clock.wall() + self.settings.router.stop_grace
        await self._finish_requests(at_once, deadline)
        await self.callers.close()
        cancelled = self.clock.wall() + CANCEL_GRACE
        while self._ending_runs and self.clock.wall() < cancelled:
            await asyncio.sleep(STOP_POLL)
        await self._release_shards(deadline)
        await self.close()
        LOG.info("router_stopped")

    async def _finish_requests(self, at_once, deadline):
        """Wait for open requests; refuse those that arrive meanwhile."""
        self.callers.drain()
        while self.callers.busy and self.clock.wall() < deadline:
            if at_once.is_set():
                return
            await asyncio.sleep(STOP_POLL)
        left = deadline - self.clock.wall()
        await self.callers.finish(max(0.0, min(FINISH_SECONDS, left)))

    @property
    def _ending_runs(self):
        return self.chat.ending_runs + self.service.ending_runs

    async def _release_shards(self, deadline):
        """Wait for open bills, then release grants and write claims."""
        deadline = max(deadline, self.clock.wall() + STORE_GRACE)
        while self.ledger.unsettled and self.clock.wall() < deadline:
            await asyncio.sleep(STOP_POLL)
        clean = await self.keeper.stop(deadline)
        clean = await self.claims.stop(deadline) and clean
        if not clean:
            LOG.warning("router_stopped_with_grants")

    async def close(self):
        """Close all connections and end all tasks without waiting."""
        self._tasks.cancel()
        await self.callers.close()
        await self._operators.close()
        await self._peer_server.close()
        self.peers.close()
        self._http.close()
        self._upstream_http.close()
