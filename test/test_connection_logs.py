"""What the log says of connections that do not end in the ordinary way.

The server passed over errors of connections without a word, and a router that
gave up what it had in hand logged ``caller_left`` for it, so that a loss of
its own making read as if its caller had gone.
"""

import asyncio
import socket
import struct
from test.process_world import LOCAL
from test.process_world import request_of

import structlog
from structlog.testing import capture_logs

from bench.ports import free_ports
from rowanport.web import HttpServer
from rowanport.web import server as server_module
from rowanport.web.server import HttpLimits

# Closing with this option resets the connection.
NO_LINGER = struct.pack("ii", 1, 0)
CONNECTIONS = 2


class Scene:
    """A server whose handler waits, and what became of its requests.

    :ivar ends: whether a cancelled request was dropped by the server itself
    """

    def __init__(self):
        self.server = HttpServer(
            self._handle, limits=HttpLimits(connections=CONNECTIONS)
        )
        self.port = free_ports(1)[0]
        self.responders = []
        self.ends = []

    async def _handle(self, _request, responder):
        self.responders.append(responder)
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            self.ends.append(responder.dropped)
            raise

    async def open(self):
        return await asyncio.open_connection(LOCAL, self.port)

    async def ask(self):
        """Send a request; return the connection once it is in hand."""
        before = len(self.responders)
        reader, writer = await self.open()
        writer.write(request_of("r1"))
        await wait(lambda: len(self.responders) > before)
        return reader, writer


async def wait(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


def scenario(body):
    """Return a test that runs a coroutine function with a Scene and a log."""

    def test(monkeypatch):
        log = structlog.get_logger()
        monkeypatch.setattr(server_module, "LOG", log)

        async def run():
            scene = Scene()
            await scene.server.start(LOCAL, scene.port)
            with capture_logs() as rows:
                await body(scene, rows)
            await scene.server.close()

        asyncio.run(run())

    test.__name__ = body.__name__
    test.__doc__ = body.__doc__
    return test


def named(rows, event):
    return [row for row in rows if row["event"] == event]


@scenario
async def test_a_reset_leaves_a_line_with_its_error(scene, rows):
    _reader, writer = await scene.open()
    writer.write(request_of("half")[:-2])
    await wait(lambda: scene.server.busy)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.transport.abort()
    await wait(lambda: not scene.server.busy)
    (row,) = named(rows, "connection_lost")
    assert row["log_level"] == "debug"
    assert "ConnectionResetError" in row["error"]


@scenario
async def test_a_caller_that_leaves_is_told_from_what_is_dropped(scene, rows):
    _reader, writer = await scene.ask()
    writer.close()
    await wait(lambda: scene.ends)
    assert scene.ends == [False]
    await wait(lambda: named(rows, "caller_left"))
    (row,) = named(rows, "caller_left")
    assert row["log_level"] == "debug"
    assert named(rows, "connections_dropped") == []


@scenario
async def test_what_the_server_drops_is_told_in_one_line(scene, rows):
    reader, writer = await scene.ask()
    await scene.ask()
    await scene.server.close()
    assert await reader.read() == b""
    await wait(lambda: len(scene.ends) == 2)
    assert scene.ends == [True, True]
    (row,) = named(rows, "connections_dropped")
    assert (row["busy"], row["serving"], row["unsent"]) == (2, 2, 0)
    assert row["log_level"] == "warning"
    assert named(rows, "caller_left") == []
    writer.close()


@scenario
async def test_an_answer_that_does_not_fit_its_head_is_told(scene, rows):
    async def answer(_request, responder):
        await responder.start(200, [("content-length", "9")])
        await responder.write(b"short")
        await responder.finish()

    scene.server._handler = answer
    reader, writer = await scene.open()
    writer.write(request_of("r1"))
    assert (await reader.read()).endswith(b"short")
    (row,) = named(rows, "answer_broken")
    assert row["log_level"] == "warning"
    writer.close()


@scenario
async def test_a_handler_that_cancels_itself_is_told(scene, rows):
    async def cancel(_request, _responder):
        raise asyncio.CancelledError

    scene.server._handler = cancel
    reader, writer = await scene.open()
    writer.write(request_of("r1"))
    assert await reader.read() == b""
    (row,) = named(rows, "request_cancelled")
    assert row["log_level"] == "warning"
    writer.close()


@scenario
async def test_nothing_in_hand_is_nothing_dropped(scene, rows):
    reader, writer = await scene.open()
    await wait(lambda: not scene.server.busy)
    await asyncio.sleep(0.05)
    await scene.server.close()
    assert await reader.read() == b""
    assert named(rows, "connections_dropped") == []
    writer.close()


@scenario
async def test_a_full_server_says_so_once(scene, rows):
    opened = [await scene.open() for _number in range(CONNECTIONS)]
    for _number in range(3):
        reader, writer = await scene.open()
        assert await reader.read() == b""
        opened.append((reader, writer))
    (row,) = named(rows, "connections_full")
    assert (row["connections"], row["log_level"]) == (CONNECTIONS, "warning")
    for _reader, writer in opened:
        writer.close()
