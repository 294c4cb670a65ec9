"""Decides whether a request may be retried or hedged."""

import structlog

from ..errors import ErrorKind
from ..errors import RequestError
from ..errors import RowanportError
from .exchange import NotExecuted

LOG = structlog.get_logger(__name__)

# Rejections by upstreams after which a request is not sent again.
MAX_REJECTIONS = 3
# Failed connections after which a request is not sent again.
MAX_FAILED_CONNECTIONS = 6


class HedgeDenied(RowanportError):
    """A request may not be hedged; the message is the reason."""


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
            resumable stream may run again
        """
        route = job.route
        if not route.repeatable or job.runs >= route.max_sends:
            return False
        return route.resumable or not responder.started

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
        self._acquire_retry(job)
        return tokens

    def _check_hedge(self, job, responder):
        """Raise HedgeDenied unless a hedge is allowed, tokens aside."""
        gateway = self._gateway
        now = gateway.clock.steady()
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
        if not self._window(job).allows(self._router_count, now):
            raise HedgeDenied("retry limit reached")

    def hedge_candidates(self, job):
        """Return the UpstreamStates that may run a hedge of a job.

        Upstreams with a rate limit are reserved for first sends.
        """
        gateway = self._gateway
        now = gateway.clock.steady()
        candidates = gateway.pool.candidates(job.service, job.tried, now)
        return gateway.limits.unlimited(candidates)

    def release_hedge(self, job, tokens):
        """Release the tokens reserved for a hedge that did not run."""
        if tokens:
            self._gateway.budgets.settle(job.budget, tokens, 0)
            job.reserved -= tokens

    def check_retry(self, job, responder, error):
        """Raise RequestError unless a failed job may be retried.

        :param job: the Job
        :param responder: the Responder of its caller
        :param error: the UpstreamError of the last send
        """
        if not self._may_resend(job, responder, error):
            raise final_error(job, error) from None

    def _may_resend(self, job, responder, error):
        if self._is_rejected_too_often(job):
            return False
        if not error.started and not isinstance(error, NotExecuted):
            # No connection was made, so it put no load on the upstreams.
            return True
        if error.started and not self.may_retry(job, responder):
            return False
        return self._acquire_retry(job)

    def _is_rejected_too_often(self, job):
        return (
            job.rejections >= MAX_REJECTIONS
            or job.failed_connections >= MAX_FAILED_CONNECTIONS
        )

    @property
    def _router_count(self):
        return len(self._gateway.members.live())

    def _window(self, job):
        return self._gateway.retries(job.service)

    def _acquire_retry(self, job):
        """Record a retry if the window allows it; return whether it does."""
        now = self._gateway.clock.steady()
        window = self._window(job)
        routers = self._router_count
        allowed = window.acquire(routers, now)
        requests, retries = window.counts
        LOG.info(
            "retry",
            request=job.id,
            service=job.service,
            allowed=allowed,
            requests=requests,
            retries=retries,
            routers=routers,
        )
        return allowed


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
