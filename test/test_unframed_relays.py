"""Answers without a length through a relay, on real processes.

The relay ends a tunnel as the upstream's connection ends, which its kernel
closes in order when the upstream is killed.
"""

import asyncio
import contextlib
from test.test_answer_ends import Relay
from test.test_answer_ends import TunnelConnector
from test.test_killed_upstreams import UpstreamProcess
from test.upstream_process import BODY
from test.upstream_process import HOST
from test.upstream_process import ID_HEADER

import pytest

from bench.ports import free_ports
from rowanport.ends import AnswerSource
from rowanport.ends import EndCheck
from rowanport.ends import Instance
from rowanport.errors import PeerError
from rowanport.errors import UpstreamError
from rowanport.incarnation import TUNNEL_ENDS_PROTOCOL
from rowanport.web import HttpClient
from rowanport.web.connector import Connector

# Seconds that anything may take before a test gives up.
PATIENCE = 20.0


class RelaysConnector(Connector):
    """Opens tunnels through the first of some peers that opens one.

    :param incarnations: those of the peers
    """

    def __init__(self, incarnations):
        self._connectors = [TunnelConnector(one) for one in incarnations]

    async def open(self, address):
        for connector in self._connectors:
            with contextlib.suppress(PeerError):
                path = await connector.open(address)
                if path is not None:
                    return path
        raise UpstreamError(f"{address} is not reached", started=False)


class Source(AnswerSource):
    """What is known of an UpstreamProcess.

    :param client: the HttpClient
    :param upstream: the UpstreamProcess
    :param address: its address
    """

    may_run_again = False
    may_be_asked = True

    def __init__(self, client, upstream, address):
        self._client = client
        self._upstream = upstream
        self._address = address

    def leaves_at(self, ended_at):
        return False

    def cut_together(self, since):
        return False

    async def ask_instance(self, path):
        try:
            answer = await self._client.request(
                self._address, "GET", "/healthz", over=path
            )
        except UpstreamError:
            return Instance.GONE
        name = answer.headers["x-rowanport-instance-id"]
        await answer.read()
        return (
            Instance.SAME if name == self._upstream.name else Instance.ANOTHER
        )


class Scene:
    """An upstream and two relays in processes of their own.

    :ivar upstream: the UpstreamProcess
    :ivar relay: the Relay through which answers come
    :ivar ended: set once an answer has ended, before its end is checked
    """

    async def __aenter__(self):
        (self._port,) = free_ports(1)
        self.address = f"{HOST}:{self._port}"
        self.ended = asyncio.Event()
        self.upstream = UpstreamProcess("first", self._port)
        self._stack = contextlib.AsyncExitStack()
        await self.upstream.start()
        self._stack.push_async_callback(self.upstream.kill)
        self.relay = await self._stack.enter_async_context(Relay())
        self._second = await self._stack.enter_async_context(Relay())
        self.connect(self.relay.incarnation)
        return self

    async def __aexit__(self, *_exc):
        self._client.close()
        await self._stack.aclose()

    def connect(self, incarnation):
        """Send requests through a peer, or through the second relay."""
        peers = [incarnation, self._second.incarnation]
        self._client = HttpClient(connector=RelaysConnector(peers))

    async def start_successor(self):
        """Start another upstream at the address of the first one."""
        successor = UpstreamProcess("next", self._port)
        await successor.start()
        self._stack.push_async_callback(successor.kill)

    async def begin(self, manner, count=1):
        """Send requests; return the tasks that read their answers.

        :param manner: how the answers come
        """
        reading = []
        for number in range(count):
            reading.append(
                asyncio.ensure_future(self._read(manner, f"r{number}"))
            )
            await self.upstream.wait_for_run()
        return reading

    async def _read(self, manner, name):
        answer = await self._client.request(
            self.address, "POST", f"/once/{manner}", b"", [(ID_HEADER, name)]
        )
        try:
            body = bytearray()
            while (piece := await answer.next_piece()) is not None:
                body += piece
            self.ended.set()
            source = Source(self._client, self.upstream, self.address)
            await EndCheck(self._client).confirm(answer, source)
            return bytes(body)
        finally:
            answer.close()


def run(body):
    """Run a coroutine function with a Scene."""

    async def main():
        async with asyncio.timeout(PATIENCE), Scene() as scene:
            await body(scene)

    asyncio.run(main())


async def check_broken(reading):
    """Check that no answer counts as whole."""
    for result in await asyncio.gather(*reading, return_exceptions=True):
        assert isinstance(result, UpstreamError), result


@pytest.mark.parametrize("count", (1, 6))
def test_half_an_answer_through_a_relay_is_not_whole(count):
    # Guards against the orderly end of a tunnel to a killed upstream.
    async def body(scene):
        reading = await scene.begin("half", count)
        await asyncio.sleep(0.1)
        await scene.upstream.kill()
        await check_broken(reading)

    run(body)


@pytest.mark.parametrize(
    "order", (("upstream", "relay"), ("relay", "upstream"))
)
def test_half_an_answer_is_not_whole_if_upstream_and_relay_are_killed(order):
    # Guards against two ends at once of which neither tells anything.
    async def body(scene):
        reading = await scene.begin("half", 3)
        await asyncio.sleep(0.1)
        for name in order:
            getattr(scene, name).process.kill()
        await check_broken(reading)

    run(body)


@pytest.mark.parametrize("killed", ((), ("relay",)))
def test_a_successor_reached_through_a_relay_does_not_vouch(killed):
    # Guards against the word of the next process at the same address.
    async def body(scene):
        reading = await scene.begin("half", 3)
        await asyncio.sleep(0.1)
        scene.upstream.process.kill()
        for name in killed:
            getattr(scene, name).process.kill()
        await scene.start_successor()
        await check_broken(reading)

    run(body)


@pytest.mark.parametrize("count", (1, 6))
def test_a_whole_answer_through_a_relay_stays_whole(count):
    # Guards against whole answers that count as broken for their relay.
    async def body(scene):
        for reading in await scene.begin("whole", count):
            assert await reading == BODY

    run(body)


@pytest.mark.parametrize("pause", (0.0, 0.01))
@pytest.mark.parametrize("end", ("stop", "kill"))
def test_a_whole_answer_stays_whole_as_its_relay_ends_behind_it(end, pause):
    # Guards against whole answers that are lost with the relay that has
    # handed them over; another relay reaches the upstream.
    async def body(scene):
        reading = await scene.begin("whole")
        await scene.ended.wait()
        await asyncio.sleep(pause)
        if end == "stop":
            await scene.relay.stop()
        else:
            scene.relay.process.kill()
        assert await reading[0] == BODY

    run(body)


@pytest.mark.parametrize("manner", ("whole", "half"))
def test_an_end_through_a_relay_of_an_earlier_build_needs_no_check(manner):
    # Guards against a live upstream that vouches for an end that may be the
    # relay's own: it may have given up this tunnel alone.
    async def body(scene):
        nonce = f"old.{TUNNEL_ENDS_PROTOCOL - 1}"
        before, _, _nonce = scene.relay.incarnation.rpartition("/")
        scene.connect(f"{before}/{nonce}")
        reading = await scene.begin(manner)
        await asyncio.sleep(0.1)
        if manner == "half":
            await scene.upstream.kill()
        with pytest.raises(UpstreamError, match="earlier build"):
            await reading[0]

    run(body)
