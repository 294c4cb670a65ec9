"""Reserves tokens for a request at a home router."""

import asyncio

import structlog

from ..errors import ErrorKind
from ..errors import PeerError
from ..errors import RequestError
from ..incarnation import address_of
from ..schema.messages import Ack
from ..schema.messages import Refused
from ..schema.messages import Reserved

LOG = structlog.get_logger(__name__)
MAX_HOME_ATTEMPTS = 4
ANSWER_MARGIN = 0.5
PROBE_AFTER = 0.2
PROBE_TIMEOUT = 0.2


class _Search:
    """The attempts made for one request so far.

    :ivar tried: home routers that are not asked again
    :ivar unresponsive: witnesses that did not accept a reservation
    :ivar failure: why the last attempt failed
    """

    __slots__ = ("tried", "unresponsive", "failure")

    def __init__(self):
        self.tried = set()
        self.unresponsive = set()
        self.failure = None

    def exclude_home(self, home, why):
        """Do not ask a home router again."""
        self.tried.add(home)
        self.failure = why

    def exclude_witness(self, witness):
        """Do not choose a witness again.

        :param witness: its incarnation, or None if there was none
        """
        if witness is not None:
            self.unresponsive.add(witness)
        self.failure = "its witness does not answer or refused"


class Reserver:
    """Asks the home routers of a budget's shard one after the other.

    :param incarnation: incarnation of this router
    :param keeper: this router's LedgerKeeper, for shards homed here
    :param book: the ReservationBook
    :param peers: a PeerClient
    :param members: the Membership
    :param settings: LedgerSettings
    :param clock: a Clock
    :param witness_client: the WitnessClient
    :param release: function that releases a reservation by its id
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
        witness_client,
        release,
    ):
        self._incarnation = incarnation
        self._keeper = keeper
        self._book = book
        self._peers = peers
        self._members = members
        self._settings = settings
        self._clock = clock
        self._witness_client = witness_client
        self._release = release

    async def reserve(self, request, budget, tokens, deadline):
        """Reserve tokens and return the OpenReservation.

        :param request: id of the request
        :param budget: name of the budget
        :param tokens: tokens to reserve
        :param deadline: wall time at which the request ends
        :raises RequestError: the budget is unknown, exhausted or cannot be
            reached; nothing stays reserved then
        """
        shard = self._keeper.shard(budget)
        search = _Search()
        for _try in range(MAX_HOME_ATTEMPTS):
            # Chosen anew for each attempt: a home router or witness that
            # failed is suspected by then.
            home = self._next_untried(shard, search.tried)
            if home is None:
                break
            now = self._clock.wall()
            until = min(deadline, now + self._settings.reserve_wait)
            message = self._book.open(
                request, budget, tokens, deadline, home, until
            )
            self._book.get(message.reservation).since = now
            reservation = await self._ask_home(home, message, search)
            if reservation is not None:
                return reservation
        raise RequestError(
            ErrorKind.BUDGET_UNAVAILABLE,
            f"no home router answers: {search.failure}",
        )

    async def _ask_home(self, home, message, search):
        """Ask a home router; return the usable OpenReservation, or None.

        :raises RequestError: it refused for a reason that holds for all homes
        """
        witness = self._witness_client.choose(home, search.unresponsive)
        message.entry = witness or self._incarnation
        try:
            answer = await self._send(home, message)
        except PeerError as error:
            self._members.suspect(home)
            search.exclude_home(home, error)
            self._release(message.reservation)
            return None
        except asyncio.CancelledError:
            # The caller disconnected, so nothing else would release it.
            self._release(message.reservation)
            raise
        if isinstance(answer, Refused):
            self._book.reject(message.reservation)
            self._handle_refusal(home, answer, search)
            return None
        if self._is_recovered(answer):
            LOG.info(
                "home_recovered",
                request=message.request,
                reservation=message.reservation,
                holder=answer.holder,
            )
            search.exclude_home(home, f"{home} was recovered")
        else:
            reservation = await self._accept(answer, witness)
            if reservation is not None:
                return reservation
            search.exclude_witness(witness)
        self._release(message.reservation)
        return None

    def _handle_refusal(self, home, answer, search):
        """Record why a home router refused, if another attempt may succeed.

        :raises RequestError: it refused for a reason that holds for all homes
        """
        if answer.kind == ErrorKind.STOPPING.value:
            search.exclude_home(home, answer.detail)
        elif answer.kind == ErrorKind.NOT_READY.value:
            # It has restarted its holder after a recovery: ask it again.
            search.failure = answer.detail
        else:
            raise RequestError(ErrorKind(answer.kind), answer.detail)

    def _is_recovered(self, answer):
        """Return whether an answer is from a holder that was recovered.

        A home router that was paused during the recovery learns of it only
        when it next reads the shard.
        """
        if not isinstance(answer, Reserved):
            return False
        return self._book.is_fenced(answer.holder)

    def _next_untried(self, shard, tried):
        for home in self._members.homes(shard):
            if home not in tried:
                return home
        return None

    async def _accept(self, answer, witness):
        if not isinstance(answer, Reserved):
            return None
        reservation = self._book.confirm(answer)
        if reservation is None:
            return None
        if witness is None:
            self._log_unwitnessed(reservation)
            reservation.usable = True
            return reservation
        try:
            reservation.usable = await self._witness_client.register(
                reservation, witness
            )
        except asyncio.CancelledError:
            self._release(reservation.reservation)
            raise
        return reservation if reservation.usable else None

    def _log_unwitnessed(self, reservation):
        """Log a reservation that no other router knows of."""
        if reservation.home == self._incarnation:
            LOG.info(
                "reservation_unwitnessed",
                request=reservation.request,
                reservation=reservation.reservation,
                live=len(self._members.live()),
            )

    async def _send(self, home, message):
        """Send a Reserve message and return the answer.

        A home router may take long to find tokens, so it is probed meanwhile.

        :raises PeerError: it did not answer, or not even a probe
        """
        if home == self._incarnation:
            return await self._keeper.handle(message)
        wait = message.waits_until - self._clock.wall() + ANSWER_MARGIN
        address = address_of(home)
        call = asyncio.ensure_future(self._peers.call(address, message, wait))
        try:
            while True:
                done, _rest = await asyncio.wait({call}, timeout=PROBE_AFTER)
                if done:
                    return call.result()
                await self._peers.call(address, Ack(), PROBE_TIMEOUT)
        finally:
            call.cancel()
