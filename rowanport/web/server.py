"""An HTTP server: bounded heads and bodies, one request at a time."""

import asyncio
import json

import h11
import structlog

from . import stream
from ..errors import ErrorKind
from ..errors import RequestError
from ..json_values import load_json
from .closing import Closing
from .connection import Connection

LOG = structlog.get_logger(__name__)

READ_SIZE = 65536
# Seconds after which a caller that takes nothing of what waits for it is
# dropped: callers give a stream up that is silent for 2 s.
STALL_SECONDS = 5.0
# Bytes of a header at least beside its name and value: colon and line end.
HEADER_LEAST = 3
# Connections that wait to be accepted: a burst of callers in one round trip.
BACKLOG = 1024
# Seconds between two looks at whether all is answered.
FINISH_POLL = 0.01


class HttpRequest:
    """A request that has wholly arrived.

    :ivar headers: values by lower-case name, the last of each name
    :ivar fields: (name, value) pairs of bytes, all of them in their order
    """

    __slots__ = ("method", "path", "headers", "fields", "body")

    def __init__(self, method, path, headers, body, fields=()):
        self.method = method
        self.path = path
        self.headers = headers
        self.fields = fields
        self.body = body

    def header(self, name, default=""):
        """Return a header by its lower-case name."""
        return self.headers.get(name, default)

    def json(self):
        """Return the body as JSON; raise RequestError if it is not."""
        try:
            return load_json(self.body or b"{}")
        except ValueError:
            raise RequestError(
                ErrorKind.MALFORMED, "the body is not JSON"
            ) from None


class HttpLimits:
    """What a server accepts.

    :ivar head: largest head in bytes
    :ivar body: largest body in bytes
    :ivar head_timeout: longest wait for a head in seconds
    :ivar body_timeout: longest wait for a body in seconds
    :ivar connections: most open connections
    :ivar idle_timeout: longest wait for the first byte of a request in
        seconds; None for the time of a head
    """

    __slots__ = (
        "head",
        "body",
        "head_timeout",
        "body_timeout",
        "connections",
        "idle_timeout",
    )

    def __init__(
        self,
        head=16384,
        body=1048576,
        head_timeout=30.0,
        body_timeout=30.0,
        connections=4096,
        idle_timeout=None,
    ):
        self.head = head
        self.body = body
        self.head_timeout = head_timeout
        self.body_timeout = body_timeout
        self.connections = connections
        self.idle_timeout = idle_timeout


class Responder:
    """Sends the answer to one request, whole or piece by piece.

    :ivar dropped: whether the server itself gives the request up
    :ivar sent: bytes sent so far
    :ivar first: whether the request is the first on its connection
    """

    def __init__(self, connection, writer, server, first=False):
        self._connection = connection
        self._writer = writer
        self._server = server
        self.dropped = False
        self.started = False
        self.finished = False
        self.closing = False
        self.sent = 0
        self.first = first

    async def start(self, status, headers):
        """Send the head; without content-length the body is chunked."""
        self.started = True
        headers = list(headers)
        if self.closing or self._server.draining:
            headers.append(("connection", "close"))
        event = h11.Response(status_code=status, headers=headers)
        data = self._connection.send(event)
        if _shows_no_end(self._connection):
            # Also the end of this process must not look like the answer's.
            stream.reset_at_close(self._writer)
        await self._write(data)

    async def write(self, data):
        """Send a piece of the body."""
        await self._send(h11.Data(data=data))

    async def finish(self):
        """End the body."""
        self.finished = True
        await self._send(h11.EndOfMessage())

    async def reply(self, status, body=b"", headers=(), kind="text/plain"):
        """Send a whole answer."""
        head = [
            ("content-type", kind),
            ("content-length", str(len(body))),
            *headers,
        ]
        await self.start(status, head)
        if body:
            await self.write(body)
        await self.finish()

    async def reply_json(self, status, value, headers=()):
        """Send a whole answer as JSON."""
        body = json.dumps(value).encode()
        await self.reply(status, body, headers, "application/json")

    async def _send(self, event):
        await self._write(self._connection.send(event))

    async def _write(self, data):
        if data:
            self.sent += len(data)
            self._writer.write(data)
            await self._drain()

    async def _drain(self):
        """Wait until little enough waits for the caller.

        Meanwhile no more of the answer is read from the upstream.

        :raises ConnectionResetError: the caller took nothing for too long
        """
        transport = self._writer.transport
        size = transport.get_write_buffer_size()
        if not size:
            return await self._writer.drain()
        while True:
            try:
                async with asyncio.timeout(STALL_SECONDS):
                    return await self._writer.drain()
            except asyncio.TimeoutError:
                left = transport.get_write_buffer_size()
                if left >= size:
                    break
                size = left
        self._server.drop_stalled(self._writer, size)
        # The handler is cancelled meanwhile, as after any loss of a caller.
        await asyncio.sleep(0)
        raise ConnectionResetError("the caller takes nothing")


class HttpServer:
    """Serves requests with a handler.

    :param handler: coroutine function of HttpRequest and Responder
    :param refuse: coroutine function of Responder and RequestError, for
        requests that never reach the handler
    :param limits: an HttpLimits
    :ivar admits: function that is called for each new connection, which is
        closed unread unless it returns true; None for all
    :ivar on_stalled: function that is called for each caller that was dropped
        as it took nothing, or None
    """

    def __init__(self, handler, refuse=None, limits=None):
        self._handler = handler
        self._refuse = refuse or refuse_plainly
        self._limits = limits or HttpLimits()
        self._server = None
        # By the task that serves it.
        self._connections = {}
        self._full = False
        self._stopping = False
        self._address = None
        self._paused = False
        self._resuming = False
        self.draining = False
        self.admits = None
        self.on_stalled = None

    @property
    def busy(self):
        """Number of connections in use.

        On each a request came, in part or whole, or the end of an answer is
        still on its way.
        """
        return sum(item.in_use for item in self._connections.values())

    @property
    def sending(self):
        """Number of connections in use only by the end of an answer."""
        return sum(item.sending for item in self._connections.values())

    @property
    def paused(self):
        """Return whether no connections are accepted for the moment."""
        return self._paused

    async def start(self, address, port):
        """Listen on an address."""
        self._server = await stream.listen(
            self._accept, address, port, READ_SIZE, BACKLOG
        )
        self._address = (address, port or self._chosen_port)

    @property
    def _chosen_port(self):
        return self._server.sockets[0].getsockname()[1]

    def pause(self):
        """Refuse new connections until resume(); the open ones go on."""
        if self._stopping or self._paused or self._server is None:
            return
        self._paused = True
        self._server.close()

    async def resume(self):
        """Accept connections again on the same address.

        :raises OSError: that failed; it may be tried again
        """
        if not self._paused or self._resuming:
            return
        self._resuming = True
        try:
            server = await stream.listen(
                self._accept, *self._address, READ_SIZE, BACKLOG
            )
        finally:
            self._resuming = False
        self._paused = False
        if self._stopping:
            server.close()
            return
        self._server = server

    def drain(self):
        """Say in each answer from now on that its connection closes."""
        self.draining = True

    async def finish(self, seconds, answer_seconds=0.0):
        """Stop accepting, and wait for what is in hand.

        :param seconds: longest wait
        :param answer_seconds: longest wait for answers that only have to go
            out, if it is longer
        """
        await self.stop_accepting()
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        answers_until = loop.time() + answer_seconds
        while self.busy:
            now = loop.time()
            if now >= until and (now >= answers_until or not self.sending):
                LOG.info(
                    "requests_unfinished", busy=self.busy, sending=self.sending
                )
                return
            await asyncio.sleep(FINISH_POLL)

    async def stop_accepting(self):
        """Close the listening socket and all idle connections."""
        self._stopping = True
        self._paused = False
        self._server.close()
        self.close_idle()

    def close_idle(self):
        """Close the connections on which nothing of a request has come."""
        for connection in list(self._connections.values()):
            connection.end_idle()

    async def close(self):
        """Drop everything at once."""
        self._note_dropped()
        await self.stop_accepting()
        for task, connection in list(self._connections.items()):
            if connection.responder is not None:
                connection.responder.dropped = True
            task.cancel()

    def drop_stalled(self, writer, unsent):
        """Drop a connection whose caller takes nothing."""
        host, port, *_ = writer.get_extra_info("peername") or ("", 0)
        stream.reset(writer)
        LOG.info("caller_stalled", address=f"{host}:{port}", unsent=unsent)
        if self.on_stalled is not None:
            self.on_stalled()

    def _note_dropped(self):
        """Log what is lost by dropping everything, if anything is."""
        connections = self._connections.values()
        unsent = sum(connection.unsent for connection in connections)
        if self.busy or unsent:
            LOG.warning(
                "connections_dropped",
                busy=self.busy,
                serving=sum(c.responder is not None for c in connections),
                unsent=unsent,
            )

    def _has_room(self):
        """Return whether one more connection may be open, and note changes."""
        count = len(self._connections)
        full = count >= self._limits.connections
        if full and not self._full:
            LOG.warning("connections_full", connections=count)
        self._full = full
        return not full

    async def _accept(self, reader, writer):
        if not self._has_room():
            writer.close()
            return
        if self.admits is not None and not self.admits():
            writer.transport.abort()
            return
        task = asyncio.current_task()
        connection = Connection(reader, writer, self._limits.head)
        self._connections[task] = connection
        try:
            await self._serve(connection)
            if _shows_no_end(connection.state):
                stream.reset(writer)
                return
            connection.closing = Closing(reader, writer)
            await connection.closing.run()
            if connection.closing.stalled:
                self.drop_stalled(writer, connection.unsent)
        except h11.LocalProtocolError as error:
            LOG.warning("answer_broken", error=repr(error))
        except (OSError, h11.ProtocolError) as error:
            LOG.debug("connection_lost", error=repr(error))
        except asyncio.CancelledError:
            self._note_cancelled(task, reader)
        finally:
            del self._connections[task]
            writer.close()

    def _note_cancelled(self, task, reader):
        """Log why a request was given up, unless close() has done so."""
        if task.cancelling():
            return
        if reader.ended:
            LOG.debug("caller_left")
        else:
            LOG.warning("request_cancelled")

    async def _serve(self, connection):
        """Serve requests, until no more are to come on the connection."""
        state = connection.state
        first = True
        while not self._stopping:
            responder = Responder(state, connection.writer, self, first)
            first = False
            try:
                request = await self._read_request(connection)
                if request is None:
                    return
                connection.responder = responder
                await self._run_handler(request, responder, connection.reader)
            except RequestError as error:
                if state.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                    await self._refuse(responder, error)
            except h11.RemoteProtocolError as error:
                if state.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                    await self._refuse(responder, _protocol_error(error))
            connection.responder = None
            if state.our_state is not h11.DONE:
                return
            if state.their_state is not h11.DONE:
                return
            state.start_next_cycle()

    async def _run_handler(self, request, responder, reader):
        """Run the handler, and cancel it when the caller goes away."""
        handler = asyncio.ensure_future(self._handler(request, responder))
        reader.on_end = handler.cancel
        if reader.ended:
            handler.cancel()
        try:
            await handler
        finally:
            reader.on_end = None
            handler.cancel()

    async def _read_request(self, connection):
        """Return the next request, or None at the end of the stream."""
        if not await self._wait_first_byte(connection):
            return None
        state, reader = connection.state, connection.reader
        try:
            async with asyncio.timeout(self._limits.head_timeout):
                head = await self._next_event(state, reader)
        except asyncio.TimeoutError:
            raise RequestError(
                ErrorKind.TOO_SLOW, "the request head took too long"
            ) from None
        if not isinstance(head, h11.Request):
            return None
        self._check_head(head)
        headers = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in head.headers
        }
        if state.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            connection.writer.write(state.send(go_on))
        try:
            async with asyncio.timeout(self._limits.body_timeout):
                body = await self._read_body(state, reader, headers)
        except asyncio.TimeoutError:
            raise RequestError(
                ErrorKind.TOO_SLOW, "the request body took too long"
            ) from None
        return HttpRequest(
            head.method.decode(),
            head.target.decode(),
            headers,
            body,
            head.headers.raw_items(),
        )

    def _check_head(self, head):
        """Raise unless a head is within its limit.

        The parser bounds only heads that arrive in pieces.
        """
        size = len(head.method) + len(head.target)
        size += sum(len(n) + len(v) + HEADER_LEAST for n, v in head.headers)
        if size > self._limits.head:
            raise RequestError(ErrorKind.TOO_LARGE, "the head is too large")

    async def _wait_first_byte(self, connection):
        """Return whether a request begins before the connection is idle."""
        state, reader = connection.state, connection.reader
        if state.trailing_data[0]:
            return True
        idle = self._limits.idle_timeout or self._limits.head_timeout
        try:
            async with asyncio.timeout(idle) as limit:
                connection.idle_limit = limit
                data = await reader.read(READ_SIZE)
        except asyncio.TimeoutError:
            if not reader.unread:
                return False
            # It came at the last moment.
            data = await reader.read(READ_SIZE)
        finally:
            connection.idle_limit = None
        state.receive_data(data)
        return bool(data)

    async def _read_body(self, connection, reader, headers):
        limit = self._limits.body
        if int(headers.get("content-length", 0)) > limit:
            raise RequestError(
                ErrorKind.TOO_LARGE, f"the body is over {limit} bytes"
            )
        pieces = []
        size = 0
        while True:
            event = await self._next_event(connection, reader)
            if isinstance(event, h11.EndOfMessage):
                return b"".join(pieces)
            if not isinstance(event, h11.Data):
                raise RequestError(ErrorKind.MALFORMED, "truncated body")
            size += len(event.data)
            if size > limit:
                raise RequestError(
                    ErrorKind.TOO_LARGE, f"the body is over {limit} bytes"
                )
            pieces.append(bytes(event.data))

    async def _next_event(self, connection, reader):
        while True:
            event = connection.next_event()
            if event is not h11.NEED_DATA:
                return event
            connection.receive_data(await reader.read(READ_SIZE))


async def refuse_plainly(responder, error):
    """Answer a bad request on ports that are not for callers."""
    status = 413 if error.kind is ErrorKind.TOO_LARGE else 400
    body = {"error": error.detail}
    await responder.reply_json(status, body, [("connection", "close")])


def _shows_no_end(state):
    """Return whether a broken-off answer would look complete to its caller.

    Callers of HTTP/1.0 get no chunks: only the end of the connection tells
    them that an answer without a length is complete.
    """
    if state.our_state is not h11.SEND_BODY:
        return False
    return (state.their_http_version or b"1.1") < b"1.1"


def _protocol_error(error):
    if error.error_status_hint == 431:
        return RequestError(ErrorKind.TOO_LARGE, "the head is too large")
    return RequestError(ErrorKind.MALFORMED, "not an HTTP/1.1 request")
