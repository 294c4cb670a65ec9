"""An HTTP client with kept connections."""

import asyncio
import json

import h11

from ..errors import UpstreamError

READ_SIZE = 65536
IDLE_CONNECTIONS = 64


class _Connection:
    """One open connection and its protocol state."""

    __slots__ = ("reader", "writer", "state")

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.state = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=READ_SIZE
        )

    @property
    def reusable(self):
        state = self.state
        return (
            state.our_state is h11.DONE
            and state.their_state is h11.DONE
            and not self.reader.at_eof()
        )


class HttpAnswer:
    """An answer whose body is still to be read."""

    def __init__(self, client, address, connection, status, headers, until):
        self._client = client
        self._address = address
        self._connection = connection
        self._timeout = until
        self.status = status
        self.headers = headers

    async def pieces(self):
        """Yield the pieces of the body as they arrive.

        :raises UpstreamError: the body ended early or fell silent
        """
        try:
            while True:
                event = await asyncio.wait_for(
                    next_event(self._connection), self._timeout
                )
                if isinstance(event, h11.EndOfMessage):
                    break
                if not isinstance(event, h11.Data):
                    raise UpstreamError("the answer was cut short")
                yield bytes(event.data)
        except (OSError, h11.ProtocolError) as error:
            raise UpstreamError(f"the answer broke off: {error}") from None
        except asyncio.TimeoutError:
            raise UpstreamError("the answer fell silent") from None
        finally:
            # Only a connection whose whole answer was read is used again.
            self.close()

    async def read(self):
        """Return the whole body."""
        return b"".join([piece async for piece in self.pieces()])

    async def json(self):
        """Return the whole body as JSON."""
        try:
            return json.loads(await self.read())
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
    """

    def __init__(self, connect_timeout=1.0):
        self._connect_timeout = connect_timeout
        self._idle = {}

    async def request(
        self, address, method, path, body=b"", headers=(), timeout=30.0
    ):
        """Send a request and return its HttpAnswer once the head is here.

        :param timeout: longest silence in seconds, for head and body
        :raises UpstreamError: ``started`` says whether work may have begun
        """
        connection = await self._connect(address)
        try:
            status, head = await asyncio.wait_for(
                self._exchange(
                    connection, address, method, path, body, headers
                ),
                timeout,
            )
        except (OSError, h11.ProtocolError) as error:
            connection.writer.close()
            raise UpstreamError(f"{address}: {error}") from None
        except asyncio.TimeoutError:
            connection.writer.close()
            raise UpstreamError(f"{address} did not answer") from None
        except BaseException:
            connection.writer.close()
            raise
        return HttpAnswer(self, address, connection, status, head, timeout)

    async def request_json(self, address, method, path, value=None, **options):
        """Send JSON and return status and JSON answer."""
        body = b"" if value is None else json.dumps(value).encode()
        answer = await self.request(address, method, path, body, **options)
        return answer.status, await answer.json()

    def release(self, address, connection):
        """Keep a connection for the next request, or close it."""
        idle = self._idle.setdefault(address, [])
        if not connection.reusable or len(idle) >= IDLE_CONNECTIONS:
            connection.writer.close()
            return
        connection.state.start_next_cycle()
        idle.append(connection)

    def close(self):
        """Drop all kept connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.writer.close()
        self._idle.clear()

    async def _connect(self, address):
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if not connection.reader.at_eof():
                return connection
            connection.writer.close()
        host, _, port = address.rpartition(":")
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port)), self._connect_timeout
            )
        except (OSError, asyncio.TimeoutError):
            message = f"{address} cannot be reached"
            raise UpstreamError(message, started=False) from None
        return _Connection(reader, writer)

    async def _exchange(
        self, connection, address, method, path, body, headers
    ):
        head = [
            ("host", address),
            ("content-length", str(len(body))),
            *headers,
        ]
        state = connection.state
        request = h11.Request(method=method, target=path, headers=head)
        data = state.send(request)
        if body:
            data += state.send(h11.Data(data=body))
        data += state.send(h11.EndOfMessage())
        connection.writer.write(data)
        await connection.writer.drain()
        event = await next_event(connection)
        if not isinstance(event, h11.Response):
            raise UpstreamError(f"{address} closed the connection")
        names = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in event.headers
        }
        return event.status_code, names


async def next_event(connection):
    """Return the next h11 event of an answer."""
    while True:
        event = connection.state.next_event()
        if event is not h11.NEED_DATA:
            return event
        data = await connection.reader.read(READ_SIZE)
        connection.state.receive_data(data)
