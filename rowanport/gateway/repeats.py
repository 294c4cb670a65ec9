"""Decides whether a request may be sent once more, and says why not."""

from ..errors import ErrorKind
from ..errors import RequestError
from .exchange import NotExecuted

# Rejections of one request after which it is refused.
REJECTION_LIMIT = 3
# Failed connections of one request after which it is refused.
CONNECT_LIMIT = 6


class Repeats:
    """Whether Jobs may be sent once more.

    :param gateway: the Gateway, for its parts
    """

    def __init__(self, gateway):
        self._gateway = gateway

    def can_run_again(self, job, responder):
        """Return whether a job's route lets it run once more."""
        route = job.route
        if not route.repeatable or job.runs >= route.max_sends:
            return False
        return route.resumable or not responder.started

    def refuse_beside(self, job, responder):
        """Allow a send beside one that is silent, or say why not.

        What it needs is taken for it: an allowance, and tokens for what the
        silent run may still make.

        :returns: the reason, "" if the send is allowed
        """
        gateway = self._gateway
        now = gateway.clock.steady()
        if not self.can_run_again(job, responder):
            return "no send is left"
        if not gateway.stopping.may_send(job):
            return "too late for a send"
        if not gateway.pool.candidates(job.service, job.tried, now):
            return "no upstream is left"
        tokens = job.unmade
        if not self._reserve(job, tokens):
            return "no tokens for a second run"
        if not self._take_allowance(job):
            self._release(job, tokens)
            return "no allowance for a repeat"
        return ""

    def check_rejected(self, job, error):
        """Raise RequestError unless a job may follow a rejection."""
        job.rejections += 1
        if job.rejections >= REJECTION_LIMIT or not self._take_allowance(job):
            raise give_up(job, error) from None

    def check_failed(self, job, responder, error):
        """Raise RequestError unless a job may follow a failed send."""
        if not error.started:
            # It cost the upstreams nothing.
            job.failed_connections += 1
            if job.failed_connections >= CONNECT_LIMIT:
                raise give_up(job, error) from None
            return
        if not self.can_run_again(job, responder):
            raise give_up(job, error) from None
        if not self._take_allowance(job):
            raise give_up(job, error) from None

    def _take_allowance(self, job):
        """Return whether the fleet's budget has room for one more send."""
        gateway = self._gateway
        routers = len(gateway.members.live())
        now = gateway.clock.steady()
        return gateway.retries(job.service).take(routers, now)

    def _reserve(self, job, tokens):
        if job.budget is None or not tokens:
            return True
        if not self._gateway.budgets.reserve_now(job.budget, tokens):
            return False
        job.reserved += tokens
        return True

    def _release(self, job, tokens):
        if job.budget is not None:
            self._gateway.budgets.settle(job.budget, tokens, 0)
            job.reserved -= tokens


def give_up(job, error):
    """Return the RequestError that ends a job after an UpstreamError."""
    if job.runs:
        return RequestError(ErrorKind.UPSTREAM_FAILED, str(error))
    if isinstance(error, NotExecuted):
        return RequestError(ErrorKind.UPSTREAM_REFUSED, "no upstream took it")
    return RequestError(ErrorKind.NO_UPSTREAM, str(error))
