"""Calls of other routers over one kept connection each.

A connection may go silent for good without a word, while new ones work.  So
each has to prove itself: once a call on it is unanswered and nothing else has
arrived for a while, the next call opens another one.  The old connection is
kept for as long as calls wait on it, since a peer may just be slow.
"""

import asyncio
import collections
import functools

import structlog

from .errors import FrameTooLong
from .errors import MessageError
from .errors import PeerError
from .errors import PeerGone
from .schema import messages
from .tasks import TaskSet
from .web import stream
from .wire import pack_frame
from .wire import prove
from .wire import read_frame
from .wire import TELL_LIMIT
from .wire import Traffic
from .wire import UNANSWERED
from .wire import UNUSED_LIMIT

LOG = structlog.get_logger(__name__)

# Seconds without a byte, with a call unanswered, after which a connection
# counts as silent: forty round trips within a region.
SILENCE = 0.4
# The same for a peer whose answers take long, in round trips, and at most:
# on a congested link a new connection would wait as long.
SILENT_TRIPS = 3.0
# Last answers of any peers that must all be slow for the own link to be.
LINK_TRIPS = 3
LONGEST_SILENCE = 3.0
# Seconds by which a timer may fire too early.
RESOLUTION = 0.001
# Calls that may take longer than this wait for something at the peer; that
# they are unanswered says nothing of the connection.
PROMPT_SECONDS = 3.0
# Times a peer's patience that opening a connection to it may take: it needs
# two round trips.
OPEN_PATIENCES = 2.0
# Seconds without a call after which a connection is not used again, well
# before the peer drops it.
UNUSED_SECONDS = UNUSED_LIMIT / 2


class _Connection:
    """One open connection to a peer.

    :param on_trip: called with the seconds that an answer took
    :param on_told: called with each message that answers no call
    :param on_exceeded: called with the reason when a frame is too long
    """

    def __init__(self, reader, writer, traffic, on_trip, on_told, on_exceeded):
        self._reader = reader
        self._writer = writer
        self._traffic = traffic
        self._on_trip = on_trip
        self._on_told = on_told
        self._on_exceeded = on_exceeded
        self._loop = asyncio.get_running_loop()
        self._waiting = {}
        self._last_call = 0
        self._used_at = self._loop.time()
        self._deaf_since = None
        self._retired = False
        self._task = asyncio.ensure_future(self._read())

    @property
    def open(self):
        """Return whether calls may be made on it."""
        unused = self._loop.time() - self._used_at
        return not self._task.done() and unused < UNUSED_SECONDS

    @property
    def deaf_since(self):
        """Return since when a prompt call waits and nothing has arrived.

        It is the event loop's time, or None.
        """
        return self._deaf_since

    def silent(self, patience):
        """Return whether a prompt call has waited in vain for a while."""
        since = self._deaf_since
        if since is None:
            return False
        return self._loop.time() > since + patience - RESOLUTION

    async def call(self, message, prompt):
        """Send a message; return its answer.

        :param prompt: whether the answer comes at once if all is well
        """
        self._last_call += 1
        number = self._last_call
        now = self._loop.time()
        future = self._loop.create_future()
        self._waiting[number] = (future, now, prompt)
        if prompt and self._deaf_since is None:
            self._deaf_since = now
        self._traffic.calls += 1
        self._send(pack_frame(number, message))
        try:
            return await future
        finally:
            self._waiting.pop(number, None)
            self._end_if_retired()

    def tell(self, frame):
        """Send a frame that is not answered, unless too much waits."""
        if self._writer.transport.get_write_buffer_size() <= TELL_LIMIT:
            self._send(frame)

    def retire(self):
        """Take no more calls; close once none waits for its answer."""
        self._retired = True
        self._end_if_retired()

    def close(self):
        """Drop the connection; waiting calls fail."""
        self._task.cancel()

    def _send(self, frame):
        self._used_at = self._loop.time()
        self._traffic.sent += len(frame)
        self._writer.write(frame)

    def _end_if_retired(self):
        if self._retired and not self._waiting:
            self.close()

    async def _read(self):
        try:
            while True:
                call, message = await read_frame(self._reader)
                self._take(call, message)
        except FrameTooLong as error:
            self._on_exceeded(str(error))
        except (OSError, EOFError, MessageError, asyncio.CancelledError):
            pass
        finally:
            self._writer.close()
            for future, _sent_at, _prompt in self._waiting.values():
                if not future.done():
                    future.set_exception(PeerError("connection lost"))
            self._waiting.clear()

    def _take(self, call, message):
        if call == UNANSWERED:
            return self._on_told(message)
        now = self._loop.time()
        future, sent_at, _ = self._waiting.pop(call, (None, now, False))
        waits = any(prompt for _, _, prompt in self._waiting.values())
        self._deaf_since = now if waits else None
        if future is None or future.done():
            return
        if isinstance(message, messages.Failed):
            future.set_exception(PeerError("the peer failed"))
            return
        self._on_trip(now - sent_at)
        future.set_result(message)


class _Link:
    """How fast any peers answer, as far as that is up to the own link."""

    def __init__(self):
        self._trips = collections.deque(maxlen=LINK_TRIPS)

    @property
    def trip(self):
        """Return the seconds that an answer of any peer takes at least."""
        if len(self._trips) < LINK_TRIPS:
            return 0.0
        return min(self._trips)

    def note_trip(self, seconds):
        """Note how long an answer took."""
        self._trips.append(seconds)


class _Peer:
    """One peer's address, the connection to it and how fast it answers.

    :ivar connection: the _Connection for new calls, or None
    :ivar opening: the task that opens another one, or None
    :ivar last_trip: seconds that its last answer took
    """

    __slots__ = ("connection", "opening", "last_trip", "_slow_trip", "_link")

    def __init__(self, link):
        self._link = link
        self.connection = None
        self.opening = None
        self.last_trip = 0.0
        self._slow_trip = 0.0

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
        trip = max(self._slow_trip, self._link.trip)
        return min(LONGEST_SILENCE, max(SILENCE, SILENT_TRIPS * trip))

    def note_trip(self, seconds):
        """Note how long an answer took; a slow one counts for a while."""
        self.last_trip = seconds
        self._link.note_trip(seconds)
        self._slow_trip = max(seconds, self._slow_trip / 2)


class PeerClient:
    """Calls peers by address over one kept connection each.

    :param incarnation: incarnation of this router
    :param secret: what all routers share
    :param traffic: a Traffic to count in
    :param source: own IP number to connect from, if it matters
    :ivar on_silence: function that is told when a connection was silent
        though its peer takes new ones: the event loop's time since which
        nothing has arrived on it
    :ivar on_told: function that is told of each message that a peer sent
        though it was not called
    :ivar on_exceeded: function that is called with the name of a bound, a
        peer's address and the reason, when its connection is closed for it
    """

    def __init__(self, incarnation, secret, traffic=None, source=None):
        self._source = (source, 0) if source else None
        self._incarnation = incarnation
        self._secret = secret
        self._traffic = traffic or Traffic()
        self._known = {}
        self._link = _Link()
        self._tasks = TaskSet()
        self.on_silence = None
        self.on_told = None
        self.on_exceeded = None

    async def call(self, address, message, timeout, repeatable=False):
        """Send a message and return the answer.

        :param address: IP and port of the peer
        :param timeout: longest wait in seconds
        :param repeatable: whether it does no harm if the peer takes it
            twice; it is sent again if its connection turns out silent
        :raises PeerError: no answer; the peer may have acted on it
        :raises PeerGone: its process has ended
        """
        prompt = timeout <= PROMPT_SECONDS
        try:
            async with asyncio.timeout(timeout):
                if repeatable:
                    return await self._call_twice(address, message)
                connection = await self._connection(address)
                return await connection.call(message, prompt)
        except asyncio.TimeoutError:
            raise PeerError(f"{address} did not answer") from None
        except (OSError, EOFError, MessageError) as error:
            raise PeerError(f"{address}: {error}") from None

    def last_trip(self, address):
        """Return the seconds that a peer's last answer took."""
        return self._peer(address).last_trip

    def is_connected(self, address):
        """Return whether a connection to a peer is open."""
        peer = self._known.get(address)
        return peer is not None and peer.usable

    def tell(self, addresses, message):
        """Send a message to peers that needs no answer and may be lost.

        It goes out only on connections that are open; heartbeats and
        questions for views open one to each peer of a small fleet.

        :param addresses: IP and port of each peer
        """
        frame = pack_frame(UNANSWERED, message)
        for address in addresses:
            if self.is_connected(address):
                self._known[address].connection.tell(frame)

    def close(self):
        """Drop all connections."""
        self._tasks.cancel()
        for peer in self._known.values():
            if peer.connection is not None:
                peer.connection.close()
        self._known.clear()

    def _peer(self, address):
        peer = self._known.get(address)
        if peer is None:
            peer = self._known[address] = _Peer(self._link)
        return peer

    async def _call_twice(self, address, message):
        """Call, and again on another connection if the first is silent."""
        peer = self._peer(address)
        connection = await self._connection(address)
        calls = {asyncio.ensure_future(connection.call(message, True))}
        try:
            if await _turns_out_silent(peer, connection, calls):
                repeat = self._repeat(address, message)
                calls.add(asyncio.ensure_future(repeat))
            return await _first_answer(calls)
        finally:
            for call in calls:
                call.cancel()

    async def _repeat(self, address, message):
        connection = await self._connection(address)
        return await connection.call(message, True)

    async def _connection(self, address):
        """Return a connection that may be used, another one if need be."""
        peer = self._peer(address)
        if not peer.usable:
            if peer.opening is None or peer.opening.done():
                peer.opening = self._tasks.spawn(self._replace(address, peer))
            opening = peer.opening
            # Not cancelled with its first caller: others wait for it too.
            await asyncio.wait({opening})
            error = "closed" if opening.cancelled() else opening.result()
            if isinstance(error, ConnectionRefusedError):
                raise PeerGone(f"{address}: {error}")
            if error is not None:
                raise PeerError(f"{address}: {error}")
        return peer.connection

    async def _replace(self, address, peer):
        """Open another connection; return the error if that fails."""
        old = peer.connection
        silent = old is not None and old.silent(peer.patience)
        since = old.deaf_since if silent else None
        try:
            async with asyncio.timeout(OPEN_PATIENCES * peer.patience):
                peer.connection = await self._open(address, peer)
        except asyncio.TimeoutError:
            return "no connection in time"
        except (OSError, EOFError, MessageError) as error:
            return error
        if old is not None:
            # It may have been the peer that was slow, not the connection.
            if since is not None and old.deaf_since == since:
                self._note_silence(address, since)
            old.retire()
        return None

    def _note_silence(self, address, since):
        silent = asyncio.get_running_loop().time() - since
        LOG.info("connection_silent", peer=address, seconds=round(silent, 3))
        if self.on_silence is not None:
            self.on_silence(since)

    async def _open(self, address, peer):
        host, port = stream.split_address(address)
        reader, writer = await stream.connect(
            host, port, local_addr=self._source
        )
        try:
            await prove(reader, writer, self._secret, self._incarnation)
        except FrameTooLong as error:
            writer.transport.abort()
            self._note_exceeded(address, str(error))
            raise
        except BaseException:
            writer.close()
            raise
        return _Connection(
            reader,
            writer,
            self._traffic,
            peer.note_trip,
            self._hear,
            functools.partial(self._note_exceeded, address),
        )

    def _note_exceeded(self, address, why):
        if self.on_exceeded is not None:
            self.on_exceeded("frame", address, why)

    def _hear(self, message):
        if self.on_told is not None:
            self.on_told(message)


async def _turns_out_silent(peer, connection, calls):
    """Wait for the end of calls or for silence; return whether it is that."""
    loop = asyncio.get_running_loop()
    while not connection.silent(peer.patience):
        since = connection.deaf_since
        due = (loop.time() if since is None else since) + peer.patience
        left = max(0.0, due - loop.time())
        done, _pending = await asyncio.wait(calls, timeout=left)
        if done:
            return False
    return True


async def _first_answer(calls):
    """Return the first answer of some calls; raise if all fail."""
    while True:
        done, calls = await asyncio.wait(
            calls, return_when=asyncio.FIRST_COMPLETED
        )
        answers = [call for call in done if call.exception() is None]
        if answers:
            return answers[0].result()
        if not calls:
            return done.pop().result()
