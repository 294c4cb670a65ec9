"""Registers reservations of this router with their witnesses."""

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
# Seconds between attempts to tell a witness that a reservation has ended.  It
# keeps a dead witness from being called in a tight loop, and no request waits
# for a paused one.
END_RETRY_INTERVAL = 1.0


class WitnessClient:
    """Has other routers keep copies of reservations made for this one.

    If this router dies, its witnesses settle the runs in its place.

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
        """Return how many ends have yet to be confirmed by a witness."""
        return len(self._pending_ends)

    def choose(self, home, unresponsive):
        """Return the witness to ask for a reservation, or None.

        :param home: incarnation of the home router; one other than this
            router knows of the reservation itself, so no witness is needed
        :param unresponsive: witnesses that did not answer for this request
        """
        if home != self._incarnation:
            return None
        return self._selector.choose(unresponsive)

    # Registering

    async def register(self, reservation, witness):
        """Register a reservation with a witness; return whether it accepted.

        :param reservation: the OpenReservation
        :param witness: incarnation of the witness
        """
        # Recorded before the call: the witness has to be told of the end even
        # if its answer is lost.
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
                "witness_unreachable",
                request=reservation.request,
                reservation=reservation.reservation,
                witness=witness,
                error=str(error),
            )
            self._members.suspect(witness)
            return False
        if not isinstance(answer, Ack):
            # It took part in recovering this router's grants, as this router
            # seemed dead.
            return False
        reservation.witness = witness
        return True

    async def unregister(self, reservation):
        """Tell all witnesses that a reservation has ended.

        Otherwise they would presume it spent.  A witness that seems dead may
        be just paused or cut off and would keep its copy forever, so it is
        called again until the membership forgets it.

        :param reservation: the OpenReservation
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
        """Return whether a reservation is unsettled until the witness knows.

        It is not if it is billed and the witness is in another cell.  The
        shard ignores a presumption about a billed reservation, and if the
        witness was killed, the reservation would count as unsettled until
        the membership forgets the witness.
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
        """Return this router's own reservations without a live witness."""
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
        """Register a reservation with a new witness after the old one died.

        Otherwise no live router would know of the run if this one was killed.
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
