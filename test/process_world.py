"""A gateway as a process of its own, and callers that read as they like."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import sys
from test.platform_world import config
from test.platform_world import HOST
from test.platform_world import ID_HEADER
from test.platform_world import KEY

from bench.ports import free_ports
from rowanport.standins.kvstore import StoreStandin
from rowanport.standins.upstream import UpstreamStandin

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOCAL = "127.0.0.1"
SECRET = "a secret of the tests"
# Bytes that a slow caller's kernel holds for it.
SMALL_BUFFER = 4096
# Starts the program, whose kernel takes a few KB of each answer, as on a link
# that is full; the program itself is not changed.
LAUNCH = """
import asyncio
import runpy
import socket

loop = asyncio.base_events.BaseEventLoop
create_server = loop.create_server


async def listen(self, *args, **options):
    server = await create_server(self, *args, **options)
    for listener in server.sockets:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    return server


loop.create_server = listen
runpy.run_module("rowanport.platform", run_name="__main__")
"""
# Seconds that anything may take before a test gives up.
PATIENCE = 20.0
# Seconds that an upstream takes for a late answer.
LATE_SECONDS = 0.3


def request_of(name, body=b"", size=None):
    """Return a request as a caller sends it.

    :param size: length that its head says, if not that of the body
    """
    lines = [
        "POST /once/ HTTP/1.1",
        f"host: {HOST}",
        f"{ID_HEADER}: {name}",
        f"api-key: {KEY}",
        f"content-length: {len(body) if size is None else size}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


class SlowCaller:
    """A caller that reads when it is told to, with little room meanwhile.

    :ivar got: all bytes that it has read
    """

    def __init__(self):
        self._socket = None
        self.got = b""

    async def open(self, port):
        """Connect to a port of this machine."""
        self._socket = socket.socket()
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER
        )
        self._socket.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._socket, (LOCAL, port))

    async def send(self, data):
        """Send bytes."""
        await asyncio.get_running_loop().sock_sendall(self._socket, data)

    async def read(self, size=SMALL_BUFFER):
        """Read some bytes; return them, none at the end."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(PATIENCE):
            data = await loop.sock_recv(self._socket, size)
        self.got += data
        return data

    async def read_rest(self, size=65536, pause=0.0):
        """Read until the connection ends, in whichever way.

        :param pause: seconds between two pieces
        """
        try:
            while await self.read(size):
                await asyncio.sleep(pause)
        except ConnectionError:
            pass

    async def push(self, data, times):
        """Send bytes again and again, as long as the kernel takes them."""
        try:
            for _time in range(times):
                await self.send(data)
                await asyncio.sleep(0.05)
        except ConnectionError:
            pass

    @property
    def head(self):
        """Return the head of the answer, lower case."""
        return self.got.partition(b"\r\n\r\n")[0].decode().lower()

    @property
    def body(self):
        """Return what has come of the body."""
        return self.got.partition(b"\r\n\r\n")[2]

    def close(self):
        """Leave."""
        self._socket.close()


class Upstream(UpstreamStandin):
    """An upstream that may take its time."""

    async def _do_late(self, connection, writer, names, body):
        self._note_run(connection, names)
        await asyncio.sleep(LATE_SECONDS)
        data = b"body of " + names[ID_HEADER].encode() + b" " + body
        self._send(connection, writer, 200, self._head(names), data)


class GatewayProcess:
    """A store, two upstreams, and a gateway in a process of its own.

    :param directory: a directory for its settings
    :param grace: seconds between the signal to stop and the kill
    :ivar rows: lines of its log that have come so far
    """

    def __init__(self, directory, grace=4.0):
        self.store = StoreStandin()
        self.upstreams = [Upstream("one"), Upstream("two")]
        self.rows = []
        self.other_lines = []
        self.process = None
        self._ports = free_ports(6)
        self._settings = directory / "node.json"
        self._grace = grace
        self._reading = None

    async def __aenter__(self):
        await self.store.start(self._ports[0])
        for upstream, port in zip(self.upstreams, self._ports[1:3]):
            await upstream.start(port)
            await self.store.put(f"servers/{upstream.name}", upstream.entry())
        await self.store.put("op/config", config())
        self.write_settings([])
        return self

    async def __aexit__(self, *_exc):
        if self.process is not None:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()
            await self._reading
        await self.store.close()
        for upstream in self.upstreams:
            await upstream.close()

    @property
    def callers(self):
        """Return the port for callers."""
        return self._ports[3]

    def write_settings(self, seeds):
        """Write the settings file as the platform does."""
        front, ready, control = [f"{LOCAL}:{p}" for p in self._ports[3:]]
        fields = {
            "node_name": "front-1",
            "role": "router",
            "ip": LOCAL,
            "zone": "hall-a",
            "region": "north",
            "listen": {"front": front, "ready": ready, "control": control},
            "seeds": seeds,
            "bounds": {
                "grace_s": self._grace,
                "retry_budget_ratio": 0.2,
                "retry_slack": 54,
                "budget_window_s": 10,
            },
            "platform": {"address": f"{LOCAL}:{self._ports[0]}"},
        }
        new = self._settings.with_suffix(".new")
        new.write_text(json.dumps(fields))
        new.replace(self._settings)

    async def start(self, *arguments):
        """Start the process.

        :param arguments: of the interpreter, the program's own if none
        """
        arguments = arguments or ("-m", "rowanport.platform")
        environment = {
            **os.environ,
            "PYTHONPATH": str(ROOT),
            "ROWANPORT_NODE_FILE": str(self._settings),
            "ROWANPORT_PEER_SECRET": SECRET,
        }
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env=environment,
            cwd=ROOT,
        )
        self._reading = asyncio.ensure_future(self._read_log())

    async def start_on_full_link(self):
        """Start the process, and wait until it serves."""
        await self.start("-c", LAUNCH)
        await self.wait(lambda: self.row("gateway_ready"))

    async def _read_log(self):
        async for line in self.process.stdout:
            try:
                self.rows.append(json.loads(line))
            except ValueError:
                self.other_lines.append(line.decode())

    def close_log(self):
        """Read the log no more, as a reader that has died."""
        self.process._transport.get_pipe_transport(1).close()

    def row(self, event, **fields):
        """Return the first line of the log with these fields, or None."""
        wanted = {"event": event, **fields}.items()
        for row in self.rows:
            if wanted <= {k: str(v) for k, v in row.items()}.items():
                return row
        return None

    def signal(self, number):
        """Send a signal; a process that has ended gets none.

        The call of asyncio would reap a process that has just ended, so that
        its exit code is lost.
        """
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.process.pid, number)

    def stop(self):
        """Begin a stop."""
        self.signal(signal.SIGTERM)

    async def end(self):
        """Wait for its end; return the exit code."""
        async with asyncio.timeout(PATIENCE):
            code = await self.process.wait()
            await self._reading
        return code

    async def wait(self, condition):
        """Wait until something holds."""
        async with asyncio.timeout(PATIENCE):
            while not condition():
                await asyncio.sleep(0.01)
