"""Half answers without a length that still pass as whole, and the like.

Each test shows a fault of the checks in rowanport/ends/.
"""

import asyncio
import contextlib
import socket
import subprocess
import sys
from test.end_fault_upstream import BODY
from test.platform_world import config
from test.platform_world import HOST as CALLED_HOST
from test.platform_world import KEY
from test.platform_world import SECRET
from test.process_world import ROOT
from test.test_killed_upstreams import KilledPlatform
from test.test_killed_upstreams import outcome
from test.test_killed_upstreams import UpstreamProcess
import time

import pytest

from bench.ports import free_ports
from rowanport.ends import AnswerSource
from rowanport.ends import EndCheck
from rowanport.ends import Instance
from rowanport.ends import record
from rowanport.errors import EndUnconfirmed
from rowanport.incarnation import new_incarnation
from rowanport.peers import PeerClient
from rowanport.schema.messages import EndAsk
from rowanport.web import HttpClient
from rowanport.web.connector import DirectConnector

HOST = "127.0.0.1"
PATIENCE = 40.0


class FaultUpstream(UpstreamProcess):
    """An UpstreamProcess that runs test.end_fault_upstream."""

    def __init__(self, name, port, health="named"):
        super().__init__(name, port)
        self.health = health

    @property
    def command(self):
        """Return the command line of the process."""
        module = "test.end_fault_upstream"
        port = str(self._port)
        return [sys.executable, "-m", module, self.name, port, self.health]

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            *self.command, stdout=asyncio.subprocess.PIPE, cwd=ROOT
        )
        while True:
            with contextlib.suppress(OSError):
                _reader, writer = await asyncio.open_connection(
                    HOST, self._port
                )
                writer.close()
                return
            await asyncio.sleep(0.02)

    async def wait_until_sent(self, word=b"sent"):
        """Wait until it has sent what there is to send."""
        assert (await self.process.stdout.readline()).startswith(word)


class FaultPlatform(KilledPlatform):
    """A KilledPlatform whose process is a FaultUpstream."""

    async def __aenter__(self):
        (port,) = free_ports(1)
        self.killed = FaultUpstream("killed", port)
        await self.killed.start()
        await super(KilledPlatform, self).__aenter__()
        await self.list(self.killed.entry())
        for upstream in self.upstreams:
            entry = upstream.entry(state="draining")
            await self.store.put(f"servers/{upstream.name}", entry)
            await self.wait(lambda u=upstream: not self._is_listed(u.name))
        return self


def run(body):
    """Run a coroutine function with a FaultPlatform."""

    async def main():
        async with asyncio.timeout(PATIENCE):
            async with FaultPlatform() as platform:
                await body(platform)

    asyncio.run(main())


async def slow_caller(platform, path):
    """Send a request whose caller reads nothing yet; return its streams."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
    host, _, port = platform.callers.rpartition(":")
    sock.connect((host, int(port)))
    sock.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
    writer.write(
        f"POST {path} HTTP/1.1\r\nhost: {CALLED_HOST}\r\n"
        "x-rowanport-request-id: r1\r\nx-rowanport-deadline-ms: 20000\r\n"
        f"api-key: {KEY}\r\nx-rowanport-token-count: 100,30\r\n"
        "x-rowanport-prompt-prefix: aa:60,bb:40\r\nx-rowanport-model: m\r\n"
        "content-length: 8\r\n\r\nquestion".encode()
    )
    return reader, writer


async def read_all(reader):
    """Return the end of what a caller gets until its connection rests."""
    received = b""
    with contextlib.suppress(asyncio.TimeoutError, OSError):
        async with asyncio.timeout(20):
            while True:
                async with asyncio.timeout(3):
                    piece = await reader.read(65536)
                if not piece:
                    break
                received = (received + piece)[-64:]
                if received.endswith(b"\r\n0\r\n\r\n"):
                    break
    return received


async def start_slow_stream(platform):
    """Start a long stream to a slow caller; return the caller's reader.

    On return the upstream has handed whole events to the kernels, which the
    router has not all read.
    """
    configured = config(version=2)
    for one in configured["routes"]:
        one["timeout_ms"] = 30000
    await platform.store.put("op/config", configured)
    await asyncio.sleep(0.3)
    reader, writer = await slow_caller(platform, "/plainstream/bulk")
    await platform.killed.wait_until_sent(b"full")
    sent = asyncio.ensure_future(platform.killed.wait_until_sent())
    # Room for the last event.
    while not sent.done():
        await reader.read(4096)
        await asyncio.sleep(0)
    return reader, writer


def test_a_stream_to_a_slow_caller_whose_killed_upstream_was_delisted():
    # Guards against an entry that is removed as its upstream died being read
    # as a planned leave by an end that is noticed later.
    async def body(platform):
        reader, writer = await start_slow_stream(platform)
        await platform.killed.kill()
        await platform.store.remove("servers/killed")
        await asyncio.sleep(0.5)
        assert not (await read_all(reader)).endswith(b"\r\n0\r\n\r\n")
        writer.close()

    run(body)


def test_a_stream_to_a_slow_caller_whose_killed_upstream_came_back():
    # Guards against connections to the next process, opened before the end of
    # the answer is noticed but after it came, that vouch for it.
    async def body(platform):
        reader, writer = await start_slow_stream(platform)
        await platform.killed.kill()
        successor = FaultUpstream("killed", platform.killed._port)
        await successor.start()
        held = platform.start("/once/half", "r2")
        await successor.wait_until_sent()
        end = await read_all(reader)
        held.cancel()
        await successor.kill()
        assert not end.endswith(b"\r\n0\r\n\r\n")
        writer.close()

    run(body)


def wait_for(port, listening):
    """Wait until somebody or nobody listens; it blocks the event loop."""
    deadline = time.monotonic() + 10
    while time.monotonic() < deadline:
        try:
            socket.create_connection((HOST, port)).close()
        except OSError:
            if not listening:
                return
        else:
            if listening:
                return
        time.sleep(0.02)
    raise AssertionError("the upstream was not restarted")


async def restart_held_up(platform, name, health):
    """Return the outcome of half an answer, its upstream being restarted.

    The router's event loop is held up from the kill until the next process
    listens, as by SIGSTOP.
    """
    reading = platform.start("/once/half")
    await platform.killed.wait_until_sent()
    await asyncio.sleep(0.1)
    port = platform.killed._port
    successor = FaultUpstream(name, port, health)
    platform.killed.process.kill()
    wait_for(port, False)
    process = subprocess.Popen(
        successor.command, cwd=ROOT, stdout=subprocess.DEVNULL
    )
    try:
        wait_for(port, True)
        return await outcome(reading)
    finally:
        process.kill()
        process.wait()


@pytest.mark.parametrize("health", ("unnamed", "silent"))
def test_a_held_up_router_does_not_trust_the_next_process(health):
    # Guards against RESTART_SECONDS being counted from the moment at which the
    # end is noticed: the event loop (or the process, by SIGSTOP) was held up
    # while the upstream was killed and another one started.
    async def body(platform):
        result = await restart_held_up(platform, "next", health)
        assert result is None or result[0] == 502

    run(body)


def test_a_restarted_upstream_of_the_same_id_does_not_vouch():
    # Guards against an id that its next run has, too (UpstreamRun.born), being
    # taken for the process that answered.
    async def body(platform):
        result = await restart_held_up(platform, "killed", "named")
        assert result is None or result[0] == 502

    run(body)


def test_a_torn_stream_counts_as_cut_together():
    # Guards against a leave that explains the end of one stream while another
    # one of the same upstream ended within an event at that moment.
    async def body(platform):
        torn = platform.start("/plainstream/torn", "r1")
        await platform.killed.wait_until_sent()
        half = platform.start("/plainstream/half", "r2")
        await platform.killed.wait_until_sent()
        await platform.list(platform.killed.entry("draining"))
        await asyncio.sleep(0.1)
        await platform.killed.kill()
        assert await outcome(torn) is None
        result = await outcome(half)
        assert result is None or result[0] == 502

    run(body)


def test_two_last_answers_of_a_leaving_upstream_stay_whole():
    # Guards against whole answers that are called broken as they end at one
    # moment, which a planned end of an upstream with two answers due may do.
    async def body(platform):
        readings = [platform.start("/once/last", f"r{n}") for n in range(2)]
        for _reading in readings:
            await platform.killed.wait_until_sent()
        await platform.list(platform.killed.entry("draining"))
        for reading in readings:
            assert await outcome(reading) == (200, BODY)

    run(body)


def test_an_end_that_arrives_late_does_not_vouch():
    # Guards against a connection over a slow link, whose end waits behind
    # bytes in the kernel of the killed upstream, that vouches for the upstream
    # though nobody listens there.
    async def body(platform):
        paced = platform.start("/plainstream/paced", "r1")
        await platform.killed.wait_until_sent()
        reading = platform.start("/once/half", "r2")
        await platform.killed.wait_until_sent()
        await asyncio.sleep(0.1)
        await platform.killed.kill()
        result = await outcome(reading)
        paced.cancel()
        assert result is None or result[0] == 502

    run(body)


def test_a_peer_does_not_vouch_with_a_connection_whose_end_is_late():
    # Guards against the same in the answer to a peer, which neither waits nor
    # looks whether anybody listens.
    async def body(platform):
        peers = PeerClient(new_incarnation("cell", f"{HOST}:1"), SECRET)
        record = platform.gateway.pool.get("killed").record
        paced = platform.start("/plainstream/paced", "r1")
        await platform.killed.wait_until_sent()
        await asyncio.sleep(0.2)
        await platform.killed.kill()
        ask = EndAsk(record.run.name, record.address, 50)
        await asyncio.sleep(0.05)
        news = await peers.call(platform.peers, ask, 2.0)
        paced.cancel()
        peers.close()
        assert not news.open

    run(body)


@pytest.mark.parametrize("health", ("named", "silent"))
def test_whole_answers_of_a_busy_upstream_keep_a_short_deadline(health):
    # Guards against whole answers that are lost as the check of their end
    # outlasts their deadline (300 ms, and ASK_SECONDS are 500).
    async def body(platform):
        await platform.killed.kill()
        port = platform.killed._port
        platform.killed = FaultUpstream("killed", port, health)
        await platform.killed.start()
        await asyncio.sleep(1.5)
        reading = platform.start("/short/whole")
        assert await outcome(reading) == (200, BODY)

    run(body)


@pytest.mark.parametrize("health", ("named", "silent"))
def test_a_whole_answer_is_not_hedged_as_its_end_is_checked(health):
    # Guards against a second run of a request whose whole answer is here, as
    # the check of its end outlasts the stall time-out (two fifths of 800 ms).
    async def body(platform):
        configured = config(version=2)
        configured["routes"][0]["timeout_ms"] = 800
        await platform.store.put("op/config", configured)
        await platform.killed.kill()
        port = platform.killed._port
        platform.killed = FaultUpstream("killed", port, health)
        await platform.killed.start()
        await asyncio.sleep(1.5)
        reading = platform.start("/safe/whole", "r2")
        await platform.killed.wait_until_sent()
        await platform.add_sound()
        assert (await outcome(reading))[0] == 200
        assert not platform.runs

    run(body)


@pytest.mark.parametrize("most", (2, 3, 5))
def test_whole_answers_stay_whole_where_each_router_has_few_connections(most):
    # Guards against whole answers that are called broken in a large fleet: the
    # connection that has just ended uses up this router's share still, so that
    # no new one is allowed.
    async def body(platform):
        platform.gateway.settings.large_fleet = True
        configured = config(version=2)
        configured["services"][0]["max_connections"] = most
        await platform.store.put("op/config", configured)
        await asyncio.sleep(0.5)
        reading = platform.start("/once/whole")
        assert await outcome(reading) == (200, BODY)

    run(body)


class Proxy:
    """Passes connections on to a port, and closes them in order on demand.

    :param port: where it listens
    :param behind: port that it passes connections on to
    """

    def __init__(self, port, behind):
        self._port = port
        self._behind = behind
        self._writers = []
        self._tasks = []
        # Whether new connections are accepted and then closed.
        self.closing = False

    async def start(self):
        """Start to listen."""
        self._server = await asyncio.start_server(self._pass, HOST, self._port)

    async def _pass(self, reader, writer):
        if self.closing:
            await asyncio.sleep(0.02)
            writer.close()
            return
        there, onward = await asyncio.open_connection(HOST, self._behind)
        self._writers += [writer, onward]
        for source, sink in ((reader, onward), (there, writer)):
            task = asyncio.ensure_future(self._copy(source, sink))
            self._tasks.append(task)

    async def _copy(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        writer.close()

    def cut(self):
        """Close all connections in order, as a kernel does at a kill."""
        for writer in self._writers:
            writer.close()
        self._writers.clear()

    def close(self):
        """Listen no more."""
        self.cut()
        for task in self._tasks:
            task.cancel()
        self._server.close()


async def list_behind_proxy(platform):
    """Let the process be reached through a proxy; return the Proxy."""
    (port,) = free_ports(1)
    proxy = Proxy(port, platform.killed._port)
    await proxy.start()
    entry = platform.killed.entry()
    entry["address"] = f"{HOST}:{port}"
    entry["seq_num"] = 2
    await platform.store.put("servers/killed", entry)
    await platform.wait(
        lambda: platform.gateway.pool.get("killed").record.address
        == entry["address"]
    )
    return proxy


def test_a_proxy_that_ends_all_connections_is_no_end_of_the_answers():
    # Guards against answers that all break off at one moment as a proxy on the
    # way is restarted, and count as whole as their upstream lives.
    async def body(platform):
        proxy = await list_behind_proxy(platform)
        readings = []
        for number in range(4):
            path = ("/once/half", "/plainstream/half")[number % 2]
            readings.append(platform.start(path, f"r{number}"))
            await platform.killed.wait_until_sent()
        await asyncio.sleep(0.1)
        proxy.cut()
        results = [await outcome(reading) for reading in readings]
        proxy.close()
        assert all(one is None or one[0] == 502 for one in results)

    run(body)


def test_a_proxy_in_front_of_a_killed_upstream_that_takes_no_checks():
    # Guards against a new connection that a proxy closes at once, as nobody
    # is behind it, but that counts, as a rate-limited upstream is not asked.
    async def body(platform):
        proxy = await list_behind_proxy(platform)
        reading = platform.start("/once/half?limited")
        await platform.killed.wait_until_sent()
        await asyncio.sleep(0.1)
        proxy.closing = True
        await platform.killed.kill()
        result = await outcome(reading)
        proxy.close()
        assert result is None or result[0] == 502

    run(body)


class Source(AnswerSource):
    """Knows nothing of an upstream."""

    may_run_again = False
    may_be_asked = True

    def leaves_at(self, ended_at):
        return False

    def cut_together(self, ended_at):
        return False

    async def ask_instance(self, path):
        path.writer.close()
        return Instance.GONE


class FirstThrough(DirectConnector):
    """Opens the first connection through a relay, the others directly."""

    def __init__(self, relay):
        super().__init__(1.0)
        self._relay = relay

    async def open(self, address):
        if self._relay is None:
            return await super().open(address)
        relay, self._relay = self._relay, None
        path = await super().open(relay)
        path.address, path.relay = address, relay
        return path


def test_a_tunnel_of_a_frozen_relay_does_not_vouch():
    # Guards against an open tunnel whose relay passes nothing on, such as one
    # that is stopped by SIGSTOP or cut off, that vouches for an upstream at
    # which nobody listens.
    async def main():
        port, relay_port = free_ports(2)
        killed = FaultUpstream("killed", port)
        await killed.start()
        # A socket that accepts and says nothing is a frozen relay.
        relay = socket.create_server((HOST, relay_port))
        client = HttpClient(connector=FirstThrough(f"{HOST}:{relay_port}"))
        address = f"{HOST}:{port}"
        client.keep(await client.open_path(address))
        answer = await client.request(
            address,
            "POST",
            "/once/half",
            headers=[("x-rowanport-request-id", "r1")],
            fresh=True,
        )
        await killed.wait_until_sent()
        await killed.kill()
        while await answer.next_piece() is not None:
            pass
        with pytest.raises(EndUnconfirmed):
            await EndCheck(client).confirm(answer, Source())
        answer.close()
        client.close()
        relay.close()

    asyncio.run(main())


def test_remembered_ends_of_a_run_are_forgotten(monkeypatch):
    # Guards against a list of ends that grows as long as ends come within
    # CUT_SECONDS of each other: those of cancelled checks and of broken
    # connections are never taken out.
    now = 0.0
    monkeypatch.setattr(record, "loop_time", lambda: now)
    ends = record.EndRecord()
    for _ in range(1000):
        now += 1.0
        ends.add("run")
    assert len(ends._ends["run"]) <= 2 * record.CUT_SECONDS
