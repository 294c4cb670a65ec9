"""An upstream whose answers have no length, as a process of its own.

Arguments: its id, its port, and how each answer comes; without the last one
the last part of a path says it.  Each answer ends with its connection:

- ``whole``: at once, and the process lives on;
- ``slow``: one half, and the other one half a second later;
- ``half``: one half, and then nothing until the process is killed;
- ``head``: the head, and then nothing until the process is killed;
- ``early``: one half, and then its connection is closed in order, while the
  process lives on;
- ``last``: one half, the other one a second later, and then the process ends
  by itself;
- ``late``: the same after two seconds;
- ``frozen``: at once, and the process is paused right behind it;
- ``length``, ``chunks``: one half of an answer that tells where it ends.

It writes a line for each request that it runs.
"""

import asyncio
import os
import signal
import sys

HOST = "127.0.0.1"
ID_HEADER = "x-rowanport-request-id"
BODY = bytes(range(256)) * 200
EVENTS = 6
# Version that its answers name, as those of a store do.
VERSION = 7
# Seconds between the halves of an answer, by its manner; behind a last one the
# process ends.
LAST_SECONDS = {"last": 1.0, "late": 2.0}
SLOW_SECONDS = 0.5
TYPE = "content-type: text/event-stream"
FRAMES = {
    "length": f"content-length: {len(BODY)}",
    "chunks": "transfer-encoding: chunked",
}


def event(request, number):
    """Return an event, as those of the stand-in in the test's process."""
    return f"id: {number}\ndata: {request}\n\n".encode()


class Upstream:
    """Answers requests as their paths say, or all in one manner."""

    def __init__(self, name, manner=""):
        self._name = name
        self._manner = manner

    async def serve(self, reader, writer):
        """Serve the one request of a connection."""
        try:
            await self._serve(reader, writer)
        except (OSError, EOFError):
            # Whoever opened the connection wanted nothing, or has left.
            pass
        finally:
            writer.close()

    async def _serve(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().lower().split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines)
        await reader.readexactly(int(fields.get("content-length", 0)))
        path = first.split(" ")[1]
        if path == "/healthz":
            named = f"x-rowanport-instance-id: {self._name}"
            writer.write(
                f"HTTP/1.1 200 OK\r\n{named}\r\nconnection: close\r\n"
                "content-length: 0\r\n\r\n".encode()
            )
            await writer.drain()
            return
        manner = self._manner or path.rpartition("/")[2]
        print("runs", path, flush=True)
        request = fields.get(ID_HEADER, "")
        streamed = "x-rowanport-token-count" in fields
        rows = [
            "HTTP/1.1 200 OK",
            f"{ID_HEADER}: {request}",
            f"x-rowanport-server-stamp: stamp-{self._name}",
            f"x-version: {VERSION}",
            FRAMES.get(manner, "connection: close"),
            *([TYPE] if streamed else []),
        ]
        writer.write("\r\n".join([*rows, "", ""]).encode())
        parts = [BODY[: len(BODY) // 2], BODY[len(BODY) // 2 :]]
        if streamed:
            after = int(fields.get("last-event-id", 0))
            events = [event(request, n + 1) for n in range(after, EVENTS)]
            parts = [b"".join(events[:3]), b"".join(events[3:])]
        if manner == "chunks":
            parts[0] = b"%x\r\n%s\r\n" % (len(parts[0]), parts[0])
        if manner == "head":
            parts[0] = b""
        writer.write(parts[0])
        await writer.drain()
        if manner == "early":
            return
        if manner in LAST_SECONDS:
            await asyncio.sleep(LAST_SECONDS[manner])
        elif manner == "slow":
            await asyncio.sleep(SLOW_SECONDS)
        elif manner not in ("whole", "frozen"):
            await asyncio.Event().wait()
        writer.write(parts[1])
        await writer.drain()
        if manner in LAST_SECONDS or manner == "frozen":
            writer.close()
            await writer.wait_closed()
        if manner in LAST_SECONDS:
            os._exit(0)
        if manner == "frozen":
            os.kill(os.getpid(), signal.SIGSTOP)


async def main(name, port, manner=""):
    """Serve until the process is killed."""
    server = await asyncio.start_server(
        Upstream(name, manner).serve, HOST, int(port), backlog=512
    )
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
