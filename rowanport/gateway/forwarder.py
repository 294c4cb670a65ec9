"""The way of one request: admit, reserve, send, pass on, settle."""

import asyncio

from ..errors import ErrorKind
from ..errors import RequestError
from ..errors import UpstreamError
from .decisions import DecisionLog
from .exchange import NotExecuted
from .refusals import late_error
from .relay import is_stream
from .relay import Relay

# Rejections of one request after which it is refused.
REJECTION_LIMIT = 3
# Failed connections of one request after which it is refused.
CONNECT_LIMIT = 6
# Part of the remaining time that a repeatable request waits for a silent
# upstream before it goes to another.
SILENCE_SHARE = 0.4
# The same for a stream that may be resumed, as a multiple of its objective
# before the first event: callers give a stream up after 2 s or more.
FIRST_EVENT_OBJECTIVES = 3.0


class Forwarder:
    """Serves requests.

    :param gateway: the Gateway, for its parts
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._clock = gateway.clock
        self._log = DecisionLog(gateway.metrics, gateway.clock)
        self._relay = Relay(gateway.exchange, gateway.clock)
        self._refusals = gateway.refusals
        self._stopping = gateway.stopping
        self._limits = set()

    async def handle(self, request, responder):
        """Answer one HttpRequest, whatever becomes of it."""
        gateway = self._gateway
        arrived = self._clock.steady()
        job = None
        try:
            job = gateway.admission.admit(request, gateway.table, arrived)
            self._stopping.take(job)
            await self._serve_in_time(job, responder)
            self._stopping.note_whole(job)
            self._note_end(job, "done", arrived)
        except RequestError as error:
            await self._send_error(job, request, responder, error, arrived)
        except asyncio.TimeoutError:
            error = self._stopping.error_at_cut(job) or late_error(job)
            await self._send_error(job, request, responder, error, arrived)
        except asyncio.CancelledError:
            self._note_end(job, "caller_left", arrived)
            raise
        finally:
            self._stopping.leave(job)

    def bound_open(self):
        """End what is in hand at the cut of the stop at the latest.

        What waits then, for tokens or for an upstream, is still answered
        before its connection closes.
        """
        loop = asyncio.get_running_loop()
        left = self._stopping.cut_at - self._clock.steady()
        cut = loop.time() + left
        for limit in self._limits:
            if not limit.expired():
                limit.reschedule(min(limit.when(), cut))

    async def _serve_in_time(self, job, responder):
        left = self._stopping.end_of(job) - self._clock.steady()
        async with asyncio.timeout(left) as limit:
            self._limits.add(limit)
            try:
                await self._serve(job, responder)
            finally:
                self._limits.discard(limit)

    async def _serve(self, job, responder):
        gateway = self._gateway
        now = self._clock.steady()
        gateway.retries(job.service).note_request(now)
        if gateway.congestion.refuses(job.request):
            raise RequestError(
                ErrorKind.OVERLOADED, "the router's own link is congested"
            )
        budget = job.budget
        if budget is None:
            return await self._send_until_done(job, responder)
        worst = job.tokens.worst
        await gateway.budgets.reserve(budget, worst)
        try:
            await self._send_until_done(job, responder)
        finally:
            gateway.budgets.settle(budget, worst, job.used, job.spent)

    # Sends

    async def _send_until_done(self, job, responder):
        rejections = 0
        failed_connections = 0
        while True:
            self._stopping.check_send(job)
            state = self._choose(job)
            try:
                return await self._send(job, state, responder)
            except NotExecuted as error:
                rejections += 1
                self._note_rejection(job, state, error)
                if rejections >= REJECTION_LIMIT:
                    raise self._give_up(job, error) from None
                self._check_budget(job, error)
            except UpstreamError as error:
                self._note_failure(job, state, error)
                if error.started:
                    self._check_repeat(job, responder, error)
                    continue
                failed_connections += 1
                if failed_connections >= CONNECT_LIMIT:
                    raise self._give_up(job, error) from None

    def _choose(self, job):
        gateway = self._gateway
        now = self._clock.steady()
        candidates = gateway.pool.candidates(job.service, job.tried, now)
        if not candidates:
            raise self._give_up(job, UpstreamError("no upstream is left"))
        choice = gateway.choice(job.tokens is not None)
        state = choice.choose(candidates, job, now)
        job.upstream = state.record.id
        job.backlog = round(state.backlog.tokens(now))
        return state

    def _note_rejection(self, job, state, error):
        job.tried.add(state.record.id)
        if error.misdirected:
            state.note_failure(self._clock.steady(), weight=2)
            self._gateway.client.forget(state.record.address)
        self._log.note_send(job, state, "not_executed", error)

    def _note_failure(self, job, state, error):
        job.tried.add(state.record.id)
        weight = 1 if error.started else 2
        state.note_failure(self._clock.steady(), weight)
        self._log.note_send(job, state, "failed", error)

    def _check_repeat(self, job, responder, error):
        """Raise unless a job that may have run may be sent again."""
        if not job.route.repeatable or job.runs >= job.route.max_sends:
            raise self._give_up(job, error)
        if responder.started and not job.route.resumable:
            raise self._give_up(job, error)
        self._check_budget(job, error)

    def _check_budget(self, job, error):
        """Raise unless the fleet's budget has room for one more send."""
        gateway = self._gateway
        routers = len(gateway.members.live())
        now = self._clock.steady()
        if not gateway.retries(job.service).take(routers, now):
            raise self._give_up(job, error)

    def _give_up(self, job, error):
        """Return the RequestError that ends a job."""
        if job.runs:
            return RequestError(ErrorKind.UPSTREAM_FAILED, str(error))
        if isinstance(error, NotExecuted):
            return RequestError(
                ErrorKind.UPSTREAM_REFUSED, "no upstream took it"
            )
        return RequestError(ErrorKind.NO_UPSTREAM, str(error))

    async def _send(self, job, state, responder):
        """Send a job to one upstream and pass its answer on."""
        state.outstanding += 1
        ahead = self._note_load(job, state)
        sent_at = self._clock.steady()
        try:
            answer = await self._exchange(job, state)
            if is_stream(answer):
                state.backlog.measure(ahead, self._clock.steady() - sent_at)
            await self._relay.pass_on(job, answer, responder)
            state.note_success()
            self._log.note_answered()
        finally:
            state.outstanding -= 1

    def _note_load(self, job, state):
        """Count a job's prompt; return what the engine has to read with it."""
        if job.tokens is None:
            return 0
        gateway = self._gateway
        unread = gateway.unread(state, job, self._clock.steady())
        return gateway.loads.note_send(state, job.prefix, unread)

    async def _exchange(self, job, state):
        """Return the answer's head; count whether the job may have run."""
        job.sends += 1
        job.runs += 1
        try:
            return await self._gateway.exchange.send(
                job, state.record, self._silence(job)
            )
        except UpstreamError as error:
            if not error.started:
                job.runs -= 1
            raise

    def _silence(self, job):
        """Return the longest silence in seconds before the next upstream."""
        left = job.deadline - self._clock.steady()
        again = job.route.repeatable and job.runs < job.route.max_sends
        if not again:
            return left
        if job.tokens is not None:
            return min(left, FIRST_EVENT_OBJECTIVES * job.route.objective)
        return SILENCE_SHARE * left

    async def _send_error(self, job, request, responder, error, arrived):
        self._note_end(job, error.kind.value, arrived, error.detail)
        if responder.started:
            # Closing it in the middle is all that is left, so that it
            # cannot look whole.
            return
        name = self._gateway.dialect.request_id
        own = request.header(name)
        headers = [(name, own)] if own else []
        await self._refusals.send(responder, error, headers, job)

    def _note_end(self, job, outcome, arrived, why=""):
        used = job.used if job and job.budget else None
        revision = self._gateway.upstreams.revision
        self._log.note_end(job, outcome, arrived, why, used, revision)
