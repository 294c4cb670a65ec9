"""Routers that queue first in, first out and choose upstreams at random."""

import collections
import random

from rowanport import ui
from rowanport.errors import ErrorKind
from rowanport.errors import RequestError
from rowanport.scheduling import group


class FifoLane:
    """Stands where a Lane would: arrival order, no early refusal."""

    def __init__(self, limit, clock):
        self._limit = limit
        self._queue = collections.deque()
        self.size = 0

    def enter(self, ticket, slots):
        if self.size >= self._limit:
            raise RequestError(ErrorKind.OVERLOADED, "the queue is full")
        self._queue.append(ticket)
        self.size += 1

    def leave(self, ticket):
        if not ticket.removed:
            ticket.removed = True
            self.size -= 1

    def next(self):
        while self._queue:
            ticket = self._queue.popleft()
            if not ticket.removed:
                self.leave(ticket)
                return ticket
        return None

    def finished(self, size, seconds):
        pass

    def shed(self, slots):
        pass


class RandomPool(group.Pool):
    """Any upstream that has room."""

    def choose(self, key, avoid=()):
        having_room = [
            upstream
            for upstream in self._usable()
            if upstream.outstanding < self.limit(upstream)
            and upstream.address not in avoid
        ]
        return random.choice(having_room) if having_room else None


group.Lane = FifoLane
group.Pool = RandomPool
ui.main()
