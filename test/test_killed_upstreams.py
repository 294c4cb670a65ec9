"""Answers without a length whose upstream is killed, on real processes.

Such an answer ends with its connection, and the kernel closes the connections
of a killed process in order: callers got half an answer that looked whole.
"""

import asyncio
import contextlib
import sys
from test.platform_world import Platform
from test.platform_world import SECRET
from test.process_world import ROOT
from test.upstream_process import BODY
from test.upstream_process import event
from test.upstream_process import EVENTS
from test.upstream_process import HOST
from unittest import mock

import pytest

from bench.ports import free_ports
from rowanport.errors import UpstreamError
from rowanport.incarnation import new_incarnation
from rowanport.peers import PeerClient
from rowanport.schema.messages import EndAsk

# Seconds that anything may take before a test gives up.
PATIENCE = 30.0
# Seconds after which a proxy finds that nobody listens behind it.
FINDING_SECONDS = 0.2
STREAMS = ("/stream/", "/plainstream/")


class UpstreamProcess:
    """An upstream in a process of its own.

    :param name: its id
    :param port: its port
    :param manner: how all its answers come, empty if their paths say it
    :ivar process: the process
    """

    def __init__(self, name, port, manner=""):
        self.name = name
        self._port = port
        self._manner = manner
        self.process = None

    async def start(self):
        """Start it, and wait until it listens."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "test.upstream_process",
            self.name,
            str(self._port),
            self._manner,
            stdout=asyncio.subprocess.PIPE,
            cwd=ROOT,
        )
        while True:
            with contextlib.suppress(OSError):
                _reader, writer = await asyncio.open_connection(
                    HOST, self._port
                )
                writer.close()
                return
            await asyncio.sleep(0.02)

    @property
    def address(self):
        """Return its address."""
        return f"{HOST}:{self._port}"

    async def wait_for_run(self):
        """Wait until it runs one more request."""
        assert (await self.process.stdout.readline()).startswith(b"runs")

    async def kill(self):
        """Kill it, and wait until it is gone."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    def entry(self, state="ready"):
        """Return its entry in the directory."""
        return {
            "service": "feed",
            "address": self.address,
            "zone": "hall-a",
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_left_ms": 0,
            "seq_num": 1,
        }


class SlowProxy:
    """A proxy that takes a while to find that nobody listens behind it.

    :param target: port of the upstream
    """

    def __init__(self, target):
        self._target = target
        self._server = None
        self.port = free_ports(1)[0]

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        return self

    async def __aexit__(self, *_exc):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            behind = await asyncio.open_connection(HOST, self._target)
        except OSError:
            await asyncio.sleep(FINDING_SECONDS)
        else:
            copying = asyncio.ensure_future(_copy(reader, behind[1]))
            await _copy(behind[0], writer)
            copying.cancel()
            behind[1].close()
        writer.close()


async def _copy(reader, writer):
    with contextlib.suppress(OSError):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()


class KilledPlatform(Platform):
    """A Platform that sends all to an upstream in a process of its own.

    :ivar killed: the UpstreamProcess
    """

    async def __aenter__(self):
        (port,) = free_ports(1)
        self.killed = UpstreamProcess("killed", port)
        await self.killed.start()
        await super().__aenter__()
        await self.list(self.killed.entry())
        for upstream in self.upstreams:
            entry = upstream.entry(state="draining")
            await self.store.put(f"servers/{upstream.name}", entry)
            await self.wait(lambda u=upstream: not self._is_listed(u.name))
        return self

    async def __aexit__(self, *exc):
        await super().__aexit__(*exc)
        await self.killed.kill()

    def _is_listed(self, name):
        state = self.gateway.pool.get(name)
        return state is not None and not state.leaving

    async def list(self, entry):
        """List the upstream in its process."""
        await self.store.put(f"servers/{self.killed.name}", entry)
        if entry["state"] == "ready":
            await self.wait(lambda: self._is_listed(self.killed.name))
        else:
            await self.wait(lambda: not self._is_listed(self.killed.name))

    async def add_sound(self):
        """List an upstream to which requests may be sent again."""
        sound = self.upstreams[0]
        await self.store.put(f"servers/{sound.name}", sound.entry())
        await self.wait(lambda: self._is_listed(sound.name))

    def start(self, path, request_id="r1"):
        """Send a request; return the task that reads its answer."""
        return asyncio.ensure_future(self._read(path, request_id))

    async def _read(self, path, request_id):
        if path.startswith(STREAMS):
            answer = await self.stream(path, request_id)
        else:
            answer = await self.ask(path, request_id)
        return answer.status, await answer.read()


def whole_body(path, request_id="r1"):
    """Return the whole body of an answer of the process."""
    if path.startswith(STREAMS):
        return b"".join(event(request_id, n + 1) for n in range(EVENTS))
    return BODY


async def outcome(reading):
    """Return (status, body) of an answer, None for one that broke off."""
    try:
        return await reading
    except UpstreamError:
        return None


def run(body):
    """Run a coroutine function with a KilledPlatform."""

    async def main():
        async with asyncio.timeout(PATIENCE):
            async with KilledPlatform() as platform:
                await body(platform)

    asyncio.run(main())


async def kill_halfway(platform, path):
    """Return the outcome of a request whose upstream is killed halfway."""
    reading = platform.start(path)
    await platform.killed.wait_for_run()
    await asyncio.sleep(0.1)
    await platform.killed.kill()
    return await outcome(reading)


@pytest.mark.parametrize("path", ("/once/", "/plainstream/", "/safe/"))
def test_half_an_answer_of_a_killed_upstream_is_not_whole(path):
    # Guards against half an answer that its caller takes for a whole one.
    async def body(platform):
        result = await kill_halfway(platform, path + "half")
        assert result is None or result[0] == 502

    run(body)


@pytest.mark.parametrize("path", ("/once/", "/plainstream/"))
@pytest.mark.parametrize("manner", ("length", "chunks"))
def test_half_an_answer_that_tells_its_end_is_not_whole(path, manner):
    # Guards against the same for answers with a length or in chunks.
    async def body(platform):
        result = await kill_halfway(platform, path + manner)
        assert result is None or result[0] == 502

    run(body)


def test_a_repeatable_request_of_a_killed_upstream_is_sent_again():
    # Guards against half an answer where a whole one can be had.
    async def body(platform):
        reading = platform.start("/safe/half")
        await platform.killed.wait_for_run()
        await platform.add_sound()
        await platform.killed.kill()
        assert await outcome(reading) == (200, b"body of r1 question")

    run(body)


def test_a_stream_of_a_killed_upstream_goes_on_elsewhere():
    # Guards against a stream that ends after half of its events.
    async def body(platform):
        reading = platform.start("/stream/half")
        await platform.killed.wait_for_run()
        await platform.add_sound()
        await asyncio.sleep(0.1)
        await platform.killed.kill()
        assert await outcome(reading) == (200, whole_body("/stream/"))

    run(body)


def test_answers_under_way_at_a_killed_upstream_are_not_whole():
    # Guards against ends that vouch for each other as they come together.
    async def body(platform):
        readings = []
        for number in range(12):
            path = ("/once/half", "/plainstream/half")[number % 2]
            readings.append(platform.start(path, f"r{number}"))
            await platform.killed.wait_for_run()
        await asyncio.sleep(0.1)
        await platform.killed.kill()
        for reading in readings:
            result = await outcome(reading)
            assert result is None or result[0] == 502

    run(body)


def test_an_upstream_that_restarts_at_once_does_not_vouch():
    # Guards against the word of the next process at the same address.
    async def body(platform):
        reading = platform.start("/once/half")
        await platform.killed.wait_for_run()
        await asyncio.sleep(0.1)
        platform.killed.process.kill()
        other = UpstreamProcess("next", platform.killed._port)
        await other.start()
        try:
            result = await outcome(reading)
        finally:
            await other.kill()
        assert result is None or result[0] == 502

    run(body)


@pytest.mark.parametrize("path", ("/once/", "/plainstream/", "/safe/"))
def test_whole_answers_without_a_length_stay_whole(path):
    # Guards against whole answers that are called broken.
    async def body(platform):
        for number in range(5):
            reading = platform.start(path + "whole", f"r{number}")
            wanted = (200, whole_body(path, f"r{number}"))
            assert await outcome(reading) == wanted

    run(body)


def test_whole_answers_of_a_busy_upstream_stay_whole():
    # Guards against the same while others run there.
    async def body(platform):
        halves = [platform.start("/once/half", f"h{n}") for n in range(8)]
        readings = [platform.start("/once/whole", f"r{n}") for n in range(8)]
        for reading in readings:
            assert await outcome(reading) == (200, BODY)
        for half in halves:
            half.cancel()

    run(body)


def test_peers_learn_what_a_router_saw_of_a_killed_upstream():
    # Guards against a leave that explains answers which end at one moment at
    # several routers.
    async def body(platform):
        peers = PeerClient(new_incarnation("cell", f"{HOST}:1"), SECRET)
        record = platform.gateway.pool.get("killed").record
        reading = platform.start("/once/half")
        await platform.killed.wait_for_run()
        await asyncio.sleep(0.2)
        ask = EndAsk(record.run.name, record.address, 0)
        news = await peers.call(platform.peers, ask, 2.0)
        assert (news.open, news.cut) == (True, False)
        await platform.killed.kill()
        await asyncio.sleep(0.02)
        news = await peers.call(platform.peers, ask, 2.0)
        assert (news.open, news.cut) == (False, True)
        await outcome(reading)
        peers.close()

    run(body)


@pytest.mark.parametrize("path", ("/once/", "/plainstream/"))
def test_the_last_answer_of_a_leaving_upstream_stays_whole(path):
    # Guards against calling it broken as its process ends right behind it.
    async def body(platform):
        reading = platform.start(path + "last")
        await platform.killed.wait_for_run()
        await platform.list(platform.killed.entry("draining"))
        assert await outcome(reading) == (200, whole_body(path))

    run(body)


def test_a_proxy_does_not_vouch_for_an_upstream_that_is_not_asked():
    # Guards against a new connection that counts before the proxy has found
    # that nobody is left: an upstream with a rate limit gets no health checks.
    async def body(platform):
        async with SlowProxy(platform.killed._port) as proxy:
            address = f"{HOST}:{proxy.port}"
            entry = {**platform.killed.entry(), "address": address}
            await platform.list({**entry, "seq_num": 2})
            pool, limits = platform.gateway.pool, platform.gateway.limits
            await platform.wait(
                lambda: pool.get(platform.killed.name).record.address
                == address
            )
            reading = platform.start("/once/half")
            await platform.killed.wait_for_run()
            await asyncio.sleep(0.1)
            with mock.patch.object(limits, "unlimited", lambda states: []):
                await platform.killed.kill()
                result = await outcome(reading)
            assert result is None or result[0] == 502

    run(body)


def test_whole_answers_of_an_upstream_that_is_not_asked_stay_whole():
    # Guards against whole answers that count as broken without a question.
    async def body(platform):
        limits = platform.gateway.limits
        reading = platform.start("/once/slow")
        await platform.killed.wait_for_run()
        with mock.patch.object(limits, "unlimited", lambda states: []):
            assert await outcome(reading) == (200, BODY)

    run(body)
