"""The queue before one upstream group.

Order: priority first; within it the organisation that was served the
fewest tokens for its weight; within that the earliest deadline.  The lane
is bounded, and what cannot make its deadline is refused when it arrives.
"""

import heapq
import itertools

from ..errors import ErrorKind
from ..errors import RequestError
from ..rates import DecayingRate
from ..rates import LinearEstimate

SMOOTHING = 0.02
ARRIVAL_HALF_LIFE = 1.0
# However much urgent work comes, less urgent work is thought to get this.
LEAST_SHARE = 0.02


class Ticket:
    """One request in a lane.

    :ivar priority: 0 is served first
    :ivar organisation: name
    :ivar weight: share among organisations
    :ivar deadline: wall time
    :ivar cost: worst case in tokens, which fairness counts
    :ivar size: most tokens of its answer, which take the time
    :ivar grant: function called with an upstream when it is its turn
    :ivar refuse: function called with a RequestError otherwise
    :ivar work: seconds that it should need in a slot
    """

    __slots__ = (
        "priority",
        "organisation",
        "weight",
        "deadline",
        "cost",
        "size",
        "grant",
        "refuse",
        "work",
        "left",
    )

    def __init__(
        self,
        priority,
        organisation,
        weight,
        deadline,
        cost,
        size,
        grant,
        refuse,
    ):
        self.priority = priority
        self.organisation = organisation
        self.weight = weight
        self.deadline = deadline
        self.cost = cost
        self.size = size
        self.grant = grant
        self.refuse = refuse
        self.work = 0.0
        self.left = False


class _Class:
    """All waiting tickets of one priority, by organisation.

    :ivar work: seconds in a slot that they need together
    :ivar arrivals: the same of new tickets, a second
    """

    def __init__(self):
        self.queues = {}
        self.work = 0.0
        self.arrivals = DecayingRate(ARRIVAL_HALF_LIFE)

    def push(self, ticket, order):
        queue = self.queues.setdefault(ticket.organisation, [])
        heapq.heappush(queue, (ticket.deadline, order, ticket))
        self.work += ticket.work

    def tickets(self):
        """Return all that wait, the earliest deadline first."""
        entries = [entry for queue in self.queues.values() for entry in queue]
        entries.sort(key=lambda entry: entry[:2])
        return [entry[2] for entry in entries if not entry[2].left]

    def first(self, organisation):
        """Return the first ticket of an organisation, or None."""
        queue = self.queues.get(organisation, [])
        while queue and queue[0][2].left:
            heapq.heappop(queue)
        if not queue:
            self.queues.pop(organisation, None)
            return None
        return queue[0][2]

    def pop(self, organisation):
        """Remove the first ticket of an organisation."""
        heapq.heappop(self.queues[organisation])


class Lane:
    """Orders the requests of one group on one router.

    :param limit: most waiting requests
    :param clock: a Clock
    """

    def __init__(self, limit, clock):
        self._limit = limit
        self._clock = clock
        self._classes = {}
        self._served = {}
        self._floor = 0.0
        self._order = itertools.count()
        self._seconds = LinearEstimate(SMOOTHING)
        self.size = 0

    # Arrivals

    def enter(self, ticket, slots):
        """Queue a ticket.

        :param slots: requests that the group runs at once for this router
        :raises RequestError: the lane is full, or the deadline cannot be
            made
        """
        now = self._clock.wall()
        wait = self.expected_wait(ticket.priority, slots)
        if now + wait + self.expected_service(ticket.size) > ticket.deadline:
            raise RequestError(
                ErrorKind.OVERLOADED, "it would not be done by its deadline"
            )
        if self.size >= self._limit and not self._evict(ticket):
            raise RequestError(ErrorKind.OVERLOADED, "the queue is full")
        waiting = self._classes.setdefault(ticket.priority, _Class())
        if ticket.organisation not in waiting.queues:
            # An organisation that was away starts level with the others.
            served = self._served.get(ticket.organisation, 0.0)
            self._served[ticket.organisation] = max(served, self._floor)
        ticket.work = self.expected_service(ticket.size)
        waiting.push(ticket, next(self._order))
        waiting.arrivals.add(ticket.work, now)
        self.size += 1

    def expected_wait(self, priority, slots):
        """Return how long a new request of a priority would wait.

        What waits at its priority or before it is worked off by what is
        left of the slots once the more urgent work that keeps coming has
        had its share.
        """
        ahead = more_urgent = 0.0
        now = self._clock.wall()
        for level, waiting in self._classes.items():
            if level <= priority:
                ahead += waiting.work
            if level < priority:
                more_urgent += waiting.arrivals.rate(now)
        if not ahead:
            return 0.0
        left = max(slots - more_urgent, LEAST_SHARE * slots)
        return ahead / max(left, LEAST_SHARE)

    def expected_service(self, size):
        """Return how long a request of a size would run."""
        return self._seconds.at(size)

    def shed(self, slots):
        """Refuse what cannot make its deadline any more, at once.

        More urgent work that came since may have taken its turn away.
        """
        now = self._clock.wall()
        ahead = more_urgent = 0.0
        for level in sorted(self._classes):
            waiting = self._classes[level]
            left = max(slots - more_urgent, LEAST_SHARE * slots, LEAST_SHARE)
            for ticket in waiting.tickets():
                if now + ahead / left + ticket.work <= ticket.deadline:
                    ahead += ticket.work
                    continue
                self.leave(ticket)
                ticket.refuse(
                    RequestError(
                        ErrorKind.OVERLOADED,
                        "it would not be done by its deadline",
                    )
                )
            more_urgent += waiting.arrivals.rate(now)

    def _evict(self, newcomer):
        """Refuse a waiting ticket of a lower class than the newcomer's."""
        for priority in sorted(self._classes, reverse=True):
            if priority <= newcomer.priority:
                return False
            waiting = self._classes[priority]
            for organisation in sorted(
                waiting.queues, key=lambda name: -self._served.get(name, 0)
            ):
                ticket = waiting.first(organisation)
                if ticket is not None:
                    self.leave(ticket)
                    ticket.refuse(
                        RequestError(
                            ErrorKind.OVERLOADED, "more urgent work came"
                        )
                    )
                    return True
        return False

    # Departures

    def leave(self, ticket):
        """Take a ticket out, if it still waits."""
        if not ticket.left:
            ticket.left = True
            self.size -= 1
            self._classes[ticket.priority].work -= ticket.work

    def next(self):
        """Take out and return the ticket whose turn it is, or None.

        Tickets whose deadline cannot be made any more are refused.
        """
        for priority in sorted(self._classes):
            ticket = self._next_of(self._classes[priority])
            if ticket is not None:
                return ticket
        return None

    def _next_of(self, waiting):
        now = self._clock.wall()
        while True:
            candidates = [
                (self._served.get(name, 0.0), name)
                for name in list(waiting.queues)
                if waiting.first(name) is not None
            ]
            if not candidates:
                return None
            served, name = min(candidates)
            ticket = waiting.first(name)
            waiting.pop(name)
            self.leave(ticket)
            needed = self.expected_service(ticket.size)
            if now + needed > ticket.deadline:
                ticket.refuse(
                    RequestError(
                        ErrorKind.DEADLINE_PASSED, "it waited too long"
                    )
                )
                continue
            self._floor = max(self._floor, served)
            self._served[name] = served + ticket.cost / max(1, ticket.weight)
            return ticket

    def finished(self, size, seconds):
        """Learn from a request that ran: its size in tokens and time."""
        if size:
            self._seconds.add(size, seconds)
