"""Checks the ends of answers without a length that the gateway forwards."""

import asyncio
import random

import structlog

from ..clock import loop_time
from ..ends import AnswerSource
from ..ends import EndCheck
from ..ends import EndRecord
from ..ends import Instance
from ..ends import is_earlier
from ..ends import Peers
from ..ends import PROXY_FAILURES
from ..errors import EndUnconfirmed
from ..errors import PeerError
from ..errors import UpstreamError
from ..incarnation import address_of
from ..incarnation import ANSWER_ENDS_PROTOCOL
from ..incarnation import protocol_of
from ..schema.messages import EndAsk
from ..schema.messages import EndNews

LOG = structlog.get_logger(__name__)

# Seconds after an end from which on a missing entry is no sign of a leave.
LATE_SECONDS = 0.05
# Most peers that are asked, and longest wait in seconds for their answers.
MOST_ASKED = 16
ASK_TIMEOUT = 0.2


class AnswerEnds:
    """Knows which answers ended early, and checks those that may have.

    :param gateway: the Gateway, for its parts
    :param peers: the PeerClient
    """

    def __init__(self, gateway, peers):
        self._gateway = gateway
        self._peers = peers
        self._check = EndCheck(gateway.client)
        # By name of the UpstreamRun.
        self._ends = EndRecord()

    def record_end(self, run):
        """Record that an upstream ended a connection with an answer due.

        :param run: name of the UpstreamRun
        :returns: the event loop's time
        """
        return self._ends.add(run)

    def cut_together(self, run, ended_at):
        """Return whether others of these ends came at about the same time.

        :param run: name of the UpstreamRun
        :param ended_at: event loop's time of one of them
        """
        return self._ends.count(run, ended_at) > 1

    # Peers

    def answer(self, message):
        """Return the EndNews on an EndAsk of a peer."""
        ended_at = loop_time() - message.age_ms / 1000
        paths = self._gateway.client.open_paths(message.address)
        # The end of a connection does not arrive over a link that is lost.
        reaches = self._gateway.links.usable(message.address)
        return EndNews(
            reaches and any(is_earlier(path, ended_at) for path in paths),
            self._ends.count(message.upstream, ended_at) > 0,
        )

    async def ask_peers(self, record, ended_at):
        """Return what peers saw of an upstream as an answer ended, a Peers.

        :param record: the Upstream
        :param ended_at: event loop's time
        """
        age_ms = round(1000 * (loop_time() - ended_at))
        ask = EndAsk(record.run.name, record.address, age_ms)
        entries = [
            entry.incarnation
            for entry in self._gateway.members.ready_entries()
            if protocol_of(entry.incarnation) >= ANSWER_ENDS_PROTOCOL
        ]
        chosen = random.sample(entries, min(MOST_ASKED, len(entries)))
        news = await asyncio.gather(
            *(self._ask(address_of(peer), ask) for peer in chosen)
        )
        if any(one is not None and one.open for one in news):
            return Peers.OPEN
        if any(one is not None and one.cut for one in news):
            return Peers.CUT
        return Peers.NOTHING

    async def _ask(self, peer, ask):
        """Return the EndNews of a peer, None if it does not answer."""
        try:
            news = await self._peers.call(peer, ask, ASK_TIMEOUT)
        except PeerError as error:
            LOG.info("end_unanswered", peer=peer, error=str(error))
            return None
        return news if isinstance(news, EndNews) else None

    # Own answers

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
        source = UpstreamSource(gateway, self, job, state, may_run_again)
        run = state.record.run.name
        ended_at = self._ends.add(run, answer.path.reader.ended_at)
        ends = gateway.metrics.connection_ends
        try:
            reason = await self._check.confirm(answer, source)
        except EndUnconfirmed:
            ends.inc({"verdict": "broken"})
            raise
        except asyncio.CancelledError:
            # Nobody waits for the answer any more: nothing is known of it.
            self._ends.remove(run, ended_at)
            raise
        ends.inc({"verdict": "whole"})
        self._ends.remove(run, ended_at)
        job.end_reason = reason


class UpstreamSource(AnswerSource):
    """What the gateway knows of an upstream that sent an answer.

    :param gateway: the Gateway
    :param ends: the AnswerEnds
    :param job: the Job
    :param state: the UpstreamState
    :param may_run_again: function that returns whether the job can be sent to
        another upstream now
    """

    def __init__(self, gateway, ends, job, state, may_run_again):
        self._gateway = gateway
        self._ends = ends
        self._job = job
        self._state = state
        self._may_run_again = may_run_again

    def leaves_at(self, ended_at):
        state = self._state
        if state.leaving:
            return True
        # The entry of an upstream that died is removed as well, seconds later.
        late = loop_time() > ended_at + LATE_SECONDS
        return (
            not late and self._gateway.pool.get(state.record.id) is not state
        )

    @property
    def deadline(self):
        left = self._job.deadline - self._gateway.clock.steady()
        return loop_time() + left

    @property
    def may_run_again(self):
        return self._may_run_again()

    @property
    def may_be_asked(self):
        """Return whether the upstream takes health checks.

        What it wants spared are requests, and health checks count.
        """
        limited = not self._gateway.limits.unlimited([self._state])
        now = self._gateway.clock.steady()
        backed_off = self._state.is_backed_off(now)
        return not (limited or backed_off) and self._service is not None

    @property
    def _service(self):
        """Return the Service of the upstream, None if it is unknown."""
        table = self._gateway.table
        return table and table.services.get(self._state.record.service)

    def cut_together(self, ended_at):
        return self._ends.cut_together(self._state.record.run.name, ended_at)

    async def ask_instance(self, path):
        gateway, record = self._gateway, self._state.record
        service = self._service
        if service is None:
            # A new configuration has come meanwhile.
            gateway.client.keep(path)
            return Instance.SILENT
        try:
            answer = await gateway.client.request(
                record.address, "GET", service.health_path, over=path
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

    async def ask_peers(self, ended_at):
        return await self._ends.ask_peers(self._state.record, ended_at)
