"""Keeps this router within its share of the upstreams' connections."""

from ..errors import NoConnectionFree
from ..placement import connection_share
from ..placement import ConnectionCounts
from ..web.connector import Connector
from ..web.turns import Turns

# Seconds for which the number of routers is used before it is counted again.
COUNT_SECONDS = 0.5
# Seconds after which a request that waits looks again whether an upstream has
# a connection free, as one may have been added, or a router gone.
FREE_CHECK = 0.1


def _is_closed(path):
    """Return whether a connection is closed, with nothing left to send."""
    transport = path.writer.transport
    return transport.is_closing() and not transport.get_write_buffer_size()


class ConnectionShares:
    """This router's share of each upstream's connections, and their use.

    :param gateway: the Gateway, for its views, members and client
    :param clock: a Clock
    :param metrics: the GatewayMetrics
    :ivar counts: the ConnectionCounts
    """

    def __init__(self, gateway, clock, metrics):
        self._gateway = gateway
        self._clock = clock
        self._metrics = metrics
        self._services = {}
        self._routers = 1
        self._count_until = 0.0
        self._turns = Turns()
        self.counts = ConnectionCounts(self.limit, _is_closed)

    def update(self, upstreams):
        """Apply a list of Upstreams."""
        self._services = {one.address: one.service for one in upstreams}

    def limit(self, address):
        """Return the most connections to an address, None for no limit."""
        gateway = self._gateway
        if not gateway.large_fleet or gateway.table is None:
            return None
        service = gateway.table.services.get(self._services.get(address))
        if service is None:
            return None
        return connection_share(service.max_connections, self._count_routers())

    def _count_routers(self):
        """Return the number of routers known, listed ones included.

        A router that has just started has heard of few others.
        """
        now = self._clock.steady()
        if now >= self._count_until:
            members = self._gateway.members
            known = {*members.addresses, *members.listed, *members.seeds}
            self._routers = len(known)
            self._count_until = now + COUNT_SECONDS
        return self._routers

    # Requests

    def is_free(self, state):
        """Return whether a request finds a connection to an upstream.

        :param state: its UpstreamState
        """
        address = state.record.address
        limit = self.limit(address)
        if limit is None:
            return True
        idle = self._gateway.client.idle_count(address)
        used = self.counts.count(address) - idle
        return max(used, state.outstanding) < limit

    async def free_candidates(self, service, find):
        """Return the upstreams with a free connection, once there are some.

        :param service: name of the service
        :param find: function that returns the UpstreamStates to which a
            request may be sent, called again whenever a connection may have
            become free
        """
        candidates = find()
        if not candidates or not self._gateway.large_fleet:
            return candidates
        return self._free(candidates) or await self._wait_free(service, find)

    def _free(self, candidates):
        return [state for state in candidates if self.is_free(state)]

    async def _wait_free(self, service, find):
        self._metrics.connection_waits.inc({"service": service})
        turn = self._turns.enter(service)
        try:
            while True:
                await turn.wait(FREE_CHECK)
                candidates = find()
                free = self._free(candidates)
                if free or not candidates:
                    return free
        finally:
            self._turns.leave(service, turn)

    def wake(self, service):
        """Wake the first request that waits for an upstream of a service."""
        self._turns.wake(service)


class CountingConnector(Connector):
    """Opens connections as long as this router's share allows it.

    :param direct: the Connector that opens them
    :param counts: the ConnectionCounts
    """

    def __init__(self, direct, counts):
        self._direct = direct
        self._counts = counts

    async def open(self, address):
        if not self._counts.has_room(address):
            raise NoConnectionFree(
                f"all {self._counts.count(address)} connections to {address}"
                " are in use"
            )
        path = None
        self._counts.begin(address)
        try:
            path = await self._direct.open(address)
        finally:
            self._counts.end(address, path)
        return path

    def may_reuse(self, path):
        return not self._counts.exceeds(path.address)

    def may_probe(self, address):
        return self._counts.may_probe(address)
