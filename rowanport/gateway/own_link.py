"""The router's own link to the upstreams: connections, probes, beliefs."""

import asyncio
import random

import structlog

from ..clock import loop_time
from ..errors import ConnectionRefused
from ..errors import NoConnectionFree
from ..errors import UpstreamError
from ..paths import ANSWER_REASONS
from ..paths import CLOSED
from ..paths import NO_CONNECTION
from ..paths import REFUSED
from ..paths import Verdict
from ..tunnels import SETTLE_SECONDS
from ..tunnels import UpstreamReach
from ..web import HttpClient

LOG = structlog.get_logger(__name__)

# Time-out in seconds of a health check that shows whether an upstream answers.
CHECK_TIMEOUT = 0.5
# Other upstreams that are tried to tell a lost link from an upstream that is
# down.
REFERENCES = 3


class OwnLink(UpstreamReach):
    """Opens connections over the own link, and probes it.

    :param direct: the DirectConnector
    :param links: the UpstreamLinks
    :param gateway: the Gateway, for its views and its congestion
    :ivar client: the HttpClient of the upstreams, which keeps connections
    """

    def __init__(self, direct, links, gateway):
        self._direct = direct
        self._links = links
        self._gateway = gateway
        self._checks = HttpClient(connector=direct)
        self.client = None

    @property
    def listed(self):
        """Return the upstreams that take requests, by address."""
        return self._gateway.pool.by_address()

    @property
    def checkable(self):
        """Return the addresses of upstreams that take health checks.

        Checks would use up the requests that an upstream with a rate limit
        accepts, and one that asked routers to back off wants none.
        """
        pool, limits = self._gateway.pool, self._gateway.limits
        now = self._gateway.clock.steady()
        states = [pool.get(one.id) for one in self.listed.values()]
        return {
            state.record.address
            for state in limits.unlimited(states)
            if not state.is_backed_off(now)
        }

    @property
    def on_exceeded(self):
        """Return what is told of health checks beyond a bound, or None."""
        return self._checks.on_exceeded

    @on_exceeded.setter
    def on_exceeded(self, function):
        self._checks.on_exceeded = function

    def close(self):
        """Drop the connections of health checks."""
        self._checks.close()

    async def open(self, address):
        """Return a Path over the own link.

        :raises UpstreamError: as Connector.open()
        """
        try:
            return await self._direct.open(address)
        except NoConnectionFree:
            raise
        except ConnectionRefused:
            self.record_lost(address, REFUSED)
            raise
        except UpstreamError:
            self.record_lost(address, NO_CONNECTION)
            raise

    def record_lost(self, address, reason):
        """Record and log that the link to an upstream is lost."""
        if self._links.record_lost(address, reason, loop_time()):
            LOG.info(
                "upstream_link_lost", upstream_address=address, reason=reason
            )

    # On behalf of peers

    def may_reuse(self, path):
        """Return whether an idle Path may be used for another request."""
        return self._direct.may_reuse(path)

    def may_probe(self, address):
        """Return whether a connection is left besides those of requests."""
        return self._direct.may_probe(address)

    async def reach(self, address, fresh):
        refusal = self._refusal(address, fresh)
        if refusal is not None:
            return refusal, None
        begin = loop_time()
        try:
            path = await self._open_settled(address, begin, fresh)
        except UpstreamError as error:
            refused = isinstance(error, ConnectionRefused)
            outage = self._links.outage(address)
            reason = outage and outage.reason
            if not await self.works({address}, begin, reason):
                return Verdict.CUT_OFF, None
            return Verdict.REFUSED if refused else Verdict.UNREACHABLE, None
        if self._backs_off_from(address):
            # It refused a request before, or while the connection opened.  The
            # asker learns that somebody listens there, and gets no tunnel.
            path.writer.close()
            return Verdict.BACKED_OFF, None
        return Verdict.REACHED, path

    def _backs_off_from(self, address):
        record = self.listed.get(address)
        if record is None:
            return False
        now = self._gateway.clock.steady()
        return self._gateway.pool.get(record.id).is_backed_off(now)

    def _refusal(self, address, fresh):
        """Return the Verdict if it is known without a connection, or None."""
        if address not in self.listed:
            return Verdict.UNLISTED
        if self._links.cut_off:
            return Verdict.CUT_OFF
        if not fresh and self._backs_off_from(address):
            return Verdict.BACKED_OFF
        if self._gateway.congestion.congested or not self.may_probe(address):
            return Verdict.BUSY
        outage = self._links.outage(address)
        if fresh or outage is None:
            return None
        # Without another upstream that was reached since, the fault may be
        # here.
        if self._links.others_reached(outage.began_at, {address}):
            return Verdict.UNREACHABLE
        return Verdict.CUT_OFF

    async def _open_settled(self, address, begin, fresh):
        """Return a Path that stays open.

        :param begin: the event loop's time
        :param fresh: whether to wait for the answer to a health check, too, as
            a busy proxy may take long to close what it accepted
        :raises ConnectionRefused: nobody listens
        :raises UpstreamError: no connection
        """
        path = await self.open(address)
        await asyncio.sleep(SETTLE_SECONDS)
        if fresh and not path.reader.ended and address in self.checkable:
            await self.answers(address)
        if path.reader.ended:
            path.writer.transport.abort()
            self.record_lost(address, CLOSED)
            raise ConnectionRefused(f"{address} closed the connection")
        self._links.record_reached(address, begin)
        return path

    async def works(self, excluded, begin, reason):
        """Return whether upstreams other than some are reached.

        :param excluded: addresses of those
        :param begin: the event loop's time from which on connections count
        :param reason: how the links to those were lost
        """
        if self._links.others_reached(begin, excluded):
            return True
        listed = [a for a in self.listed if a not in excluded]
        others = [address for address in listed if self.may_probe(address)]
        if listed and not others:
            # All their connections are in use.
            return self.client.heard_at() > begin - CHECK_TIMEOUT
        random.shuffle(others)
        # Those whose links are lost may be down as well.
        others.sort(key=lambda a: self._links.outage(a) is not None)
        others = others[:REFERENCES]
        checks = [self.check(address, reason) for address in others]
        return any(await asyncio.gather(*checks))

    # Probes

    async def check(self, address, reason):
        """Return whether the link to an upstream passes what it has to.

        :param reason: how the link is thought to be lost
        """
        if reason in ANSWER_REASONS and address in self.checkable:
            return await self.answers(address)
        return await self.connects(address)

    async def connects(self, address):
        """Return whether a new connection to an upstream stays open."""
        begin = loop_time()
        if not self.may_probe(address):
            return False
        try:
            path = await self._direct.open(address)
        except UpstreamError:
            return False
        await asyncio.sleep(SETTLE_SECONDS)
        if path.reader.ended:
            path.writer.transport.abort()
            return False
        self._links.record_reached(address, begin)
        self.client.keep(path)
        return True

    async def answers(self, address):
        """Return whether an upstream answers a health check in time.

        Any answer counts, as only the link is in question.
        """
        upstream = self.listed.get(address)
        return upstream is not None and await self.ask_health(upstream)

    async def ask_health(self, upstream):
        """Send a health check; return whether it is answered in time.

        What the answer says of the upstream is recorded.

        :param upstream: the Upstream
        """
        address = upstream.address
        table = self._gateway.table
        service = table and table.services.get(upstream.service)
        if service is None or not self.may_probe(address):
            return False
        begin = loop_time()
        sent_at = self._gateway.clock.steady()
        try:
            async with asyncio.timeout(CHECK_TIMEOUT):
                answer = await self._checks.request(
                    address, "GET", service.health_path, fresh=True
                )
        except (UpstreamError, asyncio.TimeoutError):
            return False
        name = self._gateway.dialect.cold_ms
        self._gateway.cold.record_answer(upstream, answer.headers.get(name))
        self._gateway.notices.record_question(upstream, answer, sent_at)
        answer.close()
        # Checks keep none of the connections that upstreams accept.
        self._checks.forget(address)
        self._links.record_reached(address, begin)
        return True
