"""An HTTP client with kept connections."""

import asyncio
import enum
import errno
import json
import math
import re
import weakref

import h11

from ..errors import BoundExceeded
from ..errors import ConnectionEnded
from ..errors import ConnectionRefused
from ..errors import ConnectionSilent
from ..errors import NoConnectionFree
from ..errors import UpstreamError
from ..json_values import load_json
from .connector import DirectConnector
from .patience import NO_PATIENCE
from .patience import wait_patiently
from .turns import Turns

READ_SIZE = 65536
IDLE_CONNECTIONS = 64
# Largest head of an answer in bytes.
HEAD_LIMIT = 65536
# Informational answers before the head of an answer: servers send one or two.
INFORMATIONAL_LIMIT = 16
# Bytes of an answer to another request that are read past.  Reading more
# takes longer than a new connection.
SURPLUS_LIMIT = 1024 * 1024
# Bytes of an answer that is read whole into memory, unless the caller names
# another limit: as much as one frame of a peer.
BODY_LIMIT = 16 * 1024 * 1024
# Status that h11 proposes for a head, chunk header or trailer over its limit.
HEAD_TOO_LARGE = 431
# Statuses of answers that have no body, whatever was asked.
BODILESS_STATUSES = (204, 304)
# Answers to other requests that are read past before one is given up.
STRAY_LIMIT = 3
# Share of the time for which a server keeps an idle connection after which
# none is used again: the rest is for the way of a request and for clocks.
IDLE_SHARE = 0.8
# The time in whole seconds in a Keep-Alive header, among other parameters.
_KEEP_ALIVE = re.compile(rb"(?:^|[\s,;])(?:timeout\s*=\s*)?([0-9]{1,6})\b")
# Connections that are opened to find out who listens, and seconds after which
# one that is open was not accepted by a process that ends.
PROBE_ATTEMPTS = 2
SETTLE_SECONDS = 0.02
# Seconds after which a request that waits for a connection looks again, as
# those that probes and tunnels close are not announced.
FREE_CHECK = 0.05


class Listening(enum.Enum):
    """What became of connections that were opened to an address."""

    LISTENS = "listens"
    REFUSES = "refuses"
    HANGS_UP = "hangs up"
    UNKNOWN = "unknown"


class Framing(enum.Enum):
    """What tells a reader where the body of an answer ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    # The answer has no body, whatever was asked.
    BODILESS = "bodiless"
    # Nothing but the end of the connection.
    CONNECTION = "connection"


class _Connection:
    """One open connection and its protocol state.

    :ivar path: its Path
    :ivar sent_at: the event loop's time at which the last request was sent
    :ivar released_at: the event loop's time at which it became idle
    :ivar idle_limit: seconds for which the server keeps it while it is idle,
        by its last answer; infinite if that names none
    :ivar expires_at: the event loop's time from which it is not used again
    """

    __slots__ = (
        "path",
        "reader",
        "writer",
        "state",
        "spoiled",
        "request",
        "sent_at",
        "released_at",
        "idle_limit",
        "expires_at",
    )

    def __init__(self, path):
        self.path = path
        self.reader = path.reader
        self.writer = path.writer
        self.sent_at = None
        self.released_at = None
        self.idle_limit = math.inf
        self.expires_at = math.inf
        self.request = None
        self.spoiled = False
        self.state = None
        self.begin()

    def begin(self, received=b""):
        """Start a new exchange, with bytes that were read too far."""
        self.state = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=HEAD_LIMIT
        )
        if received:
            self.state.receive_data(received)

    @property
    def reusable(self):
        state = self.state
        return (
            state.our_state is h11.DONE
            and state.their_state is h11.DONE
            and not state.trailing_data[0]
            and not self.reader.unread
            and not self.reader.ended
            # An answer that came before its request was wholly sent leaves
            # the rest of that request due on this connection.
            and not self.writer.transport.get_write_buffer_size()
        )

    def spoil(self):
        """Note bytes that belong to no request, or the end."""
        self.spoiled = True
        self.writer.close()

    def watch(self):
        """Drop the connection if anything arrives while it is idle."""
        self.reader.on_data = self.spoil
        self.reader.on_end = self.spoil

    def unwatch(self):
        """Take the connection into use."""
        self.reader.on_data = None
        self.reader.on_end = None


class HttpAnswer:
    """An answer whose body is still to be read.

    :ivar headers: values by lower-case name; those of several headers of one
        name are one list, in which none is repeated
    :ivar fields: (name, value) pairs of bytes in their order
    :ivar path: the Path on which it arrives
    :ivar framing: the Framing of its body
    """

    def __init__(
        self, client, address, connection, response, timeout, patience
    ):
        self._client = client
        self._address = address
        self._connection = connection
        self._timeout = timeout
        self._patience = patience
        self.path = connection.path
        self.status = response.status_code
        self.fields = response.headers.raw_items()
        self.headers = _join_fields(response.headers)
        self.framing = self._find_framing(connection.request.method)

    def _find_framing(self, method):
        if method == b"HEAD" or self.status in BODILESS_STATUSES:
            return Framing.BODILESS
        if "transfer-encoding" in self.headers:
            return Framing.CHUNKS
        if "content-length" in self.headers:
            return Framing.LENGTH
        return Framing.CONNECTION

    @property
    def framed(self):
        """Return whether the answer itself tells where its body ends."""
        return self.framing is not Framing.CONNECTION

    async def next_piece(self):
        """Return the next piece of the body, None at its end.

        A caller that stops waiting loses nothing and may ask again.

        :raises UpstreamError: the body ended early
        """
        try:
            event = await next_event(self._connection)
        except (OSError, h11.ProtocolError) as error:
            message = f"the answer broke off: {error}"
            broken = _broken(self._connection, message, error)
            self._client.note_exceeded(self._address, broken)
            raise broken from None
        self._client.record_heard(self.path)
        if isinstance(event, h11.EndOfMessage):
            self._check_end()
            return None
        if not isinstance(event, h11.Data):
            raise _broken(self._connection, "the answer was cut short")
        return bytes(event.data)

    def _check_end(self):
        """Raise UpstreamError if the end may not be the answer's own."""
        if not (self.framed or self.path.tells_end):
            raise UpstreamError(
                "the answer has no length, and the earlier build of "
                f"{self.path.relay} does not tell its end from the relay's"
            )

    async def pieces(self):
        """Yield the pieces of the body as they arrive.

        :raises UpstreamError: the body ended early or fell silent
        """
        try:
            while True:
                piece = await wait_patiently(
                    self.next_piece(), self._timeout, self._patience
                )
                if piece is None:
                    break
                yield piece
        except asyncio.TimeoutError:
            raise UpstreamError("the answer fell silent") from None
        finally:
            # Only a connection whose whole answer was read is used again.
            self.close()

    async def read(self, limit=BODY_LIMIT):
        """Return the whole body.

        :param limit: largest body in bytes
        :raises BoundExceeded: the body is larger; the connection is closed
        """
        body = bytearray()
        try:
            async for piece in self.pieces():
                body += piece
                if len(body) > limit:
                    error = BoundExceeded("body", limit)
                    self._client.note_exceeded(self._address, error)
                    raise error
        finally:
            self.close()
        return bytes(body)

    async def json(self):
        """Return the whole body as JSON."""
        try:
            return load_json(await self.read())
        except ValueError:
            raise UpstreamError("the answer is not JSON") from None

    def close(self):
        """Give the connection back, or drop it if not all was read."""
        if self._connection is not None:
            self._client.release(self._address, self._connection)
            self._connection = None


class HttpClient:
    """Sends requests to upstreams and the platform by address.

    :param connect_timeout: longest wait for a connection in seconds
    :param keepalive: a Keepalive, or None for the kernel's defaults
    :param connector: a Connector, by default one over the own link
    :ivar opened: number of connections opened so far
    :ivar on_exceeded: function that is called with the address and the
        BoundExceeded of each answer beyond a bound of this client, or None
    """

    def __init__(self, connect_timeout=1.0, keepalive=None, connector=None):
        self._connector = connector or DirectConnector(
            connect_timeout, keepalive
        )
        self._keepalive = keepalive
        self._idle = {}
        # All Paths that are in use or kept.
        self._paths = weakref.WeakSet()
        # Connections with a request whose answer has not begun.
        self._waiting = set()
        self.opened = 0
        self.on_exceeded = None
        # When something last arrived, by relay, None for the own link.
        self._heard_at = {}
        # Requests that wait for a connection, by address.
        self._turns = Turns()

    async def request(
        self,
        address,
        method,
        path,
        body=b"",
        headers=(),
        timeout=30.0,
        owner=None,
        fresh=False,
        patience=NO_PATIENCE,
        check=None,
        over=None,
    ):
        """Send a request and return its HttpAnswer once the head is here.

        :param timeout: longest silence in seconds, for head and body
        :param owner: (name, value) of a header that the answer repeats; an
            answer with another value belongs to an earlier request and is
            read past
        :param fresh: whether no kept connection is to be used; it does not
            wait for one that may be opened either
        :param patience: the Patience asked after each such silence
        :param check: function that is called before the first byte is sent;
            the UpstreamError that it may raise is passed on
        :param over: the open Path on which it is sent, which is no kept one;
            None for any connection
        :raises ConnectionSilent: the kernel gave the connection up
        :raises UpstreamError: ``started`` says whether work may have begun
        """
        if over is None:
            connection = await self._connect(address, fresh)
        else:
            connection = _Connection(over)
        if check is not None:
            self._check(check, address, connection)
        self._waiting.add(connection)
        answered = False
        try:
            self._send(connection, address, method, path, body, headers)
            reading = self._read_head(connection, address, owner)
            response = await wait_patiently(reading, timeout, patience)
            answered = True
        except UpstreamError as error:
            connection.writer.transport.abort()
            self._record_failure(connection, error)
            self.note_exceeded(address, error)
            raise
        except asyncio.TimeoutError as error:
            connection.writer.transport.abort()
            raise self._silent(connection, error) from None
        except (OSError, h11.ProtocolError) as error:
            broken = _broken(connection, f"{address}: {error}", error)
            connection.writer.transport.abort()
            self._record_failure(connection, broken)
            self.note_exceeded(address, broken)
            raise broken from None
        except BaseException:
            connection.writer.transport.abort()
            raise
        finally:
            self._waiting.discard(connection)
            if not answered:
                self._turns.wake(address)
        connection.idle_limit = _idle_limit(response)
        connection.path.answered = True
        self._connector.record_answer(connection.path)
        return HttpAnswer(
            self, address, connection, response, timeout, patience
        )

    @property
    def waiting(self):
        """Return (Path, time of the send) of requests without an answer.

        The time is the event loop's.
        """
        return [(one.path, one.sent_at) for one in self._waiting]

    def record_heard(self, path):
        """Record that something arrived on a Path."""
        self._heard_at[path.relay] = asyncio.get_running_loop().time()

    def heard_at(self, relay=None):
        """Return the event loop's time at which something last arrived.

        :param relay: incarnation of the router that relays, None for the own
            link
        """
        return self._heard_at.get(relay, 0.0)

    def note_exceeded(self, address, error):
        """Report an error if it is a BoundExceeded."""
        if self.on_exceeded is not None and isinstance(error, BoundExceeded):
            self.on_exceeded(address, error)

    def _silent(self, connection, error):
        """Return the UpstreamError of a request that was not answered."""
        address = connection.path.address
        if error.errno != errno.ETIMEDOUT:
            silent = UpstreamError(f"{address} did not answer")
            silent.path = connection.path
            return silent
        self._doubt_older()
        silent = ConnectionSilent(f"the connection to {address} went silent")
        self._record_failure(connection, silent)
        return silent

    def _record_failure(self, connection, error):
        """Record that a connection failed while a request waited on it."""
        path = error.path = connection.path
        silent = isinstance(error, ConnectionSilent)
        ended = isinstance(error, ConnectionEnded)
        if silent or ended and not path.answered:
            self._connector.record_failure(path, silent)

    def _check(self, check, address, connection):
        """Call a check; keep the connection if it raises UpstreamError."""
        try:
            check()
        except UpstreamError:
            self._keep(address, connection)
            raise

    async def request_json(self, address, method, path, value=None, **options):
        """Send JSON and return status and JSON answer."""
        body = b"" if value is None else json.dumps(value).encode()
        answer = await self.request(address, method, path, body, **options)
        return answer.status, await answer.json()

    def release(self, address, connection):
        """Keep a connection for the next request, or close it."""
        self._end_use(address, connection)
        self._turns.wake(address)

    def _end_use(self, address, connection):
        if connection.state.our_state is not h11.DONE or (
            connection.state.their_state
            not in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
        ):
            # The rest of the answer is not wanted: the upstream learns at
            # once that nobody reads it.
            connection.writer.transport.abort()
            return
        if not connection.reusable:
            connection.writer.close()
            return
        connection.state.start_next_cycle()
        self._keep(address, connection)

    def _keep(self, address, connection):
        """Keep a connection for the next request, if few are kept."""
        idle = self._idle.setdefault(address, [])
        reusable = self._connector.may_reuse(connection.path)
        # Bytes that came before any request belong to no answer.
        if connection.reader.unread:
            reusable = False
        if len(idle) >= IDLE_CONNECTIONS or not reusable:
            connection.writer.close()
            return
        connection.watch()
        now = asyncio.get_running_loop().time()
        connection.released_at = now
        connection.expires_at = now + IDLE_SHARE * connection.idle_limit
        idle.append(connection)
        self._turns.wake(address)

    def close(self):
        """Drop all kept connections."""
        for address in list(self._idle):
            self.forget(address)

    def forget(self, address):
        """Drop the kept connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.unwatch()
            connection.writer.close()

    def doubt(self, before):
        """Drop the kept connections that may have gone silent.

        :param before: the event loop's time before which they were last
            heard of
        :returns: how many were dropped
        """
        dropped = 0
        for idle in self._idle.values():
            doubted = [one for one in idle if one.released_at < before]
            dropped += len(doubted)
            _drop(idle, doubted)
        return dropped

    def drop_idle(self, choose):
        """Drop kept connections.

        :param choose: function from a Path to whether it is dropped
        """
        for idle in self._idle.values():
            _drop(idle, [one for one in idle if choose(one.path)])

    def open_paths(self, address):
        """Return the set of open Paths to an address, idle or in use."""
        return {
            path
            for path in self._paths
            if path.address == address and path.open
        }

    def may_open(self, address):
        """Return whether a connection is left besides those of requests."""
        return self._connector.may_probe(address)

    async def open_path(self, address):
        """Open a connection without a request; return its Path.

        :raises UpstreamError: as Connector.open()
        """
        path = await self._connector.open(address)
        self.opened += 1
        self._paths.add(path)
        return path

    def keep(self, path):
        """Keep a Path that was opened without a request."""
        self._paths.add(path)
        self._keep(path.address, _Connection(path))

    async def probe(self, address):
        """Open a connection to find out who listens; return a Listening.

        It is kept for the next request if it stays open.
        """
        for _attempt in range(PROBE_ATTEMPTS):
            if not self._connector.may_probe(address):
                return Listening.UNKNOWN
            try:
                connection = await self._connect(address, fresh=True)
            except ConnectionRefused:
                return Listening.REFUSES
            except UpstreamError:
                return Listening.UNKNOWN
            await asyncio.sleep(SETTLE_SECONDS)
            if not connection.reader.ended:
                self._keep(address, connection)
                return Listening.LISTENS
            connection.writer.close()
        return Listening.HANGS_UP

    def idle_count(self, address):
        """Return the number of kept connections over the own link."""
        return sum(
            one.path.relay is None and not one.reader.ended
            for one in self._idle.get(address, ())
        )

    def has_idle(self, address):
        """Return whether a kept connection to an address is open."""
        idle = self._idle.get(address, ())
        return any(not connection.reader.ended for connection in idle)

    def _doubt_older(self):
        """Drop what was last heard of before a silence that was found now."""
        if self._keepalive is not None:
            now = asyncio.get_running_loop().time()
            self.doubt(now - self._keepalive.patience)

    async def _connect(self, address, fresh=False):
        """Return a kept connection, or a new one as soon as it is allowed."""
        turn = None
        try:
            while True:
                connection = None if fresh else self._take_idle(address)
                if connection is not None:
                    return connection
                try:
                    path = await self.open_path(address)
                except NoConnectionFree:
                    if fresh:
                        raise
                    turn = turn or self._turns.enter(address)
                    await turn.wait(FREE_CHECK)
                    continue
                return _Connection(path)
        finally:
            if turn is not None:
                self._turns.leave(address, turn)

    def _take_idle(self, address):
        """Take a kept connection that may be used, or return None."""
        idle = self._idle.get(address, [])
        now = asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            connection.unwatch()
            if connection.spoiled or connection.reader.ended:
                continue
            expired = connection.expires_at <= now
            if not expired and self._connector.may_reuse(connection.path):
                return connection
            connection.writer.close()
        return None

    def _send(self, connection, address, method, path, body, headers):
        head = [("content-length", str(len(body))), *headers]
        if not any(name.lower() in ("host", b"host") for name, _ in headers):
            head.insert(0, ("host", address))
        request = h11.Request(method=method, target=path, headers=head)
        connection.request = request
        state = connection.state
        data = state.send(request)
        if body:
            data += state.send(h11.Data(data=body))
        data += state.send(h11.EndOfMessage())
        connection.sent_at = asyncio.get_running_loop().time()
        # Not drained: an upstream may answer before it has read the body.
        connection.writer.write(data)

    async def _read_head(self, connection, address, owner):
        for _stray in range(STRAY_LIMIT):
            event = await _next_final(connection)
            self.record_heard(connection.path)
            if not isinstance(event, h11.Response):
                raise ConnectionEnded(f"{address} closed the connection")
            if owner is None or _is_own(event, owner):
                return event
            await self._read_past(connection, address)
        raise UpstreamError(f"{address} answers other requests")

    async def _read_past(self, connection, address):
        """Read the rest of an answer that belongs to another request."""
        event = None
        size = 0
        while not isinstance(event, h11.EndOfMessage):
            event = await next_event(connection)
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > SURPLUS_LIMIT:
                    raise BoundExceeded("surplus answer", SURPLUS_LIMIT)
            if isinstance(event, h11.ConnectionClosed):
                raise ConnectionEnded(f"{address} closed the connection")
            if event is h11.PAUSED:
                # No more events come, also without waiting for any.
                raise UpstreamError(f"{address} switched the protocol")
        if connection.state.their_state is not h11.DONE:
            raise UpstreamError(f"{address} closed the connection")
        request = connection.request
        connection.begin(connection.state.trailing_data[0])
        connection.state.send(request)
        # The request went out long ago; only the state machine replays it.
        length = int(dict(request.headers).get(b"content-length", b"0"))
        if length:
            connection.state.send(h11.Data(data=b"\0" * length))
        connection.state.send(h11.EndOfMessage())


def _join_fields(fields):
    """Return the values of headers by name.

    Headers of one name that differ are no single value, so that nobody acts
    on one of them alone.

    :param fields: (lower-case name, value) pairs of bytes
    """
    values = {}
    for name, value in fields:
        known = values.setdefault(name.decode("latin-1"), [])
        text = value.decode("latin-1")
        if text not in known:
            known.append(text)
    return {name: ", ".join(known) for name, known in values.items()}


def _idle_limit(response):
    """Return for how many seconds a server keeps an idle connection.

    :returns: infinity if its answer does not say it in whole seconds
    """
    for name, value in response.headers:
        if name == b"keep-alive":
            found = _KEEP_ALIVE.search(value)
            return int(found[1]) if found else math.inf
    return math.inf


def _drop(idle, chosen):
    """Close some of the kept connections of an address."""
    for connection in chosen:
        idle.remove(connection)
        connection.unwatch()
        connection.writer.close()


def _broken(connection, message, cause=None):
    """Return the error of an answer that is not whole.

    An upstream that fell silent, or sent bytes that are no answer, has not
    ended the connection.

    :param cause: the exception that showed it, or None
    """
    if getattr(cause, "error_status_hint", None) == HEAD_TOO_LARGE:
        return BoundExceeded("head", HEAD_LIMIT)
    if connection.reader.ended and not isinstance(cause, TimeoutError):
        return ConnectionEnded(message)
    return UpstreamError(message)


def _is_own(response, owner):
    name, value = owner
    values = [v.decode("latin-1") for n, v in response.headers if n == name]
    return not values or values == [value]


async def _next_final(connection):
    """Return the next h11 event that is no informational answer."""
    for _answer in range(INFORMATIONAL_LIMIT + 1):
        event = await next_event(connection)
        if not isinstance(event, h11.InformationalResponse):
            return event
    raise BoundExceeded("informational answers", INFORMATIONAL_LIMIT)


async def next_event(connection):
    """Return the next h11 event of an answer."""
    while True:
        event = connection.state.next_event()
        if event is not h11.NEED_DATA:
            return event
        if connection.reader.unread:
            # Reading would not wait: an upstream that sends faster than this
            # router reads must not hold all others up.
            await asyncio.sleep(0)
        data = await connection.reader.read(READ_SIZE)
        connection.state.receive_data(data)
