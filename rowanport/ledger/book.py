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
        "asked",
        "witnessed",
        "upstream",
        "usable",
        "since",
        "started_at",
        "orphaned_at",
        "gone_at",
    )

    def __init__(self, request, reservation, budget, tokens, deadline, home):
        self.request = request
        self.reservation = reservation
        self.budget = budget
        self.tokens = tokens
        self.deadline = deadline
        self.home = home
        self.holder = ""
        self.settlement = None
        self.witness = None
        self.asked = []
        self.witnessed = False
        self.upstream = ""
        self.usable = False
        self.since = 0.0
        self.started_at = None
        self.orphaned_at = None
        self.gone_at = None

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
        self._shunned = set()

    def __len__(self):
        return len(self._open)

    def __contains__(self, reservation):
        return reservation in self._open

    def __iter__(self):
        return iter(list(self._open.values()))

    def get(self, reservation):
        """Return the OpenReservation of an id."""
        return self._open[reservation]

    def ask(self, request, budget, tokens, deadline, home, waits_until):
        """Open a reservation and return the Reserve message to send."""
        reservation = self._new_id()
        self._open[reservation] = OpenReservation(
            request, reservation, budget, tokens, deadline, home
        )
        return Reserve(
            request,
            reservation,
            budget,
            tokens,
            deadline,
            self._incarnation,
            waits_until,
        )

    def reserved(self, answer):
        """Take in a Reserved answer; return the reservation to use.

        :returns: None if it must not be used, because its holder was
            attested as dead or the reservation is closed already
        """
        entry = self._open.get(answer.reservation)
        if entry is None or entry.settlement is not None:
            return None
        if answer.holder in self._shunned:
            return None
        entry.holder = answer.holder
        return entry

    def refused(self, reservation):
        """Forget a reservation that its home refused."""
        self._open.pop(reservation, None)

    def start(self, reservation, upstream):
        """Return the message that tells the home where a run goes."""
        entry = self._open[reservation]
        entry.upstream = upstream
        return Started(reservation, entry.budget, upstream)

    def started(self, message, now):
        """Note where a witnessed run goes; return whether it is known."""
        entry = self._open.get(message.reservation)
        if entry is None or not entry.witnessed or entry.settlement:
            return False
        entry.upstream = message.upstream
        entry.started_at = now
        return True

    def settle(self, reservation, run, tokens, expiry):
        """Close a reservation and return the Settle message to send.

        It stays in the book until :meth:`written` says that it is safe.
        """
        entry = self._open[reservation]
        entry.settlement = Settle(
            entry.request,
            reservation,
            run,
            entry.budget,
            entry.holder,
            tokens,
            expiry,
        )
        return entry.settlement

    def written(self, reservation):
        """Forget a reservation whose bill stands in the shard."""
        self._open.pop(reservation, None)

    def witness(self, message, now):
        """Remember a reservation that a home made for its own entry.

        :returns: False if its holder was attested as dead: it must not be
            used, as the attestation did not count it
        """
        if message.holder in self._shunned:
            return False
        entry = OpenReservation(
            message.request,
            message.reservation,
            message.budget,
            message.tokens,
            message.deadline,
            message.holder,
        )
        entry.holder = message.holder
        entry.witnessed = True
        entry.since = now
        if message.upstream:
            entry.upstream = message.upstream
            entry.started_at = now
        self._open[message.reservation] = entry
        return True

    def orphans(self, is_alive):
        """Return witnessed reservations whose home died.

        :param is_alive: function of a holder
        """
        orphans = []
        for entry in self._open.values():
            if not entry.witnessed or entry.settlement is not None:
                continue
            if is_alive(entry.holder):
                entry.orphaned_at = entry.gone_at = None
            else:
                orphans.append(entry)
        return orphans

    def is_shunned(self, holder):
        """Return whether a holder was attested as dead."""
        return holder in self._shunned

    def attest(self, holder):
        """Return what a dead holder's grants still owe for this entry.

        From now on no reservation by that holder is used.
        """
        self._shunned.add(holder)
        outstanding = collections.Counter()
        for entry in self._open.values():
            if entry.holder == holder:
                outstanding[entry.budget] += entry.owed
        return outstanding
