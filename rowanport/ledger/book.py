"""The entry's side of reservations: what it asked for and still owes.

An entry keeps each reservation until its bill is known to stand in the
shard.  So a home that dies takes nothing with it that an entry cannot bring
to the next home, or attest when the dead home's grants are recovered.
"""

import collections

from ..incarnation import incarnation_of
from ..schema.messages import Reserve
from ..schema.messages import Settle
from ..schema.messages import Started


class OpenReservation:
    """One reservation as its entry sees it.

    :ivar home: incarnation that was asked
    :ivar since: wall time at which this router took it in
    :ivar started_at: as that of a Reservation
    :ivar orphaned_at: as that of a Reservation
    :ivar gone_at: as that of a Reservation
    :ivar holder: holder that granted it; empty while unanswered
    :ivar settlement: the Settle message, once the run has ended
    :ivar witness: incarnation that remembers it too, if any
    :ivar asked: incarnations that may remember it, to be told its end
    :ivar witnessed: whether it is kept for the home's own entry
    :ivar upstream: where it runs, empty until that is known
    :ivar usable: whether a run may start on it, its witness told
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
        """Return the incarnation of the router that has it run."""
        return incarnation_of(self.holder)

    @property
    def owed(self):
        """Return the tokens that may be taken from the holder's grant."""
        if self.settlement is not None:
            return self.settlement.tokens
        return self.tokens


class ReservationBook:
    """All open reservations of one entry.

    :param incarnation: incarnation of this router
    :param new_id: function that returns fresh ids
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
        """Return the OpenReservation of an id."""
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
        """Take in a Reserved answer; return the reservation to use.

        :returns: None if it must not be used, because its holder was
            attested as dead or the reservation is closed already
        """
        reservation = self._open.get(answer.reservation)
        if reservation is None or reservation.settlement is not None:
            return None
        if answer.holder in self._fenced:
            return None
        reservation.holder = answer.holder
        return reservation

    def reject(self, reservation_id):
        """Forget a reservation that its home refused."""
        self._open.pop(reservation_id, None)

    def set_upstream(self, reservation_id, upstream):
        """Return the message that tells the home where a run goes."""
        reservation = self._open[reservation_id]
        reservation.upstream = upstream
        return Started(reservation_id, reservation.budget, upstream)

    def record_start(self, message, now):
        """Note where a witnessed run goes; return whether it is known."""
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

        It stays in the book until :meth:`written` says that it is safe.
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
        """Forget a reservation whose bill stands in the shard."""
        self._open.pop(reservation_id, None)

    def add_witnessed(self, message, now):
        """Remember a reservation that a home made for its own entry.

        :returns: False if its holder was attested as dead: it must not be
            used, as the attestation did not count it
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
        """Return witnessed reservations whose home died.

        :param is_alive: function of a holder
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
        """Return what a dead holder's grants still owe for this entry.

        From now on no reservation by that holder is used.
        """
        self._fenced.add(holder)
        outstanding = collections.Counter()
        for reservation in self._open.values():
            if reservation.holder == holder:
                outstanding[reservation.budget] += reservation.owed
        return outstanding
