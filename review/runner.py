"""Stand-in of a runner: one process, told what to do by each request's path.

Arguments: its id, IP, port, the file to which it writes what it runs, and
which of its streams are no streams but line ends without an end: each Nth, 0
for none.

A path's query may hold ``ms`` (milliseconds of work), ``body`` (bytes of the
answer), ``halves`` (milliseconds between the two halves of an answer) and
``plain`` (1: the answer has no length and finishes with its channel, as
PROTOCOL.md allows).  A request with a token count is answered by a stream of
``events`` events, one in each ``gap`` milliseconds.
"""

import asyncio
import json
import sys
import time
import urllib.parse

ID = "x-rowanport-request-id"


class Runner:
    """Serves requests until its process ends."""

    def __init__(self, name, record, spoil):
        self.name = name
        self._record = record
        self._spoil = spoil
        self._streams = 0

    def _write(self, what, **fields):
        row = {"at": time.time(), "what": what, "runner": self.name, **fields}
        self._record.write(json.dumps(row) + "\n")
        self._record.flush()

    async def serve(self, reader, writer):
        """Serve the requests of one channel."""
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        method, target, _version = first.split(" ")
        fields = {}
        for line in lines:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        await reader.readexactly(int(fields.get("content-length", 0)))
        path, _, query = target.partition("?")
        wish = dict(urllib.parse.parse_qsl(query))
        if path == "/healthz":
            self._send(writer, 200, [f"X-Rowanport-Instance-Id: {self.name}"])
            return True
        expected = fields.get("x-rowanport-expect-instance", self.name)
        if expected != self.name:
            self._send(writer, 421, [f"X-Rowanport-Instance-Id: {self.name}"])
            return True
        own = [
            f"X-Rowanport-Request-Id: {fields.get(ID, '')}",
            f"X-Rowanport-Server-Stamp: stamp-{self.name}",
        ]
        self._write("runs", id=fields.get(ID), method=method, target=target)
        if "x-rowanport-token-count" in fields:
            await self._stream(writer, own, fields, wish)
        else:
            await self._answer(writer, own, wish)
        self._write("has run", id=fields.get(ID))
        return "plain" not in wish

    def _send(self, writer, status, fields, body=b""):
        lines = [f"HTTP/1.1 {status} X", *fields]
        lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)

    async def _answer(self, writer, own, wish):
        await asyncio.sleep(int(wish.get("ms", 0)) / 1000)
        size = int(wish.get("body", 800))
        body = (b"0123456789" * (size // 10 + 1))[:size]
        length = "Connection: close"
        if "plain" not in wish:
            length = f"Content-Length: {size}"
        lines = ["HTTP/1.1 200 OK", *own, length, "", ""]
        writer.write("\r\n".join(lines).encode() + body[: size // 2])
        if "halves" in wish:
            await asyncio.sleep(int(wish["halves"]) / 1000)
        writer.write(body[size // 2 :])
        await writer.drain()

    @staticmethod
    def _bytes(data, plain):
        """Return a piece of a body as it is sent."""
        return data if plain else b"%x\r\n%s\r\n" % (len(data), data)

    async def _stream(self, writer, own, fields, wish):
        plain = "plain" in wish
        length = "Connection: close" if plain else "Transfer-Encoding: chunked"
        kind = "Content-Type: text/event-stream"
        lines = ["HTTP/1.1 200 OK", *own, kind, length, "", ""]
        writer.write("\r\n".join(lines).encode())
        self._streams += 1
        if self._spoil and self._streams % self._spoil == 0:
            self._write("spoils", id=fields.get(ID))
            while True:
                writer.write(self._bytes(b"\n" * 65536, plain))
                await writer.drain()
        first = int(fields.get("last-event-id") or 0) + 1
        for number in range(first, int(wish.get("events", 10)) + 1):
            await asyncio.sleep(int(wish.get("gap", 50)) / 1000)
            event = f"id: {number}\ndata: {fields.get(ID)}\n\n".encode()
            writer.write(self._bytes(event, plain))
            await writer.drain()
        if not plain:
            writer.write(b"0\r\n\r\n")


async def main(name, ip, port, path, spoil="0"):
    with open(path, "a", encoding="utf-8") as record:
        runner = Runner(name, record, int(spoil))
        server = await asyncio.start_server(
            runner.serve, ip, int(port), backlog=512
        )
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
