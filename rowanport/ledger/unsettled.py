"""Descriptions of unsettled reservations for operators.

A count alone does not show whether a reservation waits for its run, for an
answer of the upstream or for a write; each calls for a different remedy.
"""

ROLE_ENTRY = "entry"
ROLE_HOME = "home"
ROLE_WITNESS = "witness"

AWAITING_HOME = "its home has not answered"
NOT_STARTED = "its run has not started"
RUNNING = "its run is under way"
UNWRITTEN = "its bill is not written"
ENTRY_ALIVE = "its entry is alive"
NO_UPSTREAM = "its entry is dead and named no upstream"
QUERYING_UPSTREAM = "its entry is dead and its upstream is asked"


class UnsettledItem:
    """One reservation that is not settled, as seen by one router.

    :ivar role: role of this router: "entry", "home" or "witness"
    :ivar peer: incarnation of the entry router in the role "home", else of
        the home router or its holder
    :ivar since: wall time at which this router opened or accepted it
    :ivar reason: what it waits for
    """

    __slots__ = (
        "reservation",
        "request",
        "budget",
        "tokens",
        "role",
        "peer",
        "upstream",
        "deadline",
        "since",
        "reason",
    )

    def __init__(self, source, role, peer, reason):
        self.reservation = source.reservation
        self.request = source.request
        self.budget = source.budget
        self.tokens = source.tokens
        self.role = role
        self.peer = peer
        self.upstream = source.upstream
        self.deadline = source.deadline
        self.since = source.since
        self.reason = reason

    def as_dict(self, now):
        """Return a dictionary of plain values.

        The age and the time left until the deadline are in seconds.

        :param now: wall time
        """
        value = {name: getattr(self, name) for name in self.__slots__}
        value["age"] = round(now - value.pop("since"), 1)
        value["seconds_left"] = round(value.pop("deadline") - now, 1)
        return value


def item_of_open_reservation(reservation, is_alive):
    """Return the UnsettledItem of an OpenReservation.

    :param is_alive: function that takes a holder id
    """
    role = ROLE_WITNESS if reservation.witnessed else ROLE_ENTRY
    peer = reservation.holder or reservation.home
    return UnsettledItem(
        reservation, role, peer, _open_reason(reservation, is_alive)
    )


def _open_reason(reservation, is_alive):
    if reservation.settlement is not None:
        return UNWRITTEN
    if reservation.witnessed:
        return _orphan_reason(reservation, is_alive(reservation.holder))
    if not reservation.usable:
        return AWAITING_HOME
    return RUNNING if reservation.upstream else NOT_STARTED


def item_of_held_reservation(reservation, is_alive):
    """Return the UnsettledItem of a Reservation at its home router.

    :param is_alive: function that takes an incarnation
    """
    alive = is_alive(reservation.entry)
    reason = _orphan_reason(reservation, alive)
    return UnsettledItem(reservation, ROLE_HOME, reservation.entry, reason)


def _orphan_reason(source, alive):
    if alive:
        return ENTRY_ALIVE
    return QUERYING_UPSTREAM if source.upstream else NO_UPSTREAM
