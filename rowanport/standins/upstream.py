"""Stand-in of an upstream on the users' platform, with its faults."""

import asyncio

import h11

from ..web import stream
from ..web.client import next_event

ID_HEADER = "x-rowanport-request-id"
READ_LIMIT = 65536
BACKLOG = 100
STAMP_HEADER = "x-rowanport-server-stamp"
LIMIT_HEADER = "server-limit"
LEAVING_HEADER = "server-leaving"
RETRY_AFTER_HEADER = "retry-after"
INSTANCE_HEADER = "x-rowanport-instance-id"
HEALTH_PATH = b"/healthz"
# More than a gateway holds back of an answer.
LARGE = bytes(range(256)) * 12000


class UpstreamStandin:
    """One upstream that does what its script says, request by request.

    :param version: version of its software, by which its events can be told
        from those of others; "" for one that writes no version
    :ivar script: names of behaviours to come; "ok" when it is used up
    :ivar heads: headers of the requests that it ran
    :ivar limit: text of the rate limit that its answers name, None for none
    :ivar leaving_text: text by which all its answers say that it leaves, None
        for none
    :ivar backoff_text: text of the seconds for which it wants no requests
        as it refuses one, None for none
    :ivar idle_seconds: whole seconds after which it closes idle connections,
        as its answers say, None for never
    :ivar lethal: bodies of the requests that crash it as they begin to run
    :ivar on_crash: function that is told of each crash, or None
    """

    def __init__(self, name, events=6, version=""):
        self.name = name
        self.version = version
        self.events = events
        self.pause = 0.01
        self.script = []
        self.limit = None
        self.leaving_text = None
        self.backoff_text = None
        self.idle_seconds = None
        self.lethal = frozenset()
        self.on_crash = None
        self.heads = []
        self.cut = 0
        self.connections = 0
        self.address = None
        self._server = None
        self._writers = set()

    async def start(self, port):
        await self.start_at("127.0.0.1", port)

    async def start_at(self, host, port):
        self.address = f"{host}:{port}"
        self._server = await stream.listen(
            self._serve, host, port, READ_LIMIT, BACKLOG
        )

    async def close(self):
        self._server.close()

    def crash(self):
        """Drop all connections at once, and take no new ones."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        if self.on_crash is not None:
            self.on_crash(self)

    def entry(self, service="feed", state="ready"):
        """Return its entry in the directory."""
        return {
            "service": service,
            "address": self.address,
            "zone": "hall-a",
            "version": self.version or "v1",
            "slots": 8,
            "state": state,
            "cold_left_ms": 0,
            "seq_num": 1,
        }

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.add(writer)
        connection = h11.Connection(h11.SERVER)
        wrapped = _Wrapped(connection, reader)
        try:
            while True:
                request = await self._next_request(wrapped)
                if not isinstance(request, h11.Request):
                    return
                early = self.script[:1] == ["early"]
                if early:
                    await self._answer_early(connection, writer, request)
                body = b""
                event = await next_event(wrapped)
                while isinstance(event, h11.Data):
                    body += bytes(event.data)
                    event = await next_event(wrapped)
                if not early:
                    await self._answer(connection, writer, request, body)
                await writer.drain()
                if connection.our_state is not h11.DONE:
                    return
                connection.start_next_cycle()
        except (OSError, h11.ProtocolError):
            self.cut += 1
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _next_request(self, wrapped):
        """Return the next request; None if none comes in time."""
        try:
            async with asyncio.timeout(self.idle_seconds):
                return await next_event(wrapped)
        except asyncio.TimeoutError:
            return None

    async def _answer_early(self, connection, writer, request):
        """Answer before the body is read, and read on later."""
        self.script.pop(0)
        names = {n.decode(): v.decode() for n, v in request.headers}
        self._note_run(connection, names)
        self._send(connection, writer, 200, self._head(names), b"early")
        await writer.drain()
        await asyncio.sleep(0.3)

    async def _answer(self, connection, writer, request, body):
        if is_health_check(request):
            self._answer_health(connection, writer)
            return
        names = {n.decode(): v.decode() for n, v in request.headers}
        behaviour = self._next_behaviour(names)
        if body in self.lethal:
            behaviour = "crash"
        await getattr(self, f"_do_{behaviour}")(
            connection, writer, names, body
        )

    def _answer_health(self, connection, writer, status=200):
        head = [(INSTANCE_HEADER, self.name)]
        if self.leaving_text is not None:
            head.append((LEAVING_HEADER, self.leaving_text))
        self._send(connection, writer, status, head, b"")

    # What a stand-in that keeps a record overrides

    def _next_behaviour(self, names):
        """Return the name of what to do with a request."""
        return self.script.pop(0) if self.script else "ok"

    def _note_run(self, connection, names):
        """Note that a request begins to run."""
        self.heads.append(names)

    def _note_event(self, connection, number):
        """Note that an event is about to be handed out."""

    def _last_event(self, names):
        """Return the number of the last event of a request's stream."""
        return self.events

    async def _rest(self, connection, writer):
        """Wait between two events of a stream."""
        await asyncio.sleep(self.pause)

    # Behaviours

    def _head(self, names, **more):
        head = [
            (ID_HEADER, names.get(ID_HEADER, "")),
            (STAMP_HEADER, f"stamp-{self.name}"),
        ]
        if self.limit is not None:
            head.append((LIMIT_HEADER, self.limit))
        if self.idle_seconds is not None:
            head.append(("keep-alive", f"timeout={self.idle_seconds}"))
        if self.leaving_text is not None:
            head.append((LEAVING_HEADER, self.leaving_text))
        return head + [(k.replace("_", "-"), v) for k, v in more.items()]

    async def _do_ok(self, connection, writer, names, body):
        self._note_run(connection, names)
        streamed = "x-rowanport-token-count" in names or "accept" in names
        if streamed:
            last = self._last_event(names)
            return await self._stream(connection, writer, names, last)
        data = b"body of " + names[ID_HEADER].encode() + b" " + body
        self._send(connection, writer, 200, self._head(names), data)

    def _send(self, connection, writer, status, head, data):
        head = [*head, ("content-length", str(len(data)))]
        for event in (
            h11.Response(status_code=status, headers=head),
            h11.Data(data=data),
            h11.EndOfMessage(),
        ):
            writer.write(connection.send(event))

    def _event(self, names, number):
        """Return the bytes of an event of a request's stream."""
        data = f"{names[ID_HEADER]} {self.version}".rstrip()
        return f"id: {number}\ndata: {data}\n\n".encode()

    def _begin_stream(self, connection, writer, names):
        """Send the head of a stream; return its first event's number."""
        head = self._head(names, content_type="text/event-stream")
        response = h11.Response(status_code=200, headers=head)
        writer.write(connection.send(response))
        return int(names.get("last-event-id", 0)) + 1

    async def _send_events(self, connection, writer, names, numbers):
        for number in numbers:
            self._note_event(connection, number)
            event = self._event(names, number)
            writer.write(connection.send(h11.Data(data=event)))
            await writer.drain()
            await self._rest(connection, writer)

    async def _stream(self, connection, writer, names, last, torn=b""):
        first = self._begin_stream(connection, writer, names)
        numbers = range(first, last + 1)
        await self._send_events(connection, writer, names, numbers)
        if last == self._last_event(names):
            writer.write(connection.send(h11.EndOfMessage()))
            return
        if torn:
            writer.write(connection.send(h11.Data(data=torn)))
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.transport.abort()

    async def _do_break(self, connection, writer, names, body):
        self._note_run(connection, names)
        last = min(3, self._last_event(names))
        await self._stream(connection, writer, names, last)

    async def _do_tear(self, connection, writer, names, body):
        self._note_run(connection, names)
        last = min(3, self._last_event(names))
        torn = f"id: {last + 1}\nda".encode()
        await self._stream(connection, writer, names, last, torn)

    async def _do_reset(self, connection, writer, names, body):
        self._note_run(connection, names)
        writer.transport.abort()

    async def _do_crash(self, connection, writer, names, body):
        self._note_run(connection, names)
        await asyncio.sleep(self.pause)
        self.crash()

    async def _do_error(self, connection, writer, names, body):
        self._note_run(connection, names)
        self._send(connection, writer, 500, self._head(names), b"error")

    async def _do_full(self, connection, writer, names, body):
        head = self._head(names, x_rowanport_not_executed="1")
        if self.backoff_text is not None:
            head.append((RETRY_AFTER_HEADER, self.backoff_text))
        self._send(connection, writer, 503, head, b"")

    async def _do_misdirect(self, connection, writer, names, body):
        head = [("x-rowanport-instance-id", "another")]
        self._send(connection, writer, 421, head, b"")

    async def _do_stray(self, connection, writer, names, body):
        """Answer an earlier request first, then this one."""
        other = {**names, ID_HEADER: "another-request"}
        extra = h11.Connection(h11.SERVER)
        extra.receive_data(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        extra.next_event()
        self._send(extra, writer, 200, self._head(other), b"not yours")
        await self._do_ok(connection, writer, names, body)

    async def _do_surplus(self, connection, writer, names, body):
        """Answer, and send more bytes behind the answer."""
        await self._do_ok(connection, writer, names, body)
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmore")

    async def _do_large(self, connection, writer, names, body):
        self._note_run(connection, names)
        self._send(connection, writer, 200, self._head(names), LARGE)

    async def _do_unsigned(self, connection, writer, names, body):
        self._note_run(connection, names)
        head = [(ID_HEADER, names[ID_HEADER])]
        self._send(connection, writer, 200, head, b"unsigned")

    async def _do_short(self, connection, writer, names, body):
        self._note_run(connection, names)
        head = [*self._head(names), ("content-length", "100")]
        response = h11.Response(status_code=200, headers=head)
        writer.write(connection.send(response))
        writer.write(connection.send(h11.Data(data=b"too short")))
        await writer.drain()
        writer.close()

    async def _do_hang(self, connection, writer, names, body):
        self._note_run(connection, names)
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            self.cut += 1
            raise


def is_health_check(request):
    """Return whether an h11.Request is a health check."""
    return request.method == b"GET" and request.target == HEALTH_PATH


class _Wrapped:
    """What next_event needs of a connection."""

    def __init__(self, state, reader):
        self.state = state
        self.reader = reader
