"""A relay of tunnels as a process of its own.

Arguments: the ports of two addresses of this machine, for tunnels and for
the command to stop: a connection to the second one closes the relay in order.
"""

import asyncio
import sys

from rowanport.paths import Verdict
from rowanport.tunnels import SETTLE_SECONDS
from rowanport.tunnels import TunnelServer
from rowanport.tunnels import UpstreamReach
from rowanport.web.connector import DirectConnector
from rowanport.web.connector import Keepalive
from rowanport.wire import PeerServer

HOST = "127.0.0.1"
SECRET = "a secret of the tests"


class AnyUpstream(UpstreamReach):
    """Reaches every upstream."""

    def __init__(self):
        self._connector = DirectConnector(timeout=1.0)

    async def reach(self, address, fresh):
        path = await self._connector.open(address)
        await asyncio.sleep(SETTLE_SECONDS)
        return Verdict.REACHED, path


async def main(port, stop_port):
    """Relay until something connects to the stop port."""
    stopped = asyncio.Event()

    async def stop(_reader, _writer):
        stopped.set()

    tunnels = TunnelServer(AnyUpstream(), Keepalive())
    peers = PeerServer(None, SECRET)
    peers.on_tunnel = tunnels.serve
    await peers.start(HOST, port)
    async with await asyncio.start_server(stop, HOST, stop_port):
        await stopped.wait()
        await peers.close()
        await asyncio.sleep(0.1)


if __name__ == "__main__":
    asyncio.run(main(*map(int, sys.argv[1:])))
