"""The processing of requests that all kinds of upstreams have in common.

The steps are policy, limits, reservation, queueing, claim, run and settlement.
A subclass implements one run on one upstream.
"""

import abc
import asyncio
import copy

from ..claims.shard import CLAIMED
from ..claims.shard import RELEASED
from ..errors import ErrorKind
from ..errors import Outcome
from ..errors import RequestError
from ..errors import UpstreamError
from ..errors import UpstreamRefused
from ..hashing import new_id
from ..tasks import TaskSet
from ..web.patience import NO_PATIENCE
from .stall_policy import RunStallPolicy

END_RUN_ATTEMPTS = 20
END_RUN_PAUSE = 0.5
START_ATTEMPTS = 3


class Job:
    """One request that a router processes.

    :ivar call: the Call
    :ivar body: request for the upstream, as its kind of Runner needs it
    :ivar decision: the Decision of the policy
    :ivar cost: worst-case cost in tokens
    :ivar size: maximum tokens of the answer; 1 for a plain service
    :ivar key: affinity key
    :ivar reservation: its OpenReservation, or None
    :ivar next_reservation: the OpenReservation of a possible retry, or None
    :ivar retry_acquired: whether a retry was taken from the retry budget
    :ivar stall_policy: the Patience that decides whether to abandon a
        stalled run
    :ivar run: run id that the upstream assigned, empty until it is known
    :ivar claim: run id by which the request is claimed, empty if it is not
    :ivar sent: whether part of the answer was sent
    :ivar arrived: monotonic time of its arrival
    :ivar pauses: number of pauses of the process before it arrived
    """

    __slots__ = (
        "call",
        "body",
        "decision",
        "cost",
        "size",
        "key",
        "reservation",
        "next_reservation",
        "retry_acquired",
        "stall_policy",
        "run",
        "claim",
        "sent",
        "arrived",
        "pauses",
    )

    def __init__(self, call, body, decision, cost, size, key, arrived, pauses):
        self.call = call
        self.body = body
        self.decision = decision
        self.cost = cost
        self.size = size
        self.key = key
        self.reservation = None
        self.next_reservation = None
        self.retry_acquired = False
        self.stall_policy = NO_PATIENCE
        self.run = ""
        self.claim = ""
        self.sent = False
        self.arrived = arrived
        self.pauses = pauses


class Runner(abc.ABC):
    """Runs jobs of one kind.

    :param router: the Router
    """

    def __init__(self, router):
        self._router = router
        self._tasks = TaskSet()

    # To be implemented by subclasses

    @abc.abstractmethod
    async def attempt(self, job, upstream, responder):
        """Make one run, answer the caller, return the tokens consumed.

        :raises UpstreamError: the run failed; ``started`` says whether it may
            have run
        """

    @abc.abstractmethod
    async def answer_duplicate(self, job, claimed, responder):
        """Answer a duplicate of a claimed request without running it.

        :param claimed: the Claimed message of the first attempt
        :raises RequestError: the answer is not available
        """

    @abc.abstractmethod
    async def end_run(self, job, address):
        """End a failed run and return ``(run id, tokens)`` for its bill.

        :raises UpstreamError: the upstream failed to answer
        """

    # Processing of a request

    def decide(self, call, facts):
        """Return the policy's Decision.

        :raises RequestError: the policy refused the request or failed
        """
        try:
            decision = self._router.config.snapshot.policy.decide(facts)
        except RequestError:
            self._router.metrics.policy_failures.inc({})
            raise
        if not decision.run:
            raise RequestError(ErrorKind.POLICY_REFUSED, decision.reason)
        return decision

    async def run(self, job, responder):
        """Serve a job from the policy's decision to the bill.

        :raises RequestError: it cannot be served
        """
        call = job.call
        if not call.repeatable and call.reuses_generated_key:
            raise RequestError(
                ErrorKind.ALREADY_CLAIMED,
                "this key was generated for an earlier attempt, which may"
                " have run",
            )
        limits = self._router.limits
        limits.acquire(call.organisation, self._router.clock.steady())
        try:
            await self._run_attempts(job, responder)
        finally:
            self._release_next(job)
            limits.release(call.organisation)

    async def _run_attempts(self, job, responder):
        group = self._router.group(job.decision.group)
        group.retries.record_request()
        tried = set()
        job.stall_policy = RunStallPolicy(self._router, job, group, tried)
        while True:
            try:
                return await self._run_once(job, group, tried, responder)
            except UpstreamError as error:
                if not self._may_retry(job, group, error):
                    self._release_run(job)
                    raise _to_request_error(error) from None
                self._router.metrics.retries.inc({"group": job.decision.group})

    def _may_retry(self, job, group, error):
        if job.sent or self._router.clock.wall() >= job.call.deadline:
            return False
        if error.started and not job.call.repeatable:
            return False
        acquired, job.retry_acquired = job.retry_acquired, False
        return acquired or group.retries.acquire()

    async def _run_once(self, job, group, tried, responder):
        await self._reserve(job)
        upstream = None
        try:
            upstream = await group.acquire(
                job.call, job.decision, job.key, job.cost, job.size, tried
            )
            claimed = await self._claim(job, upstream)
            if claimed is None:
                await self._start(job, upstream)
        except BaseException:
            if upstream is not None:
                group.release(upstream, 0, 0.0, failed=False)
            self._release_run(job)
            raise
        if claimed is not None:
            group.release(upstream, 0, 0.0, failed=False)
            self._release(job)
            return await self.answer_duplicate(job, claimed, responder)
        tried.add(upstream.address)
        await self._attempt(job, group, upstream, responder)

    async def _attempt(self, job, group, upstream, responder):
        started_at = self._router.clock.steady()
        failed, size = True, job.size
        try:
            self._check_not_paused(job)
            tokens = await self.attempt(job, upstream, responder)
            failed = False
            self._settle(job, job.run, tokens)
            self._end_claim(job)
        except UpstreamError as error:
            self._router.metrics.upstream_failures.inc(
                {"group": job.decision.group}
            )
            # A run that certainly did not start leaves its reservation and
            # claim to the next attempt.
            if error.started:
                self._end_in_background(job, upstream.address)
            if isinstance(error, UpstreamRefused):
                self._router.record_refusal(upstream.address, error)
                # One that says when it has room again has not failed.
                failed, size = not error.seconds, 0
            raise
        except RequestError:
            failed = False
            self._release_run(job)
            raise
        except BaseException:
            # The caller disconnected, or the router is shutting down.
            failed = False
            self._end_in_background(job, upstream.address)
            raise
        finally:
            seconds = self._router.clock.steady() - started_at
            group.release(upstream, size, seconds, failed)

    def _check_not_paused(self, job):
        """Refuse a job if the process was paused since its arrival.

        Other routers may have resolved its reservation meanwhile.

        :raises RequestError: there was a pause, or the deadline has passed
        """
        if self._router.pauses.count() != job.pauses:
            raise RequestError(ErrorKind.NOT_READY, "the router was paused")
        if self._router.clock.wall() >= job.call.deadline:
            raise RequestError(
                ErrorKind.DEADLINE_PASSED, "the deadline passed before the run"
            )

    # Reservation and settlement

    async def _reserve(self, job):
        if job.cost == 0 or job.reservation is not None:
            return
        if job.next_reservation is not None:
            job.reservation, job.next_reservation = job.next_reservation, None
            return
        call = job.call
        started_at = self._router.clock.steady()
        job.reservation = await self._router.ledger.reserve(
            call.request, call.budget, job.cost, call.deadline
        )
        seconds = self._router.clock.steady() - started_at
        self._router.metrics.reserve.observe({}, seconds)

    async def _start(self, job, upstream):
        """Have the start of a run recorded before the request is sent.

        A reservation whose start is not recorded by its home or witness was
        released, or may be, and is replaced by a new one.

        :raises RequestError: no attempt was recorded
        """
        if job.reservation is None:
            return
        started_at = self._router.clock.steady()
        for _number in range(START_ATTEMPTS):
            if await self._router.ledger.start(
                job.reservation, upstream.address
            ):
                seconds = self._router.clock.steady() - started_at
                self._router.metrics.start.observe({}, seconds)
                return
            self._release(job)
            await self._reserve(job)
        raise RequestError(
            ErrorKind.BUDGET_UNAVAILABLE, "no home recorded the run's start"
        )

    def _release_next(self, job):
        """Release the reservation of a retry that was not made."""
        if job.next_reservation is not None:
            self._router.ledger.release(job.next_reservation.reservation)
            job.next_reservation = None

    def _release(self, job):
        if job.reservation is not None:
            self._router.ledger.release(job.reservation.reservation)
            job.reservation = None

    def _release_run(self, job):
        self._release(job)
        if job.claim:
            self._router.claims.end(job.call.request, job.claim, RELEASED)
            job.claim = ""

    def _settle(self, job, run, tokens):
        if job.reservation is None:
            return
        reservation = job.reservation
        job.reservation = None
        run = run or reservation.reservation
        self._router.ledger.settle(reservation.reservation, run, tokens)
        self._router.metrics.billed_tokens.add({}, tokens)

    def _end_in_background(self, job, address):
        """End and bill an interrupted run in the background."""
        failed_job = copy.copy(job)
        job.reservation = None
        self._tasks.spawn(self._end_failed_run(failed_job, address))

    async def _end_failed_run(self, job, address):
        for _number in range(END_RUN_ATTEMPTS):
            try:
                run, tokens = await self.end_run(job, address)
            except UpstreamError:
                await asyncio.sleep(END_RUN_PAUSE)
                continue
            self._settle(job, run or job.run, tokens)
            break
        else:
            # The consumption is unknown: bill the worst case.
            self._settle(job, job.run, job.cost)
        self._end_claim(job)

    @property
    def ending_runs(self):
        """Return the number of runs that are being ended."""
        return len(self._tasks)

    # Claims

    async def _claim(self, job, upstream):
        """Claim a job that is not repeatable, before it starts.

        :returns: the Claimed message if an earlier attempt holds the claim,
            None if the job may run
        """
        call = job.call
        if call.repeatable or job.claim:
            return None
        if call.key_generated:
            # No one else knows this key yet, so this is the only attempt; a
            # later one with the same key is refused because of its prefix.
            return None
        run = new_id()
        claimed = await self._router.claims.claim(call, run, upstream.address)
        if claimed.run == run:
            job.claim = run
            return None
        if claimed.fingerprint != call.fingerprint:
            raise RequestError(
                ErrorKind.KEY_REUSED,
                "this Idempotency-Key was used for another request",
            )
        return claimed

    def _end_claim(self, job):
        if job.claim:
            self._router.claims.end(job.call.request, job.claim)


def refuse_duplicate(claimed):
    """Raise the RequestError for a duplicate whose answer is not available."""
    state = "is running" if claimed.state == CLAIMED else "has ended"
    raise RequestError(
        ErrorKind.ALREADY_CLAIMED,
        f"an earlier attempt of this request {state}",
    )


def _to_request_error(error):
    if error.started:
        return RequestError(ErrorKind.UPSTREAM_FAILED, "the upstream failed")
    return RequestError(
        ErrorKind.UPSTREAM_REFUSED,
        "no upstream accepted the request",
        Outcome.NOT_RUN,
    )
