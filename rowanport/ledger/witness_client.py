"""What an entry tells the witnesses of its reservations."""

import asyncio

import structlog

from ..errors import PeerError
from ..incarnation import address_of
from ..incarnation import cell_of
from ..schema.messages import Ack
from ..schema.messages import Witness
from ..schema.messages import WitnessEnd
from .witness_selector import WitnessSelector

LOG = structlog.get_logger(__name__)
WITNESS_TIMEOUT = 0.3
SHORT_TIMEOUT = 1.0
# Seconds between two tries to tell a witness that a reservation has ended: a
# paused witness holds nobody up, and a dead one is not called in a loop.
END_RETRY_INTERVAL = 1.0


class WitnessClient:
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
        self._selector = WitnessSelector(incarnation, members)
        self._pending_ends = set()

    @property
    def pending_ends(self):
        """Return how many ends some witness has yet to be told."""
        return len(self._pending_ends)

    def choose(self, home, unresponsive):
        """Return who is to remember a reservation, or None.

        :param home: who sets it aside; another home needs no witness
        :param silent: witnesses that did not answer for this request
        """
        if home != self._incarnation:
            return None
        return self._selector.choose(unresponsive)

    # Telling

    async def register(self, reservation, witness):
        """Have a witness remember a reservation; return whether it does."""
        # Noted first: it has to be told the end even if its answer is lost.
        reservation.asked_witnesses.append(witness)
        message = Witness(
            reservation.request,
            reservation.reservation,
            reservation.budget,
            reservation.tokens,
            reservation.deadline,
            reservation.holder,
            reservation.upstream,
        )
        try:
            answer = await self._peers.call(
                address_of(witness), message, WITNESS_TIMEOUT
            )
        except PeerError as error:
            LOG.info(
                "witness_silent",
                request=reservation.request,
                reservation=reservation.reservation,
                witness=witness,
                error=str(error),
            )
            self._members.suspect(witness)
            return False
        if not isinstance(answer, Ack):
            # It took part in recovering this home, believed dead.
            return False
        reservation.witness = witness
        return True

    async def unregister(self, reservation):
        """Have all witnesses forget, so that none presumes it spent.

        A witness that seems dead may only be paused or cut off: it keeps the
        reservation, and would keep it for good.  So it is told once it is
        back, as long as members remember it.
        """
        await asyncio.gather(
            *(
                self._unregister_one(reservation, witness)
                for witness in reservation.asked_witnesses
            )
        )

    async def _unregister_one(self, reservation, witness):
        key = (reservation.reservation, witness)
        if self._awaits_witness(reservation, witness):
            self._pending_ends.add(key)
        try:
            await self._send_end(reservation, witness)
        finally:
            self._pending_ends.discard(key)

    def _awaits_witness(self, reservation, witness):
        """Return whether a reservation is unsettled until a witness knows.

        Not if it is billed and the witness is of another cell: the shard
        refuses to presume it spent besides, and after a kill of the witness
        the books would stay open for as long as members remember it.
        """
        local = cell_of(witness) == cell_of(self._incarnation)
        return local or not reservation.settlement.tokens

    async def _send_end(self, reservation, witness):
        message = WitnessEnd(reservation.reservation)
        while self._members.is_known(witness):
            try:
                await self._peers.call(
                    address_of(witness), message, SHORT_TIMEOUT
                )
                return
            except PeerError:
                await asyncio.sleep(END_RETRY_INTERVAL)

    # Replacing

    def unwitnessed(self):
        """Return own reservations that no live witness remembers."""
        return [
            reservation
            for reservation in self._book
            if reservation.usable
            and reservation.home == self._incarnation
            and not self._has_live_witness(reservation)
        ]

    def _has_live_witness(self, reservation):
        if reservation.witness is None:
            return False
        return self._members.is_alive(reservation.witness)

    async def replace(self, reservation):
        """Have another router remember a run whose witness died.

        Were this router killed too, nobody alive would know of the run.
        """
        witness = self._selector.choose(set())
        if witness is None or reservation.reservation not in self._book:
            return
        if not await self.register(reservation, witness):
            return
        LOG.info(
            "witness_replaced",
            request=reservation.request,
            reservation=reservation.reservation,
            witness=witness,
        )
        self._keeper.rename_entry(reservation)
