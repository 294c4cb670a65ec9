"""Settles reservations whose entry router died."""

import structlog

from ..errors import PeerError
from ..errors import PeerGone
from ..errors import RowanportError
from ..incarnation import address_of
from ..schema.messages import Ack
from .record import NO_BILL

LOG = structlog.get_logger(__name__)
# Seconds for which a router has to seem dead before its reservations without a
# started run are released.  A router that was just slow keeps them.
RELEASE_AFTER = 1.0
# Seconds after the end of a process within which bytes that it sent may still
# arrive.
LAST_BYTES_DELAY = 1.0
# Seconds after the start of a run within which its engine cannot have been
# restarted and so have lost its list of runs: loading a model takes longer.
MIN_ENGINE_RESTART = 8.0
# Seconds after its deadline at which a run is presumed to have spent all
# reserved tokens if its upstream does not answer.
PRESUME_AFTER = 5.0
# Seconds after which a run that its upstream does not know is presumed spent,
# as its router may still be alive and send it.  A paused router has mostly
# resumed by then; if it resumes later, its report undoes the presumption.
PRESUME_UNKNOWN_AFTER = 10.0
PROBE_TIMEOUT = 0.5


class RunUnknown(RowanportError):
    """The recorded upstream knows no run of the request.

    :param remembered: whether the upstream keeps a list of its past runs, so
        that not knowing one shows that it never arrived
    """

    def __init__(self, upstream, remembered=True):
        super().__init__(upstream)
        self.remembered = remembered


class Resolution:
    """The result that the run of a dead router is settled with.

    :ivar run: run id, or the reservation id if it is presumed spent
    :ivar tokens: tokens consumed, 0 if the run never began
    :ivar expiry: expiry of the bill, NO_BILL if there is none
    """

    __slots__ = ("run", "tokens", "expiry")

    def __init__(self, run, tokens, expiry):
        self.run = run
        self.tokens = tokens
        self.expiry = expiry


NOT_RUN = Resolution("", 0, NO_BILL)


class OrphanResolver:
    """Determines what the runs of dead entry routers consumed.

    :param resolve: coroutine function that takes a reservation and returns
        ``(run, tokens)``, or None while unknown; it may raise RunUnknown
    :param peers: a PeerClient
    :param members: the Membership
    :param bill_memory: seconds for which a bill is kept after the deadline
    :param clock: a Clock
    """

    def __init__(self, resolve, peers, members, bill_memory, clock):
        self._resolve = resolve
        self._peers = peers
        self._members = members
        self._bill_memory = bill_memory
        self._clock = clock

    async def resolve(self, orphan):
        """Return the Resolution of a reservation, or None while unknown.

        :param orphan: a Reservation or a witnessed OpenReservation
        """
        now = self._clock.wall()
        if orphan.orphaned_at is None:
            orphan.orphaned_at = now
        if not orphan.upstream:
            # A router has to record the upstream before it sends the run, and
            # is refused that once the reservation is released.
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
            # Its router is back and may have sent the run elsewhere.
            return None
        if result is not None:
            expiry = orphan.deadline + self._bill_memory
            return Resolution(*result, expiry)
        if unknown is not None and unknown.remembered:
            if self._never_arrives(orphan, now):
                return NOT_RUN
        if self._clock.wall() < _presume_at(orphan, unknown):
            return None
        # The consumption cannot be determined: presume that all reserved
        # tokens were spent, without a bill.
        return Resolution(orphan.reservation, orphan.tokens, NO_BILL)

    def _never_arrives(self, orphan, asked_at):
        """Return whether a run unknown to its engine can no longer begin.

        That is so if the router's process had ended long enough before the
        engine was asked, and the engine cannot have restarted since.

        :param asked_at: wall time before the engine was asked
        """
        if (
            orphan.router_ended_at is None
            or asked_at < orphan.router_ended_at + LAST_BYTES_DELAY
        ):
            return False
        return self._clock.wall() < orphan.started_at + MIN_ENGINE_RESTART

    async def _record_router_end(self, orphan):
        """Record when the process of the router was known to have ended.

        A router that just does not answer may be paused and send the run
        later.
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
            LOG.info("dead_entry_unreachable", router=router, error=str(error))
        return False


def _presume_at(orphan, unknown):
    """Return the wall time at which a run is presumed spent.

    :param unknown: the RunUnknown of the upstream, None if it did not answer
    """
    late = orphan.deadline + PRESUME_AFTER
    if unknown is None:
        return late
    return min(late, orphan.orphaned_at + PRESUME_UNKNOWN_AFTER)


def log_resolved(message, upstream):
    """Log the settlement of a dead entry router's run.

    :param message: the Settle message
    :param upstream: address it was sent to, empty if it had not started
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
