"""Reservations whose entry died, and what their runs are settled with."""

import structlog

from ..errors import PeerError
from ..errors import PeerGone
from ..errors import RowanportError
from ..incarnation import address_of
from ..schema.messages import Ack
from .record import NO_BILL

LOG = structlog.get_logger(__name__)
# Seconds for which a router has to seem dead before what it had not started is
# given back: one that was merely slow to answer keeps its place.
RELEASE_AFTER = 1.0
# Seconds for which the last bytes of an ended process may be under way.
LAST_BYTES_DELAY = 1.0
# Seconds from the start of a run within which its engine cannot have been
# restarted and forgotten it: to load a model takes longer.
MIN_ENGINE_RESTART = 8.0
# Seconds after its deadline at which a run is presumed spent whose upstream
# does not answer.
PRESUME_AFTER = 5.0
# Seconds after which a run is presumed spent that its upstream does not know,
# while its router may still be alive and send it.  A paused router is mostly
# back by then; if it comes later, its word takes back what was presumed.
PRESUME_UNKNOWN_AFTER = 10.0
PROBE_TIMEOUT = 0.5


class RunUnknown(RowanportError):
    """The upstream that was named knows no run of the request.

    :param remembered: whether it would know of one that it ever had
    """

    def __init__(self, upstream, remembered=True):
        super().__init__(upstream)
        self.remembered = remembered


class Resolution:
    """What a dead entry's run is settled with.

    :ivar tokens: 0 if it never began
    :ivar expiry: of its bill, NO_BILL if there is none
    """

    __slots__ = ("run", "tokens", "expiry")

    def __init__(self, run, tokens, expiry):
        self.run = run
        self.tokens = tokens
        self.expiry = expiry


NOT_RUN = Resolution("", 0, NO_BILL)


class OrphanResolver:
    """Finds out what the runs of dead entries consumed.

    :param resolve: coroutine function of a reservation, to ``(run, tokens)``
        or None while that is not known; it raises RunUnknown
    :param peers: a PeerClient
    :param members: the Membership
    :param bill_memory: seconds for which a bill is remembered
    :param clock: a Clock
    """

    def __init__(self, resolve, peers, members, bill_memory, clock):
        self._resolve = resolve
        self._peers = peers
        self._members = members
        self._bill_memory = bill_memory
        self._clock = clock

    async def resolve(self, orphan):
        """Return the Resolution of an orphan, or None while unknown.

        :param orphan: a Reservation or a witnessed OpenReservation
        """
        now = self._clock.wall()
        if orphan.orphaned_at is None:
            orphan.orphaned_at = now
        if not orphan.upstream:
            # Its router has to name the upstream before it sends the run, and
            # is refused once the reservation is given back.
            late = now >= orphan.orphaned_at + RELEASE_AFTER
            return NOT_RUN if late else None
        return await self._resolve_started(orphan, now)

    async def _resolve_started(self, orphan, now):
        upstream = orphan.upstream
        await self._record_router_end(orphan)
        result = unknown = None
        try:
            result = await self._resolve(orphan)
        except RunUnknown as error:
            unknown = error
        if orphan.orphaned_at is None or orphan.upstream != upstream:
            # Its router is back, and may have sent it elsewhere.
            return None
        if result is not None:
            expiry = orphan.deadline + self._bill_memory
            return Resolution(*result, expiry)
        if unknown is not None and unknown.remembered:
            if self._never_arrives(orphan, now):
                return NOT_RUN
        if self._clock.wall() < _presume_at(orphan, unknown):
            return None
        # Nobody can tell: presume all spent, on no bill.
        return Resolution(orphan.reservation, orphan.tokens, NO_BILL)

    def _never_arrives(self, orphan, asked_at):
        """Return whether a run that its engine does not know never began.

        :param asked_at: wall time before the engine was asked
        """
        if (
            orphan.router_ended_at is None
            or asked_at < orphan.router_ended_at + LAST_BYTES_DELAY
        ):
            return False
        return self._clock.wall() < orphan.started_at + MIN_ENGINE_RESTART

    async def _record_router_end(self, orphan):
        """Note whether the process of an orphan's router has ended.

        One that merely does not answer may be paused, and send the run later.
        """
        if orphan.router_ended_at is None and await self._has_router_ended(
            orphan.router
        ):
            orphan.router_ended_at = self._clock.wall()

    async def _has_router_ended(self, router):
        if self._members.is_replaced(router):
            return True
        try:
            await self._peers.call(address_of(router), Ack(), PROBE_TIMEOUT)
        except PeerGone:
            return True
        except PeerError as error:
            LOG.info("dead_entry_silent", router=router, error=str(error))
        return False


def _presume_at(orphan, unknown):
    """Return when the run of an orphan is presumed spent.

    :param unknown: the RunUnknown of its upstream, None if it did not answer
    """
    late = orphan.deadline + PRESUME_AFTER
    if unknown is None:
        return late
    return min(late, orphan.orphaned_at + PRESUME_UNKNOWN_AFTER)


def log_resolved(message, upstream):
    """Log what a dead entry's run is settled with.

    :param message: the Settle message
    :param upstream: where it was sent, empty if its run had not started
    """
    LOG.info(
        "dead_entry_settled",
        request=message.request,
        reservation=message.reservation,
        run=message.run,
        tokens=message.tokens,
        presumed=message.tokens > 0 and message.expiry == NO_BILL,
        upstream=upstream,
    )
