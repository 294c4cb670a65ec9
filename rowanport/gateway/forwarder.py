"""The way of one request: admit, reserve, send, pass on, settle."""

import asyncio

from ..errors import ErrorKind
from ..errors import RequestError
from .decisions import DecisionLog
from .refusals import timeout_error
from .retry_policy import RetryPolicy
from .sender import JobSender


class Forwarder:
    """Serves requests.

    :param gateway: the Gateway, for its parts
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._clock = gateway.clock
        self._log = DecisionLog(gateway.metrics, gateway.clock)
        self._repeats = RetryPolicy(gateway)
        self._refusals = gateway.refusals
        self._stopping = gateway.stopping
        self._crashes = gateway.crashes
        # The time limit of each job under way.
        self._time_limits = {}

    async def handle(self, request, responder):
        """Answer one HttpRequest, whatever becomes of it."""
        arrived = self._clock.steady()
        job = None
        try:
            job = self._admit(request, arrived)
            self._stopping.take(job)
            await self._serve_in_time(job, responder)
            self._stopping.note_whole(job)
            self._note_end(job, "done", arrived)
        except RequestError as error:
            await self._send_error(job, request, responder, error, arrived)
        except asyncio.TimeoutError:
            error = self._error_at_end(job)
            await self._send_error(job, request, responder, error, arrived)
        except asyncio.CancelledError:
            outcome = "dropped" if responder.dropped else "caller_left"
            self._note_end(job, outcome, arrived)
            raise
        finally:
            self._stopping.leave(job)

    def _admit(self, request, arrived):
        """Return the Job of a request; raise RequestError if there is none."""
        gateway = self._gateway
        try:
            return gateway.admission.admit(request, gateway.table, arrived)
        except RequestError:
            # A configuration that is not known here may allow it.
            gateway.views.freshness.check()
            raise

    def _error_at_end(self, job):
        """Return the RequestError of a job whose time limit ended it."""
        try:
            self._crashes.check(job)
        except RequestError as error:
            return error
        return self._stopping.error_at_cut(job) or timeout_error(job)

    def end(self, job):
        """End a job under way, whose request is refused from now on."""
        limit = self._time_limits.get(job)
        if limit is not None and not limit.expired():
            limit.reschedule(asyncio.get_running_loop().time())

    def bound_open(self):
        """End what is in hand at the cut of the stop at the latest.

        What waits then, for tokens or for an upstream, is still answered
        before its connection closes.
        """
        loop = asyncio.get_running_loop()
        left = self._stopping.cut_at - self._clock.steady()
        cut = loop.time() + left
        for limit in self._time_limits.values():
            if not limit.expired():
                limit.reschedule(min(limit.when(), cut))

    async def _serve_in_time(self, job, responder):
        left = self._stopping.end_of(job) - self._clock.steady()
        async with asyncio.timeout(left) as limit:
            self._time_limits[job] = limit
            try:
                await self._serve(job, responder)
            finally:
                del self._time_limits[job]

    async def _serve(self, job, responder):
        gateway = self._gateway
        now = self._clock.steady()
        # What is blocked stays so, whatever else is known meanwhile.
        self._crashes.check(job)
        gateway.views.freshness.check()
        gateway.retries(job.service).record_request(now)
        if gateway.congestion.should_refuse(job.request):
            raise RequestError(
                ErrorKind.OVERLOADED, "the router's own link is congested"
            )
        budget = job.budget
        if budget is None:
            return await self._send(job, responder)
        job.reserved = job.tokens.max_total
        await gateway.budgets.reserve(budget, job.reserved)
        try:
            await self._send(job, responder)
        finally:
            gateway.budgets.settle(budget, job.reserved, job.used, job.spent)

    async def _send(self, job, responder):
        """Send a job to upstreams until it is answered."""
        sender = JobSender(
            self._gateway, self._log, self._repeats, job, responder
        )
        await sender.run()

    async def _send_error(self, job, request, responder, error, arrived):
        self._note_end(job, error.kind.value, arrived, error.detail)
        if responder.started:
            # Closing it in the middle is all that is left, so that it
            # cannot look whole.
            return
        if error.kind is ErrorKind.NOT_READY:
            # The caller's next request goes to a router that is.
            responder.closing = True
        name = self._gateway.dialect.request_id
        own = request.header(name)
        headers = [(name, own)] if own else []
        await self._refusals.send(responder, error, headers, job)

    def _note_end(self, job, outcome, arrived, why=""):
        used = job.used if job and job.budget else None
        revision = self._gateway.upstreams.revision
        self._log.note_end(job, outcome, arrived, why, used, revision)
