"""Copies runs to other engines, and lets them go on there.

``migration`` decides; this module picks the engines, keeps the estimate of
their memory, and frees the copies that are not needed any more.
"""

import asyncio

import structlog

from ..errors import ConnectionEnded
from ..errors import UpstreamError
from ..hashing import rendezvous
from ..migration import MemoryBook
from ..migration import Migration
from ..migration import MovePolicy
from ..migration import Phase
from ..migration import Place
from ..routing import RouteKind
from ..tasks import TaskSet
from .stopping import Durations

LOG = structlog.get_logger(__name__)

# Time-out in seconds of a request that frees a copy: without an answer the
# copy expires by itself a few seconds later.
RELEASE_TIMEOUT = 1.0


class Migrations:
    """The Migrations of this router's jobs.

    :param gateway: the Gateway, for its parts
    :param settings: the GatewaySettings
    """

    def __init__(self, gateway, settings):
        self._gateway = gateway
        self._policy = MovePolicy(
            settings.copy_cost,
            settings.lost_stream_cost,
            settings.engine_failure_rate,
        )
        self._memory = MemoryBook()
        self._durations = Durations()
        self._tasks = TaskSet()

    # Copying

    def prepare(self, job, state):
        """Decide whether a job that is about to be sent gets a copy.

        :param state: UpstreamState of the engine that is to execute it
        """
        job.migration = None
        if not self._policy.enabled:
            return
        self._memory.release(job)
        engine = self._engine(job)
        if engine is None or job.tokens is None:
            return
        self._memory.reserve(job, state.record.run.name, job.tokens.max_total)
        if self._wants_backup(job, engine):
            self._begin_backup(job, state, engine)

    def _engine(self, job):
        """Return the EngineLimits of a job's service, or None."""
        table = self._gateway.table
        service = table and table.services.get(job.service)
        return service and service.engine

    def _wants_backup(self, job, engine):
        """Return whether a copy of a job's run as it grows pays."""
        route = job.route
        if not engine.backups or not engine.memory_tokens:
            return False
        if route.kind is not RouteKind.STREAM or route.resumable:
            return False
        seconds = self._durations.average(route.name) or route.objective
        size = job.tokens.max_total * engine.token_bytes
        return self._policy.backup_pays(size, seconds)

    def _begin_backup(self, job, state, engine):
        target = self._choose_target(job, state, engine)
        if target is None:
            self._gateway.metrics.copies.inc({"outcome": "no room"})
            return
        tokens = job.tokens.max_total
        self._memory.reserve(job, target.record.run.name, tokens)
        job.migration = Migration(
            _place(state), _place(target), state.record.version, job.id
        )
        self._gateway.metrics.copies.inc({"outcome": "backup"})
        LOG.info(
            "run_copied",
            request=job.id,
            source=state.record.id,
            target=target.record.id,
            tokens=tokens,
        )

    def _choose_target(self, job, source, engine):
        """Return the UpstreamState that receives a copy, or None.

        Copies stay within the data centre if possible, as the traffic between
        data centres is expensive.
        """
        record = source.record
        if not record.version:
            return None
        routers = max(1, len(self._gateway.members.addresses))
        tokens = job.tokens.max_total
        by_id = {
            state.record.id: state
            for state in self._receivers(job, record)
            if self._memory.has_room(
                state.record.run.name, tokens, engine.memory_tokens, routers
            )
        }

        def weight(name):
            other = by_id[name].record
            remote = other.data_centre != record.data_centre
            return remote, self._memory.tokens(other.run.name)

        # The first of equal ones is taken.
        return by_id.get(
            min(rendezvous(job.id, by_id), key=weight, default=None)
        )

    def _receivers(self, job, record):
        """Return the UpstreamStates of a version, other than one upstream."""
        gateway = self._gateway
        avoid = {*job.tried, record.run}
        now = gateway.clock.steady()
        candidates = gateway.pool.candidates(
            job.service, avoid, now, record.version
        )
        return gateway.cold.warm(gateway.limits.unlimited(candidates))

    # The end of a send

    def record_failure(self, job, error):
        """Record that a send of a job failed.

        Afterwards ``job.resuming`` says whether its run may go on elsewhere.

        :param error: the UpstreamError
        """
        migration = job.migration
        if migration is None:
            return
        if migration.place is not None:
            self._record_failed_resume(migration, error)
        elif not error.started:
            # It was not run; the next send chooses anew.
            job.migration = None
        elif job.events and job.last_event is None:
            # Without ids nobody could tell which event comes next.
            migration.drop()
        else:
            migration.record_end(isinstance(error, ConnectionEnded))

    def _record_failed_resume(self, migration, error):
        self._gateway.metrics.resumed_runs.inc(
            {"outcome": "failed" if error.started else "refused"}
        )
        if error.started:
            migration.drop()
        else:
            migration.record_refusal()

    def find_place(self, job):
        """Return the UpstreamState at which a run is resumed, or None."""
        migration = job.migration
        place = migration.place
        state = self._gateway.pool.get(place.run.id)
        if state is None:
            return None
        record = state.record
        if not migration.fits(record.run, record.version):
            return None
        LOG.info(
            "run_resumed",
            request=job.id,
            source=migration.source.run.id,
            upstream=record.id,
            version=migration.version,
            last_event=job.last_event,
        )
        return state

    def finish(self, job):
        """Free what a job that has ended occupies."""
        self._memory.release(job)
        if job.complete:
            seconds = job.last_event_at and job.last_event_at - job.arrived
            self._durations.record(job.route.name, seconds or 0.0)
        migration = job.migration
        if migration is None:
            return
        if job.complete:
            if migration.place is not None:
                self._gateway.metrics.resumed_runs.inc({"outcome": "complete"})
            migration.record_complete()
            return
        if migration.phase is not Phase.DROPPED:
            migration.drop()
            self._tasks.spawn(self._release(migration))

    async def _release(self, migration):
        """Free the copy of a run that ended before its end."""
        gateway, target = self._gateway, migration.target
        names = gateway.dialect
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT):
                answer = await gateway.client.request(
                    target.address,
                    "DELETE",
                    names.handle_path + migration.handle,
                    headers=[(names.expected_instance, target.run.id)],
                )
                await answer.read()
        except (UpstreamError, asyncio.TimeoutError) as error:
            LOG.info(
                "copy_not_released",
                request=migration.handle,
                upstream=target.run.id,
                error=str(error),
            )

    def close(self):
        """End what is under way."""
        self._tasks.cancel()


def _place(state):
    return Place(state.record.run, state.record.address)
