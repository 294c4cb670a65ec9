"""Reserves tokens for requests and settles them, at the entry router."""

import asyncio

import structlog

from ..errors import ErrorKind
from ..errors import PeerError
from ..incarnation import address_of
from ..incarnation import incarnation_of
from ..schema.messages import Ack
from ..schema.messages import Refused
from ..schema.messages import Started
from ..schema.messages import Witness
from ..tasks import TaskSet
from .orphans import log_resolved
from .orphans import OrphanResolver
from .reserver import PROBE_AFTER
from .reserver import PROBE_TIMEOUT
from .reserver import Reserver
from .unsettled import item_of_open_reservation
from .witness_client import WitnessClient

LOG = structlog.get_logger(__name__)
SETTLE_TIMEOUT = 30.0
SETTLE_RETRY_INTERVAL = 0.2
# Seconds between attempts to send a release to an unresponsive home router, so
# that a dead one is not called in a tight loop.
RELEASE_RETRY_INTERVAL = 1.0
SHORT_TIMEOUT = 1.0
# Seconds for a home router or witness to record a start: the time after which
# one that answers no probe is given up.
START_TIMEOUT = PROBE_AFTER + PROBE_TIMEOUT


class LedgerClient:
    """Reserves and settles tokens for the requests of one router.

    :param incarnation: incarnation of this router
    :param keeper: this router's LedgerKeeper, for shards homed here
    :param book: the ReservationBook
    :param peers: a PeerClient
    :param members: the Membership
    :param settings: LedgerSettings
    :param clock: a Clock
    :param resolve: coroutine function that takes a witnessed reservation
        whose home router died and returns ``(run, tokens)``, or None while
        unknown
    """

    def __init__(
        self,
        incarnation,
        keeper,
        book,
        peers,
        members,
        settings,
        clock,
        resolve,
    ):
        self._incarnation = incarnation
        self._keeper = keeper
        self._book = book
        self._peers = peers
        self._members = members
        self._settings = settings
        self._clock = clock
        self._resolver = OrphanResolver(
            resolve, peers, members, settings.bill_memory, clock
        )
        self._witness_client = WitnessClient(
            incarnation, keeper, book, peers, members
        )
        self._reserver = Reserver(
            incarnation,
            keeper,
            book,
            peers,
            members,
            settings,
            clock,
            self._witness_client,
            self.release,
        )
        self._resolving = set()
        self._replacing = {}
        self._tasks = TaskSet()

    # Reserving

    async def reserve(self, request, budget, tokens, deadline):
        """Reserve tokens; see :meth:`Reserver.reserve`."""
        return await self._reserver.reserve(request, budget, tokens, deadline)

    # Running and settling

    async def start(self, reservation, upstream):
        """Record the upstream of a run before its first byte is sent.

        If this router dies, a run without a recorded upstream is settled as
        one that never began.

        :param upstream: address of the upstream
        :returns: False if it could not be recorded: the run must not be sent
            and the reservation must be released
        """
        message = self._book.set_upstream(reservation.reservation, upstream)
        if not await self._record_start(reservation, message):
            return False
        LOG.info(
            "run_starts",
            request=reservation.request,
            reservation=reservation.reservation,
            upstream=upstream,
            home=reservation.home,
            witness=reservation.witness,
        )
        return True

    async def _record_start(self, reservation, message):
        if reservation.home != self._incarnation:
            # If its holder was recovered, only this router knows of the
            # reservation, and no other can release it.
            if self._book.is_fenced(reservation.holder):
                return True
            return await self._send_start(reservation.home, message)
        await self._keeper.handle(message)
        replacing = self._replacing.get(reservation.reservation)
        if replacing is not None:
            # Wait, as the new witness is being registered without the
            # upstream.
            await asyncio.wait({replacing})
        if reservation.witness is None:
            return True
        if not self._keeper.is_listed(reservation):
            return False
        return await self._send_start(reservation.witness, message)

    async def _send_start(self, peer, message):
        """Send a Started message; return whether the peer recorded it.

        :param peer: incarnation of the home router or witness
        """
        try:
            answer = await self._peers.call(
                address_of(peer), message, START_TIMEOUT
            )
        except PeerError as error:
            self._members.suspect(incarnation_of(peer))
            answer = Refused(ErrorKind.BUDGET_UNAVAILABLE.value, str(error))
        if isinstance(answer, Ack):
            return True
        LOG.info(
            "start_unrecorded",
            reservation=message.reservation,
            upstream=message.upstream,
            peer=peer,
            error=answer.detail,
        )
        return False

    def release(self, reservation_id):
        """Release a reservation whose run is known not to have started."""
        self.settle(reservation_id, "", 0)

    def settle(self, reservation_id, run, tokens):
        """Settle a reservation in the background, until it is written."""
        expiry = self._clock.wall() + self._settings.bill_memory
        message = self._book.settle(reservation_id, run, tokens, expiry)
        reservation = self._book.get(reservation_id)
        expiry = reservation.deadline + self._settings.bill_memory
        message.expiry = max(message.expiry, expiry)
        self._tasks.spawn(self._settle(reservation, message))

    async def _settle(self, reservation, message):
        home = reservation.home
        while True:
            try:
                answer = await self._send_settlement(home, message)
                if isinstance(answer, Ack):
                    break
            except PeerError:
                pass
            await asyncio.sleep(SETTLE_RETRY_INTERVAL)
            if not self._members.is_alive(incarnation_of(home)):
                if message.tokens == 0:
                    self._tasks.spawn(self._send_release(home, message))
                    break
                home = self._next_home(reservation)
        self._book.remove(reservation.reservation)
        await self._witness_client.unregister(reservation)

    async def _send_release(self, home, message):
        """Send a release to a home router that seems dead, until it answers.

        One that was paused with the Reserve message in its socket handles it
        after it resumes, and would keep the tokens reserved as long as this
        router lives.
        """
        while self._members.is_known(incarnation_of(home)):
            try:
                await self._send_settlement(home, message)
                return
            except PeerError:
                await asyncio.sleep(RELEASE_RETRY_INTERVAL)

    def _next_home(self, reservation):
        shard = self._keeper.shard(reservation.budget)
        return self._members.homes(shard)[0]

    async def _send_settlement(self, home, message):
        if home == self._incarnation:
            return await self._keeper.handle(message)
        return await self._peers.call(
            address_of(home), message, SETTLE_TIMEOUT
        )

    # Witnessed reservations

    def handle(self, message):
        """Answer a Witness, Started or WitnessEnd message."""
        now = self._clock.wall()
        if isinstance(message, Witness):
            if not self._book.add_witnessed(message, now):
                return Refused(ErrorKind.BUDGET_UNAVAILABLE.value, "shunned")
        elif isinstance(message, Started):
            if not self._book.record_start(message, now):
                return Refused(
                    ErrorKind.BUDGET_UNAVAILABLE.value, "not witnessed"
                )
        else:
            self._book.remove(message.reservation)
        return Ack()

    async def run(self):
        """Check each second for dead home routers and dead witnesses."""
        while True:
            await asyncio.sleep(SHORT_TIMEOUT)
            self._resolve_orphans()
            self._replace_witnesses()

    def _resolve_orphans(self):
        """Settle witnessed runs whose home router died."""
        for reservation in self._book.orphans(self._is_holder_alive):
            if reservation.reservation not in self._resolving:
                self._resolving.add(reservation.reservation)
                self._tasks.spawn(self._resolve_orphan(reservation))

    def _replace_witnesses(self):
        """Register reservations with new witnesses if theirs have died."""
        for reservation in self._witness_client.unwitnessed():
            if reservation.reservation not in self._replacing:
                task = self._tasks.spawn(self._replace_witness(reservation))
                self._replacing[reservation.reservation] = task

    async def _replace_witness(self, reservation):
        try:
            await self._witness_client.replace(reservation)
        finally:
            self._replacing.pop(reservation.reservation, None)

    async def _resolve_orphan(self, reservation):
        try:
            result = await self._resolver.resolve(reservation)
        finally:
            self._resolving.discard(reservation.reservation)
        if result is None or reservation.settlement is not None:
            return
        if reservation.reservation not in self._book:
            return
        message = self._book.settle(
            reservation.reservation, result.run, result.tokens, result.expiry
        )
        log_resolved(message, reservation.upstream)
        if not result.tokens:
            self._book.remove(reservation.reservation)
            return
        reservation.home = self._next_home(reservation)
        self._tasks.spawn(self._settle(reservation, message))

    def _is_holder_alive(self, holder):
        return self._members.is_alive(incarnation_of(holder))

    # Stop

    @property
    def unbilled(self):
        """Return how many reservations are open or witnessed here.

        One that has ended here, but not yet at its witness, is not included:
        a live witness counts it itself, and a dead one must not keep the
        count above 0.
        """
        return len(self._book)

    def unsettled_items(self):
        """Return an UnsettledItem for each unbilled reservation."""
        alive = self._is_holder_alive
        return [
            item_of_open_reservation(reservation, alive)
            for reservation in self._book
        ]

    @property
    def untold(self):
        """Return how many ends have yet to be confirmed by a witness."""
        return self._witness_client.pending_ends

    @property
    def unsettled(self):
        """Return how many reservations a planned stop waits for.

        This includes billed ones whose witness has not confirmed the end.
        """
        return len(self._book) + self.untold
