"""A caller's connection, and the manners in which it is used."""

import asyncio
import socket
import time

import h11

from .history import Record

READ_SIZE = 65536
CONNECT_TIMEOUT = 1.0
# What a slow reader takes at once, and how long it rests after it.
SLOW_SIZE = 4096
SLOW_REST = 0.05
# Manners of callers.
PLAIN = "plain"
# Reads in small pieces, with rests.
SLOW = "slow"
# Ends its side of the connection behind each request, and reads on.
HALF = "half"
# Sends the next request at once, or while the answer before it ends.
PIPELINED = "pipelined"
EARLY = "early"


class Ahead(Record):
    """A request that is sent before its turn.

    :ivar ask: its kind
    :ivar request: the Request
    :ivar data: its bytes
    :ivar patience: how many seconds its caller waits from its turn on
    :ivar written: whether it was sent
    """

    __slots__ = ("ask", "request", "data", "patience", "written")
    defaults = {"written": False}


class Channel:
    """A caller's connection to a router.

    :ivar ahead: the Ahead that is sent next, or None
    """

    def __init__(self, router, reader, writer, manner):
        self.router = router
        self.life = router.life
        self.reader = reader
        self.manner = manner
        self.state = h11.Connection(h11.CLIENT)
        self.ahead = None
        self._writer = writer

    @property
    def usable(self):
        return not self.reader.at_eof() and not self._writer.is_closing()

    def take(self, request):
        """Note in a Request that it is sent here now."""
        request.router = self.router.name
        request.life = self.life
        request.sent_at = time.monotonic()

    async def write(self, data):
        """Send a request's bytes, and what the manner asks for behind it."""
        self._writer.write(data)
        if self.ahead and self.manner == PIPELINED:
            self.write_ahead()
        await self._writer.drain()
        if self.manner == HALF:
            self._writer.write_eof()

    def write_ahead(self):
        """Send the next request before its turn, once."""
        if self.ahead and not self.ahead.written:
            self.ahead.written = True
            self._writer.write(self.ahead.data)

    async def event(self):
        """Return the next event of the answer."""
        while True:
            event = self.state.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self.manner == SLOW:
                await asyncio.sleep(SLOW_REST)
                data = await self.reader.read(SLOW_SIZE)
            else:
                data = await self.reader.read(READ_SIZE)
            self.state.receive_data(data)

    def close(self):
        """Close it at once."""
        self._writer.transport.abort()


async def connect(router, manner):
    """Return a Channel to a router, or None if it doesn't come up."""
    sock = socket.socket()
    sock.setblocking(False)
    options = {}
    if manner == SLOW:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_SIZE)
        options["limit"] = SLOW_SIZE
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT):
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, router.callers)
            ends = await asyncio.open_connection(sock=sock, **options)
    except (OSError, asyncio.TimeoutError):
        sock.close()
        return None
    return Channel(router, *ends, manner)


def encode(state, head, body):
    """Return the bytes of a whole request."""
    data = state.send(head)
    if body:
        data += state.send(h11.Data(data=body))
    return data + state.send(h11.EndOfMessage())
