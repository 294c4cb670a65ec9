"""The queue in front of one upstream group.

Tickets are ordered by priority, then by organisation, the one that was served
the fewest tokens for its weight first, then by deadline.  The lane is bounded,
and a request that cannot meet its deadline is refused on arrival.
"""

import heapq
import itertools

from ..errors import ErrorKind
from ..errors import RequestError
from ..rates import DecayingRate
from ..rates import LinearEstimate

SMOOTHING = 0.02
ARRIVAL_HALF_LIFE = 1.0
# Share of the slots that estimates leave to less urgent requests, however
# much urgent work arrives.
MIN_SHARE = 0.02


class Ticket:
    """One request in a lane.

    :ivar priority: 0 is served first
    :ivar organisation: name
    :ivar weight: fair share relative to other organisations
    :ivar deadline: wall time
    :ivar cost: worst-case cost in tokens, by which fairness is measured
    :ivar size: maximum tokens of the answer, by which run time is estimated
    :ivar grant: what the caller needs to dispatch the request; the lane does
        not use it
    :ivar refuse: function called with a RequestError if the ticket is refused
        while it is queued
    :ivar work: estimated run time in seconds
    :ivar removed: whether it left the lane, dispatched or not
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
        "removed",
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
        self.removed = False


class _PriorityLevel:
    """The queued tickets of one priority.

    :ivar queues: heap of (deadline, sequence number, Ticket) by organisation
    :ivar work: estimated run time of all queued tickets in seconds
    :ivar arrivals: rate of the run time that arrives, in seconds a second
    """

    def __init__(self):
        self.queues = {}
        self.work = 0.0
        self.arrivals = DecayingRate(ARRIVAL_HALF_LIFE)

    def push(self, ticket, sequence):
        queue = self.queues.setdefault(ticket.organisation, [])
        heapq.heappush(queue, (ticket.deadline, sequence, ticket))
        self.work += ticket.work

    def tickets(self):
        """Return the queued tickets, the earliest deadline first."""
        entries = [entry for queue in self.queues.values() for entry in queue]
        entries.sort(key=lambda entry: entry[:2])
        return [entry[2] for entry in entries if not entry[2].removed]

    def first(self, organisation):
        """Return the first ticket of an organisation, or None."""
        queue = self.queues.get(organisation, [])
        while queue and queue[0][2].removed:
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

    :param limit: maximum number of queued requests
    :param clock: a Clock
    """

    def __init__(self, limit, clock):
        self._limit = limit
        self._clock = clock
        self._levels = {}
        self._served = {}
        self._served_floor = 0.0
        self._sequence = itertools.count()
        self._service_time = LinearEstimate(SMOOTHING)
        self.size = 0

    # Arrivals

    def enter(self, ticket, slots):
        """Queue a ticket.

        :param slots: number of requests that the group runs concurrently for
            this router
        :raises RequestError: the lane is full, or the deadline cannot be met
        """
        now = self._clock.wall()
        wait = self.expected_wait(ticket.priority, slots)
        if now + wait + self.expected_service(ticket.size) > ticket.deadline:
            raise RequestError(
                ErrorKind.OVERLOADED, "the deadline cannot be met"
            )
        if self.size >= self._limit and not self._evict(ticket):
            raise RequestError(ErrorKind.OVERLOADED, "the queue is full")
        level = self._levels.setdefault(ticket.priority, _PriorityLevel())
        if ticket.organisation not in level.queues:
            # An organisation that was idle gets no credit for that time:
            # it starts level with the others.
            served = self._served.get(ticket.organisation, 0.0)
            self._served[ticket.organisation] = max(served, self._served_floor)
        ticket.work = self.expected_service(ticket.size)
        level.push(ticket, next(self._sequence))
        level.arrivals.add(ticket.work, now)
        self.size += 1

    def expected_wait(self, priority, slots):
        """Return the estimated queueing time of a new request in seconds.

        All work queued at this or a more urgent priority runs first, in the
        slots that newly arriving work of more urgent priorities leaves free.
        """
        ahead = more_urgent = 0.0
        now = self._clock.wall()
        for number, level in self._levels.items():
            if number <= priority:
                ahead += level.work
            if number < priority:
                more_urgent += level.arrivals.rate(now)
        if not ahead:
            return 0.0
        free = max(slots - more_urgent, MIN_SHARE * slots)
        return ahead / max(free, MIN_SHARE)

    def expected_service(self, size):
        """Return the estimated run time of a request in seconds."""
        return self._service_time.at(size)

    def shed(self, slots):
        """Refuse queued tickets that can no longer meet their deadlines.

        Urgent requests that arrived later may have delayed them.
        """
        now = self._clock.wall()
        ahead = more_urgent = 0.0
        for number in sorted(self._levels):
            level = self._levels[number]
            free = max(slots - more_urgent, MIN_SHARE * slots, MIN_SHARE)
            for ticket in level.tickets():
                if now + ahead / free + ticket.work <= ticket.deadline:
                    ahead += ticket.work
                    continue
                self.leave(ticket)
                ticket.refuse(
                    RequestError(
                        ErrorKind.OVERLOADED,
                        "the deadline can no longer be met",
                    )
                )
            more_urgent += level.arrivals.rate(now)

    def _evict(self, newcomer):
        """Refuse a queued ticket that is less urgent than a new one.

        :returns: whether there was one
        """
        for priority in sorted(self._levels, reverse=True):
            if priority <= newcomer.priority:
                return False
            level = self._levels[priority]
            for organisation in sorted(
                level.queues, key=lambda name: -self._served.get(name, 0)
            ):
                ticket = level.first(organisation)
                if ticket is not None:
                    self.leave(ticket)
                    ticket.refuse(
                        RequestError(
                            ErrorKind.OVERLOADED,
                            "evicted from a full queue by a more urgent"
                            " request",
                        )
                    )
                    return True
        return False

    # Departures

    def leave(self, ticket):
        """Remove a ticket, if it is still queued."""
        if not ticket.removed:
            ticket.removed = True
            self.size -= 1
            self._levels[ticket.priority].work -= ticket.work

    def next(self):
        """Remove and return the ticket to dispatch next, or None.

        Tickets that can no longer meet their deadlines are refused.
        """
        for priority in sorted(self._levels):
            ticket = self._next_of(self._levels[priority])
            if ticket is not None:
                return ticket
        return None

    def _next_of(self, level):
        now = self._clock.wall()
        while True:
            candidates = [
                (self._served.get(name, 0.0), name)
                for name in list(level.queues)
                if level.first(name) is not None
            ]
            if not candidates:
                return None
            served, name = min(candidates)
            ticket = level.first(name)
            level.pop(name)
            self.leave(ticket)
            needed = self.expected_service(ticket.size)
            if now + needed > ticket.deadline:
                ticket.refuse(
                    RequestError(
                        ErrorKind.DEADLINE_PASSED,
                        "the deadline can no longer be met",
                    )
                )
                continue
            self._served_floor = max(self._served_floor, served)
            self._served[name] = served + ticket.cost / max(1, ticket.weight)
            return ticket

    def finished(self, size, seconds):
        """Update the run time estimate with a finished request.

        :param size: maximum tokens of its answer, as in its Ticket
        """
        if size:
            self._service_time.add(size, seconds)
