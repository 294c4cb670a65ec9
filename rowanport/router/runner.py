"""What every request goes through, whatever kind of upstream serves it.

Policy, limits, reservation, turn, claim, run, settlement.  A subclass says
how one run at one upstream is made.
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
from ..hashing import new_id
from ..tasks import TaskSet
from ..web.patience import NO_PATIENCE
from .stall_policy import RunStallPolicy

CLOSE_TRIES = 20
CLOSE_PAUSE = 0.5
START_TRIES = 3


class Job:
    """One request on its way through a router.

    :ivar call: the Call
    :ivar decision: what the policy decided
    :ivar cost: worst case in tokens
    :ivar size: most tokens of its answer; 1 for a plain service
    :ivar key: affinity key
    :ivar entry: its OpenReservation, if tokens are set aside
    :ivar next_entry: the OpenReservation of a run that may follow, or None
    :ivar retry_taken: whether the allowance of a run that may follow is taken
    :ivar stall_policy: the Patience asked whether to abandon a stalled run
    :ivar run: run id as the upstream names it, once known
    :ivar claim: run id under which it was claimed, if it was
    :ivar sent: whether a byte of the answer went out
    :ivar arrived: steady time of its arrival
    :ivar pauses: pauses of the process before it arrived
    """

    __slots__ = (
        "call",
        "body",
        "decision",
        "cost",
        "size",
        "key",
        "entry",
        "next_entry",
        "retry_taken",
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
        self.entry = None
        self.next_entry = None
        self.retry_taken = False
        self.stall_policy = NO_PATIENCE
        self.run = ""
        self.claim = ""
        self.sent = False
        self.arrived = arrived
        self.pauses = pauses


class Runner(abc.ABC):
    """Runs jobs of one kind.

    :param router: the Router, for its parts
    """

    def __init__(self, router):
        self._router = router
        self._tasks = TaskSet()

    # Hooks

    @abc.abstractmethod
    async def attempt(self, job, upstream, responder):
        """Make one run, answer the caller, return the tokens consumed.

        :raises UpstreamError: the run failed; ``started`` says how far
        """

    @abc.abstractmethod
    async def attach(self, job, claimed, responder):
        """Answer a second try of a claimed request, without running it.

        :raises RequestError: its answer cannot be had
        """

    @abc.abstractmethod
    async def consumed(self, job, address):
        """End a failed run and return ``(run, tokens)`` for its bill.

        :raises UpstreamError: the upstream does not say
        """

    # The way of a request

    def decide(self, call, facts):
        """Return the policy's Decision.

        :raises RequestError: it refused or failed
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
        """Serve a job from its decision to its bill."""
        call = job.call
        if not call.repeatable and call.made_elsewhere:
            raise RequestError(
                ErrorKind.ALREADY_CLAIMED,
                "this key was made for an earlier try, which may have run",
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
                    raise _as_request_error(error) from None
                self._router.metrics.retries.inc({"group": job.decision.group})

    def _may_retry(self, job, group, error):
        if job.sent or self._router.clock.wall() >= job.call.deadline:
            return False
        if error.started and not job.call.repeatable:
            return False
        taken, job.retry_taken = job.retry_taken, False
        return taken or group.retries.acquire()

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
            return await self.attach(job, claimed, responder)
        tried.add(upstream.address)
        await self._attempt(job, group, upstream, responder)

    async def _attempt(self, job, group, upstream, responder):
        begun = self._router.clock.steady()
        failed = True
        try:
            self._check_not_frozen(job)
            tokens = await self.attempt(job, upstream, responder)
            failed = False
            self._settle(job, job.run, tokens)
            self._end_claim(job)
        except UpstreamError as error:
            self._router.metrics.upstream_failures.inc(
                {"group": job.decision.group}
            )
            # A run that surely did not start leaves reservation and claim
            # to the next try.
            if error.started:
                self._close(job, upstream.address)
            raise
        except RequestError:
            failed = False
            self._release_run(job)
            raise
        except BaseException:
            # The caller went away, or the router is being ended.
            failed = False
            self._close(job, upstream.address)
            raise
        finally:
            seconds = self._router.clock.steady() - begun
            group.release(upstream, job.size, seconds, failed)

    def _check_not_frozen(self, job):
        """Refuse a job whose process slept since it arrived.

        Others may have resolved its reservation in the meantime.
        """
        if self._router.pauses.count() != job.pauses:
            raise RequestError(ErrorKind.NOT_READY, "the router was paused")
        if self._router.clock.wall() >= job.call.deadline:
            raise RequestError(ErrorKind.DEADLINE_PASSED, "too late to start")

    # Reservation and bill

    async def _reserve(self, job):
        if job.cost == 0 or job.entry is not None:
            return
        if job.next_entry is not None:
            job.entry, job.next_entry = job.next_entry, None
            return
        call = job.call
        begun = self._router.clock.steady()
        job.entry = await self._router.ledger.reserve(
            call.request, call.budget, job.cost, call.deadline
        )
        seconds = self._router.clock.steady() - begun
        self._router.metrics.reserve.observe({}, seconds)

    async def _start(self, job, upstream):
        """Have the start of a run recorded before it is sent.

        A reservation whose home or witness does not record it was given back,
        or may be: another one takes its place.
        """
        if job.entry is None:
            return
        begun = self._router.clock.steady()
        for _try in range(START_TRIES):
            if await self._router.ledger.start(job.entry, upstream.address):
                seconds = self._router.clock.steady() - begun
                self._router.metrics.start.observe({}, seconds)
                return
            self._release(job)
            await self._reserve(job)
        raise RequestError(
            ErrorKind.BUDGET_UNAVAILABLE, "no home records the start"
        )

    def _release_next(self, job):
        """Give back what was set aside for a run that did not follow."""
        if job.next_entry is not None:
            self._router.ledger.release(job.next_entry.reservation)
            job.next_entry = None

    def _release(self, job):
        if job.entry is not None:
            self._router.ledger.release(job.entry.reservation)
            job.entry = None

    def _release_run(self, job):
        self._release(job)
        if job.claim:
            self._router.claims.end(job.call.request, job.claim, RELEASED)
            job.claim = ""

    def _settle(self, job, run, tokens):
        if job.entry is None:
            return
        entry = job.entry
        job.entry = None
        run = run or entry.reservation
        self._router.ledger.settle(entry.reservation, run, tokens)
        self._router.metrics.billed_tokens.add({}, tokens)

    def _close(self, job, address):
        """End a run that broke off, and bill it, in the background."""
        closing = copy.copy(job)
        job.entry = None
        self._tasks.spawn(self._close_run(closing, address))

    async def _close_run(self, job, address):
        for _try in range(CLOSE_TRIES):
            try:
                run, tokens = await self.consumed(job, address)
            except UpstreamError:
                await asyncio.sleep(CLOSE_PAUSE)
                continue
            self._settle(job, run or job.run, tokens)
            break
        else:
            # Nobody can say what it consumed: presume the worst case.
            self._settle(job, job.run, job.cost)
        self._end_claim(job)

    @property
    def closing(self):
        """Return how many runs are still being ended."""
        return len(self._tasks)

    # Claims

    async def _claim(self, job, upstream):
        """Claim a job that is not repeatable, before it starts.

        :returns: the Claimed answer if an earlier try holds the claim
        """
        call = job.call
        if call.repeatable or job.claim:
            return None
        if call.key_made:
            # Nobody else can know this key yet, so this is the only try;
            # a later one with the same key is refused by its prefix.
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


def refuse_second_try(claimed):
    """Raise the RequestError for a second try without an answer."""
    state = "is under way" if claimed.state == CLAIMED else "has ended"
    raise RequestError(
        ErrorKind.ALREADY_CLAIMED, f"an earlier try of this request {state}"
    )


def _as_request_error(error):
    if error.started:
        return RequestError(ErrorKind.UPSTREAM_FAILED, "the upstream failed")
    return RequestError(
        ErrorKind.UPSTREAM_REFUSED,
        "no upstream took it",
        Outcome.NOT_RUN,
    )
