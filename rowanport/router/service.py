"""Plain services: ``/services/GROUP/PATH`` is forwarded to ``/PATH``."""

from ..ends import AnswerSource
from ..errors import ErrorKind
from ..errors import Outcome
from ..errors import RequestError
from .answers import answer_headers
from .runner import Job
from .runner import refuse_duplicate
from .runner import Runner

PREFIX = "/services/"
METHODS = ("GET", "POST", "PUT", "DELETE", "PATCH")


class _Target:
    """A request to a plain service.

    :ivar method: HTTP method
    :ivar path: path at the service
    :ivar body: bytes
    :ivar kind: content type
    """

    __slots__ = ("method", "path", "body", "kind")

    def __init__(self, method, path, body, kind):
        self.method = method
        self.path = path
        self.body = body
        self.kind = kind


class ServiceSource(AnswerSource):
    """What the router knows of a service that answered a job.

    :param services: the ServiceClient
    :param pool: the Pool of the group
    :param upstream: the Upstream
    :param stall_policy: the RunStallPolicy of the job
    """

    def __init__(self, services, pool, upstream, stall_policy):
        self._services = services
        self._pool = pool
        self._upstream = upstream
        self._stall_policy = stall_policy

    def leaves_at(self, ended_at):
        listed = self._upstream in self._pool.upstreams()
        return not (listed and self._pool.is_open(self._upstream))

    @property
    def may_run_again(self):
        return self._stall_policy.may_replace

    @property
    def may_be_asked(self):
        return True

    def cut_together(self, ended_at):
        # One of them is the end of the answer itself.
        return self._services.count_ends(self._upstream.address, ended_at) > 1

    async def ask_instance(self, path):
        # Plain services have no health checks, and any request may cost.
        return await self._services.watch(path)


class ServiceRunner(Runner):
    """Runs requests to plain services.

    :param router: the Router
    :param services: a ServiceClient
    """

    def __init__(self, router, services):
        super().__init__(router)
        self._services = services

    def make_job(self, call, request, arrived):
        """Return the Job of a request to a service.

        :param call: the Call
        :param request: the HttpRequest
        :param arrived: monotonic time of its arrival
        :raises RequestError: the request is malformed or refused by policy
        """
        name, _, path = request.path[len(PREFIX) :].partition("/")
        if request.method not in METHODS:
            raise RequestError(ErrorKind.MALFORMED, "unsupported method")
        group = self._router.service_group(name)
        cost = group.call_cost
        facts = self._router.facts(call, group.name, cost, len(request.body))
        decision = self.decide(call, facts)
        if decision.group != group.name:
            self._router.service_group(decision.group)
        kind = request.header("content-type", "application/octet-stream")
        target = _Target(request.method, "/" + path, request.body, kind)
        key = f"{call.organisation.name}\0{call.request}"
        pauses = self._router.pauses.count()
        return Job(call, target, decision, cost, 1, key, arrived, pauses)

    async def attempt(self, job, upstream, responder):
        target = job.body
        pool = self._router.group(job.decision.group).pool
        source = ServiceSource(
            self._services, pool, upstream, job.stall_policy
        )
        reply = await self._services.call(
            upstream.address,
            job.call.request,
            target.method,
            target.path,
            target.body,
            target.kind,
            job.stall_policy,
            source,
        )
        headers = answer_headers(job.call, Outcome.DONE)
        job.sent = True
        await responder.reply(reply.status, reply.body, headers, reply.kind)
        return job.cost

    async def answer_duplicate(self, job, claimed, responder):
        refuse_duplicate(claimed)

    async def end_run(self, job, address):
        # A request that may have run is billed the fixed cost of a call.
        return "", job.cost
