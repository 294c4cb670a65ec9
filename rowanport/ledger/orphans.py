"""Reservations whose entry died, and what their runs are settled with."""

import structlog

from ..errors import RowanportError
from .record import NO_BILL

LOG = structlog.get_logger(__name__)
# Seconds after its deadline at which a run is presumed spent whose upstream
# does not answer.
PRESUME_AFTER = 5.0
# Seconds after which a run is presumed spent that no upstream is known to
# have.  Waiting for its deadline kept the books open longer: those of six
# routers, one killed with a request of 30 s that waited for its turn, closed
# 29 to 30 s after the load had ended, and 11 to 14 s after it with this.  A
# paused router is mostly back by then; if it comes later, its word takes back
# what was presumed.
PRESUME_UNKNOWN_AFTER = 10.0


class RunUnknown(RowanportError):
    """The upstream that was named knows no run of the request."""


class Resolution:
    """What a dead entry's run is settled with.

    :ivar expiry: of its bill, NO_BILL if the run is merely presumed
    """

    __slots__ = ("run", "tokens", "expiry")

    def __init__(self, run, tokens, expiry):
        self.run = run
        self.tokens = tokens
        self.expiry = expiry


class OrphanResolver:
    """Finds out what the runs of dead entries consumed.

    :param resolve: coroutine function of a reservation, to ``(run, tokens)``
        or None while that is not known; it raises RunUnknown
    :param bill_memory: seconds for which a bill is remembered
    :param clock: a Clock
    """

    def __init__(self, resolve, bill_memory, clock):
        self._resolve = resolve
        self._bill_memory = bill_memory
        self._clock = clock

    async def resolve(self, orphan):
        """Return the Resolution of an orphan, or None while unknown.

        :param orphan: a Reservation or a witnessed OpenReservation
        """
        result = None
        unknown = not orphan.upstream
        try:
            result = await self._resolve(orphan)
        except RunUnknown:
            unknown = True
        if result is not None:
            expiry = orphan.deadline + self._bill_memory
            return Resolution(*result, expiry)
        if self._clock.wall() < self._presume_at(orphan, unknown):
            return None
        # Nobody can tell: presume all spent, on no bill.
        return Resolution(orphan.reservation, orphan.tokens, NO_BILL)

    def _presume_at(self, orphan, unknown):
        """Return when a run is presumed spent.

        :param unknown: whether no upstream is known to have it
        """
        late = orphan.deadline + PRESUME_AFTER
        if not unknown:
            orphan.presume_at = None
            return late
        if orphan.presume_at is None:
            now = self._clock.wall()
            orphan.presume_at = now + PRESUME_UNKNOWN_AFTER
        return min(late, orphan.presume_at)


def log_resolved(message, upstream):
    """Log what a dead entry's run is settled with.

    :param message: the Settle message
    :param upstream: where it ran, empty if nobody was told
    """
    LOG.info(
        "dead_entry_settled",
        request=message.request,
        reservation=message.reservation,
        run=message.run,
        tokens=message.tokens,
        presumed=message.expiry == NO_BILL,
        upstream=upstream,
    )
