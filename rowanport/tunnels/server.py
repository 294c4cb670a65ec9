"""The relaying side of tunnels."""

import abc
import asyncio

import structlog

from ..incarnation import NOTICES_PROTOCOL
from ..paths import Verdict
from ..schema import messages
from ..web import stream
from ..wire import pack_frame

LOG = structlog.get_logger(__name__)

READ_SIZE = 65536
# Most tunnels at once: each takes two of the descriptors that callers need,
# too.
MAX_TUNNELS = 500
# Seconds for which a new connection has to stay open to count as one: a
# network that refuses connections may close them only once they are accepted.
SETTLE_SECONDS = 0.02


class UpstreamReach(abc.ABC):
    """Reaches upstreams over the router's own link, on behalf of peers."""

    @abc.abstractmethod
    async def reach(self, address, fresh):
        """Open a connection to an upstream.

        :param address: IP and port
        :param fresh: whether to open one whatever is known
        :returns: the Verdict, and a Path if it is REACHED, otherwise None; it
            has been open for SETTLE_SECONDS
        """


class _Tunnel:
    """One tunnel: copies bytes both ways until one end closes.

    An answer without a length is whole if its connection ends in order.  So
    the connection to the asking router ends in order only as the upstream's
    did; it is reset if this router stops, is killed or gives up.

    :ivar id: its id, for the logs
    :ivar caller: peer address of the router that uses it
    :ivar address: IP and port of the upstream
    :ivar sent: bytes copied to the upstream
    :ivar received: bytes copied from the upstream
    :ivar orderly: whether it ended as the upstream's connection did, in order
    """

    def __init__(self, id_, caller, reader, writer, path):
        self.id = id_
        self.caller = caller
        self.address = path.address
        self.sent = 0
        self.received = 0
        self.orderly = False
        self._reader = reader
        self._writer = writer
        self._path = path

    def abort(self):
        """Reset the connection to the asking router, which ends the tunnel."""
        self._writer.transport.abort()

    async def run(self):
        """Copy until an end closes, and close the other one."""
        path = self._path
        stream.reset_at_close(self._writer)
        upward = asyncio.ensure_future(self._copy_up(path.writer))
        downward = asyncio.ensure_future(self._copy_down(path.reader))
        try:
            await asyncio.wait(
                (upward, downward), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            upward.cancel()
            downward.cancel()
            # The upstream learns at once that nobody reads its answer.
            path.writer.transport.abort()
            self._writer.close()

    async def _copy_up(self, writer):
        try:
            while data := await self._reader.read(READ_SIZE):
                self.sent += len(data)
                writer.write(data)
                await writer.drain()
        except OSError:
            return

    async def _copy_down(self, reader):
        try:
            while data := await reader.read(READ_SIZE):
                self.received += len(data)
                self._writer.write(data)
                await self._writer.drain()
            await stream.flush(self._writer)
            stream.end_at_close(self._writer)
            self.orderly = True
        except OSError:
            # The asking router must not take it for the end of an answer.
            self._writer.transport.abort()


class TunnelServer:
    """Relays the bytes of peers that are cut off from upstreams.

    :param upstreams: the UpstreamReach
    :param keepalive: the Keepalive of tunnels
    :param members: the Membership, None if all routers are of this build
    :ivar closing: whether no more tunnels are opened
    """

    def __init__(self, upstreams, keepalive, members=None):
        self._members = members
        self._upstreams = upstreams
        self._keepalive = keepalive
        self._tunnels = set()
        self.closing = False

    @property
    def count(self):
        """Return the number of open tunnels."""
        return len(self._tunnels)

    @property
    def callers(self):
        """Return the peer addresses of the routers that use tunnels."""
        return {tunnel.caller for tunnel in self._tunnels}

    def callers_of(self, address):
        """Return the peer addresses of those with tunnels to an upstream.

        :param address: IP and port of the upstream
        """
        return {t.caller for t in self._tunnels if t.address == address}

    def drop(self):
        """End all tunnels, as this router reaches no upstream any more.

        The asking routers then learn it at once, and not by their deadlines.
        """
        for tunnel in list(self._tunnels):
            tunnel.abort()

    async def serve(self, message, caller, reader, writer):
        """Serve a tunnel until it ends.

        :param message: the TunnelOpen
        :param caller: peer address of the asking router
        :param reader: StreamReader of the connection to it
        :param writer: StreamWriter of the connection to it
        """
        verdict, path = await self._reach(message)
        verdict = self._verdict_for(caller, verdict)
        answer = messages.TunnelReady(verdict.value, self.count)
        writer.write(pack_frame(0, answer))
        if path is None:
            LOG.info(
                "tunnel_refused",
                tunnel=message.id,
                peer=caller,
                upstream_address=message.address,
                verdict=verdict.value,
            )
            await writer.drain()
            return
        self._keepalive.apply(writer.get_extra_info("socket"))
        await self._run(_Tunnel(message.id, caller, reader, writer, path))

    def _verdict_for(self, caller, verdict):
        """Return the Verdict that a router of an earlier build knows."""
        earlier = self._members is not None and self._members.predates(
            caller, NOTICES_PROTOCOL
        )
        if verdict is Verdict.BACKED_OFF and earlier:
            return Verdict.BUSY
        return verdict

    async def _reach(self, message):
        if self.closing:
            return Verdict.LEAVING, None
        if self.count >= MAX_TUNNELS:
            return Verdict.BUSY, None
        return await self._upstreams.reach(message.address, message.fresh)

    async def _run(self, tunnel):
        self._tunnels.add(tunnel)
        LOG.info(
            "tunnel_opened",
            tunnel=tunnel.id,
            peer=tunnel.caller,
            upstream_address=tunnel.address,
        )
        try:
            await tunnel.run()
        finally:
            self._tunnels.discard(tunnel)
            LOG.info(
                "tunnel_closed",
                tunnel=tunnel.id,
                peer=tunnel.caller,
                sent=tunnel.sent,
                received=tunnel.received,
                orderly=tunnel.orderly,
            )
