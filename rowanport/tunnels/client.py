"""The asking side of tunnels."""

import asyncio

from ..errors import MessageError
from ..errors import PeerError
from ..hashing import new_id
from ..incarnation import address_of
from ..incarnation import protocol_of
from ..incarnation import TUNNEL_ENDS_PROTOCOL
from ..paths import Verdict
from ..schema import messages
from ..web import stream
from ..web.connector import Path
from ..wire import HANDSHAKE_LIMIT
from ..wire import pack_frame
from ..wire import prove
from ..wire import read_frame

# Time-out in seconds for opening a tunnel: the peer may need 0.3 s to find out
# that it does not reach the upstream, and as long for another one.
OPEN_TIMEOUT = 1.0


class TunnelUnsupported(PeerError):
    """A peer closed the connection without an answer, as old versions do."""


class TunnelClient:
    """Opens tunnels through peers.

    :param incarnation: incarnation of this router
    :param secret: secret shared by all routers
    :param keepalive: the Keepalive of tunnels
    :param source: own IP number to connect from, or None
    """

    def __init__(self, incarnation, secret, keepalive, source=None):
        self._incarnation = incarnation
        self._secret = secret
        self._keepalive = keepalive
        self._source = (source, 0) if source else None

    async def open(self, peer, address, fresh=False):
        """Ask a peer for a tunnel to an upstream.

        :param peer: the peer's incarnation
        :param address: IP and port of the upstream
        :param fresh: whether the peer has to open a connection to the upstream
            whatever it knows
        :returns: the Verdict, the number of tunnels that the peer serves, and
            the Path, which is None unless the Verdict is REACHED
        :raises TunnelUnsupported: the peer's version may know no tunnels
        :raises PeerError: the peer did not answer
        """
        try:
            async with asyncio.timeout(OPEN_TIMEOUT):
                return await self._open(peer, address, fresh)
        except asyncio.TimeoutError:
            raise PeerError(f"{peer} did not answer") from None
        except (OSError, EOFError, MessageError) as error:
            raise PeerError(f"{peer}: {error}") from None

    async def _open(self, peer, address, fresh):
        host, port = stream.split_address(address_of(peer))
        reader, writer = await stream.connect(
            host, port, local_addr=self._source
        )
        opened = False
        try:
            await prove(reader, writer, self._secret, self._incarnation)
            tunnel = new_id()
            ask = messages.TunnelOpen(tunnel, address, fresh)
            writer.write(pack_frame(0, ask))
            ready = await self._read_ready(peer, reader)
            verdict = Verdict.parse(ready.verdict)
            opened = verdict is Verdict.REACHED
        finally:
            if not opened:
                writer.transport.abort()
        if not opened:
            return verdict, ready.tunnels, None
        self._keepalive.apply(writer.get_extra_info("socket"))
        tells_end = protocol_of(peer) >= TUNNEL_ENDS_PROTOCOL
        path = Path(address, reader, writer, peer, tunnel, tells_end)
        return verdict, ready.tunnels, path

    async def _read_ready(self, peer, reader):
        try:
            _call, ready = await read_frame(reader, HANDSHAKE_LIMIT)
        except EOFError:
            message = f"{peer} closed the connection"
            raise TunnelUnsupported(message) from None
        if not isinstance(ready, messages.TunnelReady):
            raise MessageError("expected an answer to the tunnel's opening")
        return ready
