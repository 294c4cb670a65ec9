"""What tells a reader that an answer without a length is whole.

Such an answer ends with its connection.  When a process is killed, the kernel
closes its connections in order: a router that relayed half of such an answer
to another one, and was killed, ended it in the same way as the upstream does,
and the caller got 30,000 of 60,000 bytes with a length that fit them.

The tests run on real sockets and real processes: what a kernel does with the
connections of a process that is gone is the matter here.
"""

import asyncio
import contextlib
import sys
from test.process_world import ROOT
from test.relay_process import HOST
from test.relay_process import SECRET

import pytest

from bench.ports import free_ports
from rowanport.errors import UpstreamError
from rowanport.incarnation import new_incarnation
from rowanport.incarnation import TUNNEL_ENDS_PROTOCOL
from rowanport.tunnels import TunnelClient
from rowanport.web import HttpClient
from rowanport.web import HttpServer
from rowanport.web import stream
from rowanport.web.connector import Connector
from rowanport.web.connector import Keepalive

# More than the buffers of the relay's process and of its kernel take.
BODY = bytes(range(256)) * 40000
# Seconds that anything may take before a test gives up.
PATIENCE = 20.0
ROUTER = new_incarnation("cell", f"{HOST}:1")


# Serves one half of an answer, and waits.
HALF_SERVER = """
import asyncio
import sys

from rowanport.web import HttpServer


async def handle(_request, responder):
    await responder.start(200, [])
    await responder.write(b"id: 1\\ndata: a\\n\\n")
    await asyncio.Event().wait()


async def main():
    await HttpServer(handle).start(sys.argv[1], int(sys.argv[2]))
    await asyncio.Event().wait()


asyncio.run(main())
"""


class HalfUpstream:
    """Answers without a length, and ends each answer as it is told to.

    :ivar half_sent: set once the first half of an answer is under way
    :ivar end: coroutine function of the writer that ends an answer
    """

    def __init__(self, end):
        self.half_sent = asyncio.Event()
        self.end = end
        self._server = None

    async def __aenter__(self):
        (port,) = free_ports(1)
        self.address = f"{HOST}:{port}"
        self._server = await asyncio.start_server(self._serve, HOST, port)
        return self

    async def __aexit__(self, *_exc):
        self._server.close()

    async def _serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n")
        writer.write(BODY[: len(BODY) // 2])
        self.half_sent.set()
        try:
            await self.end(writer)
        except OSError:
            # Tests may leave before the end.
            pass
        finally:
            writer.close()


class TunnelConnector(Connector):
    """Opens tunnels through one peer."""

    def __init__(self, peer):
        self._tunnels = TunnelClient(ROUTER, SECRET, Keepalive())
        self._peer = peer

    async def open(self, address):
        _verdict, _count, path = await self._tunnels.open(self._peer, address)
        return path


class Relay:
    """A relay of tunnels in a process of its own.

    :ivar process: the process
    :ivar incarnation: its incarnation
    """

    async def __aenter__(self):
        port, self._stop_port = free_ports(2)
        self.incarnation = new_incarnation("cell", f"{HOST}:{port}")
        arguments = ["-m", "test.relay_process"]
        self.process = await start_process(
            port, *arguments, str(port), str(self._stop_port)
        )
        return self

    async def __aexit__(self, *_exc):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    async def stop(self):
        """End it as a planned stop does that waits no longer."""
        _reader, writer = await asyncio.open_connection(HOST, self._stop_port)
        await self.process.wait()
        writer.close()


async def start_process(port, *arguments):
    """Start an interpreter, and return its process once a port is open."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, *arguments, cwd=ROOT
    )
    while True:
        with contextlib.suppress(OSError):
            _reader, writer = await asyncio.open_connection(HOST, port)
            writer.close()
            return process
        await asyncio.sleep(0.02)


async def ask(relay, upstream, incarnation=None):
    """Return the HttpAnswer to a request that a relay passes on."""
    client = HttpClient(
        connector=TunnelConnector(incarnation or relay.incarnation)
    )
    return await client.request(upstream.address, "GET", "/")


async def wait_for_ever(_writer):
    """Never end an answer."""
    await asyncio.Event().wait()


async def send_rest(writer):
    """End an answer as a sound upstream does."""
    writer.write(BODY[len(BODY) // 2 :])
    await writer.drain()


async def reset(writer):
    """End an answer as a kernel does that gives a connection up."""
    await asyncio.sleep(0.1)
    stream.reset(writer)


def run(end, body):
    """Run a coroutine function with an upstream and a relay.

    :param end: coroutine function that ends the upstream's answers
    """

    async def main():
        async with asyncio.timeout(PATIENCE):
            async with HalfUpstream(end) as upstream, Relay() as relay:
                await body(upstream, relay)

    asyncio.run(main())


def check_half_answer(end):
    """Check that half an answer is not read as whole.

    :param end: coroutine function that ends a Relay in the middle of it
    """

    async def body(upstream, relay):
        answer = await ask(relay, upstream)
        reading = asyncio.ensure_future(answer.read())
        await upstream.half_sent.wait()
        await asyncio.sleep(0.1)
        await end(relay)
        with pytest.raises(UpstreamError):
            await reading

    run(wait_for_ever, body)


def test_an_answer_whose_relay_is_killed_is_not_whole():
    # Guards against half an answer that its caller takes for a whole one.
    async def kill(relay):
        relay.process.kill()

    check_half_answer(kill)


def test_an_answer_whose_relay_stops_is_not_whole():
    # Guards against the same by a relay that closes its tunnels itself.
    check_half_answer(Relay.stop)


def test_a_reset_of_the_upstream_passes_through_a_relay():
    # Guards against a relay that ends a tunnel in order after a reset.
    async def body(upstream, relay):
        answer = await ask(relay, upstream)
        with pytest.raises(UpstreamError):
            await answer.read()

    run(reset, body)


def test_a_whole_answer_passes_through_a_relay_to_a_slow_reader():
    # Guards against a reset that overtakes the last bytes of an answer.
    async def body(upstream, relay):
        answer = await ask(relay, upstream)
        await asyncio.sleep(0.5)
        assert await answer.read() == BODY

    run(send_rest, body)


def test_an_end_through_a_relay_of_an_earlier_build_tells_nothing():
    # Guards against half an answer through a relay whose kernel ends its
    # tunnels in order when it is killed.
    async def body(upstream, relay):
        nonce = f"old.{TUNNEL_ENDS_PROTOCOL - 1}"
        before, _, _nonce = relay.incarnation.rpartition("/")
        answer = await ask(relay, upstream, f"{before}/{nonce}")
        with pytest.raises(UpstreamError, match="earlier build"):
            await answer.read()

    run(send_rest, body)


@pytest.mark.parametrize("version", (b"1.0", b"1.1"))
def test_an_answer_whose_router_is_killed_is_not_whole(version):
    # Guards against half an answer that looks whole to a caller of HTTP/1.0,
    # whom only the end of the connection tells that it is complete.
    async def main():
        (port,) = free_ports(1)
        process = await start_process(port, "-c", HALF_SERVER, HOST, str(port))
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(b"GET / HTTP/%b\r\nhost: a\r\n\r\n" % version)
        await reader.readuntil(b"data: a\n\n")
        process.kill()
        await process.wait()
        try:
            rest = await reader.read()
            assert version == b"1.1" and b"0\r\n\r\n" not in rest
        except ConnectionResetError:
            assert version == b"1.0"
        writer.close()

    asyncio.run(main())


@pytest.mark.parametrize("pause", (0.0, 0.5))
def test_a_whole_answer_to_a_caller_of_http_1_0_ends_in_order(pause):
    # Guards against a reset that drops the end of an answer without chunks.
    async def handle(_request, responder):
        await responder.start(200, [])
        await responder.write(BODY)
        await responder.finish()

    async def main():
        (port,) = free_ports(1)
        server = HttpServer(handle)
        await server.start(HOST, port)
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(b"GET / HTTP/1.0\r\nhost: a\r\n\r\n")
        await asyncio.sleep(pause)
        got = await reader.read()
        assert got.partition(b"\r\n\r\n")[2] == BODY
        writer.close()
        await server.close()

    asyncio.run(main())
