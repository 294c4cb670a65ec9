"""Decides whether a request may be retried or hedged."""

import structlog

from ..errors import ErrorKind
from ..errors import RequestError
from ..errors import RowanportError
from ..errors import UpstreamLeft
from ..retries import SEND_SECONDS
from .exchange import NotExecuted

LOG = structlog.get_logger(__name__)

# Rejections by upstreams after which a request is not sent again.
MAX_REJECTIONS = 3
# Failed connections after which a request is not sent again.
MAX_FAILED_CONNECTIONS = 6
RETRY_LIMIT_REACHED = "retry limit reached"


class HedgeDenied(RowanportError):
    """A request may not be hedged; the message is the reason."""


class RetryDenied(UpstreamLeft):
    """A send was given up before its first byte, as no retry is allowed."""


class RetryPolicy:
    """Rules for retries and hedges of Jobs.

    A retry follows a failed send.  A hedge is another run of a job while the
    earlier ones are unresponsive.

    :param gateway: the Gateway, for its parts
    """

    def __init__(self, gateway):
        self._gateway = gateway

    def may_retry(self, job, responder):
        """Return whether a job's route allows one more run.

        :param job: the Job
        :param responder: Responder of its caller; once it has started, only a
            resumable stream may run again.  A run that goes on from its copy
            is not another one; see check_resume()
        """
        route = job.route
        if not route.repeatable or job.runs >= route.max_sends:
            return False
        return route.resumable or not responder.started

    def may_run_again(self, job, responder, state):
        """Return whether a job can be sent to another upstream now.

        Another run of a plain request takes as long as the first one, and has
        to end before the deadline.

        :param job: the Job
        :param responder: the Responder of its caller
        :param state: the UpstreamState that the job does not go to again
        """
        now = self._gateway.clock.steady()
        if job.tokens is None and now - job.arrived > job.deadline - now:
            return False
        job.tried.add(state.record.run)
        try:
            self._check_hedge(job, responder)
        except HedgeDenied:
            return False
        return True

    def reserve_hedge(self, job, responder):
        """Reserve the tokens for a hedge and acquire a retry.

        The two runs together may generate more than the job's maximum, so all
        tokens that the earlier run may still generate are reserved again.

        :param job: the Job
        :param responder: the Responder of its caller
        :returns: the number of tokens reserved
        :raises HedgeDenied: not allowed now; nothing was reserved
        """
        self._check_hedge(job, responder)
        tokens = job.remaining_tokens if job.budget is not None else 0
        if tokens:
            if not self._gateway.budgets.try_reserve(job.budget, tokens):
                raise HedgeDenied("not enough tokens for a second run")
            job.reserved += tokens
        self._acquire_now(job)
        return tokens

    def _check_hedge(self, job, responder):
        """Raise HedgeDenied unless a hedge is allowed, tokens aside."""
        gateway = self._gateway
        if not self.may_retry(job, responder):
            raise HedgeDenied("the route allows no further run")
        if gateway.crashes.is_suspect(job):
            raise HedgeDenied("an upstream crashed while running it")
        if self._is_rejected_too_often(job):
            raise HedgeDenied("rejected too often")
        if gateway.views.freshness.stale:
            raise HedgeDenied("the list of upstreams is stale")
        if not gateway.stopping.may_send(job):
            raise HedgeDenied("too late for a send")
        if not self.hedge_candidates(job):
            raise HedgeDenied("no upstream is left")
        if not gateway.retries.available(job.service):
            raise HedgeDenied(RETRY_LIMIT_REACHED)

    def hedge_candidates(self, job):
        """Return the UpstreamStates that may run a hedge of a job.

        Upstreams with a rate limit, and cold ones, are reserved for first
        sends.
        """
        gateway = self._gateway
        now = gateway.clock.steady()
        candidates = gateway.pool.candidates(
            job.service, job.tried, now, job.version
        )
        unlimited = gateway.limits.unlimited(candidates)
        # A hedge does not wait for a connection.
        free = [one for one in unlimited if gateway.connections.is_free(one)]
        return gateway.cold.warm(free)

    def release_hedge(self, job, tokens):
        """Release the tokens reserved for a hedge that did not run."""
        if tokens:
            self._gateway.budgets.settle(job.budget, tokens, 0)
            job.reserved -= tokens

    async def check_retry(self, job, responder, error):
        """Raise RequestError unless a failed job may be retried.

        :param job: the Job
        :param responder: the Responder of its caller
        :param error: the UpstreamError of the last send
        """
        pool = self._gateway.pool
        if pool.any_withdrawn and not job.runs:
            now = self._gateway.clock.steady()
            available_at = pool.available_at(job.service, now)
            if available_at is not None:
                # A retry would be taken from the allowance for nothing.
                raise backed_off_error(available_at) from None
        if not await self._may_resend(job, responder, error):
            raise final_error(job, error) from None

    async def _may_resend(self, job, responder, error):
        if self._is_rejected_too_often(job):
            return False
        if isinstance(error, RetryDenied):
            return False
        if not error.started and not isinstance(error, NotExecuted):
            # Nothing was sent, so it put no load on the upstreams.
            return True
        if error.started and not self.may_retry(job, responder):
            return False
        if not self._gateway.crashes.may_repeat(job):
            return False
        source = await self._gateway.retries.acquire(job.service)
        return self._record(job, source)

    async def check_resume(self, job, error):
        """Raise RequestError unless a run may go on from its copy.

        It is the same run on any route, but one more send to the upstreams.

        :param job: the Job
        :param error: the UpstreamError that ended the last send
        """
        gateway = self._gateway
        if gateway.crashes.may_repeat(job):
            source = await gateway.retries.acquire(job.service)
            if self._record(job, source):
                return
        raise final_error(job, error) from None

    def _is_rejected_too_often(self, job):
        return (
            job.rejections >= MAX_REJECTIONS
            or job.failed_connections >= MAX_FAILED_CONNECTIONS
        )

    # Permits

    def use_permit(self, job):
        """Count that a job is about to be sent to an upstream.

        The first time costs nothing.  Later ones use the retry that the job
        acquired, another one if it was delayed since for too long.

        :raises RetryDenied: no retry is allowed
        """
        now = self._gateway.clock.steady()
        if job.arrivals and not _pop_permit(job, now):
            if not self._acquire_now(job):
                raise RetryDenied(RETRY_LIMIT_REACHED)
            job.retry_permits.pop()
        job.arrivals += 1

    def _acquire_now(self, job):
        """Acquire a retry that is available here."""
        return self._record(
            job, self._gateway.retries.try_acquire(job.service)
        )

    def _record(self, job, source):
        """Log a decision on a retry, and add the permit to the job.

        :param source: the Source of the retry, None if it was denied
        :returns: whether it was allowed
        """
        gateway = self._gateway
        requests, earned = gateway.retries.allowance(job.service).counts
        LOG.info(
            "retry",
            request=job.id,
            service=job.service,
            source=source and source.value,
            requests=requests,
            earned=earned,
            share=gateway.retries.share,
        )
        if source is None:
            return False
        job.retry_permits.append(gateway.clock.steady() + SEND_SECONDS)
        return True


def _pop_permit(job, now):
    """Remove a job's permits up to a valid one; return whether it had one."""
    while job.retry_permits:
        if job.retry_permits.pop(0) >= now:
            return True
    return False


def backed_off_error(available_at):
    """Return the RequestError for a job that no upstream wants yet.

    :param available_at: monotonic time at which the first one takes requests
    """
    return RequestError(
        ErrorKind.OVERLOADED,
        "all upstreams asked to back off",
        come_back_at=available_at,
    )


def final_error(job, error):
    """Return the RequestError for a job that is not sent again.

    :param error: the UpstreamError of the last send
    """
    if job.runs:
        return RequestError(ErrorKind.UPSTREAM_FAILED, str(error))
    if isinstance(error, NotExecuted):
        return RequestError(
            ErrorKind.UPSTREAM_REFUSED, "no upstream accepted the request"
        )
    return RequestError(ErrorKind.NO_UPSTREAM, str(error))
