"""Copies runs to other engines, and lets them go on there.

``migration`` decides; this module picks the engines, keeps the estimate of
their memory, and frees the copies that are not needed any more.
"""

import asyncio
import json
import re
import urllib.parse

import structlog

from ..errors import ConnectionEnded
from ..errors import UpstreamError
from ..hashing import rendezvous
from ..json_values import is_number
from ..json_values import load_json
from ..migration import MemoryBook
from ..migration import Migration
from ..migration import MovePolicy
from ..migration import Place
from ..routing import RouteKind
from ..tasks import TaskSet
from .stopping import Durations

LOG = structlog.get_logger(__name__)

# Time-out in seconds of a request that frees a copy: without an answer the
# copy expires by itself a few seconds later.
RELEASE_TIMEOUT = 1.0
# Seconds between the end of a run and the call that frees its copy.  An engine
# that has not noticed the end sends one more part of the memory, which would
# be held until it expires.
RELEASE_DELAY = 0.1
# Time-out in seconds of an engine's report and of each call that copies a run:
# a gigabyte passes an engine's link in 30 ms.
REPORT_TIMEOUT = 0.3
MOVE_TIMEOUT = 1.0
# Statuses by which an engine says that it did not stop a run: it has no such
# run, or another call is under way.  After any other answer without a handle
# it may have stopped the run.
NOT_STOPPED = (404, 409)
# A handle is sent back in a header, which holds no other text: words of ASCII
# with spaces between them.  The longest one leaves room for the other headers.
_HANDLE = re.compile(r"[!-~](?:[ -~]{0,4094}[!-~])?")


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
        # The UpstreamState that each job was sent to last, and the tasks of
        # moves by job.
        self._states = {}
        self._moves = {}
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
        # Engines name a run by the request's id, which its caller chose.
        if not _is_handle(job.id):
            return
        self._states[job] = state
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
        if not engine.backups or not _is_lost_with_engine(job):
            return False
        seconds = self._durations.average(route.name) or route.objective
        size = job.tokens.max_total * engine.token_bytes
        return self._policy.backup_pays(size, seconds)

    def _begin_backup(self, job, state, engine):
        target = self._choose_target(job, state, engine)
        if target is None:
            return
        self._begin(job, state, target, "backup", job.id)

    def _begin(self, job, state, target, kind, handle=None):
        """Set and return the Migration of a job."""
        tokens = job.tokens.max_total
        self._memory.reserve(job, target.record.run.name, tokens)
        job.migration = Migration(
            _place(state), _place(target), state.record.version, handle
        )
        self._gateway.metrics.copies.inc({"outcome": kind})
        LOG.info(
            "run_copied",
            request=job.id,
            kind=kind,
            source=state.record.id,
            target=target.record.id,
            tokens=tokens,
        )
        return job.migration

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
        if not by_id:
            self._gateway.metrics.copies.inc({"outcome": "no room"})
            return None
        return by_id[min(rendezvous(job.id, by_id), key=weight)]

    def _receivers(self, job, record):
        """Return the UpstreamStates of a version, other than one upstream."""
        gateway = self._gateway
        avoid = {*job.tried, record.run}
        now = gateway.clock.steady()
        candidates = gateway.pool.candidates(
            job.service, avoid, now, record.version
        )
        return gateway.cold.warm(gateway.limits.unlimited(candidates))

    # Moves

    def move_leaving(self):
        """Begin to move the runs whose engines leave."""
        for job, state in list(self._states.items()):
            engine = self._engine(job)
            if not state.leaving or job in self._moves:
                continue
            if job.migration is None and self._wants_move(job, engine):
                move = self._tasks.spawn(self._move(job, state, engine))
                self._moves[job] = move

    def _wants_move(self, job, engine):
        """Return whether a move of a run that would be lost pays."""
        if engine is None or not engine.moves:
            return False
        size = job.tokens.max_total * engine.token_bytes
        return _is_lost_with_engine(job) and self._policy.move_pays(size)

    async def _move(self, job, state, engine):
        """Copy a run, stop it, and leave the rest to its sender.

        The copy is made while the run goes on, so that the caller waits only
        for what is new since then.
        """
        leaves_at = await self._ask_leaves_at(state)
        if self._policy.ends_in_time(self._ends_at(job), leaves_at):
            return
        # Meanwhile it may have been sent elsewhere, or have ended.
        if self._states.get(job) is not state:
            return
        target = self._choose_target(job, state, engine)
        if target is None:
            return
        migration = self._begin(job, state, target, "move")
        status, answer = await self._call_move(job, migration, last=False)
        if status == 200:
            migration.record_copy(_handle(answer))
        if not migration.begin_stop():
            return migration.drop()
        status, answer = await self._call_move(job, migration, last=True)
        if status in (200, 503) and _handle(answer) is not None:
            migration.record_stop(_handle(answer), status == 200)
        elif status in NOT_STOPPED:
            migration.record_no_stop()

    async def _ask_leaves_at(self, state):
        """Return when an engine leaves by its report, None if unknown."""
        path = self._gateway.dialect.report_path
        _status, answer = await self._call(
            _place(state), "GET", path, None, REPORT_TIMEOUT
        )
        left = answer.get("leaves_ms")
        if not is_number(left):
            return None
        return self._gateway.clock.steady() + left / 1000

    def _ends_at(self, job):
        """Return when a run ends at its pace, None if that is not known."""
        if job.events < 2:
            return None
        pace = (job.last_event_at - job.first_event_at) / (job.events - 1)
        left = job.remaining_tokens / job.tokens.per_event
        return self._gateway.clock.steady() + left * pace

    async def _call_move(self, job, migration, last):
        """Ask the source to copy a run; return status and answer."""
        value = {
            "id": job.id,
            "target_version": migration.target.address,
            "last": last,
        }
        path = self._gateway.dialect.move_path
        return await self._call(
            migration.source, "POST", path, value, MOVE_TIMEOUT
        )

    async def _call(self, place, method, path, value, timeout):
        """Send JSON to an engine; return status and answer.

        :returns: (0, {}) if it did not answer or was not asked,
            as this router backs off from it
        """
        gateway = self._gateway
        state = gateway.pool.get(place.run.id)
        if state is not None and state.is_backed_off(gateway.clock.steady()):
            LOG.info("engine_not_asked", upstream=place.run.id, path=path)
            return 0, {}
        body = b"" if value is None else json.dumps(value).encode()
        headers = [(gateway.dialect.expected_instance, place.run.id)]
        sent_at = gateway.clock.steady()
        try:
            async with asyncio.timeout(timeout):
                answer = await gateway.client.request(
                    place.address, method, path, body, headers
                )
                self._record_notice(place, answer, sent_at)
                data = await answer.read()
            fields = load_json(data or b"{}")
        except (UpstreamError, asyncio.TimeoutError, ValueError) as error:
            LOG.info(
                "engine_unanswered",
                upstream=place.run.id,
                path=path,
                error=str(error),
            )
            return 0, {}
        return answer.status, fields if isinstance(fields, dict) else {}

    def _record_notice(self, place, answer, sent_at):
        """Record what an engine's answer says of the engine itself."""
        state = self._gateway.pool.get(place.run.id)
        if state is not None and state.record.run == place.run:
            self._gateway.notices.record_question(
                state.record, answer, sent_at
            )

    async def wait_for_move(self, job):
        """Wait until it is known what became of a job's move.

        The stream may break off before the source answers that it stopped.
        """
        move = self._moves.get(job)
        if move is not None:
            await asyncio.wait([move])

    # The end of a send

    async def check_end(self, job):
        """Check that the orderly end of a stream is not that of a stopped run.

        For a stream without a length both look the same.

        :raises ConnectionEnded: its engine may have stopped the run
        """
        await self.wait_for_move(job)
        if job.migration is not None and job.migration.may_have_stopped:
            raise ConnectionEnded("the run was stopped to move elsewhere")

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
        if state.is_backed_off(self._gateway.clock.steady()):
            return None
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
        self._states.pop(job, None)
        self._moves.pop(job, None)
        if job.complete:
            seconds = job.last_event_at and job.last_event_at - job.arrived
            self._durations.record(job.route.name, seconds or 0.0)
        migration = job.migration
        if migration is None:
            return
        unused = migration.holds_copy
        if job.complete:
            if migration.place is not None:
                self._gateway.metrics.resumed_runs.inc({"outcome": "complete"})
            # The engines themselves free a backup once its run has ended.
            unused = unused and not migration.is_backup
            migration.record_complete()
        else:
            unused = unused or migration.place is not None
            migration.drop()
        if unused:
            self._tasks.spawn(self._release(migration))

    async def _release(self, migration):
        """Free the copy of a run, which the source of a move does."""
        is_backup = migration.is_backup
        place = migration.target if is_backup else migration.source
        # The caller chose the request's id, which may hold any character.
        handle = urllib.parse.quote(migration.handle, safe="")
        path = self._gateway.dialect.handle_path + handle
        await asyncio.sleep(RELEASE_DELAY)
        await self._call(place, "DELETE", path, None, RELEASE_TIMEOUT)

    def close(self):
        """End what is under way."""
        self._tasks.cancel()


def _is_lost_with_engine(job):
    """Return whether a job's run cannot begin anew at another engine."""
    route = job.route
    return route.kind is RouteKind.STREAM and not route.resumable


def _handle(answer):
    """Return the handle that an engine's answer names, or None."""
    handle = answer.get("handle")
    return handle if _is_handle(handle) else None


def _is_handle(value):
    """Return whether a value can be sent in a header as a copy's name."""
    return isinstance(value, str) and bool(_HANDLE.fullmatch(value))


def _place(state):
    return Place(state.record.run, state.record.address)
