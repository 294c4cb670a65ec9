"""Sends one request to upstreams until it is answered."""

import asyncio
import functools

from ..errors import ErrorKind
from ..errors import RequestError
from ..errors import UpstreamError
from ..errors import UpstreamLeft
from .attempt import Attempt
from .exchange import NotExecuted
from .race import Race
from .relay import EventRelay
from .relay import is_stream
from .relay import WholeRelay
from .retry_policy import final_error
from .retry_policy import RetryRefused

# Part of the remaining time after which a repeatable request that has no
# answer is sent to another upstream as well.
SILENCE_SHARE = 0.4
# The same for a stream that may be resumed, as a multiple of its objective
# before the first event: callers give a stream up after 2 s or more.
FIRST_EVENT_OBJECTIVES = 3.0
# The same in seconds within such a stream.
EVENT_SILENCE = 1.5
# Seconds after which it is asked again whether a send is allowed: an
# allowance or tokens may be free by then.
ASK_AGAIN = 0.25


class JobSender:
    """The sends of one Job.

    :param gateway: the Gateway, for its parts
    :param log: the DecisionLog
    :param repeats: the RetryPolicy
    :param job: the Job
    :param responder: the Responder of its caller
    """

    def __init__(self, gateway, log, repeats, job, responder):
        self._gateway = gateway
        self._clock = gateway.clock
        self._log = log
        self._crashes = gateway.crashes
        self._repeats = repeats
        self._job = job
        self._responder = responder
        self._attempts = []

    async def run(self):
        """Send the job until its answer was passed on whole.

        :raises RequestError: it cannot be served
        """
        try:
            attempt = await self._begin_admitted()
            while not self._job.complete:
                attempt = await self._step(attempt)
            attempt.state.record_success()
            run = attempt.state.record.run
            self._crashes.record_success(self._job, run)
            self._log.note_answered()
        finally:
            for attempt in self._attempts:
                self._close(attempt)

    async def _step(self, attempt):
        """Go on by one sign of an upstream; return the Attempt to go on with.

        :raises RequestError: nothing can follow
        """
        try:
            if not await self._advances(attempt):
                return await self._follow_silence(attempt)
            self._check(attempt)
            await attempt.forward()
            self._note_sign(attempt)
            return attempt
        except UpstreamError as error:
            self._drop(attempt, error)
            self._repeats.check_retry(self._job, self._responder, error)
            return await self._begin_admitted()

    async def _advances(self, attempt):
        """Wait for a sign of an upstream; return False if it stays silent."""
        if attempt.stalled_at is None:
            await attempt.advance()
            return True
        left = max(0.0, attempt.stalled_at - self._clock.steady())
        try:
            async with asyncio.timeout(left):
                await attempt.advance()
        except asyncio.TimeoutError:
            return False
        return True

    def _check(self, attempt):
        """Raise UpstreamError unless an answer is to be passed on.

        A failure of the upstream is the caller's answer only if nothing can
        follow it.
        """
        if attempt.chosen:
            return
        if self._responder.started or self._can_run_again:
            attempt.check(self._responder)

    @property
    def _can_run_again(self):
        return self._repeats.may_retry(self._job, self._responder)

    # Sends

    async def _begin_admitted(self):
        """Send the job to one more upstream once it may run.

        :returns: the Attempt
        :raises RequestError: it may not, or no upstream is left
        """
        self._gateway.stopping.check_send(self._job)
        await self._crashes.admit(self._job)
        while True:
            state = self._choose()
            if await self._gateway.limits.acquire(state):
                return self._begin(state)

    def _begin(self, state):
        """Send the job to an upstream; return the Attempt."""
        job = self._job
        job.sends += 1
        job.runs += 1
        # Counted at once, so that others of this moment go elsewhere.
        ahead = self._note_load(state)
        opening = asyncio.ensure_future(self._open(state, ahead))
        flight = self._crashes.start_run(job, state)
        attempt = Attempt(state, opening, self._relay, flight)
        self._attempts.append(attempt)
        self._note_sign(attempt)
        job.upstream = state.record.id
        return attempt

    def _choose(self):
        """Return the UpstreamState to which the job goes next.

        :raises RequestError: no upstream is left
        """
        gateway, job = self._gateway, self._job
        now = self._clock.steady()
        candidates = gateway.pool.candidates(job.service, job.tried, now)
        return self._choose_among(self._taking(candidates, now))

    def _taking(self, candidates, now):
        """Return the candidates that surely take requests now."""
        try:
            self._gateway.views.freshness.check()
            return self._gateway.limits.with_permits(candidates, now)
        except RequestError as error:
            if self._job.runs:
                raise final_error(self._job, UpstreamError(error.detail))
            raise

    def _choose_among(self, candidates):
        gateway, job = self._gateway, self._job
        now = self._clock.steady()
        if not candidates:
            raise final_error(job, UpstreamError("no upstream is left"))
        choice = gateway.choice(job.tokens is not None)
        if not job.sends:
            self._check_in_time(choice, candidates, now)
        candidates = self._crashes.isolate(job, candidates, now)
        state = choice.choose(candidates, job, now)
        job.backlog = round(state.backlog.tokens(now))
        return state

    def _check_in_time(self, choice, candidates, now):
        """Refuse a job that no upstream begins in time.

        One that was sent before is not turned away: it may have run.

        :raises RequestError: with the time at which it may come back
        """
        late = choice.late_start(candidates, self._job, now)
        if late is not None:
            raise RequestError(
                ErrorKind.OVERLOADED,
                f"begun in {late.wait:.2f} s, {late.due:.2f} s are due",
                come_back_at=late.come_back_at,
            )

    async def _open(self, state, ahead):
        """Return the head of an upstream's answer.

        :param ahead: prompt tokens that the engine has to read before it
        """
        sent_at = self._clock.steady()
        check = functools.partial(self._check_last, state)
        answer = await self._gateway.exchange.send(
            self._job, state.record, check
        )
        if is_stream(answer):
            now = self._clock.steady()
            state.backlog.record_first_event(ahead, now - sent_at, now)
        return answer

    def _check_last(self, state):
        """Raise UpstreamLeft if it does not take the job any more.

        It may have left while the job waited for a permit or a connection.
        """
        gateway, record = self._gateway, state.record
        if gateway.pool.get(record.id) is not state or record.leaving:
            raise UpstreamLeft("it left meanwhile")
        freshness = gateway.views.freshness
        if record.lapsing and not freshness.peers_responsive:
            raise UpstreamLeft("its entry is gone, and nobody says why")
        if freshness.stale:
            raise UpstreamLeft("whether it left is not known any more")
        self._job.view_age = freshness.age

    def _note_load(self, state):
        """Count a job's prompt; return what the engine has to read with it."""
        job, gateway = self._job, self._gateway
        if job.tokens is None:
            return 0
        unread = gateway.unread(state, job, self._clock.steady())
        return gateway.loads.record_send(state, job.prefix, unread)

    def _relay(self, answer):
        """Return the Relay of an HttpAnswer."""
        kind = EventRelay if is_stream(answer) else WholeRelay
        fields = self._gateway.exchange.answer_fields(answer)
        return kind(self._job, fields, answer, self._responder, self._clock)

    def _drop(self, attempt, error):
        """Note that an Attempt failed, and close it."""
        job, state = self._job, attempt.state
        job.tried.add(state.record.run)
        if not error.started:
            job.runs -= 1
            self._repeats.release_hedge(job, attempt.tokens)
        if isinstance(error, UpstreamLeft):
            job.sends -= 1
            self._log.note_send(job, state, "left", error)
        elif isinstance(error, NotExecuted):
            self._note_rejection(state, error)
        else:
            self._note_failure(state, error)
        self._close(attempt, error)

    def _close(self, attempt, error=None):
        """Close an Attempt; it may be closed again.

        :param error: the UpstreamError that ended it, or None
        """
        if not attempt.closed:
            self._crashes.finish_run(attempt.flight, error)
            attempt.close()

    def _note_rejection(self, state, error):
        self._job.rejections += 1
        if error.misdirected:
            state.record_failure(self._clock.steady(), weight=2)
            self._gateway.client.forget(state.record.address)
        self._log.note_send(self._job, state, "not_executed", error)

    def _note_failure(self, state, error):
        weight = 1
        if not error.started:
            self._job.failed_connections += 1
            weight = 2
        state.record_failure(self._clock.steady(), weight)
        self._log.note_send(self._job, state, "failed", error)

    # Silence

    def _note_sign(self, attempt):
        """Count an upstream's silence from now on."""
        attempt.stall_note = None
        silence = self._silence(attempt)
        attempt.stalled_at = None
        if silence is not None:
            attempt.stalled_at = self._clock.steady() + silence

    def _silence(self, attempt):
        """Return the longest silence in seconds, None for any."""
        job = self._job
        if not self._can_run_again:
            return None
        if attempt.head_received and is_stream(attempt.answer):
            return EVENT_SILENCE
        if job.tokens is not None:
            return FIRST_EVENT_OBJECTIVES * job.route.objective
        return SILENCE_SHARE * (job.deadline - self._clock.steady())

    async def _follow_silence(self, attempt):
        """Ask another upstream beside a silent one, if that is allowed.

        The silent one may work on, so it is let go only once the other one
        goes on: given up at once, its stream is cut where none may follow.

        :returns: the Attempt to go on with
        """
        other = self._begin_beside(attempt)
        if other is None:
            return attempt
        race = Race(
            attempt,
            other,
            self._responder,
            self._clock,
            self._begin_beside,
            self._drop,
        )
        winner = await race.run()
        self._close_losers(race.attempts, winner)
        self._job.upstream = winner.state.record.id
        if winner.usable:
            self._note_sign(winner)
        else:
            winner.stalled_at = self._clock.steady() + ASK_AGAIN
        return winner

    def _begin_beside(self, silent):
        """Send the job once more beside a silent Attempt.

        :returns: the other Attempt, None if that is not allowed now
        """
        job = self._job
        job.tried.add(silent.state.record.run)
        try:
            tokens = self._repeats.reserve_hedge(job, self._responder)
        except RetryRefused as refusal:
            self._note_silence(silent, str(refusal))
            silent.stalled_at = self._clock.steady() + ASK_AGAIN
            return None
        state = self._choose_among(self._repeats.hedge_candidates(job))
        other = self._begin(state)
        other.tokens = tokens
        name = other.state.record.id
        self._note_silence(silent, f"{name} is asked as well")
        return other

    def _note_silence(self, attempt, why):
        """Count a silence against its upstream; log what it leads to."""
        if attempt.stall_note is None:
            # What is new goes elsewhere for a while.
            attempt.state.record_failure(self._clock.steady())
        if attempt.stall_note != why:
            attempt.stall_note = why
            self._log.note_send(self._job, attempt.state, "silent", why)

    def _close_losers(self, racers, winner):
        why = f"{winner.state.record.id} was first"
        for loser in racers:
            if loser is not winner:
                self._close(loser)
                self._log.note_send(self._job, loser.state, "superseded", why)
