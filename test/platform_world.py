"""Stand-ins of the platform's store and of upstreams, on loopback.

They speak the published protocol, with the faults that its pages tell.  A
gateway of the adapter runs against them in the test's own process.
"""

import asyncio
import base64
import contextlib
import json
import urllib.parse

import h11

from bench.ports import free_ports
from rowanport.gateway.settings import GatewaySettings
from rowanport.platform.__main__ import build
from rowanport.platform.settings import PlatformSettings
from rowanport.web import HttpClient
from rowanport.web import HttpServer
from rowanport.web import stream
from rowanport.web.client import next_event

HOST = "feed.example"
KEY = "key-of-org"
ORGANISATION = "org"
ID_HEADER = "x-rowanport-request-id"
READ_LIMIT = 65536
BACKLOG = 100
# More than a gateway holds back of an answer.
LARGE = bytes(range(256)) * 12000
STAMP_HEADER = "x-rowanport-server-stamp"


class StoreStandin:
    """The platform's store, in memory.

    :ivar fault: "" or what it does with each call: busy, silent, reset
    :ivar lost: transactions to come whose answers are lost
    """

    def __init__(self):
        self.items = {}
        self.gone = []
        self.revision = 1
        self.oldest = 0
        self.leases = {}
        self.fault = ""
        self.lost = 0
        self.calls = []
        self._changed = asyncio.Condition()
        self._server = HttpServer(self._handle)

    async def start(self, port):
        await self.start_at("127.0.0.1", port)

    async def start_at(self, host, port):
        await self._server.start(host, port)

    async def close(self):
        await self._server.close()

    async def put(self, key, value, lease=0):
        """Write a key, as an operator or an upstream does."""
        self.revision += 1
        data = (
            value if isinstance(value, bytes) else json.dumps(value).encode()
        )
        self.items[key] = (data, self.revision, lease)
        await self._tell()

    async def remove(self, key):
        """Remove a key."""
        self.revision += 1
        del self.items[key]
        self.gone.append((key, self.revision))
        await self._tell()

    def forget_history(self):
        """Answer older watches with 410 from now on."""
        self.revision += 1
        self.oldest = self.revision

    async def _tell(self):
        async with self._changed:
            self._changed.notify_all()

    async def _handle(self, request, responder):
        path, _, text = request.path.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        self.calls.append(path)
        if self.fault == "busy":
            return await responder.reply_json(503, {})
        if self.fault == "silent":
            await asyncio.sleep(60)
        name = path.split("/")[1].replace("-", "_")
        status, answer = await getattr(self, f"_{name}")(request, query)
        if name == "kv_txn" and self.lost:
            self.lost -= 1
            await asyncio.sleep(60)
        await responder.reply_json(status, answer)

    def _row(self, key):
        data, revision, lease = self.items[key]
        return {
            "private_key": key,
            "value": base64.b64encode(data).decode(),
            "revision": revision,
            "made": revision,
            "lease": lease,
        }

    async def _kv_key(self, request, query):
        key = query["private_key"]
        if key not in self.items:
            return 404, {"at": self.revision}
        return 200, {**self._row(key), "at": self.revision}

    async def _kv_range(self, request, query):
        rows = [
            self._row(key)
            for key in sorted(self.items)
            if key.startswith(query["path_prefix"])
        ]
        return 200, {"items": rows, "more": False, "at": self.revision}

    async def _kv_watch(self, request, query):
        after = int(query["start_after_rev"])
        prefix = query["path_prefix"]
        deadline = (
            asyncio.get_running_loop().time() + int(query["wait_ms"]) / 1000
        )
        while True:
            if after < self.oldest:
                return 410, {}
            events = self._events(prefix, after)
            left = deadline - asyncio.get_running_loop().time()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            async with self._changed:
                with contextlib.suppress(asyncio.TimeoutError):
                    async with asyncio.timeout(min(left, 0.2)):
                        await self._changed.wait()

    def _events(self, prefix, after):
        rows = [
            self._row(key)
            for key, (_data, revision, _lease) in self.items.items()
            if key.startswith(prefix) and revision > after
        ]
        rows += [
            {"private_key": key, "revision": revision, "gone": True}
            for key, revision in self.gone
            if key.startswith(prefix)
            and revision > after
            and key not in self.items
        ]
        return rows

    async def _kv_txn(self, request, query):
        body = request.json()
        expected = body["expected_rev"]
        current = {
            row["private_key"]: self.items.get(row["private_key"], (0, 0, 0))
            for row in expected
        }
        if any(
            current[row["private_key"]][1] != row["revision"]
            for row in expected
        ):
            rows = [self._row(key) for key in current if key in self.items]
            return 412, {"items": rows}
        if any(
            p["lease"] and p["lease"] not in self.leases for p in body["put"]
        ):
            return 404, {}
        self.revision += 1
        for put in body["put"]:
            data = base64.b64decode(put["value"])
            self.items[put["private_key"]] = (
                data,
                self.revision,
                put["lease"],
            )
        await self._tell()
        return 200, {"revision": self.revision}

    async def _kv_lease(self, request, query):
        lease = len(self.leases) + 1
        self.leases[lease] = request.json()["ttl_ms"]
        return 200, {"lease": lease, "ttl_ms": self.leases[lease]}

    async def _kv_keep(self, request, query):
        lease = int(request.path.split("/")[2])
        if lease not in self.leases:
            return 404, {}
        return 200, {"ttl_ms": self.leases[lease]}


class UpstreamStandin:
    """One upstream that does what its script says, request by request.

    :ivar script: names of behaviours to come; "ok" when it is used up
    :ivar heads: headers of the requests that it ran
    """

    def __init__(self, name, events=6):
        self.name = name
        self.events = events
        self.pause = 0.01
        self.script = []
        self.heads = []
        self.cut = 0
        self.connections = 0
        self.address = None
        self._server = None

    async def start(self, port):
        await self.start_at("127.0.0.1", port)

    async def start_at(self, host, port):
        self.address = f"{host}:{port}"
        self._server = await stream.listen(
            self._serve, host, port, READ_LIMIT, BACKLOG
        )

    async def close(self):
        self._server.close()

    def entry(self, service="feed", state="ready"):
        """Return its entry in the directory."""
        return {
            "service": service,
            "address": self.address,
            "zone": "hall-a",
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_left_ms": 0,
            "seq_num": 1,
        }

    async def _serve(self, reader, writer):
        self.connections += 1
        connection = h11.Connection(h11.SERVER)
        wrapped = _Wrapped(connection, reader)
        try:
            while True:
                request = await next_event(wrapped)
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
            writer.close()

    async def _answer_early(self, connection, writer, request):
        """Answer before the body is read, and read on later."""
        self.script.pop(0)
        names = {n.decode(): v.decode() for n, v in request.headers}
        self.heads.append(names)
        self._send(connection, writer, 200, self._head(names), b"early")
        await writer.drain()
        await asyncio.sleep(0.3)

    async def _answer(self, connection, writer, request, body):
        names = {n.decode(): v.decode() for n, v in request.headers}
        behaviour = self.script.pop(0) if self.script else "ok"
        await getattr(self, f"_do_{behaviour}")(
            connection, writer, names, body
        )

    def _head(self, names, **more):
        head = [
            (ID_HEADER, names.get(ID_HEADER, "")),
            (STAMP_HEADER, f"stamp-{self.name}"),
        ]
        return head + [(k.replace("_", "-"), v) for k, v in more.items()]

    async def _do_ok(self, connection, writer, names, body):
        self.heads.append(names)
        streamed = "x-rowanport-token-count" in names or "accept" in names
        if streamed:
            return await self._stream(connection, writer, names, self.events)
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

    async def _stream(self, connection, writer, names, last, torn=b""):
        head = self._head(names, content_type="text/event-stream")
        response = h11.Response(status_code=200, headers=head)
        writer.write(connection.send(response))
        first = int(names.get("last-event-id", 0)) + 1
        for number in range(first, last + 1):
            event = f"id: {number}\ndata: {names[ID_HEADER]}\n\n".encode()
            writer.write(connection.send(h11.Data(data=event)))
            await writer.drain()
            await asyncio.sleep(self.pause)
        if last == self.events:
            writer.write(connection.send(h11.EndOfMessage()))
            return
        if torn:
            writer.write(connection.send(h11.Data(data=torn)))
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.transport.abort()

    async def _do_break(self, connection, writer, names, body):
        self.heads.append(names)
        await self._stream(connection, writer, names, 3)

    async def _do_tear(self, connection, writer, names, body):
        self.heads.append(names)
        await self._stream(connection, writer, names, 3, b"id: 4\nda")

    async def _do_reset(self, connection, writer, names, body):
        self.heads.append(names)
        writer.transport.abort()

    async def _do_error(self, connection, writer, names, body):
        self.heads.append(names)
        self._send(connection, writer, 500, self._head(names), b"error")

    async def _do_full(self, connection, writer, names, body):
        head = self._head(names, x_rowanport_not_executed="1")
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
        self.heads.append(names)
        self._send(connection, writer, 200, self._head(names), LARGE)

    async def _do_unsigned(self, connection, writer, names, body):
        self.heads.append(names)
        head = [(ID_HEADER, names[ID_HEADER])]
        self._send(connection, writer, 200, head, b"unsigned")

    async def _do_short(self, connection, writer, names, body):
        self.heads.append(names)
        head = [*self._head(names), ("content-length", "100")]
        response = h11.Response(status_code=200, headers=head)
        writer.write(connection.send(response))
        writer.write(connection.send(h11.Data(data=b"too short")))
        await writer.drain()
        writer.close()

    async def _do_hang(self, connection, writer, names, body):
        self.heads.append(names)
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            self.cut += 1
            raise


class _Wrapped:
    """What next_event needs of a connection."""

    def __init__(self, state, reader):
        self.state = state
        self.reader = reader


def route(prefix, kind, **more):
    """Return a route of a configuration."""
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 2000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": "feed",
        "max_attempts": 2,
        "public": False,
        **more,
    }


def config(version=1, prepaid=100000, **more):
    """Return a configuration as an operator writes it."""
    return {
        "version": version,
        "routes": [
            route("/safe/", "idempotent"),
            route("/once/", "non_idempotent", max_attempts=1),
            route("/stream/", "streaming", stream_resume=True),
            route("/plainstream/", "streaming", max_attempts=1),
            route("/short/", "non_idempotent", timeout_ms=300),
            route("/open/", "idempotent", public=True),
        ],
        "services": [
            {
                "name": "feed",
                "health_path": "/healthz",
                "max_connections": 100,
                "engine": {"stride": 3},
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 100000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {"name": ORGANISATION, "api_keys": [KEY], "prepaid": prepaid}
        ],
        **more,
    }


class Platform:
    """A store, two upstreams and a gateway, started together."""

    def __init__(self):
        self.store = StoreStandin()
        self.upstreams = [UpstreamStandin("one"), UpstreamStandin("two")]
        self.gateway = None
        self.client = HttpClient()

    async def __aenter__(self):
        ports = free_ports(6)
        await self.store.start(ports[0])
        for upstream, port in zip(self.upstreams, ports[1:3]):
            await upstream.start(port)
            await self.store.put(f"servers/{upstream.name}", upstream.entry())
        await self.store.put("op/config", config())
        self.callers, self.health, self.peers = [
            f"127.0.0.1:{port}" for port in ports[3:]
        ]
        self.gateway = build(self.settings(ports[0]))
        await self.gateway.start()
        await self.wait(lambda: self.gateway.ready)
        await self.wait(lambda: self.gateway.budgets.accounts["org"].inflow)
        return self

    async def __aexit__(self, *_exc):
        self.client.close()
        await self.gateway.close()
        await self.store.close()
        for upstream in self.upstreams:
            await upstream.close()

    def settings(self, store_port):
        gateway = GatewaySettings(
            name="front-1",
            data_centre="hall-a",
            region="north",
            callers=self.callers,
            health=self.health,
            peers=self.peers,
            seeds=[],
            secret="a secret of the tests",
            stop_grace=4.0,
            retry_ratio=0.2,
            retry_slack=50,
            retry_window=10,
        )
        return PlatformSettings(gateway, f"127.0.0.1:{store_port}")

    async def wait(self, condition, seconds=8.0):
        """Wait until something holds."""
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.01)

    async def ask(
        self,
        path,
        request_id="r1",
        method="POST",
        body=b"question",
        **headers,
    ):
        """Send a request as a caller does; return its HttpAnswer."""
        fields = {
            "host": HOST,
            ID_HEADER: request_id,
            "x-rowanport-deadline-ms": "5000",
            "api-key": KEY,
        }
        for name, value in headers.items():
            fields[name.replace("_", "-")] = value
        items = [(k, v) for k, v in fields.items() if v is not None]
        return await self.client.request(
            self.callers, method, path, body, items
        )

    async def stream(self, path, request_id="r1", tokens="100,30"):
        """Ask for a stream; return the answer."""
        return await self.ask(
            path,
            request_id,
            x_rowanport_token_count=tokens,
            x_rowanport_prompt_prefix="aa:60,bb:40",
            x_rowanport_model="m",
        )

    @property
    def reach(self):
        """Return the gateway's Reach of the store."""
        return self.gateway._sources[0]._store.reach

    @property
    def runs(self):
        """Return the headers of all requests that upstreams ran."""
        return [head for upstream in self.upstreams for head in upstream.heads]
