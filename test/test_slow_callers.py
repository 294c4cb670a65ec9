"""Callers and peers that take nothing cost a bounded number of bytes."""

import asyncio
import socket
from unittest import mock

import pytest

from bench.ports import free_ports
from rowanport import wire
from rowanport.peers import PeerClient
from rowanport.schema import messages
from rowanport.web import closing
from rowanport.web import HttpServer
from rowanport.web import server as server_module
from rowanport.wire import FRAME_LIMIT
from rowanport.wire import HANDSHAKE_LIMIT
from rowanport.wire import PeerServer

HOST = "127.0.0.1"
PIECE = b"x" * 65536
# Seconds without progress after which a caller is dropped, in these tests.
STALL_SECONDS = 0.3
# Bytes that a kernel may hold for both ends of a loopback connection.
KERNEL_BYTES = 16 * 1024 * 1024
SECRET = "a secret of the tests"


class Server:
    """An HttpServer, whose handler writes until something ends it.

    :ivar written: bytes that the handler wrote
    :ivar most: most bytes that waited in the process
    :ivar stalled: callers that were dropped as they took nothing
    """

    def __init__(self, pieces=10**9):
        self._pieces = pieces
        self.written = 0
        self.most = 0
        self.stalled = 0
        self.ended = asyncio.Event()

    async def __aenter__(self):
        (self.port,) = free_ports(1)
        self._server = HttpServer(self._handle)
        self._server.on_stalled = self._count
        await self._server.start(HOST, self.port)
        return self

    async def __aexit__(self, *_exc):
        await self._server.close()

    @property
    def open(self):
        return self._server.busy

    def _count(self):
        self.stalled += 1

    async def _handle(self, _request, responder):
        try:
            await responder.start(200, [])
            for _piece in range(self._pieces):
                await responder.write(PIECE)
                self.written += len(PIECE)
                unsent = responder._writer.transport.get_write_buffer_size()
                self.most = max(self.most, unsent)
            await responder.finish()
        finally:
            self.ended.set()


def ask(port, version=b"1.1"):
    """Return the socket of a caller that has sent a request."""
    caller = socket.create_connection((HOST, port))
    caller.sendall(b"GET / HTTP/%s\r\nhost: x\r\n\r\n" % version)
    caller.setblocking(False)
    return caller


def run(body, **options):
    async def main():
        with (
            mock.patch.object(server_module, "STALL_SECONDS", STALL_SECONDS),
            mock.patch.object(closing, "STALL_SECONDS", STALL_SECONDS),
        ):
            async with asyncio.timeout(10.0):
                async with Server(**options) as server:
                    await body(server)

    asyncio.run(main())


def test_a_caller_that_takes_nothing_is_dropped():
    async def body(server):
        caller = ask(server.port)
        await server.ended.wait()
        assert server.stalled == 1
        assert server.written < KERNEL_BYTES
        assert server.most <= 2 * len(PIECE)
        caller.close()

    run(body)


def test_the_end_of_an_answer_does_not_wait_for_a_caller_for_long():
    """Guards against 30 s for a caller that closes after each answer."""

    async def body(server):
        caller = ask(server.port, b"1.0")
        await server.ended.wait()
        while server.open:
            await asyncio.sleep(0.01)
        assert server.stalled == 1
        caller.close()

    with mock.patch.object(closing, "SEND_SECONDS", 60.0):
        # More than the caller's kernel takes, less than is waited for.
        run(body, pieces=KERNEL_BYTES // len(PIECE))


def test_a_caller_that_reads_slowly_is_served():
    async def body(server):
        loop = asyncio.get_running_loop()
        caller = ask(server.port)
        # Longer in all than a caller that takes nothing is waited for.
        until = loop.time() + 4 * STALL_SECONDS
        while loop.time() < until:
            await loop.sock_recv(caller, 4 * 1024 * 1024)
            await asyncio.sleep(STALL_SECONDS / 10)
        assert not server.stalled and not server.ended.is_set()
        caller.close()
        await server.ended.wait()

    run(body)


def test_a_broken_off_answer_without_chunks_resets_the_connection():
    """Guards against a truncated stream that looks complete.

    A caller of HTTP/1.0 takes the end of the connection for that of the
    answer.
    """

    async def handle(_request, responder):
        await responder.start(200, [])
        await responder.write(b"id: 1\ndata: a\n\n")
        await asyncio.sleep(0.1)

    async def main():
        (port,) = free_ports(1)
        server = HttpServer(handle)
        await server.start(HOST, port)
        loop = asyncio.get_running_loop()
        caller = ask(port, b"1.0")
        with pytest.raises(ConnectionResetError):
            async with asyncio.timeout(5.0):
                while await loop.sock_recv(caller, 65536):
                    pass
                raise AssertionError("the answer looks complete")
        caller.close()
        await server.close()

    asyncio.run(main())


# Peers


async def start_peer(handler=None):
    """Return a PeerServer, its port and the list of what it reports."""
    (port,) = free_ports(1)
    server = PeerServer(handler, SECRET)
    reports = []
    server.on_exceeded = lambda bound, _address, _why: reports.append(bound)
    await server.start(HOST, port)
    return server, port, reports


def test_a_stranger_sends_no_long_frame():
    async def main():
        server, port, reports = await start_peer()
        reader, writer = await asyncio.open_connection(HOST, port)
        await wire.read_frame(reader)
        writer.write((HANDSHAKE_LIMIT + 1).to_bytes(4, "big"))
        async with asyncio.timeout(1.0):
            assert await reader.read() == b""
        assert reports == ["frame"]
        writer.close()
        await server.close()

    asyncio.run(main())


def test_an_answer_of_a_peer_without_end_is_counted():
    async def serve(_reader, writer):
        writer.write((FRAME_LIMIT + 1).to_bytes(4, "big") + PIECE)

    async def main():
        (port,) = free_ports(1)
        server = await asyncio.start_server(serve, HOST, port)
        client = PeerClient("north/127.0.0.1:1/1", SECRET)
        reports = []
        client.on_exceeded = lambda *report: reports.append(report[:2])
        with pytest.raises(Exception, match="limit"):
            await client.call(f"{HOST}:{port}", messages.Failed(), 2.0)
        assert reports == [("frame", f"{HOST}:{port}")]
        client.close()
        server.close()

    asyncio.run(main())


def test_a_peer_that_asks_on_and_reads_nothing_is_dropped():
    async def handler(_message):
        return messages.Challenge(b"x" * 1000000)

    async def main():
        server, port, reports = await start_peer(handler)
        reader, writer = await asyncio.open_connection(HOST, port, limit=1024)
        await wire.prove(reader, writer, SECRET, f"{HOST}:1")
        for number in range(1, 100):
            writer.write(wire.pack_frame(number, messages.Failed()))
        async with asyncio.timeout(3.0):
            while not reports:
                await asyncio.sleep(0.01)
        assert set(reports) == {"unread answers"}
        assert len(reports) == 1
        writer.close()
        await server.close()

    asyncio.run(main())
