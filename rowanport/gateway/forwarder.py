"""Serves a request: admits it, reserves tokens, sends it and settles."""

import asyncio

from ..errors import ErrorKind
from ..errors import RequestError
from .decisions import DecisionLog
from .refusals import timeout_error
from .retry_policy import RetryPolicy
from .sender import JobSender


class Forwarder:
    """Serves requests.

    :param gateway: the Gateway, whose components it uses
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._clock = gateway.clock
        self._log = DecisionLog(gateway.metrics, gateway.clock)
        self._retry_policy = RetryPolicy(gateway)
        self._refusals = gateway.refusals
        self._stopping = gateway.stopping
        self._crashes = gateway.crashes
        # The asyncio time-out of each job in flight.
        self._timeouts = {}

    async def handle(self, request, responder):
        """Answer an HttpRequest, also if it fails."""
        arrived = self._clock.steady()
        self._gateway.readiness.record(len(request.body), arrived)
        if self._gateway.is_full():
            # The caller's next connection goes to another router.
            responder.closing = True
        callers = self._gateway.callers
        passage = callers.begin(request, responder)
        job = None
        try:
            callers.check(passage)
            job = self._admit(request, arrived)
            callers.accept(passage, job)
            self._stopping.accept(job)
            await self._serve_in_time(job, responder)
            self._stopping.record_complete(job)
            self._log_end(job, "done", arrived)
        except RequestError as error:
            await self._send_error(job, request, responder, error, arrived)
        except asyncio.TimeoutError:
            error = self._timeout_error(job)
            await self._send_error(job, request, responder, error, arrived)
        except asyncio.CancelledError:
            outcome = "dropped" if responder.dropped else "caller_left"
            self._log_end(job, outcome, arrived)
            raise
        finally:
            self._stopping.release(job)
            callers.end(passage)
            now = self._clock.steady()
            self._gateway.readiness.record(responder.sent, now)

    def _admit(self, request, arrived):
        """Return the Job of a request.

        :raises RequestError: the request is not admitted
        """
        gateway = self._gateway
        try:
            return gateway.admission.admit(request, gateway.table, arrived)
        except RequestError:
            # A newer configuration may admit it, if the views are stale.
            gateway.views.freshness.check()
            raise

    def _timeout_error(self, job):
        """Return the RequestError of a job that ended by its time-out."""
        try:
            self._crashes.check(job)
        except RequestError as error:
            return error
        return self._stopping.cutoff_error(job) or timeout_error(job)

    def abort(self, job):
        """End a job in flight whose request has been blocked."""
        timeout = self._timeouts.get(job)
        if timeout is not None and not timeout.expired():
            timeout.reschedule(asyncio.get_running_loop().time())

    def bound_open(self):
        """Limit the time of all jobs in flight to the cut-off of the shutdown.

        A job that waits for tokens or an upstream at that time is still
        answered before its connection closes.
        """
        loop = asyncio.get_running_loop()
        left = self._stopping.cutoff_at - self._clock.steady()
        cutoff = loop.time() + left
        for timeout in self._timeouts.values():
            if not timeout.expired():
                timeout.reschedule(min(timeout.when(), cutoff))

    async def _serve_in_time(self, job, responder):
        left = self._stopping.end_time(job) - self._clock.steady()
        async with asyncio.timeout(left) as timeout:
            self._timeouts[job] = timeout
            try:
                await self._serve(job, responder)
            finally:
                del self._timeouts[job]

    async def _serve(self, job, responder):
        gateway = self._gateway
        # A blocked request is refused, even if the views are stale.
        self._crashes.check(job)
        gateway.views.freshness.check()
        gateway.retries.record_request(job.service)
        if gateway.congestion.should_refuse(job.request) and (
            not gateway.callers.protects(job)
        ):
            raise RequestError(
                ErrorKind.OVERLOADED, "network link of the router is congested"
            )
        if job.takes_up:
            await gateway.streams.bind(job)
        gateway.admission_control.check(job)
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
            self._gateway, self._log, self._retry_policy, job, responder
        )
        await sender.run()

    async def _send_error(self, job, request, responder, error, arrived):
        self._log_end(job, error.kind.value, arrived, error.detail)
        if responder.started:
            # Closing the connection early is the only way left to show the
            # caller that the answer is incomplete.
            return
        if error.kind is ErrorKind.NOT_READY:
            # The caller's next request should go to a router that is ready.
            responder.closing = True
        name = self._gateway.dialect.request_id
        own = request.header(name)
        headers = [(name, own)] if own else []
        await self._refusals.send(responder, error, headers, job)

    def _log_end(self, job, outcome, arrived, why=""):
        used = job.used if job and job.budget else None
        revision = self._gateway.upstreams.revision
        self._log.log_end(job, outcome, arrived, why, used, revision)
