"""What an entry tells the witnesses of its reservations."""

import asyncio

import structlog

from ..errors import PeerError
from ..incarnation import address_of
from ..incarnation import cell_of
from ..schema.messages import Ack
from ..schema.messages import Witness
from ..schema.messages import WitnessEnd
from .witnesses import WitnessChoice

LOG = structlog.get_logger(__name__)
WITNESS_TIMEOUT = 0.3
SHORT_TIMEOUT = 1.0
# Seconds between two tries to tell a witness that a reservation has ended: a
# paused witness holds nobody up, and a dead one is not called in a loop.
UNTOLD_PAUSE = 1.0


class Witnessing:
    """Has other routers remember what this one set aside for itself.

    :param incarnation: incarnation of this router
    :param keeper: this router's LedgerKeeper
    :param book: the ReservationBook
    :param peers: a PeerClient
    :param members: the Membership
    """

    def __init__(self, incarnation, keeper, book, peers, members):
        self._incarnation = incarnation
        self._keeper = keeper
        self._book = book
        self._peers = peers
        self._members = members
        self._choice = WitnessChoice(incarnation, members)
        self._untold = set()

    @property
    def untold(self):
        """Return how many ends some witness has yet to be told."""
        return len(self._untold)

    def choose(self, home, silent):
        """Return who is to remember a reservation, or None.

        :param home: who sets it aside; another home needs no witness
        :param silent: witnesses that did not answer for this request
        """
        if home != self._incarnation:
            return None
        return self._choice.choose(silent)

    # Telling

    async def ask(self, entry, witness):
        """Have a witness remember a reservation; return whether it does."""
        # Noted first: it has to be told the end even if its answer is lost.
        entry.asked.append(witness)
        message = Witness(
            entry.request,
            entry.reservation,
            entry.budget,
            entry.tokens,
            entry.deadline,
            entry.holder,
            entry.upstream,
        )
        try:
            answer = await self._peers.call(
                address_of(witness), message, WITNESS_TIMEOUT
            )
        except PeerError as error:
            LOG.info(
                "witness_silent",
                request=entry.request,
                reservation=entry.reservation,
                witness=witness,
                error=str(error),
            )
            self._members.suspect(witness)
            return False
        if not isinstance(answer, Ack):
            # It took part in recovering this home, believed dead.
            return False
        entry.witness = witness
        return True

    async def end(self, entry):
        """Have all witnesses forget, so that none presumes it spent.

        A witness that seems dead may only be paused or cut off: it keeps the
        reservation, and would keep it for good.  So it is told once it is
        back, as long as members remember it.
        """
        await asyncio.gather(
            *(self._end_one(entry, witness) for witness in entry.asked)
        )

    async def _end_one(self, entry, witness):
        key = (entry.reservation, witness)
        if self._is_awaited(entry, witness):
            self._untold.add(key)
        try:
            await self._tell_end(entry, witness)
        finally:
            self._untold.discard(key)

    def _is_awaited(self, entry, witness):
        """Return whether a reservation is unsettled until a witness knows.

        Not if it is billed and the witness is of another cell: the shard
        refuses to presume it spent besides, and after a kill of the witness
        the books would stay open for as long as members remember it.
        """
        near = cell_of(witness) == cell_of(self._incarnation)
        return near or not entry.settlement.tokens

    async def _tell_end(self, entry, witness):
        message = WitnessEnd(entry.reservation)
        while self._members.is_known(witness):
            try:
                await self._peers.call(
                    address_of(witness), message, SHORT_TIMEOUT
                )
                return
            except PeerError:
                await asyncio.sleep(UNTOLD_PAUSE)

    # Replacing

    def unwatched(self):
        """Return own reservations that no live witness remembers."""
        return [
            entry
            for entry in self._book
            if entry.usable
            and entry.home == self._incarnation
            and not self._is_watched(entry)
        ]

    def _is_watched(self, entry):
        if entry.witness is None:
            return False
        return self._members.is_alive(entry.witness)

    async def replace(self, entry):
        """Have another router remember a run whose witness died.

        Were this router killed too, nobody alive would know of the run.
        """
        witness = self._choice.choose(set())
        if witness is None or entry.reservation not in self._book:
            return
        if not await self.ask(entry, witness):
            return
        LOG.info(
            "witness_replaced",
            request=entry.request,
            reservation=entry.reservation,
            witness=witness,
        )
        self._keeper.rename_entry(entry)
