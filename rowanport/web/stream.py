"""Streams whose end is noticed at once, without reading or polling."""

import asyncio
import errno
import fcntl
import socket
import struct
import sys
import termios

# State of a connection, in the first byte of what the kernel tells of it, of
# which nothing is left.
TCP_CLOSE = 7
COUNT_SIZE = 4
# Largest port number, and most digits of one.
PORT_LIMIT = 65535
PORT_DIGITS = 5
# The option's fields: whether it is on, and its seconds.
NO_LINGER = struct.pack("ii", 1, 0)
DEFAULT_LINGER = struct.pack("ii", 0, 0)


class WatchedReader(asyncio.StreamReader):
    """A StreamReader that tells when bytes arrive or the peer goes away.

    :ivar on_end: called once when the peer closed or reset the connection
    :ivar on_data: called whenever bytes arrive
    :ivar ended: whether the connection has ended
    :ivar ended_at: the event loop's time at which it ended at the earliest, or
        None: an end behind bytes that nobody has read is noticed late
    """

    def __init__(self, **options):
        super().__init__(**options)
        self.on_end = None
        self.on_data = None
        self.ended = False
        self.ended_at = None
        self._paused_at = None

    @property
    def unread(self):
        """Return whether bytes have arrived that nobody has read."""
        return bool(self._buffer)

    @property
    def paused(self):
        """Return whether nothing is read, as too much is unread."""
        return self._paused

    def feed_data(self, data):
        """Take in bytes, and say so."""
        super().feed_data(data)
        if self.paused and self._paused_at is None:
            self._paused_at = self._loop.time()
        if self.on_data is not None:
            self.on_data()

    def feed_eof(self):
        """Take in the end of the stream, and say so."""
        super().feed_eof()
        self._end()

    def set_exception(self, exc):
        """Take in the loss of the connection, and say so."""
        super().set_exception(exc)
        self._end()

    def _end(self):
        if self.ended:
            return
        self.ended = True
        self.ended_at = self._paused_at or self._loop.time()
        if self.on_end is not None:
            self.on_end()


def split_address(address):
    """Return host and port of an address, which others may have written.

    :raises OSError: nobody can listen there
    """
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdecimal() and len(port) <= PORT_DIGITS):
        raise OSError(errno.EINVAL, f"no address: {address!r:.80}")
    if not host or int(port) > PORT_LIMIT:
        raise OSError(errno.EINVAL, f"no address: {address!r:.80}")
    return host, int(port)


async def connect(host, port, local_addr=None):
    """Open a connection; return its WatchedReader and StreamWriter.

    :raises OSError: it cannot be opened
    """
    loop = asyncio.get_running_loop()
    reader = WatchedReader(loop=loop)
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    try:
        transport, _ = await loop.create_connection(
            lambda: protocol, host, port, local_addr=local_addr
        )
    except UnicodeError:
        # The name has parts that no name server knows, as they are too long.
        raise OSError(errno.EINVAL, f"no host: {host!r:.80}") from None
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


async def listen(handle, host, port, limit, backlog):
    """Listen, and hand each connection to a coroutine function."""
    loop = asyncio.get_running_loop()

    def make():
        reader = WatchedReader(loop=loop, limit=limit)
        return asyncio.StreamReaderProtocol(reader, handle, loop=loop)

    return await loop.create_server(make, host, port, backlog=backlog)


def reset(writer):
    """Reset a connection, so that its peer sees no orderly end of it.

    What the kernel still holds for the peer is dropped.
    """
    reset_at_close(writer)
    writer.transport.abort()


def reset_at_close(writer):
    """Let each way to close a connection reset it.

    The kernel closes the connections of a process that is killed, too, and
    without this option in order, as if all had been sent.
    """
    _set_linger(writer, NO_LINGER)


def end_at_close(writer):
    """Undo :func:`reset_at_close`, as all has been handed to the kernel."""
    _set_linger(writer, DEFAULT_LINGER)


def _set_linger(writer, value):
    sock = writer.get_extra_info("socket")
    if sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)


async def flush(writer):
    """Wait until the kernel holds all that was written.

    :raises OSError: the connection was lost
    """
    writer.transport.set_write_buffer_limits(high=0)
    await writer.drain()


def unacknowledged(writer):
    """Return how many bytes the kernel holds until the peer has them."""
    sock = writer.get_extra_info("socket")
    if sock.fileno() < 0:
        return 0
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    if info[0] == TCP_CLOSE:
        return 0
    count = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(COUNT_SIZE))
    return int.from_bytes(count, sys.byteorder)
