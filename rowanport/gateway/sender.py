"""Sends a request to upstreams until it is answered."""

import asyncio
import functools

from ..errors import BoundExceeded
from ..errors import ConnectionEnded
from ..errors import EndUnconfirmed
from ..errors import ErrorKind
from ..errors import ForeignBytes
from ..errors import RequestError
from ..errors import StreamTruncated
from ..errors import UpstreamError
from ..errors import UpstreamLeft
from .attempt import Attempt
from .cold_starts import ENTRY_LAG
from .exchange import NotExecuted
from .race import Race
from .relay import BufferedRelay
from .relay import EventRelay
from .relay import is_stream
from .retry_policy import backed_off_error
from .retry_policy import final_error
from .retry_policy import HedgeDenied
from .retry_policy import RetryDenied

# Share of the remaining time after which a repeatable request without an
# answer is hedged, that is, sent to another upstream as well.
STALL_SHARE = 0.4
# Multiple of the route's objective after which a resumable stream without a
# first event is hedged: callers give up on a stream after 2 s or more.
FIRST_EVENT_OBJECTIVES = 3.0
# Seconds without an event after which such a stream is hedged later on.
EVENT_STALL = 1.5
# Seconds after which the successor of an upstream may be listed: its entry
# arrives a heartbeat after its start.
SUCCESSOR_SECONDS = ENTRY_LAG
# Seconds until a hedge that was refused is tried again: a retry allowance or
# tokens may have become available.
HEDGE_RETRY_INTERVAL = 0.25


class JobSender:
    """Sends one Job, to one upstream after another or to several at once.

    :param gateway: the Gateway, whose components it uses
    :param log: the DecisionLog
    :param retry_policy: the RetryPolicy
    :param job: the Job
    :param responder: the Responder of its caller
    """

    def __init__(self, gateway, log, retry_policy, job, responder):
        self._gateway = gateway
        self._clock = gateway.clock
        self._log = log
        self._crashes = gateway.crashes
        self._retry_policy = retry_policy
        self._job = job
        self._responder = responder
        self._attempts = []

    async def run(self):
        """Send the job until its answer has been forwarded completely.

        :raises RequestError: the job cannot be served
        """
        try:
            attempt = await self._start_admitted()
            while not self._job.complete:
                attempt = await self._advance(attempt)
            attempt.state.record_success()
            self._job.path = attempt.path
            self._job.framing = attempt.answer.framing
            run = attempt.state.record.run
            self._crashes.record_success(self._job, run, attempt.answer.status)
            self._log.count_answered()
        finally:
            for attempt in self._attempts:
                self._close(attempt)
            self._gateway.admission_control.release(self._job)
            self._gateway.migrations.finish(self._job)

    async def _advance(self, attempt):
        """Handle the next progress, stall or failure of an Attempt.

        :returns: the Attempt to continue with
        :raises RequestError: the job cannot be sent again
        """
        try:
            if not await self._wait_for_data(attempt):
                return await self._hedge(attempt)
            self._check(attempt)
            if await attempt.forward():
                if attempt.has_events:
                    self._crashes.record_events(attempt.in_flight_send)
                self._restart_stall_timeout(attempt)
            return attempt
        except UpstreamError as error:
            self._drop(attempt, error)
            return await self._recover(error)

    async def _recover(self, error):
        """Continue after a failed send.

        :param error: the UpstreamError
        :returns: the Attempt to continue with
        :raises RequestError: the job cannot be sent again
        """
        job = self._job
        was_resuming = job.resuming
        await self._gateway.migrations.wait_for_move(job)
        self._gateway.migrations.record_failure(job, error)
        if job.resuming:
            return await self._resume(error)
        if was_resuming:
            # Its run began at another engine: it must not run anew.
            raise final_error(job, error)
        await self._retry_policy.check_retry(job, self._responder, error)
        return await self._start_admitted()

    async def _wait_for_data(self, attempt):
        """Wait for data of the upstream; return False if it stalls."""
        if attempt.stalled_at is None:
            await attempt.advance()
            return True
        left = max(0.0, attempt.stalled_at - self._clock.steady())
        try:
            async with asyncio.timeout(left):
                await attempt.advance()
        except asyncio.TimeoutError:
            if not attempt.confirming:
                return False
            # All of the answer is here: another run would be one too many.
            await attempt.advance()
        return True

    def _check(self, attempt):
        """Raise UpstreamError unless the answer is to be forwarded.

        A failure of the upstream is forwarded only if the job cannot be sent
        again.
        """
        if attempt.forwarding:
            return
        if self._responder.started or self._may_retry:
            attempt.check(self._responder)

    @property
    def _may_retry(self):
        return self._retry_policy.may_retry(self._job, self._responder)

    # Sends

    async def _start_admitted(self):
        """Send the job to another upstream as soon as it may run.

        :returns: the Attempt
        :raises RequestError: it may not run, or no upstream is left
        """
        self._gateway.stopping.check_send(self._job)
        await self._crashes.admit(self._job)
        while True:
            candidates = await self._gateway.connections.free_candidates(
                self._job.service, self._candidates
            )
            state = self._choose_among(candidates)
            if await self._gateway.limits.acquire(state):
                return self._start(state)

    def _start(self, state):
        """Send the job to an upstream; return the Attempt."""
        self._job.runs += 1
        self._gateway.migrations.prepare(self._job, state)
        # Counted before the send, so that concurrent requests go elsewhere.
        ahead = self._record_load(state)
        return self._send(state, state.record.version, ahead)

    async def _resume(self, error):
        """Let the job's run go on from its copy; return the Attempt.

        :param error: the UpstreamError that ended the last send
        :raises RequestError: it cannot go on
        """
        gateway, job = self._gateway, self._job
        gateway.stopping.check_send(job)
        await self._crashes.admit(job)
        await self._retry_policy.check_resume(job, error)
        state = gateway.migrations.find_place(job)
        if state is None or not await gateway.limits.acquire(state):
            raise final_error(job, error)
        # Nearly all of the prompt was read: it adds no load.
        return self._send(state, job.migration.version, None)

    def _send(self, state, version, ahead):
        """Send the job to an upstream; return the Attempt.

        :param version: version at which alone it may run
        :param ahead: prompt tokens that the engine has to process before the
            first event, None if that is not known
        """
        job = self._job
        job.sends += 1
        opening = asyncio.ensure_future(self._open(state, ahead, version))
        in_flight_send = self._crashes.start_run(job, state)
        relay = functools.partial(self._relay, version)
        confirm_end = functools.partial(self._confirm_end, state)
        attempt = Attempt(state, opening, relay, in_flight_send, confirm_end)
        self._attempts.append(attempt)
        if job.tokens is None:
            self._gateway.replicas.record_send(state.record)
        self._restart_stall_timeout(attempt)
        job.upstream = state.record.id
        return attempt

    def _candidates(self):
        """Return the UpstreamStates to which the job may be sent next.

        :raises RequestError: no upstream is left, or none would be in time
        """
        gateway, job = self._gateway, self._job
        now = self._clock.steady()
        candidates = gateway.pool.candidates(
            job.service, job.tried, now, job.version
        )
        if gateway.pool.any_withdrawn:
            job.left_out = gateway.pool.left_out(job.service, now) or None
        candidates = self._accepting(candidates, now)
        if candidates and not job.sends:
            choice = gateway.choice(job.tokens is not None)
            self._check_in_time(choice, candidates, now)
        return candidates

    def _accepting(self, candidates, now):
        """Return the candidates that are known to accept requests now."""
        try:
            self._gateway.views.freshness.check()
            candidates = self._gateway.cold.with_room(candidates)
            return self._gateway.limits.with_permits(candidates, now)
        except RequestError as error:
            if self._job.runs:
                raise final_error(self._job, UpstreamError(error.detail))
            raise

    def _choose_among(self, candidates):
        gateway, job = self._gateway, self._job
        now = self._clock.steady()
        if not candidates:
            raise self._no_upstream_error(now)
        choice = gateway.choice(job.tokens is not None)
        candidates = self._crashes.isolate(job, candidates, now)
        state = choice.choose(candidates, job, now)
        job.backlog = round(state.backlog.tokens(now))
        return state

    def _no_upstream_error(self, now):
        """Return the RequestError of a job without an upstream to go to."""
        job, pool = self._job, self._gateway.pool
        if not job.runs:
            available_at = pool.available_at(job.service, now)
            if available_at is not None:
                return backed_off_error(available_at)
        leave = pool.all_leave(job.service)
        why = "all upstreams leave" if leave else _none_left(job)
        error = final_error(job, UpstreamError(why))
        if leave and not job.runs:
            error.come_back_at = now + SUCCESSOR_SECONDS
        return error

    def _check_in_time(self, choice, candidates, now):
        """Refuse a job that no upstream would start in time.

        In a large fleet a job whose caller would still wait for it becomes a
        background job instead.  Called only before the first send: a job that
        was sent may have run.

        :raises RequestError: overloaded; it names the time for a retry
        """
        if self._job.background:
            # It was accepted and has waited for a connection since.
            return
        control = self._gateway.admission_control
        latest = control.begin_by(self._job)
        late = choice.late_start(candidates, self._job, now, latest)
        if late is None or control.accept_late(self._job, late, candidates):
            return
        raise RequestError(
            ErrorKind.OVERLOADED,
            f"start expected in {late.wait:.2f} s, limit {late.due:.2f} s",
            come_back_at=late.come_back_at,
        )

    async def _open(self, state, ahead, version):
        """Send the job; return the HttpAnswer once its head has arrived.

        :param ahead: prompt tokens that the engine has to process before the
            first event, None if that is not known
        :param version: version of the upstream when it was chosen
        """
        sent_at = self._clock.steady()
        total = state.backlog.total
        check = functools.partial(self._check_before_send, state, version)
        answer = await self._gateway.exchange.send(
            self._job, state.record, check
        )
        now = self._clock.steady()
        # A background job waits for others that its send did not count.
        known = ahead is not None and not self._job.background
        if is_stream(answer) and known:
            state.backlog.record_first_event(
                ahead, now - sent_at, now, self._certain_tokens, total
            )
        elif self._job.tokens is None:
            self._gateway.replicas.record_answer(state.record, now - sent_at)
        self._gateway.admission_control.record_answer(self._job, now - sent_at)
        return answer

    @property
    def _certain_tokens(self):
        """Return the prompt tokens that no engine has cached."""
        tokens = self._job.tokens
        return tokens.prompt - self._job.shared_tokens if tokens else 0

    def _check_before_send(self, state, version):
        """Raise UpstreamLeft if the job may not be sent to the upstream now.

        It may have left while the job waited for a permit or a connection.
        """
        gateway, record = self._gateway, state.record
        # An engine that leaves still has the memory of a run that it stopped.
        leaving = state.leaving and not self._job.returning
        if gateway.pool.get(record.id) is not state or leaving:
            raise UpstreamLeft("upstream left before the send")
        evacuated = gateway.views.evacuations.covers(record.data_centre)
        if evacuated and not self._job.returning:
            raise UpstreamLeft(f"{record.data_centre} is evacuated")
        if record.version != version or self._job.version not in (
            None,
            version,
        ):
            raise UpstreamLeft(f"upstream has version {record.version}")
        freshness = gateway.views.freshness
        if record.lapsing and not freshness.peers_responsive:
            raise UpstreamLeft("upstream has no entry and peers do not answer")
        if freshness.stale:
            raise UpstreamLeft("the list of upstreams is stale")
        now = self._clock.steady()
        if state.is_backed_off(now):
            raise UpstreamLeft("upstream asked to back off")
        gateway.cold.acquire(record)
        self._retry_policy.use_permit(self._job)
        if state.backoff is not None:
            state.backoff.acquire(now)
        self._job.view_age = freshness.age

    def _record_load(self, state):
        """Add the job's prompt to the load of an upstream.

        :returns: the prompt tokens that the engine has to process before the
            first event
        """
        job, gateway = self._job, self._gateway
        # A background job delays none of those whose waits the backlog tells.
        if job.tokens is None or job.background:
            return 0
        unread = gateway.unread(state, job, self._clock.steady())
        return gateway.loads.record_send(state, job.prefix, unread)

    def _relay(self, version, answer):
        """Return the Relay of an HttpAnswer.

        :param version: version of the upstream that sends it
        """
        fields = self._gateway.exchange.answer_fields(answer)
        parts = (self._job, fields, answer, self._responder, self._clock)
        if not is_stream(answer):
            return BufferedRelay(*parts)
        begin = functools.partial(
            self._gateway.streams.begin, self._job, version
        )
        return EventRelay(*parts, begin)

    async def _confirm_end(self, state, answer):
        """Confirm that an answer without a length that has ended is whole.

        :param state: the UpstreamState of the upstream that answered
        :param answer: the HttpAnswer
        :raises ConnectionEnded: nothing shows that it is
        """
        gateway, job = self._gateway, self._job
        may_run_again = functools.partial(self._may_run_elsewhere, state)
        await gateway.ends.confirm(job, state, answer, may_run_again)
        await gateway.migrations.check_end(job)

    def _may_run_elsewhere(self, state):
        """Return whether the job runs, or can run, at another upstream.

        :param state: the UpstreamState of the upstream that does not count
        """
        if any(
            not one.closed and one.state is not state for one in self._attempts
        ):
            return True
        return self._retry_policy.may_run_again(
            self._job, self._responder, state
        )

    def _drop(self, attempt, error):
        """Record the failure of an Attempt, and close it.

        :raises RequestError: the last event that the caller has may be
            foreign, and no other run can take it back
        """
        job, state = self._job, attempt.state
        path = error.path or attempt.path
        job.tried.add(state.record.run)
        if not error.started and not job.resuming:
            job.runs -= 1
            self._retry_policy.release_hedge(job, attempt.tokens)
        if isinstance(error, UpstreamLeft):
            job.sends -= 1
            outcome = "denied" if isinstance(error, RetryDenied) else "left"
            self._log.log_send(job, state, outcome, error, path)
        elif isinstance(error, NotExecuted):
            self._record_rejection(state, error, path)
        else:
            self._record_failure(state, error, path)
        self._close(attempt, error)
        if isinstance(error, ForeignBytes) and error.spoils_last:
            raise final_error(job, error)

    def _close(self, attempt, error=None):
        """Close an Attempt; may be called more than once.

        :param error: the UpstreamError that ended it, or None
        """
        if not attempt.closed:
            if error is None and attempt.confirming:
                # The upstream may have crashed, though nobody waits to see.
                error = ConnectionEnded("its end was not confirmed")
            self._crashes.finish_run(attempt.in_flight_send, error)
            attempt.close()
            if self._job.tokens is None:
                self._gateway.replicas.record_end(attempt.state.record)
            self._gateway.connections.wake(self._job.service)

    def _record_rejection(self, state, error, path):
        self._job.rejections += 1
        if self._job.tokens is None and not error.misdirected:
            self._gateway.replicas.record_rejection(state.record)
        if error.misdirected:
            state.record_failure(self._clock.steady(), weight=2)
            self._gateway.client.forget(state.record.address)
        else:
            self._gateway.admission_control.record_turned_away(self._job)
        self._log.log_send(self._job, state, "not_executed", error, path)

    def _record_failure(self, state, error, path):
        self._record_bound(state, error)
        early = isinstance(error, (ConnectionEnded, StreamTruncated))
        if early and not isinstance(error, EndUnconfirmed):
            self._gateway.ends.record_end(state.record.run.name)
        weight = 1
        if not error.started:
            self._job.failed_connections += 1
            weight = 2
        state.record_failure(self._clock.steady(), weight)
        self._log.log_send(self._job, state, "failed", error, path)

    def _record_bound(self, state, error):
        """Count an answer that was endless, foreign or torn."""
        bounds = self._gateway.bounds
        if isinstance(error, BoundExceeded):
            bounds.record(state.record.address, error, self._job.id)
        elif isinstance(error, ForeignBytes):
            bounds.record_foreign(state.record, error, self._job)
        elif isinstance(error, StreamTruncated):
            bounds.record_truncated()

    # Stalls and hedging

    def _restart_stall_timeout(self, attempt):
        """Restart the stall time-out of an Attempt."""
        attempt.stall_note = None
        timeout = self._stall_timeout(attempt)
        attempt.stalled_at = None
        if timeout is not None:
            attempt.stalled_at = self._clock.steady() + timeout

    def _stall_timeout(self, attempt):
        """Return the stall time-out in seconds, None for no time-out."""
        job = self._job
        if not self._may_retry:
            return None
        if attempt.head_received and is_stream(attempt.answer):
            return EVENT_STALL
        if job.background:
            # It is late as planned; another run would only add load.
            return None
        if job.tokens is not None:
            return FIRST_EVENT_OBJECTIVES * job.route.objective
        return STALL_SHARE * (job.deadline - self._clock.steady())

    async def _hedge(self, attempt):
        """Hedge a stalled Attempt if that is allowed.

        The stalled upstream may still answer, so its Attempt is closed only
        once another one delivers data: closing it at once would cut the stream
        if no other upstream answers.

        :returns: the Attempt to continue with
        """
        other = self._start_hedge(attempt)
        if other is None:
            return attempt
        race = Race(
            attempt,
            other,
            self._responder,
            self._clock,
            self._start_hedge,
            self._drop,
        )
        winner = await race.run()
        self._close_losers(race.attempts, winner)
        self._job.upstream = winner.state.record.id
        if winner.usable:
            self._restart_stall_timeout(winner)
        else:
            winner.stalled_at = self._clock.steady() + HEDGE_RETRY_INTERVAL
        return winner

    def _start_hedge(self, stalled):
        """Send the job to another upstream while an Attempt is stalled.

        :returns: the new Attempt, None if that is not allowed now
        """
        job = self._job
        job.tried.add(stalled.state.record.run)
        try:
            tokens = self._retry_policy.reserve_hedge(job, self._responder)
        except HedgeDenied as refusal:
            self._record_stall(stalled, str(refusal))
            stalled.stalled_at = self._clock.steady() + HEDGE_RETRY_INTERVAL
            return None
        state = self._choose_among(self._retry_policy.hedge_candidates(job))
        other = self._start(state)
        other.tokens = tokens
        name = other.state.record.id
        self._record_stall(stalled, f"hedged by {name}")
        return other

    def _record_stall(self, attempt, reaction):
        """Count a stall as a failure of its upstream, and log the reaction.

        :param reaction: what was done about it, or why nothing was
        """
        if attempt.stall_note is None:
            # New requests avoid the upstream for a while.
            attempt.state.record_failure(self._clock.steady())
        if attempt.stall_note != reaction:
            attempt.stall_note = reaction
            self._log.log_send(self._job, attempt.state, "silent", reaction)

    def _close_losers(self, attempts, winner):
        why = f"{winner.state.record.id} answered first"
        for loser in attempts:
            if loser is not winner:
                self._close(loser)
                self._log.log_send(
                    self._job, loser.state, "superseded", why, loser.path
                )


def _none_left(job):
    if job.version is None:
        return "no upstream is left"
    return f"no upstream of version {job.version or 'unknown'} is left"
