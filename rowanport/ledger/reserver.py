"""Finds a home that sets tokens aside for one request."""

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
    """What was tried to get one reservation.

    :ivar tried: homes that are not asked again
    :ivar silent: witnesses that did not answer
    :ivar failure: why the last home gave none
    """

    __slots__ = ("tried", "unresponsive", "failure")

    def __init__(self):
        self.tried = set()
        self.unresponsive = set()
        self.failure = None

    def exclude_home(self, home, why):
        """Ask a home no more."""
        self.tried.add(home)
        self.failure = why

    def exclude_witness(self, witness):
        """Note that a witness, if there was one, did not answer."""
        if witness is not None:
            self.unresponsive.add(witness)
        self.failure = "its witness does not answer"


class Reserver:
    """Asks the homes of a budget's shard, one after the other.

    :param incarnation: incarnation of this router
    :param keeper: this router's LedgerKeeper, for shards homed here
    :param book: the ReservationBook
    :param peers: a PeerClient
    :param members: the Membership
    :param settings: LedgerSettings
    :param clock: a Clock
    :param witnessing: the Witnessing
    :param release: function that gives back a reservation, by its id
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
        """Set tokens aside and return the OpenReservation.

        :raises RequestError: the budget is unknown, exhausted or cannot be
            reached; nothing was set aside then
        """
        shard = self._keeper.shard(budget)
        search = _Search()
        for _try in range(MAX_HOME_ATTEMPTS):
            # Asked anew each time: a home or witness that failed is suspect.
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
            ErrorKind.BUDGET_UNAVAILABLE, f"no home answers: {search.failure}"
        )

    async def _ask_home(self, home, message, search):
        """Ask a home; return the usable OpenReservation, or None.

        :raises RequestError: it refused, and so would others
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
            # The caller went away: nobody else would give it back.
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
        """Note why a home refused, if it is worth while to ask on."""
        if answer.kind == ErrorKind.STOPPING.value:
            search.exclude_home(home, answer.detail)
        elif answer.kind == ErrorKind.NOT_READY.value:
            # It begins anew, without what was recovered from it.
            search.failure = answer.detail
        else:
            raise RequestError(ErrorKind(answer.kind), answer.detail)

    def _is_recovered(self, answer):
        """Return whether a home granted what others have recovered from it.

        One that was paused meanwhile learns that by its next read.
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
        """Log a reservation that dies with this router, if it does."""
        if reservation.home == self._incarnation:
            LOG.info(
                "reservation_unwitnessed",
                request=reservation.request,
                reservation=reservation.reservation,
                live=len(self._members.live()),
            )

    async def _send(self, home, message):
        """Send a Reserve and return the answer.

        A home may take its time to find tokens, but one that does not even
        answer a probe is given up at once.
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
