"""Calls of other routers over one kept connection each.

A connection may go silent for good without a word, while new ones work.  So
each has to prove itself: once a call on it is unanswered and nothing else has
arrived for a while, the next call opens another one.  The old connection is
kept for as long as calls wait on it, since a peer may just be slow.
"""

import asyncio

import structlog

from .errors import MessageError
from .errors import PeerError
from .schema import messages
from .web import stream
from .wire import pack_frame
from .wire import read_frame
from .wire import sign
from .wire import Traffic
from .wire import UNANSWERED
from .wire import UNUSED_LIMIT

LOG = structlog.get_logger(__name__)

# Seconds without a byte, with a call unanswered, after which a connection
# counts as silent: forty round trips within a region.  With a question to a
# peer each 0.25 s, a router whose connections all went silent knows a change
# after 0.68 s.
SILENCE = 0.4
# The same for a peer whose answers take long, in round trips, and at most:
# on a congested link a new connection would wait as long.
SILENT_TRIPS = 3.0
LONGEST_SILENCE = 3.0
# Seconds without a call after which a connection is not used again, well
# before the peer drops it.
UNUSED_SECONDS = UNUSED_LIMIT / 2
# Bytes that may wait on a connection before messages that nobody answers are
# dropped: its peer is frozen, cut off or far too busy.
TELL_LIMIT = 64 * 1024


class _Connection:
    """One open connection to a peer.

    :param on_trip: called with the seconds that an answer took
    """

    def __init__(self, reader, writer, traffic, on_trip):
        self._reader = reader
        self._writer = writer
        self._traffic = traffic
        self._on_trip = on_trip
        self._loop = asyncio.get_running_loop()
        self._waiting = {}
        self._last_call = 0
        self._used_at = self._loop.time()
        self._asked_at = None
        self._retired = False
        self._task = asyncio.ensure_future(self._read())

    @property
    def open(self):
        """Return whether calls may be made on it."""
        unused = self._loop.time() - self._used_at
        return not self._task.done() and unused < UNUSED_SECONDS

    @property
    def asked_at(self):
        """Return since when a call waits and nothing has arrived, or None."""
        return self._asked_at

    def silent(self, patience):
        """Return whether a call has waited in vain for some seconds."""
        asked_at = self._asked_at
        return asked_at is not None and self._loop.time() > asked_at + patience

    async def call(self, message):
        """Send a message; return its answer."""
        self._last_call += 1
        number = self._last_call
        now = self._loop.time()
        future = self._loop.create_future()
        self._waiting[number] = (future, now)
        self._used_at = now
        if self._asked_at is None:
            self._asked_at = now
        frame = pack_frame(number, message)
        self._traffic.sent += len(frame)
        self._traffic.calls += 1
        self._writer.write(frame)
        try:
            return await future
        finally:
            self._waiting.pop(number, None)
            self._end_if_retired()

    def tell(self, frame):
        """Send a frame that is not answered, unless too much waits."""
        if self._writer.transport.get_write_buffer_size() > TELL_LIMIT:
            return
        self._traffic.sent += len(frame)
        self._writer.write(frame)

    def retire(self):
        """Take no more calls; close once none waits for its answer."""
        self._retired = True
        self._end_if_retired()

    def close(self):
        """Drop the connection; waiting calls fail."""
        self._task.cancel()

    def _end_if_retired(self):
        if self._retired and not self._waiting:
            self.close()

    async def _read(self):
        try:
            while True:
                call, message = await read_frame(self._reader)
                self._take(call, message)
        except (OSError, EOFError, MessageError, asyncio.CancelledError):
            pass
        finally:
            self._writer.close()
            for future, _sent_at in self._waiting.values():
                if not future.done():
                    future.set_exception(PeerError("connection lost"))
            self._waiting.clear()

    def _take(self, call, message):
        now = self._loop.time()
        future, sent_at = self._waiting.pop(call, (None, now))
        self._asked_at = now if self._waiting else None
        if future is not None and not future.done():
            self._on_trip(now - sent_at)
            future.set_result(message)


class _Peer:
    """One peer's address, the connection to it and how fast it answers."""

    __slots__ = ("connection", "lock", "_trip")

    def __init__(self):
        self.connection = None
        self.lock = asyncio.Lock()
        self._trip = 0.0

    @property
    def usable(self):
        """Return whether the connection may be used for a call."""
        connection = self.connection
        if connection is None or not connection.open:
            return False
        return not connection.silent(self.patience)

    @property
    def patience(self):
        """Return the seconds of silence that mean something here."""
        return min(LONGEST_SILENCE, max(SILENCE, SILENT_TRIPS * self._trip))

    def note_trip(self, seconds):
        """Note how long an answer took; a slow one counts for a while."""
        self._trip = max(seconds, self._trip / 2)


class PeerClient:
    """Calls peers by address over one kept connection each.

    :param incarnation: incarnation of this router
    :param secret: what all routers share
    :param traffic: a Traffic to count in
    :param source: own IP number to connect from, if it matters
    :ivar on_silence: function that is told when a connection was silent
        though its peer takes new ones: the event loop's time since which
        nothing has arrived on it
    """

    def __init__(self, incarnation, secret, traffic=None, source=None):
        self._source = (source, 0) if source else None
        self._incarnation = incarnation
        self._secret = secret
        self._traffic = traffic or Traffic()
        self._known = {}
        self.on_silence = None

    async def call(self, address, message, timeout, repeatable=False):
        """Send a message and return the answer.

        :param address: IP and port of the peer
        :param timeout: longest wait in seconds
        :param repeatable: whether it does no harm if the peer takes it
            twice; it is sent again if its connection turns out silent
        :raises PeerError: no answer; the peer may have acted on it
        """
        try:
            async with asyncio.timeout(timeout):
                if repeatable:
                    return await self._call_twice(address, message)
                return await self._call(address, message)
        except asyncio.TimeoutError:
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
            peer = self._known.get(address)
            if peer is not None and peer.usable:
                peer.connection.tell(frame)

    def close(self):
        """Drop all connections."""
        for peer in self._known.values():
            if peer.connection is not None:
                peer.connection.close()
        self._known.clear()

    async def _call(self, address, message):
        peer = self._known.setdefault(address, _Peer())
        if not peer.usable:
            await self._connect(address, peer)
        return await peer.connection.call(message)

    async def _call_twice(self, address, message):
        """Call, and again on another connection if the first is silent."""
        calls = {asyncio.ensure_future(self._call(address, message))}
        try:
            peer = self._known.setdefault(address, _Peer())
            done, _ = await asyncio.wait(calls, timeout=peer.patience)
            if not done and not peer.usable:
                calls.add(asyncio.ensure_future(self._call(address, message)))
            return await _first_answer(calls)
        finally:
            for call in calls:
                call.cancel()

    async def _connect(self, address, peer):
        async with peer.lock:
            if peer.usable:
                return
            old = peer.connection
            peer.connection = await self._open(address, peer)
            if old is not None:
                self._replace(address, old)

    def _replace(self, address, old):
        """Retire a connection; say so if it was silent."""
        asked_at = old.asked_at
        if old.open and asked_at is not None:
            silent = asyncio.get_running_loop().time() - asked_at
            LOG.info(
                "connection_silent", peer=address, seconds=round(silent, 3)
            )
            if self.on_silence is not None:
                self.on_silence(asked_at)
        old.retire()

    async def _open(self, address, peer):
        host, _, port = address.rpartition(":")
        reader, writer = await stream.connect(
            host, int(port), local_addr=self._source
        )
        try:
            _call, challenge = await read_frame(reader)
            if not isinstance(challenge, messages.Challenge):
                raise MessageError("expected a challenge")
        except BaseException:
            writer.close()
            raise
        signature = sign(self._secret, challenge.nonce, self._incarnation)
        proof = messages.Proof(self._incarnation, signature)
        writer.write(pack_frame(0, proof))
        return _Connection(reader, writer, self._traffic, peer.note_trip)


async def _first_answer(calls):
    """Return the first answer of some calls; raise if all fail."""
    while True:
        done, calls = await asyncio.wait(
            calls, return_when=asyncio.FIRST_COMPLETED
        )
        for call in done:
            if call.exception() is None:
                return call.result()
        if not calls:
            return done.pop().result()
