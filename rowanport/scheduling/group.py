"""Scheduling for one upstream group: queueing and upstream selection."""

import asyncio

from ..errors import ErrorKind
from ..errors import RequestError
from ..upstreams.pool import Pool
from .lane import Lane
from .lane import Ticket
from .limits import RetryBudget


class _PendingRequest:
    """A queued request: how to select its upstream, and its result.

    :ivar key: affinity key
    :ivar avoid: addresses of upstreams that already failed the request
    :ivar future: set to the selected Upstream or to a RequestError
    """

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
        """Wait until a request may be sent and return its Upstream.

        :param key: affinity key, such as a prompt prefix
        :param cost: worst-case cost in tokens
        :param size: maximum tokens of the answer
        :param avoid: addresses of upstreams that already failed the request
        :raises RequestError: the request is refused, on arrival if its
            deadline cannot be met, else while it is queued
        """
        if not self.pool.any_usable():
            raise self._none_usable_error()
        pending = _PendingRequest(key, avoid)
        ticket = Ticket(
            decision.priority,
            call.organisation.name,
            call.organisation.weight,
            call.deadline,
            cost,
            size,
            pending,
            lambda error: _fail(pending, error),
        )
        self.lane.enter(ticket, self.pool.slots())
        self.dispatch()
        remaining = max(0.0, call.deadline - self._clock.wall())
        try:
            await asyncio.wait({pending.future}, timeout=remaining)
        except asyncio.CancelledError:
            self._withdraw(ticket, pending)
            raise
        if not pending.future.done():
            self.lane.leave(ticket)
            raise RequestError(
                ErrorKind.DEADLINE_PASSED, "deadline passed while queued"
            )
        return pending.future.result()

    def _none_usable_error(self):
        """Return the RequestError of a request that no upstream may get."""
        available_at = self.pool.available_at()
        if available_at is None:
            return RequestError(ErrorKind.NO_UPSTREAM, "no upstream available")
        return RequestError(
            ErrorKind.OVERLOADED,
            "all upstreams asked to back off",
            come_back_at=available_at,
        )

    def _withdraw(self, ticket, pending):
        """Dequeue a cancelled request, or release the slot it was given."""
        self.lane.leave(ticket)
        if not pending.future.done():
            pending.future.cancel()
        elif pending.future.exception() is None:
            self.release(pending.future.result(), 0, 0.0, failed=False)

    def dispatch(self):
        """Dispatch queued requests while upstreams have free slots."""
        while self.lane.size and self.pool.has_room():
            ticket = self.lane.next()
            if ticket is None:
                return
            pending = ticket.grant
            upstream = self.pool.choose(pending.key, pending.avoid)
            if upstream is None:
                upstream = self.pool.choose(pending.key)
            if pending.future.done():
                continue
            if upstream is None:
                _fail(pending, self._none_usable_error())
                continue
            self.pool.started(upstream)
            pending.future.set_result(upstream)

    def release(self, upstream, size, seconds, failed):
        """Free the slot of a request and dispatch the next one.

        :param size: maximum tokens of the answer; 0 if the request did not
            run
        :param seconds: run time
        :param failed: whether the failure counts against the upstream
        """
        self.pool.ended(upstream, failed)
        if seconds and not failed:
            self.lane.finished(size, seconds)
        self.dispatch()


def _fail(pending, error):
    if not pending.future.done():
        pending.future.set_exception(error)
