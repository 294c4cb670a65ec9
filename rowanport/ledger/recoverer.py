"""Settles runs of dead routers and recovers grants of dead holders."""

import asyncio

import structlog

from ..errors import PeerError
from ..incarnation import address_of
from ..incarnation import cell_of
from ..incarnation import incarnation_of
from ..schema.messages import Attest
from ..schema.messages import Attested
from ..schema.messages import Recovery
from ..schema.messages import Settle
from ..tasks import TaskSet
from .orphans import log_resolved
from .orphans import OrphanResolver
from .record import live_holders

LOG = structlog.get_logger(__name__)
ATTEST_TIMEOUT = 1.0
RECOVER_AFTER = 5.0


class Recoverer:
    """Resolves dead entry routers and dead holders for one LedgerKeeper.

    :param incarnation: incarnation of this router
    :param peers: a PeerClient
    :param members: the Membership
    :param settings: LedgerSettings
    :param clock: a Clock
    :param metrics: the Metrics
    :param book: this router's ReservationBook
    :param resolve: coroutine function that takes a Reservation whose entry
        router died and returns ``(run, tokens)``, or None while unknown
    :param attest: function that returns this router's answer to an Attest
        message
    """

    def __init__(
        self,
        incarnation,
        peers,
        members,
        settings,
        clock,
        metrics,
        book,
        resolve,
        attest,
    ):
        self._incarnation = incarnation
        self._peers = peers
        self._members = members
        self._clock = clock
        self._metrics = metrics
        self._book = book
        self._resolver = OrphanResolver(
            resolve, peers, members, settings.bill_memory, clock
        )
        self._attest = attest
        self._resolving = set()
        self._tasks = TaskSet()

    # Dead entry routers

    def resolve_orphans(self, holder):
        """Settle the runs of a holder's dead entry routers.

        The upstreams are asked how many tokens the runs consumed.
        """
        for reservation in holder.reservations():
            if not self._is_orphan(reservation):
                reservation.orphaned_at = reservation.router_ended_at = None
                continue
            if reservation.reservation in self._resolving:
                continue
            self._resolving.add(reservation.reservation)
            self._tasks.spawn(self._resolve_one(holder, reservation))

    def _is_orphan(self, reservation):
        """Return whether the entry router of a reservation died.

        A reservation of this router's own requests has the witness as its
        ``entry``.  It is no orphan when the witness dies: if it were, its run
        would be cancelled at the deadline while the caller still reads it.
        """
        if reservation.reservation in self._book:
            return False
        return not self._members.is_alive(reservation.entry)

    async def _resolve_one(self, holder, reservation):
        """Settle a run whose entry router died, as its upstream reports."""
        try:
            result = await self._resolver.resolve(reservation)
            if result is None or not holder.holds(reservation):
                return
            if not self._is_orphan(reservation):
                return
            message = Settle(
                reservation.request,
                reservation.reservation,
                result.run,
                reservation.budget,
                holder.holder,
                result.tokens,
                result.expiry,
            )
            holder.settle(message, self._clock.wall())
            log_resolved(message, reservation.upstream)
            self._metrics.resolved_runs.inc({})
        finally:
            self._resolving.discard(reservation.reservation)

    # Dead holders

    def recover_dead_holders(self, state, now):
        """Recover the grants of dead holders of a shard in this cell.

        A recovery is tried again every ``RECOVER_AFTER`` seconds.

        :param state: the ShardState
        """
        record = state.holder.record
        if record is None:
            return
        for holder in record.holders:
            if not self._is_recoverable(holder, record):
                state.dead_since.pop(holder, None)
                continue
            since = state.dead_since.setdefault(holder, now)
            if now >= since + RECOVER_AFTER:
                state.dead_since[holder] = now
                self._tasks.spawn(self._recover(state, holder, record))

    def _is_recoverable(self, holder, record):
        """Return whether a holder's grants may be recovered.

        A holder that was recovered before is recovered again while part of
        its grants is kept, even if its router is back.
        """
        if cell_of(holder) != cell_of(self._incarnation):
            return False
        if holder in record.expelled:
            return True
        return not self._members.is_alive(incarnation_of(holder))

    async def _recover(self, state, dead, record):
        """Recover a dead holder's grants if all routers asked attest.

        :param state: the ShardState
        :param dead: id of the dead holder
        :param record: the ShardRecord as last read
        """
        asked = set(record.holders[dead].entries)
        asked.update(map(incarnation_of, live_holders(record)))
        if not self._members.is_alive(incarnation_of(dead)):
            asked.discard(incarnation_of(dead))
        if incarnation_of(dead) in record.holders[dead].entries:
            LOG.info(
                "holder_unrecovered",
                holder=dead,
                error="listed itself as an entry",
            )
            return
        message = Attest(dead, state.shard)
        kept = self._attest(message).outstanding
        asked.discard(self._incarnation)
        try:
            answers = await asyncio.gather(
                *(self._request_attestation(peer, message) for peer in asked)
            )
        except PeerError as error:
            LOG.info("holder_unrecovered", holder=dead, error=str(error))
            return
        for answer in answers:
            for name, tokens in answer.outstanding.items():
                kept[name] = kept.get(name, 0) + tokens
        if dead in record.expelled and kept == _grants(record, dead):
            return
        self._metrics.recoveries.inc({})
        LOG.info(
            "holder_recovered", shard=state.shard, holder=dead, kept=dict(kept)
        )
        batch = record.holders[dead].batch
        attested = [name for name in record.holders if name != dead]
        state.holder.recover(Recovery(dead, batch, attested, kept))

    async def _request_attestation(self, peer, message):
        answer = await self._peers.call(
            address_of(peer), message, ATTEST_TIMEOUT
        )
        if not isinstance(answer, Attested) or answer.incarnation != peer:
            raise PeerError(f"{peer} was restarted or did not attest")
        return answer


def _grants(record, holder):
    """Return the tokens granted to a holder, by budget."""
    return {
        name: budget.grants[holder]
        for name, budget in record.budgets.items()
        if holder in budget.grants
    }
