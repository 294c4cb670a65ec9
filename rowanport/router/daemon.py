"""The router: builds its parts, connects them, starts and stops them."""

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
from ..web.client import Keepalive
from ..wire import PeerServer
from ..wire import Traffic
from .callers import CallerServer
from .chat import ChatRunner
from .operators import OperatorServer
from .service import ServiceRunner

LOG = structlog.get_logger(__name__)
ENGINE = "engine"
SERVICE = "service"
LEAVING_NOTE_SECONDS = 10.0
NOTE_TIMEOUT = 1.0
LEAVING_FANOUT = 8
STOP_POLL = 0.05
# Longest wait in seconds, at the end of a stop, for requests that came in
# part and for refusals that are going out.
LAST_READS = 0.5
STORE_GRACE = 5.0
# An upstream whose host is gone is noticed after 30 s.
UPSTREAM_KEEPALIVE = Keepalive(idle=10, interval=5, probes=4)
CANCEL_GRACE = 5.0


class Router:
    """One router instance.

    :param settings: Settings
    :param clock: a Clock
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
        self._build_fronts(settings)

    # Building

    def _build_platform(self, settings):
        platform = settings.platform
        name = settings.router.name
        self._http = HttpClient()
        # Answers are waited for through pauses, so that only the kernel
        # finds an upstream whose host is gone.
        self._upstream_http = HttpClient(keepalive=UPSTREAM_KEEPALIVE)
        self.store = KeyValueStore(
            self._http, platform.store, name, platform.call_timeout
        )
        self.directory = InstanceDirectory(
            self._http, platform.store, name, platform.call_timeout
        )
        self._allowance = WriteLimiter(platform.writes_per_second)

    def _build_peers(self, settings):
        secret = settings.router.secret
        own = settings.router.address
        self.peers = PeerClient(self.incarnation, secret, self.traffic, own)
        self._peer_server = PeerServer(self._answer, secret, self.traffic)
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
            self._take_list,
            # Its runs are settled now, not once its heartbeats are missed.
            self.members.suspect_address,
        )
        self.config = ConfigFollower(
            self.store, self.peers, self.members, self._take_config
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
            self._allowance,
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
            self._allowance,
            self.clock,
        )

    def _build_fronts(self, settings):
        timeout = settings.scheduling.upstream_timeout
        self._engines = EngineClient(self._upstream_http, timeout)
        services = ServiceClient(self._upstream_http, timeout)
        self.chat = ChatRunner(self, self._engines)
        self.service = ServiceRunner(self, services)
        self.callers = CallerServer(self, settings)
        self._operators = OperatorServer(self, settings)

    # Groups and facts

    def group(self, name):
        """Return the GroupScheduler of an upstream group."""
        return self._groups[name]

    def groups(self):
        """Return all GroupSchedulers by name."""
        return self._groups

    def engine_group(self, name):
        """Return the GroupRecord of a model; raise RequestError if none."""
        return self._find_group(name, ENGINE)

    def service_group(self, name):
        """Return the GroupRecord of a service; raise RequestError if none."""
        return self._find_group(name, SERVICE)

    def _find_group(self, name, kind):
        group = self.config.snapshot.groups.get(name)
        if group is None or group.kind != kind:
            raise RequestError(
                ErrorKind.UNKNOWN_GROUP, f"no {kind} group {name!r}"
            )
        return group

    def facts(self, call, group, cost, size):
        """Return what a policy may know of a request."""
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

    # Changes from outside

    def _take_config(self, snapshot):
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
            group.pump()

    def _take_list(self, instances):
        self._listed_leaving = frozenset(
            instance.address
            for instance in instances
            if instance.state == LISTED_LEAVING
        )
        for group in self._groups.values():
            group.pool.set_leaving(self._listed_leaving)

    def note_leaving(self, address):
        """Stop giving new work to an upstream; say whether that is news."""
        until = self.clock.wall() + LEAVING_NOTE_SECONDS
        return any(
            group.pool.note_leaving(address, until)
            for group in self._groups.values()
        )

    def spread_leaving(self, address):
        """Note a leaving upstream and tell others if it is news.

        Each tells some, who tell some: all of the fleet hears of it.
        """
        if not self.note_leaving(address):
            return
        LOG.info("upstream_leaving", upstream=address)
        until = self.clock.wall() + LEAVING_NOTE_SECONDS
        note = messages.LeavingNote(address, until)
        for peer in self.members.some(LEAVING_FANOUT):
            self._tasks.spawn(self._tell(address_of(peer), note))

    async def _tell(self, address, message):
        try:
            await self.peers.call(address, message, NOTE_TIMEOUT)
        except PeerError:
            pass

    # Peers

    async def _answer(self, message):
        """Answer a message of a peer."""
        if isinstance(message, messages.Gossip):
            return self.members.receive(message)
        if isinstance(message, messages.ConfigAsk):
            return self.config.handle(message)
        if isinstance(message, (messages.Claim, messages.ClaimEnd)):
            return await self.claims.handle(message)
        if isinstance(message, (messages.Witness, messages.WitnessEnd)):
            return self.ledger.handle(message)
        if isinstance(message, messages.Started):
            return await self._answer_started(message)
        if isinstance(message, messages.StatusAsk):
            status = json.dumps(self._operators.status()).encode()
            return messages.StatusGive(status)
        if isinstance(message, messages.LeavingNote):
            self.spread_leaving(message.upstream)
            return messages.Ack()
        return await self.keeper.handle(message)

    async def _answer_started(self, message):
        """Record where a run goes, as its witness or as its home."""
        answer = self.ledger.handle(message)
        if isinstance(answer, messages.Ack):
            return answer
        return await self.keeper.handle(message)

    async def _resolve(self, reservation):
        """Return run and tokens of a dead entry's run once it has ended.

        :raises RunUnknown: its upstream answers that it has no such run
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

    # Loops

    async def _run_load(self):
        """Read the engines' loads in turn, a bounded number a second.

        So the cost does not grow with the engines; a leaving one is noticed
        by some router soon, and the others are told.
        """
        pause = 1.0 / self.settings.scheduling.load_reads
        waiting = []
        while True:
            if not waiting:
                waiting = self._engine_addresses()
                random.shuffle(waiting)
            if waiting:
                self._tasks.spawn(self._read_load(*waiting.pop()))
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

    async def _read_load(self, group, address):
        try:
            waiting, leaving = await self._engines.load(address)
        except UpstreamError:
            return
        group.pool.note_load(address, waiting)
        if leaving:
            self.spread_leaving(address)

    async def _run_sizes(self):
        """Follow the number of live routers that share limits."""
        while True:
            count = len(self.members.live())
            self._allowance.set_router_count(count)
            self.metrics.live_routers.set({}, count)
            for group in self._groups.values():
                group.pool.set_routers(count)
                group.lane.shed(group.pool.slots())
                group.pump()
            await asyncio.sleep(0.5)

    # Start and stop

    @property
    def ready(self):
        """Return whether callers may come."""
        return self.members.own_entry.state == READY

    async def start(self):
        """Listen, and become ready once a configuration is in force."""
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
            self._run_load(),
            self._run_sizes(),
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
        """Stop: no new work, finish streams, give back grants and claims.

        :param at_once: event that ends the wait for open streams
        """
        self.stopping = True
        self.members.set_state(LEAVING)
        LOG.info("router_stopping", streams=self.callers.busy)
        deadline = self.clock.wall() + self.settings.router.stop_grace
        await self._finish_requests(at_once, deadline)
        await self.callers.close()
        cancelled = self.clock.wall() + CANCEL_GRACE
        while self._closing and self.clock.wall() < cancelled:
            await asyncio.sleep(STOP_POLL)
        await self._give_back(deadline)
        await self.close()
        LOG.info("router_stopped")

    async def _finish_requests(self, at_once, deadline):
        """Wait for open requests; all that come meanwhile are refused."""
        self.callers.drain()
        while self.callers.busy and self.clock.wall() < deadline:
            if at_once.is_set():
                return
            await asyncio.sleep(STOP_POLL)
        left = deadline - self.clock.wall()
        await self.callers.finish(max(0.0, min(LAST_READS, left)))

    @property
    def _closing(self):
        return self.chat.closing + self.service.closing

    async def _give_back(self, deadline):
        deadline = max(deadline, self.clock.wall() + STORE_GRACE)
        while self.ledger.unsettled and self.clock.wall() < deadline:
            await asyncio.sleep(STOP_POLL)
        clean = await self.keeper.stop(deadline)
        clean = await self.claims.stop(deadline) and clean
        if not clean:
            LOG.warning("router_stopped_with_grants")

    async def close(self):
        """Drop everything at once."""
        self._tasks.cancel()
        await self.callers.close()
        await self._operators.close()
        await self._peer_server.close()
        self.peers.close()
        self._http.close()
        self._upstream_http.close()
