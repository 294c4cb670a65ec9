"""Acts on what upstreams say of themselves in the heads of their answers."""

import asyncio
import random

import structlog

from ..errors import MessageError
from ..hashing import rendezvous
from ..incarnation import address_of
from ..incarnation import NOTICES_PROTOCOL
from ..notices import Absences
from ..notices import BackoffBook
from ..notices import LeaveBook
from ..notices import MAX_BACKOFF_SECONDS
from ..notices import parse_backoff
from ..notices import parse_leaving
from ..notices import REFUSAL_STATUSES
from ..schema.messages import BackoffNews
from ..schema.messages import LeaveNews
from ..supervision import beat
from ..tasks import TaskSet
from .exchange import MISDIRECTED

LOG = structlog.get_logger(__name__)

# Seconds between two looks at what has no effect any more, and at which
# upstreams are to be asked whether they still leave.
CHECK_INTERVAL = 0.5


class UpstreamNotices:
    """What the upstreams said of themselves, to this router or to peers.

    :param dialect: a Dialect
    :param limits: the RateLimits, which are updated, too
    :param pool: the UpstreamPool, whose states are marked
    :param peers: a PeerClient
    :param members: the Membership
    :param recipients: function that returns the addresses of the peers to
        which changes are sent at once
    :param address: this router's peer address
    :param clock: a Clock
    :param metrics: the GatewayMetrics
    :param ask_health: coroutine function that sends a health check to an
        Upstream and passes the answer to record_question()
    :param tell_tunnel_users: function of an upstream's address and seconds;
        it tells the peers with tunnels there to use none for that time
    :ivar on_leaving: function that is called once an upstream has said that
        it leaves, or None
    """

    def __init__(
        self,
        dialect,
        limits,
        pool,
        peers,
        members,
        recipients,
        address,
        clock,
        metrics,
        ask_health,
        tell_tunnel_users,
    ):
        self._dialect = dialect
        self._limits = limits
        self._pool = pool
        self._peers = peers
        self._members = members
        self._recipients = recipients
        self._address = address
        self._clock = clock
        self._metrics = metrics
        self._ask_health = ask_health
        self._tell_tunnel_users = tell_tunnel_users
        self._checks = TaskSet()
        self._leaves = LeaveBook()
        self._backoffs = BackoffBook()
        self._absences = Absences()
        # The last malformed value by (header, name of the run).
        self._unreadable = {}
        self.on_leaving = None

    @property
    def leaving_count(self):
        """Return the number of upstreams that said that they leave."""
        return self._leaves.count

    @property
    def backed_off_count(self):
        """Return the number of upstreams that want no requests now."""
        return self._backoffs.count(self._clock.steady())

    # Answers

    def record_answer(self, record, answer, request, sent_at):
        """Record the answer to a request.

        :param record: the Upstream that it was sent to
        :param answer: the HttpAnswer
        :param request: id of the request, for the log
        :param sent_at: monotonic time of the send
        """
        if not self._is_own(answer):
            return
        text = answer.headers.get(self._dialect.rate_limit)
        self._limits.record_answer(record.run, text)
        self._record_leaving(record.run, answer, request, sent_at)
        if answer.status in REFUSAL_STATUSES:
            self._record_backoff(record.run, answer, request)

    def _is_own(self, answer):
        """Return whether an answer to a request was made by its upstream.

        Another upstream that uses its address answers MISDIRECTED.  A proxy
        neither repeats the request's id nor signs.
        """
        names, headers = self._dialect, answer.headers
        if answer.status == MISDIRECTED or names.request_id not in headers:
            return False
        return names.signature in headers or names.not_executed in headers

    def record_question(self, record, answer, sent_at):
        """Record the answer to a health check or another question.

        Such answers name no rate limit.

        :param record: the Upstream that was asked
        :param answer: the HttpAnswer
        :param sent_at: monotonic time of the question
        """
        name = answer.headers.get(self._dialect.instance, record.id)
        if answer.status == MISDIRECTED or name != record.id:
            return
        if answer.status in REFUSAL_STATUSES:
            self._record_backoff(record.run, answer, None)
        # A failure without the header may come from a proxy, so it does not
        # say that the upstream stays.
        if answer.status == 200 or self._dialect.leaving in answer.headers:
            self._record_leaving(record.run, answer, None, sent_at)

    def _record_backoff(self, run, answer, request):
        """Record the time to back off that a refusal may name."""
        header = self._dialect.retry_after
        seconds = self._read(header, parse_backoff, run, answer)
        if not seconds:
            return
        self._metrics.backoffs.inc({})
        self._begin_backoff(run.name, seconds, None, request)
        relay = answer.path.relay
        if relay is not None:
            self._tell_relay(relay, run.name, seconds)

    def _begin_backoff(self, name, seconds, heard_from, request=None):
        now = self._clock.steady()
        backoff = self._backoffs.record(name, seconds, now, random.random())
        if backoff is not None:
            LOG.info(
                "upstream_backoff",
                upstream=name,
                seconds=seconds,
                heard_from=heard_from,
                request=request,
            )
            self._pool.set_backoff(name, backoff)
            state = self._pool.find_run(name)
            if state is not None:
                address = state.record.address
                self._tell_tunnel_users(address, backoff.ends_at - now)

    def _tell_relay(self, relay, name, seconds):
        """Tell the router that relayed a refused request to back off.

        The upstream refused that router, whose connection it was.

        :param relay: its incarnation
        """
        peer = address_of(relay)
        if self._members.speaks(peer, NOTICES_PROTOCOL):
            message = BackoffNews(name, seconds, self._address)
            self._peers.tell([peer], message)

    def receive_backoff(self, message):
        """Begin the back-off that a BackoffNews message names."""
        seconds = min(MAX_BACKOFF_SECONDS, message.seconds)
        self._begin_backoff(message.upstream, seconds, message.sender)

    def _record_leaving(self, run, answer, request, sent_at):
        header = self._dialect.leaving
        leaving = self._read(header, parse_leaving, run, answer)
        if leaving is None:
            return
        now = self._clock.steady()
        if self._leaves.record(run.name, leaving, sent_at, now):
            self._apply_leaving(run.name, leaving, None, request)
            self._tell(run.name, now)

    def _read(self, header, parse, run, answer):
        """Return what a header says, None if its value is malformed.

        :param parse: function that parses the value, None without the header;
            raises MessageError
        """
        try:
            return parse(answer.headers.get(header))
        except MessageError as error:
            self._log_unreadable(header, run, error)
            return None

    def _log_unreadable(self, header, run, error):
        """Log a value that cannot be parsed, unless it repeats the last."""
        if self._unreadable.get((header, run.name)) != str(error):
            self._unreadable[header, run.name] = str(error)
            LOG.warning(
                "upstream_notice_unreadable",
                upstream=run.name,
                header=header,
                error=str(error),
            )

    def _apply_leaving(self, name, leaving, heard_from, request=None):
        LOG.info(
            "upstream_leaving",
            upstream=name,
            leaving=leaving,
            heard_from=heard_from,
            request=request,
        )
        self._pool.set_leaving(name, leaving)
        if leaving and self.on_leaving is not None:
            self.on_leaving()

    # The list of upstreams

    def mark(self, state):
        """Mark the UpstreamState of a run that is listed from now on."""
        name = state.record.run.name
        state.says_leaving = self._leaves.is_leaving(name)
        state.backoff = self._backoffs.get(name)

    async def run(self):
        """Drop what ended, and send health checks, until cancelled."""
        try:
            while True:
                beat()
                self._drop_ended()
                for record in self._begin_checks():
                    self._checks.spawn(self._ask_health(record))
                await asyncio.sleep(CHECK_INTERVAL)
        finally:
            self._checks.cancel()

    def _drop_ended(self):
        """Drop the back-offs that limit nothing any more."""
        for name in self._backoffs.drop_ended(self._clock.steady()):
            self._pool.set_backoff(name, None)

    def retain(self, records):
        """Apply a list of upstreams.

        :param records: the listed Upstreams
        """
        known = {
            *self._leaves.names,
            *self._backoffs.names,
            *(name for _header, name in self._unreadable),
        }
        if not known:
            return
        listed = {record.run.name: record.leaving for record in records}
        ended = self._absences.update(known, listed, self._clock.steady())
        self._leaves.drop(ended)
        self._backoffs.drop(ended)
        self._leaves.update_listed(listed)
        for key in list(self._unreadable):
            if key[1] in ended:
                del self._unreadable[key]

    def _begin_checks(self):
        """Return the Upstreams that this router asks whether they still leave.

        Of all routers, one asks on behalf of the others.
        """
        now = self._clock.steady()
        chosen = []
        for name in self._leaves.due_checks(now):
            self._leaves.begin_check(name, now)
            ready = map(address_of, self._members.ready_peers())
            if rendezvous(name, [self._address, *ready])[0] == self._address:
                state = self._pool.find_run(name)
                if state is not None and not state.is_backed_off(now):
                    chosen.append(state.record)
        return chosen

    # Peers

    def _tell(self, name, now):
        """Send what a run said to the peers that read it."""
        message = LeaveNews([self._leaves.row(name, now)], self._address)
        readers = [
            peer
            for peer in self._recipients()
            if self._members.speaks(peer, NOTICES_PROTOCOL)
        ]
        self._peers.tell(readers, message)

    def rows_for(self, peer):
        """Return the next LeaveRows to send to a peer.

        :param peer: its peer address
        """
        rows = self._leaves.next_rows(self._clock.steady())
        if rows and self._members.predates(peer, NOTICES_PROTOCOL):
            return []
        return rows

    def receive(self, message):
        """Merge the LeaveRows of a LeaveNews message."""
        self.merge(message.rows, message.sender)

    def merge(self, rows, peer):
        """Merge LeaveRows of a peer.

        :param rows: the LeaveRows
        :param peer: peer address of their sender, for the log
        """
        now = self._clock.steady()
        for row in rows:
            if self._leaves.merge(row, now):
                self._apply_leaving(row.upstream, row.leaving, peer)
