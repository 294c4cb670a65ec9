"""Checks the ends of answers without a length that the gateway forwards."""

from ..ends import AnswerSource
from ..ends import EndCheck
from ..ends import EndRecord
from ..ends import Instance
from ..ends import PROXY_FAILURES
from ..errors import EndUnconfirmed
from ..errors import UpstreamError


class AnswerEnds:
    """Knows which answers ended early, and checks those that may have.

    :param gateway: the Gateway, for its parts
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._check = EndCheck(gateway.client)
        # By UpstreamRun.
        self._ends = EndRecord()

    def record_end(self, run):
        """Record that an UpstreamRun ended a connection with an answer due."""
        self._ends.add(run)

    async def confirm(self, job, state, answer, may_run_again):
        """Confirm that an answer without a length is whole.

        :param job: the Job
        :param state: the UpstreamState of the upstream that answered
        :param answer: the HttpAnswer, whose connection has just ended in order
        :param may_run_again: function that returns whether the job can be sent
            to another upstream now
        :raises EndUnconfirmed: nothing shows that it is
        """
        gateway = self._gateway
        source = UpstreamSource(gateway, self._ends, state, may_run_again)
        run = state.record.run
        ended_at = self._ends.add(run)
        ends = gateway.metrics.connection_ends
        try:
            reason = await self._check.confirm(answer, source)
        except EndUnconfirmed:
            ends.inc({"verdict": "broken"})
            raise
        ends.inc({"verdict": "whole"})
        self._ends.remove(run, ended_at)
        job.end_reason = reason


class UpstreamSource(AnswerSource):
    """What the gateway knows of an upstream that sent an answer.

    :param gateway: the Gateway
    :param ends: the EndRecord
    :param state: the UpstreamState
    :param may_run_again: function that returns whether the job can be sent to
        another upstream now
    """

    def __init__(self, gateway, ends, state, may_run_again):
        self._gateway = gateway
        self._ends = ends
        self._state = state
        self._may_run_again = may_run_again

    @property
    def leaving(self):
        state = self._state
        listed = self._gateway.pool.get(state.record.id) is state
        return state.leaving or not listed

    @property
    def may_run_again(self):
        return self._may_run_again()

    def cut_together(self, since):
        # One of them is the end of the answer itself.
        return self._ends.count(self._state.record.run, since) > 1

    async def ask_instance(self):
        gateway, record = self._gateway, self._state.record
        service = gateway.table and gateway.table.services.get(record.service)
        if service is None or not self._may_ask():
            # What it wants spared are requests, and health checks count.
            return Instance.SILENT
        try:
            answer = await gateway.client.request(
                record.address, "GET", service.health_path
            )
        except UpstreamError:
            return Instance.GONE
        name = answer.headers.get(gateway.dialect.instance)
        answer.close()
        if answer.status in PROXY_FAILURES:
            return Instance.GONE
        if name is None:
            return Instance.UNNAMED
        return Instance.SAME if name == record.id else Instance.ANOTHER

    def _may_ask(self):
        """Return whether the upstream takes health checks."""
        limited = not self._gateway.limits.unlimited([self._state])
        now = self._gateway.clock.steady()
        return not limited and not self._state.is_backed_off(now)
