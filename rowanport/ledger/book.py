"""Open reservations at their entry router and at witnesses.

An entry router keeps each reservation until its bill is known to be in the
shard.  If the home router dies, the entry router can send the bill to the
next home, and attest the reservation when the grants are recovered.
"""

import collections

from ..incarnation import incarnation_of
from ..schema.messages import Reserve
from ..schema.messages import Settle
from ..schema.messages import Started


class OpenReservation:
    """One reservation at its entry router or at a witness.

    :ivar home: incarnation of the home router that was asked
    :ivar since: wall time at which this router opened or accepted it
    :ivar started_at: wall time at which its upstream was recorded, or None
    :ivar orphaned_at: wall time at which its router was first found dead;
        None while it seems alive
    :ivar router_ended_at: wall time at which the process of its router was
        known to have ended, or None
    :ivar holder: id of the holder that made it; empty until confirmed
    :ivar settlement: the Settle message, once the run has ended
    :ivar witness: incarnation of the router that keeps a copy, or None
    :ivar asked_witnesses: incarnations that may keep a copy and have to be
        told of its end
    :ivar witnessed: whether this is a copy kept as a witness
    :ivar upstream: address the run is sent to, empty until that is known
    :ivar usable: whether a run may start: confirmed by the home router, and
        registered with a witness if there is one
    """

    __slots__ = (
        "request",
        "reservation",
        "budget",
        "tokens",
        "deadline",
        "home",
        "holder",
        "settlement",
        "witness",
        "asked_witnesses",
        "witnessed",
        "upstream",
        "usable",
        "since",
        "started_at",
        "orphaned_at",
        "router_ended_at",
    )

    def __init__(
        self, request, reservation_id, budget, tokens, deadline, home
    ):
        self.request = request
        self.reservation = reservation_id
        self.budget = budget
        self.tokens = tokens
        self.deadline = deadline
        self.home = home
        self.holder = ""
        self.settlement = None
        self.witness = None
        self.asked_witnesses = []
        self.witnessed = False
        self.upstream = ""
        self.usable = False
        self.since = 0.0
        self.started_at = None
        self.orphaned_at = None
        self.router_ended_at = None

    @property
    def router(self):
        """Return the incarnation of the router that sends the run.

        Only for copies kept as a witness: there the home router is also the
        entry router.
        """
        return incarnation_of(self.holder)

    @property
    def owed(self):
        """Return the most tokens that it may debit from the holder's grant."""
        if self.settlement is not None:
            return self.settlement.tokens
        return self.tokens


class ReservationBook:
    """All reservations open at one entry router, and copies it witnesses.

    :param incarnation: incarnation of this router
    :param new_id: function that returns unique ids
    """

    def __init__(self, incarnation, new_id):
        self._incarnation = incarnation
        self._new_id = new_id
        self._open = {}
        self._fenced = set()

    def __len__(self):
        return len(self._open)

    def __contains__(self, reservation_id):
        return reservation_id in self._open

    def __iter__(self):
        return iter(list(self._open.values()))

    def get(self, reservation_id):
        """Return the OpenReservation with an id."""
        return self._open[reservation_id]

    def open(self, request, budget, tokens, deadline, home, waits_until):
        """Open a reservation and return the Reserve message to send."""
        reservation_id = self._new_id()
        self._open[reservation_id] = OpenReservation(
            request, reservation_id, budget, tokens, deadline, home
        )
        return Reserve(
            request,
            reservation_id,
            budget,
            tokens,
            deadline,
            self._incarnation,
            waits_until,
        )

    def confirm(self, answer):
        """Record a Reserved answer.

        :returns: the OpenReservation; None if it must not be used, because
            its holder was attested as dead or it is already settled
        """
        reservation = self._open.get(answer.reservation)
        if reservation is None or reservation.settlement is not None:
            return None
        if answer.holder in self._fenced:
            return None
        reservation.holder = answer.holder
        return reservation

    def reject(self, reservation_id):
        """Remove a reservation that its home router refused."""
        self._open.pop(reservation_id, None)

    def set_upstream(self, reservation_id, upstream):
        """Record the upstream of a run; return the Started message to send."""
        reservation = self._open[reservation_id]
        reservation.upstream = upstream
        return Started(reservation_id, reservation.budget, upstream)

    def record_start(self, message, now):
        """Record the upstream of a witnessed run.

        :param message: the Started message
        :returns: False if the reservation is not kept here as a witness
        """
        reservation = self._open.get(message.reservation)
        if (
            reservation is None
            or not reservation.witnessed
            or reservation.settlement
        ):
            return False
        reservation.upstream = message.upstream
        reservation.started_at = now
        return True

    def settle(self, reservation_id, run, tokens, expiry):
        """Close a reservation and return the Settle message to send.

        It stays in the book until :meth:`remove` is called.
        """
        reservation = self._open[reservation_id]
        reservation.settlement = Settle(
            reservation.request,
            reservation_id,
            run,
            reservation.budget,
            reservation.holder,
            tokens,
            expiry,
        )
        return reservation.settlement

    def remove(self, reservation_id):
        """Remove a reservation that is billed, released or has ended."""
        self._open.pop(reservation_id, None)

    def add_witnessed(self, message, now):
        """Keep a copy of a reservation that a home router made for itself.

        :param message: the Witness message
        :returns: False if its holder was attested as dead; the attestation
            did not count the reservation, so it must not be used
        """
        if message.holder in self._fenced:
            return False
        reservation = OpenReservation(
            message.request,
            message.reservation,
            message.budget,
            message.tokens,
            message.deadline,
            message.holder,
        )
        reservation.holder = message.holder
        reservation.witnessed = True
        reservation.since = now
        if message.upstream:
            reservation.upstream = message.upstream
            reservation.started_at = now
        self._open[message.reservation] = reservation
        return True

    def orphans(self, is_alive):
        """Return witnessed reservations whose home router died.

        :param is_alive: function that takes a holder id
        """
        orphans = []
        for reservation in self._open.values():
            if not reservation.witnessed or reservation.settlement is not None:
                continue
            if is_alive(reservation.holder):
                reservation.orphaned_at = reservation.router_ended_at = None
            else:
                orphans.append(reservation)
        return orphans

    def is_fenced(self, holder):
        """Return whether a holder was attested as dead."""
        return holder in self._fenced

    def attest(self, holder):
        """Return the outstanding tokens of a dead holder, by budget.

        The holder is fenced: no new reservation of it is used from now on.
        """
        self._fenced.add(holder)
        outstanding = collections.Counter()
        for reservation in self._open.values():
            if reservation.holder == holder:
                outstanding[reservation.budget] += reservation.owed
        return outstanding
