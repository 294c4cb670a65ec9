"""Streams of messages between routers: msgpack frames over TCP.

A frame is a 4-byte length and ``[call, kind, fields]``.  Answers carry the
number of their call, so many calls share one connection and may be answered
in any order.  Before the first call the connecting side signs a nonce with
the secret that all routers share.
"""

import asyncio
import hashlib
import hmac
import os
import struct

import msgpack

from .errors import MessageError
from .errors import PeerError
from .schema import messages
from .web import stream

FRAME_LIMIT = 16 * 1024 * 1024
# Bytes of a connection that wait unread before its peer is held up.
READ_LIMIT = 65536
# Connections that wait to be accepted: all of a large fleet that starts.
BACKLOG = 512
NONCE_BYTES = 16
HANDSHAKE_TIMEOUT = 2.0
# Seconds without a frame after which an unanswered call drops a connection;
# live peers exchange heartbeats more often.
SILENCE = 1.0
# Call number of messages that nobody answers.
UNANSWERED = 0
# Bytes that may wait on a connection before such messages are dropped: its
# peer is frozen, cut off or far too busy.
TELL_LIMIT = 64 * 1024
_LENGTH = struct.Struct(">I")


# Frames


def pack_frame(call, message):
    """Return the bytes of one frame."""
    body = msgpack.packb([call, message.KIND, message.to_wire()])
    return _LENGTH.pack(len(body)) + body


def unpack_frame(body):
    """Return call number and message; raise MessageError if unfit."""
    try:
        call, kind, fields = msgpack.unpackb(body, strict_map_key=False)
        cls = messages.BY_KIND[kind]
    except (ValueError, TypeError, KeyError, msgpack.UnpackException):
        raise MessageError("malformed frame") from None
    return call, cls.from_wire(fields)


async def read_frame(reader):
    """Return the next call number and message of a stream."""
    head = await reader.readexactly(_LENGTH.size)
    (length,) = _LENGTH.unpack(head)
    if length > FRAME_LIMIT:
        raise MessageError("frame too long")
    return unpack_frame(await reader.readexactly(length))


def sign(secret, nonce, incarnation):
    """Return the proof that the sender knows the secret."""
    text = nonce + incarnation.encode()
    return hmac.new(secret.encode(), text, hashlib.sha256).digest()


# Traffic counts


class Traffic:
    """Counts the bytes and messages that a router exchanges."""

    __slots__ = ("sent", "received", "calls")

    def __init__(self):
        self.sent = 0
        self.received = 0
        self.calls = 0


# Accepting side


class PeerServer:
    """Accepts peers and hands their messages to a handler.

    :param handler: coroutine function from message to answer
    :param secret: what all routers share
    """

    def __init__(self, handler, secret, traffic=None):
        self._handler = handler
        self._secret = secret
        self._traffic = traffic or Traffic()
        self._server = None
        self._writers = set()
        self._tasks = set()

    @property
    def open(self):
        """Number of open connections."""
        return len(self._writers)

    async def start(self, address, port):
        """Listen on an address."""
        self._server = await stream.listen(
            self._serve, address, port, READ_LIMIT, BACKLOG
        )

    async def close(self):
        """Stop listening and drop all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await asyncio.wait_for(
                self._authenticate(reader, writer), HANDSHAKE_TIMEOUT
            )
            while True:
                call, message = await read_frame(reader)
                task = asyncio.ensure_future(
                    self._answer(writer, call, message)
                )
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        except (
            OSError,
            EOFError,
            MessageError,
            asyncio.TimeoutError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _authenticate(self, reader, writer):
        nonce = os.urandom(NONCE_BYTES)
        writer.write(pack_frame(0, messages.Challenge(nonce)))
        _call, proof = await read_frame(reader)
        if not isinstance(proof, messages.Proof):
            raise MessageError("expected a proof")
        expected = sign(self._secret, nonce, proof.incarnation)
        if not hmac.compare_digest(expected, proof.signature):
            raise MessageError("wrong proof")

    async def _answer(self, writer, call, message):
        answer = await self._handler(message)
        if call == UNANSWERED or writer.is_closing():
            return
        frame = pack_frame(call, answer)
        self._traffic.sent += len(frame)
        writer.write(frame)


# Connecting side


class _Connection:
    """One open connection to a peer."""

    def __init__(self, reader, writer, traffic):
        self._reader = reader
        self._writer = writer
        self._traffic = traffic
        self._waiting = {}
        self._last_call = 0
        self._heard = asyncio.get_running_loop().time()
        self._task = asyncio.ensure_future(self._read())

    @property
    def open(self):
        return not self._task.done()

    @property
    def silent(self):
        """Return whether nothing has arrived for a while."""
        loop = asyncio.get_running_loop()
        return loop.time() > self._heard + SILENCE

    def send(self, message):
        """Send a message; return the future of its answer."""
        self._last_call += 1
        future = asyncio.get_running_loop().create_future()
        self._waiting[self._last_call] = future
        frame = pack_frame(self._last_call, message)
        self._traffic.sent += len(frame)
        self._traffic.calls += 1
        self._writer.write(frame)
        return future

    def tell(self, frame):
        """Send a frame that is not answered, unless too much waits."""
        if self._writer.transport.get_write_buffer_size() > TELL_LIMIT:
            return
        self._traffic.sent += len(frame)
        self._writer.write(frame)

    async def _read(self):
        try:
            while True:
                call, message = await read_frame(self._reader)
                self._heard = asyncio.get_running_loop().time()
                future = self._waiting.pop(call, None)
                if future is not None and not future.done():
                    future.set_result(message)
        except (OSError, EOFError, MessageError, asyncio.CancelledError):
            pass
        finally:
            self._writer.close()
            for future in self._waiting.values():
                if not future.done():
                    future.set_exception(PeerError("connection lost"))
            self._waiting.clear()

    def close(self):
        """Drop the connection; waiting calls fail."""
        self._task.cancel()


class PeerClient:
    """Calls peers by address over one kept connection each.

    :param incarnation: incarnation of this router
    :param secret: what all routers share
    :param traffic: a Traffic to count in
    :param source: own IP number to connect from, if it matters
    """

    def __init__(self, incarnation, secret, traffic=None, source=None):
        self._source = (source, 0) if source else None
        self._incarnation = incarnation
        self._secret = secret
        self._traffic = traffic or Traffic()
        self._connections = {}
        self._connecting = {}

    async def call(self, address, message, timeout):
        """Send a message and return the answer.

        :param address: IP and port of the peer
        :param timeout: longest wait in seconds
        :raises PeerError: no answer; the peer may have acted on it
        """
        try:
            return await asyncio.wait_for(
                self._call(address, message), timeout
            )
        except asyncio.TimeoutError:
            self._drop_silent(address)
            raise PeerError(f"{address} did not answer") from None
        except (OSError, EOFError, MessageError) as error:
            raise PeerError(f"{address}: {error}") from None

    def tell(self, addresses, message):
        """Send a message to peers that needs no answer and may be lost.

        It goes out only on connections that are open; heartbeats and
        questions for views open one to each peer of a small fleet.

        :param addresses: IP and port of each peer
        """
        frame = pack_frame(UNANSWERED, message)
        for address in addresses:
            connection = self._connections.get(address)
            if connection is not None and connection.open:
                connection.tell(frame)

    def _drop_silent(self, address):
        """Drop a connection on which nothing arrives any more.

        The host behind it may be cut off or without power; once it is back,
        a new connection works at once, while an old one waits for the
        kernel's next retransmission.
        """
        connection = self._connections.get(address)
        if connection is not None and connection.silent:
            del self._connections[address]
            connection.close()

    async def _call(self, address, message):
        connection = self._connections.get(address)
        if connection is None or not connection.open:
            connection = await self._connect(address)
        return await connection.send(message)

    async def _connect(self, address):
        lock = self._connecting.setdefault(address, asyncio.Lock())
        async with lock:
            connection = self._connections.get(address)
            if connection is not None and connection.open:
                return connection
            host, _, port = address.rpartition(":")
            reader, writer = await stream.connect(
                host, int(port), local_addr=self._source
            )
            _call, challenge = await read_frame(reader)
            if not isinstance(challenge, messages.Challenge):
                raise MessageError("expected a challenge")
            signature = sign(self._secret, challenge.nonce, self._incarnation)
            proof = messages.Proof(self._incarnation, signature)
            writer.write(pack_frame(0, proof))
            connection = _Connection(reader, writer, self._traffic)
            self._connections[address] = connection
            return connection

    def close(self):
        """Drop all connections."""
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()
