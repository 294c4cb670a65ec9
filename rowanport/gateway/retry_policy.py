"""Decides whether a request may be sent once more, and says why not."""

from ..errors import ErrorKind
from ..errors import RequestError
from ..errors import RowanportError
from .exchange import NotExecuted

# Rejections of one request after which it is refused.
REJECTION_LIMIT = 3
# Failed connections of one request after which it is refused.
CONNECT_LIMIT = 6


class RetryRefused(RowanportError):
    """A request may not be sent once more; the text says why."""


class RetryPolicy:
    """Whether Jobs may be sent once more.

    :param gateway: the Gateway, for its parts
    """

    def __init__(self, gateway):
        self._gateway = gateway

    def may_retry(self, job, responder):
        """Return whether a job's route lets it run once more."""
        route = job.route
        if not route.repeatable or job.runs >= route.max_sends:
            return False
        return route.resumable or not responder.started

    def reserve_hedge(self, job, responder):
        """Take what a run beside a silent one needs.

        Both together may make more than the request's most: all that the
        silent one has not made yet is set aside a second time.

        :returns: the tokens set aside
        :raises RetryRefused: it is not allowed now; nothing was taken
        """
        self._check_hedge(job, responder)
        tokens = job.remaining_tokens if job.budget is not None else 0
        if tokens:
            if not self._gateway.budgets.try_reserve(job.budget, tokens):
                raise RetryRefused("no tokens for a second run")
            job.reserved += tokens
        self._acquire_retry(job)
        return tokens

    def _check_hedge(self, job, responder):
        """Raise RepeatRefused unless all but tokens allows one more run."""
        gateway = self._gateway
        now = gateway.clock.steady()
        if not self.may_retry(job, responder):
            raise RetryRefused("no send is left")
        if gateway.crashes.is_suspect(job):
            raise RetryRefused("an upstream crashed under it")
        if self._is_rejected_too_often(job):
            raise RetryRefused("rejected too often")
        if gateway.views.freshness.stale:
            raise RetryRefused("the list of upstreams is old")
        if not gateway.stopping.may_send(job):
            raise RetryRefused("too late for a send")
        if not self.hedge_candidates(job):
            raise RetryRefused("no upstream is left")
        if not self._window(job).allows(self._routers, now):
            raise RetryRefused("no allowance for a repeat")

    def hedge_candidates(self, job):
        """Return the UpstreamStates that may run a job beside a silent one.

        Upstreams that name a rate limit are left to first sends.
        """
        gateway = self._gateway
        now = gateway.clock.steady()
        candidates = gateway.pool.candidates(job.service, job.tried, now)
        return gateway.limits.unlimited(candidates)

    def release_hedge(self, job, tokens):
        """Give back what was set aside for a run that was none."""
        if tokens:
            self._gateway.budgets.settle(job.budget, tokens, 0)
            job.reserved -= tokens

    def check_retry(self, job, responder, error):
        """Raise RequestError unless a job may be sent again after a failure.

        :param error: the UpstreamError of its last send
        """
        if not self._may_follow(job, responder, error):
            raise final_error(job, error) from None

    def _may_follow(self, job, responder, error):
        if self._is_rejected_too_often(job):
            return False
        if not error.started and not isinstance(error, NotExecuted):
            # Without a connection it cost the upstreams nothing.
            return True
        if error.started and not self.may_retry(job, responder):
            return False
        return self._acquire_retry(job)

    def _is_rejected_too_often(self, job):
        return (
            job.rejections >= REJECTION_LIMIT
            or job.failed_connections >= CONNECT_LIMIT
        )

    @property
    def _routers(self):
        return len(self._gateway.members.live())

    def _window(self, job):
        return self._gateway.retries(job.service)

    def _acquire_retry(self, job):
        """Return whether the fleet's budget has room for one more send."""
        now = self._gateway.clock.steady()
        return self._window(job).acquire(self._routers, now)


def final_error(job, error):
    """Return the RequestError that ends a job after an UpstreamError."""
    if job.runs:
        return RequestError(ErrorKind.UPSTREAM_FAILED, str(error))
    if isinstance(error, NotExecuted):
        return RequestError(ErrorKind.UPSTREAM_REFUSED, "no upstream took it")
    return RequestError(ErrorKind.NO_UPSTREAM, str(error))
