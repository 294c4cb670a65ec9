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
HOME_TRIES = 4
ANSWER_MARGIN = 0.5
PROBE_AFTER = 0.2
PROBE_TIMEOUT = 0.2


class _Search:
    """What was tried to get one reservation.

    :ivar tried: homes that are not asked again
    :ivar silent: witnesses that did not answer
    :ivar failure: why the last home gave none
    """

    __slots__ = ("tried", "silent", "failure")

    def __init__(self):
        self.tried = set()
        self.silent = set()
        self.failure = None

    def give_up(self, home, why):
        """Ask a home no more."""
        self.tried.add(home)
        self.failure = why

    def skip(self, witness):
        """Note that a witness, if there was one, did not answer."""
        if witness is not None:
            self.silent.add(witness)
        self.failure = "its witness does not answer"


class Reserving:
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
        witnessing,
        release,
    ):
        self._incarnation = incarnation
        self._keeper = keeper
        self._book = book
        self._peers = peers
        self._members = members
        self._settings = settings
        self._clock = clock
        self._witnessing = witnessing
        self._release = release

    async def reserve(self, request, budget, tokens, deadline):
        """Set tokens aside and return the OpenReservation.

        :raises RequestError: the budget is unknown, exhausted or cannot be
            reached; nothing was set aside then
        """
        shard = self._keeper.shard(budget)
        search = _Search()
        for _try in range(HOME_TRIES):
            # Asked anew each time: a home or witness that failed is suspect.
            home = self._next_untried(shard, search.tried)
            if home is None:
                break
            now = self._clock.wall()
            until = min(deadline, now + self._settings.reserve_wait)
            message = self._book.ask(
                request, budget, tokens, deadline, home, until
            )
            self._book.get(message.reservation).since = now
            entry = await self._ask_home(home, message, search)
            if entry is not None:
                return entry
        raise RequestError(
            ErrorKind.BUDGET_UNAVAILABLE, f"no home answers: {search.failure}"
        )

    async def _ask_home(self, home, message, search):
        """Ask a home; return the usable OpenReservation, or None.

        :raises RequestError: it refused, and so would others
        """
        witness = self._witnessing.choose(home, search.silent)
        message.entry = witness or self._incarnation
        try:
            answer = await self._send(home, message)
        except PeerError as error:
            self._members.suspect(home)
            search.give_up(home, error)
            self._release(message.reservation)
            return None
        except asyncio.CancelledError:
            # The caller went away: nobody else would give it back.
            self._release(message.reservation)
            raise
        if isinstance(answer, Refused):
            self._book.refused(message.reservation)
            self._take_refusal(home, answer, search)
            return None
        if self._is_recovered(answer):
            LOG.info(
                "home_recovered",
                request=message.request,
                reservation=message.reservation,
                holder=answer.holder,
            )
            search.give_up(home, f"{home} was recovered")
        else:
            entry = await self._accept(answer, witness)
            if entry is not None:
                return entry
            search.skip(witness)
        self._release(message.reservation)
        return None

    def _take_refusal(self, home, answer, search):
        """Note why a home refused, if it is worth while to ask on."""
        if answer.kind == ErrorKind.STOPPING.value:
            search.give_up(home, answer.detail)
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
        return self._book.is_shunned(answer.holder)

    def _next_untried(self, shard, tried):
        for home in self._members.homes(shard):
            if home not in tried:
                return home
        return None

    async def _accept(self, answer, witness):
        if not isinstance(answer, Reserved):
            return None
        entry = self._book.reserved(answer)
        if entry is None:
            return None
        if witness is None:
            self._note_unwitnessed(entry)
            entry.usable = True
            return entry
        try:
            entry.usable = await self._witnessing.ask(entry, witness)
        except asyncio.CancelledError:
            self._release(entry.reservation)
            raise
        return entry if entry.usable else None

    def _note_unwitnessed(self, entry):
        """Log a reservation that dies with this router, if it does."""
        if entry.home == self._incarnation:
            LOG.info(
                "reservation_unwitnessed",
                request=entry.request,
                reservation=entry.reservation,
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
