"""A runner of the users' pages as a process, for the review's scripts.

    runner2.py PORT NAME [OPTION=VALUE ...]

It prints ``listening``, and then a line of JSON for each request that it runs.
Options: ``work`` (seconds of a plain request), ``events`` and ``pause`` (of a
stream), ``endless`` (of each 20 requests that it runs while it is in trouble,
so many get bytes that are no answer and do not end until the caller closes).
SIGUSR1 begins its trouble, SIGUSR2 ends it.  ``unframed=1``: its streams have
no length and no chunks, and end with their channel.
"""

import asyncio
import json
import signal
import sys

READ = 65536


class Runner:
    """One runner."""

    def __init__(self, name, options):
        self.name = name
        self.work = float(options.get("work", 0.05))
        self.events = int(options.get("events", 10))
        self.pause = float(options.get("pause", 0.05))
        self.endless = int(options.get("endless", 0))
        self.unframed = bool(int(options.get("unframed", 0)))
        self.in_trouble = False
        self.count = 0

    def tell(self, **row):
        """Print a line of the record."""
        print(json.dumps(row), flush=True)

    async def serve(self, reader, writer):
        """Serve one channel."""
        try:
            while True:
                line = await reader.readline()
                if not line.strip():
                    return
                method, path, _version = line.decode().split()
                headers = {}
                while True:
                    line = (await reader.readline()).decode("latin-1").rstrip()
                    if not line:
                        break
                    key, _, value = line.partition(":")
                    headers[key.lower()] = value.strip()
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size)
                await self.answer(method, path, headers, body, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, path, headers, body, writer):
        """Answer one request."""
        name = headers.get("x-rowanport-request-id", "")
        if path == "/healthz":
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Rowanport-Instance-Id: %s\r\n"
                b"Content-Length: 0\r\n\r\n" % self.name.encode()
            )
            return
        expected = headers.get("x-rowanport-expect-instance", self.name)
        if expected != self.name:
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\n"
                b"X-Rowanport-Request-Id: %s\r\nContent-Length: 0\r\n\r\n"
                % name.encode()
            )
            return
        last = headers.get("last-event-id")
        self.tell(run=name, method=method, path=path, last=last)
        head = (
            f"HTTP/1.1 200 OK\r\nX-Rowanport-Request-Id: {name}\r\n"
            f"X-Rowanport-Server-Stamp: {self.name}.{name}\r\n"
        )
        self.count += self.in_trouble
        # Spread evenly over each 20 requests.
        spread = self.count * self.endless % 20
        if self.in_trouble and spread < self.endless:
            return await self.never_end(head, name, writer)
        if "x-rowanport-token-count" in headers:
            return await self.stream(head, name, headers, writer)
        await asyncio.sleep(self.work)
        data = f"answer to {name}".encode()
        head += f"Content-Length: {len(data)}\r\n\r\n"
        writer.write(head.encode() + data)

    async def stream(self, head, name, headers, writer):
        """Answer with events, from the last one that the caller has."""
        head += "Content-Type: text/event-stream\r\n"
        if self.unframed:
            head += "Connection: close\r\n\r\n"
        else:
            head += "Transfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        first = int(headers.get("last-event-id") or 0) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.pause)
            event = f"id: {number}\ndata: {number} of a run\n\n".encode()
            if not self.unframed:
                event = b"%x\r\n%s\r\n" % (len(event), event)
            writer.write(event)
            await writer.drain()
            self.tell(made=name, event=number)
        if self.unframed:
            writer.close()
        else:
            writer.write(b"0\r\n\r\n")

    async def never_end(self, head, name, writer):
        """Send bytes that are no answer until the caller closes.

        They come one in a chunk, as from a program that writes a character at
        a time.
        """
        self.tell(endless=name)
        head += "Content-Type: text/event-stream\r\n"
        head += "Transfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        piece = b"1\r\nx\r\n" * 1000
        try:
            while True:
                writer.write(piece)
                await writer.drain()
        finally:
            self.tell(closed=name)


async def main():
    """Listen until the process is ended."""
    port, name, *options = sys.argv[1:]
    runner = Runner(name, dict(one.split("=", 1) for one in options))

    def set_trouble(value):
        runner.in_trouble = value

    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, set_trouble, True)
    loop.add_signal_handler(signal.SIGUSR2, set_trouble, False)
    server = await asyncio.start_server(
        runner.serve, "127.0.0.1", int(port), limit=READ, backlog=200
    )
    print("listening", flush=True)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
