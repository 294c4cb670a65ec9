"""Decides what follows when an upstream falls silent within an answer."""

from ..errors import RequestError
from ..web.patience import Patience


class RunStallPolicy(Patience):
    """Keeps a silent run until another one is sure to take its place.

    A run that is let go before that is lost to its caller, though it may only
    pause: an upstream's silence is no failure.

    :param router: the Router, for its parts
    :param job: the Job
    :param group: its GroupScheduler
    :param tried: addresses of upstreams that it was sent to
    """

    def __init__(self, router, job, group, tried):
        self._router = router
        self._job = job
        self._group = group
        self._tried = tried

    @property
    def _deadline_passed(self):
        return self._router.clock.wall() >= self._job.call.deadline

    async def give_up(self):
        """Return whether the run is let go; take what the next one needs.

        Past the caller's deadline nothing follows, but nobody waits either.
        """
        if self._deadline_passed:
            return True
        job = self._job
        if job.sent or not job.call.repeatable:
            return False
        if self._group.pool.choose(job.key, self._tried) is None:
            return False
        # Tokens are set aside last but one: without an allowance they would
        # lie idle until the silent run ends.
        if not job.retry_taken and not self._group.retries.allows_retry:
            return False
        return await self._take_tokens() and self._take_allowance()

    async def _take_tokens(self):
        """Return whether the tokens of another run are set aside."""
        job, call = self._job, self._job.call
        if job.cost == 0 or job.next_entry is not None:
            return True
        try:
            job.next_entry = await self._router.ledger.reserve(
                call.request, call.budget, job.cost, call.deadline
            )
        except RequestError:
            return False
        return True

    def _take_allowance(self):
        job = self._job
        if not job.retry_taken:
            job.retry_taken = self._group.retries.acquire()
        return job.retry_taken
