"""Whether to abandon a run whose upstream has stalled."""

from ..errors import RequestError
from ..web.patience import Patience


class RunStallPolicy(Patience):
    """Keeps a stalled run until a replacement is certain to be possible.

    A stall is not a failure: the upstream may only pause.  A run abandoned
    without a replacement would be lost to its caller.

    :param router: the Router
    :param job: the Job
    :param group: its GroupScheduler
    :param tried: addresses of upstreams that the job was sent to
    """

    def __init__(self, router, job, group, tried):
        self._router = router
        self._job = job
        self._group = group
        self._tried = tried

    @property
    def _deadline_passed(self):
        return self._router.clock.wall() >= self._job.call.deadline

    @property
    def may_replace(self):
        """Return whether a run can be replaced, if the tokens suffice."""
        job = self._job
        if job.sent or not job.call.repeatable or self._deadline_passed:
            return False
        if self._group.pool.choose(job.key, self._tried) is None:
            return False
        return job.retry_acquired or self._group.retries.allows_retry

    async def give_up(self):
        """Return whether to abandon the run; acquire what a retry needs.

        After the caller's deadline the run is abandoned without a retry, as
        no one waits for its answer.
        """
        if self._deadline_passed:
            return True
        # The retry budget is checked before tokens are reserved: without a
        # retry they would stay reserved unused until the stalled run ends.
        if not self.may_replace:
            return False
        return await self._reserve_tokens() and self._acquire_retry()

    async def _reserve_tokens(self):
        """Return whether the tokens of another run are reserved."""
        job, call = self._job, self._job.call
        if job.cost == 0 or job.next_reservation is not None:
            return True
        try:
            job.next_reservation = await self._router.ledger.reserve(
                call.request, call.budget, job.cost, call.deadline
            )
        except RequestError:
            return False
        return True

    def _acquire_retry(self):
        job = self._job
        if not job.retry_acquired:
            job.retry_acquired = self._group.retries.acquire()
        return job.retry_acquired
