"""A lane and a pool together: who runs next, and where."""

import asyncio

from ..errors import ErrorKind
from ..errors import RequestError
from ..upstreams.pool import Pool
from .lane import Lane
from .lane import Ticket
from .limits import RetryBudget


class _Turn:
    """A waiting request: its ticket, preferences and promise."""

    __slots__ = ("key", "avoid", "future")

    def __init__(self, key, avoid):
        self.key = key
        self.avoid = avoid
        self.future = asyncio.get_running_loop().create_future()


class GroupScheduler:
    """Schedules the requests of one upstream group on one router.

    :param settings: SchedulingSettings
    :param clock: a Clock
    """

    def __init__(self, settings, clock):
        self._clock = clock
        self.lane = Lane(settings.queue_limit, clock)
        self.pool = Pool(settings.oversubscription, clock)
        self.retries = RetryBudget(settings.retry_ratio)

    async def acquire(self, call, decision, key, cost, size, avoid=()):
        """Wait for the turn of a request and return its Upstream.

        :param key: what it should be near, such as a prompt prefix
        :param cost: worst case in tokens
        :param size: most tokens of its answer
        :param avoid: addresses that already failed it
        :raises RequestError: it is refused, at once where possible
        """
        if not self.pool.any_usable():
            raise RequestError(ErrorKind.NO_UPSTREAM, "no upstream is there")
        turn = _Turn(key, avoid)
        ticket = Ticket(
            decision.priority,
            call.organisation.name,
            call.organisation.weight,
            call.deadline,
            cost,
            size,
            turn,
            lambda error: _fail(turn, error),
        )
        self.lane.enter(ticket, self.pool.slots())
        self.pump()
        left = max(0.0, call.deadline - self._clock.wall())
        try:
            await asyncio.wait({turn.future}, timeout=left)
        except asyncio.CancelledError:
            self._withdraw(ticket, turn)
            raise
        if not turn.future.done():
            self.lane.leave(ticket)
            raise RequestError(ErrorKind.DEADLINE_PASSED, "it waited too long")
        return turn.future.result()

    def _withdraw(self, ticket, turn):
        """Take a ticket out of the lane, or give back an unused turn."""
        self.lane.leave(ticket)
        if not turn.future.done():
            turn.future.cancel()
        elif turn.future.exception() is None:
            self.release(turn.future.result(), 0, 0.0, failed=False)

    def pump(self):
        """Hand out turns while upstreams have room."""
        while self.lane.size and self.pool.has_room():
            ticket = self.lane.next()
            if ticket is None:
                return
            turn = ticket.grant
            upstream = self.pool.choose(turn.key, turn.avoid)
            if upstream is None:
                upstream = self.pool.choose(turn.key)
            if turn.future.done():
                continue
            if upstream is None:
                error = RequestError(ErrorKind.NO_UPSTREAM, "none is left")
                _fail(turn, error)
                continue
            self.pool.started(upstream)
            turn.future.set_result(upstream)

    def release(self, upstream, size, seconds, failed):
        """Count a request out and hand out the next turn.

        :param size: most tokens of its answer; 0 if it did not run
        :param seconds: how long it ran
        """
        self.pool.ended(upstream, failed)
        if seconds and not failed:
            self.lane.finished(size, seconds)
        self.pump()


def _fail(turn, error):
    if not turn.future.done():
        turn.future.set_exception(error)
