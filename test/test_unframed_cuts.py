"""Answers without a length at a router that is cut off from its upstreams.

It reaches them through its peers; whole gateways on a VirtualNet.
"""

import asyncio
import functools
from test.crash_world import crash_test
from test.platform_world import HOST as NAME
from test.platform_world import ID_HEADER
from test.platform_world import KEY
from test.test_cut_off import ask_everywhere
from test.test_cut_off import CONTACT_SECONDS
from test.test_cut_off import HANG
from test.test_cut_off import REFUSE
from test.test_cut_off import RESET
from test.test_cut_off import sever
from test.test_unframed_crashes import UnframedUpstream
from test.test_unframed_crashes import UnframedWorld

import pytest

from rowanport.errors import UpstreamError
from rowanport.standins.upstream import is_health_check
from rowanport.web import HttpClient

WHOLE = b"one half of an answer"
COUNT = 40
PAUSE = 0.04


class CutUpstream(UnframedUpstream):
    """An UnframedUpstream that may leave health checks unanswered.

    :ivar mute: whether it does
    """

    mute = False

    async def _answer(self, connection, writer, request, body):
        if self.mute and is_health_check(request):
            await asyncio.get_running_loop().create_future()
        await super()._answer(connection, writer, request, body)


class CutWorld(UnframedWorld):
    """An UnframedWorld whose first router is cut off from all upstreams.

    :param how: how it is cut off
    """

    def __init__(self, *args, how=RESET, **options):
        super().__init__(*args, **options)
        self._how = how

    def _new_upstream(self, name):
        return CutUpstream(name, self.lethal)

    @property
    def cut(self):
        """Return the host of the router that is cut off."""
        return self.hosts[0]

    async def start(self):
        await super().start()
        sever(self, [self.cut], self._how)
        await ask_everywhere(self, 30, 0.02, "before")
        await asyncio.sleep(CONTACT_SECONDS)

    async def ask_body(self, name, path="/once/"):
        """Send a request to the router that is cut off.

        :returns: the body of the answer, None without a whole one
        """
        fields = [
            ("host", NAME),
            (ID_HEADER, name),
            ("api-key", KEY),
            ("x-rowanport-deadline-ms", "4000"),
        ]
        client = HttpClient()
        try:
            answer = await client.request(
                f"{self.cut}:80", "POST", path, name.encode(), fields
            )
            body = await answer.read()
        except UpstreamError:
            return None
        finally:
            client.close()
        return body if answer.status == 200 else None

    async def ask_bodies(self, tag, count=COUNT, **options):
        """Send requests one after another; return the bodies."""
        asking = []
        for number in range(count):
            asking.append(
                self.spawn(self.ask_body(f"{tag}{number}", **options))
            )
            await asyncio.sleep(PAUSE)
        return await asyncio.gather(*asking)


cut_test = functools.partial(crash_test, CutWorld)
EACH_CUT = pytest.mark.parametrize("how", [HANG, RESET, REFUSE])


@EACH_CUT
def test_whole_answers_through_peers_stay_whole(how):
    # Guards against whole answers that count as broken at a router without a
    # link of its own.
    @cut_test(how=how)
    async def run(world):
        assert await world.ask_bodies("r") == [WHOLE] * COUNT

    run()


@pytest.mark.parametrize("wait", (0.0, 0.001, 0.002))
def test_whole_answers_of_busy_upstreams_through_peers_stay_whole(wait):
    # Guards against whole answers that count as broken, as the time in which
    # a relay looks whether a new connection stays open counts as one in which
    # another process may have started.
    @cut_test()
    async def run(world):
        for upstream in world.upstreams.values():
            upstream.mute = True
        world.net.fill(world.cut, wait, wait)
        # One after another: no other connection can prove anything.
        for number in range(3):
            assert await world.ask_body(f"r{number}") == WHOLE
            await asyncio.sleep(0.1)

    run()


@EACH_CUT
def test_half_an_answer_through_peers_is_not_whole(how):
    # Guards against half an answer of a killed upstream whose relay, or whose
    # silent earlier connections, look alive.
    @cut_test(how=how)
    async def run(world):
        asking = world.spawn(world.ask_bodies("r"))
        for _crash in range(3):
            await asyncio.sleep(COUNT * PAUSE / 4)
            world.crash_busiest()
        bodies = await asking
        assert set(bodies) <= {WHOLE, None}
        assert len(world.crashes) == 3

    run()


@cut_test()
async def test_repeatable_requests_through_peers_outlive_upstreams(world):
    # Guards against requests that are not sent again though they may be.
    asking = world.spawn(world.ask_bodies("r", path="/safe/"))
    for _crash in range(3):
        await asyncio.sleep(COUNT * PAUSE / 4)
        world.crash_busiest()
    assert await asking == [WHOLE] * COUNT


@cut_test()
async def test_whole_answers_stay_whole_as_a_relay_stops(world):
    # Guards against whole answers that are lost with a relay that stops as
    # planned, while other peers reach the upstreams.
    asking = world.spawn(world.ask_bodies("r"))
    await asyncio.sleep(COUNT * PAUSE / 3)
    for host in world.hosts[1:3]:
        stopping = world.gateways.pop(host)
        await stopping.stop()
        await stopping.close()
    assert await asking == [WHOLE] * COUNT
