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
import structlog

from .errors import FrameTooLong
from .errors import MessageError
from .incarnation import address_of
from .schema import messages
from .tasks import TaskSet
from .web import stream

LOG = structlog.get_logger(__name__)

# Bytes of a frame; the whole view of a large fleet is well below.
FRAME_LIMIT = 16 * 1024 * 1024
# Bytes of a frame before its sender has proved who it is: a nonce, or an
# incarnation and a signature.
HANDSHAKE_LIMIT = 4096
# Bytes of answers that wait on a connection when another one is due: its peer
# asks on without reading, and is dropped.  5 Mbit/s pass them in 7 s.
ANSWERS_LIMIT = 4 * 1024 * 1024
# Bytes of a connection that wait unread before its peer is held up.
READ_LIMIT = 65536
# Connections that wait to be accepted: all of a large fleet that starts.
BACKLOG = 512
NONCE_BYTES = 16
HANDSHAKE_TIMEOUT = 2.0
# Seconds without a frame after which an accepted connection is dropped: its
# peer opens another one when it has something to say.  In a fleet of 420 each
# pair exchanges a heartbeat in 336 s on average.
UNUSED_LIMIT = 900.0
# Call number of messages that nobody answers.
UNANSWERED = 0
# Bytes that may wait on a connection before messages that nobody answers are
# dropped: its peer is frozen, cut off or far too busy.
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
    if type(call) is not int or call < UNANSWERED:
        raise MessageError("malformed frame: the call is no number")
    return call, cls.from_wire(fields)


async def read_frame(reader, limit=FRAME_LIMIT):
    """Return the next call number and message of a stream.

    :param limit: largest frame in bytes
    :raises FrameTooLong: the frame is larger
    """
    head = await reader.readexactly(_LENGTH.size)
    (length,) = _LENGTH.unpack(head)
    if length > limit:
        raise FrameTooLong(f"frame of {length} bytes, limit {limit}")
    return unpack_frame(await reader.readexactly(length))


def sign(secret, nonce, incarnation):
    """Return the proof that the sender knows the secret."""
    text = nonce + incarnation.encode()
    return hmac.new(secret.encode(), text, hashlib.sha256).digest()


async def prove(reader, writer, secret, incarnation):
    """Answer the challenge of an accepting router.

    :raises MessageError: it sent none
    """
    _call, challenge = await read_frame(reader, HANDSHAKE_LIMIT)
    if not isinstance(challenge, messages.Challenge):
        raise MessageError("expected a challenge")
    signature = sign(secret, challenge.nonce, incarnation)
    writer.write(pack_frame(0, messages.Proof(incarnation, signature)))


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
    :ivar on_tunnel: coroutine function that serves a connection which begins
        with a TunnelOpen, until it ends; its arguments are the message, the
        caller's address, the reader and the writer
    :ivar on_exceeded: function that is called with the name of a bound, the
        peer's address and the reason, when a peer is dropped for it, or None
    """

    def __init__(self, handler, secret, traffic=None):
        self._handler = handler
        self._secret = secret
        self._traffic = traffic or Traffic()
        self._server = None
        self._writers = set()
        self._callers = {}
        self._tasks = TaskSet()
        self.on_tunnel = None
        self.on_exceeded = None

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
        self._tasks.cancel()

    def tell(self, address, message):
        """Send a message to a peer that needs no answer and may be lost.

        It goes out on the newest connection that the peer has open to here.

        :param address: IP and port of the peer
        """
        writer = self._callers.get(address)
        if writer is None or writer.is_closing():
            return
        if writer.transport.get_write_buffer_size() <= TELL_LIMIT:
            frame = pack_frame(UNANSWERED, message)
            self._traffic.sent += len(frame)
            writer.write(frame)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        caller = None
        try:
            name = await asyncio.wait_for(
                self._authenticate(reader, writer), HANDSHAKE_TIMEOUT
            )
            # An operator's tool has no address.
            caller = address_of(name) if "/" in name else name
            call, message = await self._read(reader)
            if isinstance(message, messages.TunnelOpen) and self.on_tunnel:
                await self.on_tunnel(message, caller, reader, writer)
                return
            self._callers[caller] = writer
            while True:
                self._tasks.spawn(self._answer(writer, call, message))
                call, message = await self._read(reader)
        except FrameTooLong as error:
            self._note_exceeded("frame", writer, str(error))
        except MessageError as error:
            LOG.warning("peer_frame_unreadable", peer=caller, error=str(error))
        except (
            OSError,
            EOFError,
            asyncio.TimeoutError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            if self._callers.get(caller) is writer:
                del self._callers[caller]
            writer.close()

    def _note_exceeded(self, bound, writer, why):
        if self.on_exceeded is not None:
            host, port, *_ = writer.get_extra_info("peername") or ("", 0)
            self.on_exceeded(bound, f"{host}:{port}", why)

    async def _read(self, reader):
        """Return the next call number and message of a peer."""
        # A peer that went silent for good never says goodbye.
        async with asyncio.timeout(UNUSED_LIMIT):
            return await read_frame(reader)

    async def _authenticate(self, reader, writer):
        """Return the peer's incarnation; raise MessageError if it is none."""
        nonce = os.urandom(NONCE_BYTES)
        writer.write(pack_frame(0, messages.Challenge(nonce)))
        _call, proof = await read_frame(reader, HANDSHAKE_LIMIT)
        if not isinstance(proof, messages.Proof):
            raise MessageError("expected a proof")
        expected = sign(self._secret, nonce, proof.incarnation)
        if not hmac.compare_digest(expected, proof.signature):
            raise MessageError("wrong proof")
        return proof.incarnation

    async def _answer(self, writer, call, message):
        try:
            answer = await self._handler(message)
        except Exception:
            # Without an answer its connection would be taken for silent.
            LOG.error("peer_call_failed", exc_info=True)
            answer = messages.Failed()
        if call == UNANSWERED or writer.is_closing():
            return
        unread = writer.transport.get_write_buffer_size()
        if unread > ANSWERS_LIMIT:
            writer.transport.abort()
            why = f"{unread} bytes unread, limit {ANSWERS_LIMIT}"
            self._note_exceeded("unread answers", writer, why)
            return
        frame = pack_frame(call, answer)
        self._traffic.sent += len(frame)
        writer.write(frame)
