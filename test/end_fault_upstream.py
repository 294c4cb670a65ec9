"""An upstream for the tests of ends of answers that are noticed late.

Arguments: its id, its port, and how it answers health checks: ``named``,
``unnamed`` or ``silent``.  Each answer ends with its connection; the last part
of a path says how it comes:

- ``bulk``: whole events, as many as the kernels take; then nothing;
- ``torn``: events and one half of another one; then nothing;
- ``half``: events or half a body; then nothing;
- ``paced``: events at PACE bytes a second, as over a slow link, all of them
  handed to the kernel at once; then nothing;
- ``last``: one half, the other ones of all such answers at once a second after
  the first, and then the process ends;
- anything else: at once, and whole.

With ``?limited`` behind it, the answer names a rate limit.  It writes a line
once it has handed what it sends to the kernel.
"""

import asyncio
import os
import socket
import sys

HOST = "127.0.0.1"
ID_HEADER = "x-rowanport-request-id"
EVENT_SIZE = 16384
MOST_EVENTS = 4000
PACE = 200_000
PACED_EVENTS = 60
# socket.SO_MAX_PACING_RATE of Linux.
MAX_PACING_RATE = 47
# Seconds without progress after which the kernels are full.
FULL_SECONDS = 0.3
LAST_SECONDS = 1.0
BODY = bytes(range(256)) * 200


def event(number, size=EVENT_SIZE):
    """Return an event of a size."""
    start = f"id: {number}\ndata: ".encode()
    return start + b"x" * (size - len(start) - 2) + b"\n\n"


class Upstream:
    """Answers requests as their paths say."""

    def __init__(self, name, health):
        self._name = name
        self._health = health
        # When the last answers end, all at once.
        self._last_at = None
        self._last = 0
        self.server = None

    async def serve(self, reader, writer):
        """Serve the one request of a connection."""
        try:
            await self._serve(reader, writer)
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def _serve(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().lower().split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines)
        await reader.readexactly(int(fields.get("content-length", 0)))
        path = first.split(" ")[1]
        writer.transport.set_write_buffer_limits(high=0)
        if path == "/healthz":
            if self._health == "silent":
                await asyncio.Event().wait()
            rows = ["HTTP/1.1 200 OK", "content-length: 0"]
            if self._health == "named":
                rows.append(f"x-rowanport-instance-id: {self._name}")
            writer.write("\r\n".join([*rows, "", ""]).encode())
            await writer.drain()
            return
        manner, _, query = path.rpartition("/")[2].partition("?")
        streamed = "x-rowanport-token-count" in fields
        rows = [
            "HTTP/1.1 200 OK",
            f"{ID_HEADER}: {fields[ID_HEADER]}",
            f"x-rowanport-server-stamp: stamp-{self._name}",
            "connection: close",
        ]
        if query == "limited":
            rows.append("server-limit: 50")
        if streamed:
            rows.append("content-type: text/event-stream")
        writer.write("\r\n".join([*rows, "", ""]).encode())
        parts = [BODY[: len(BODY) // 2], BODY[len(BODY) // 2 :]]
        if streamed:
            parts = [event(1, 64) + event(2, 64), event(3, 64) + event(4, 64)]
        if manner == "bulk":
            await self._fill(writer)
        elif manner == "paced":
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, MAX_PACING_RATE, PACE)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2**21)
            events = [event(n + 1) for n in range(PACED_EVENTS)]
            writer.write(b"".join(events))
        elif manner == "torn":
            writer.write(parts[0] + event(3, 64)[:30])
        else:
            writer.write(parts[0])
        await writer.drain()
        print("sent", path, flush=True)
        if manner in ("bulk", "paced", "torn", "half"):
            await asyncio.Event().wait()
        if manner == "last":
            loop = asyncio.get_running_loop()
            self._last += 1
            # A planned end takes no new connections.
            self.server.close()
            self._last_at = self._last_at or loop.time() + LAST_SECONDS
            await asyncio.sleep(self._last_at - loop.time())
        writer.write(parts[1])
        await writer.drain()
        if manner == "last":
            writer.close()
            await writer.wait_closed()
            self._last -= 1
            if not self._last:
                os._exit(0)

    async def _fill(self, writer):
        """Write whole events until the kernels take no more."""
        for number in range(MOST_EVENTS):
            writer.write(event(number + 1))
            try:
                async with asyncio.timeout(FULL_SECONDS):
                    await writer.drain()
            except asyncio.TimeoutError:
                # The caller reads on until the last event is in the kernels.
                print("full", flush=True)
                await writer.drain()
                return


async def main(name, port, health="named"):
    """Serve until the process is killed."""
    upstream = Upstream(name, health)
    upstream.server = await asyncio.start_server(
        upstream.serve, HOST, int(port), backlog=512
    )
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
