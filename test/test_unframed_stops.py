"""Upstreams that freeze, and routers that stop, behind a whole answer.

On real processes: what a kernel does for a process that is paused, and what a
signal does to a router, is the matter here.
"""

import asyncio
from test.process_world import GatewayProcess
from test.process_world import request_of
from test.process_world import SlowCaller
from test.test_killed_upstreams import KilledPlatform
from test.test_killed_upstreams import outcome
from test.test_killed_upstreams import UpstreamProcess
from test.test_killed_upstreams import whole_body
from test.upstream_process import BODY

import pytest

from bench.ports import free_ports

# Seconds that anything may take before a test gives up.
PATIENCE = 30.0
# Seconds from the run of a request until the confirmation of its answer is
# under way: it takes 0.5 s at a frozen upstream.
UNDER_WAY = 0.2


@pytest.mark.parametrize("path", ("/once/", "/plainstream/"))
def test_a_whole_answer_of_an_upstream_that_freezes_stays_whole(path):
    # Guards against a whole answer that counts as broken, as its upstream is
    # paused right behind it and answers no health check.
    async def main():
        async with asyncio.timeout(PATIENCE), KilledPlatform() as platform:
            reading = platform.start(path + "frozen")
            assert await outcome(reading) == (200, whole_body(path))

    asyncio.run(main())


class RouterProcess(GatewayProcess):
    """A GatewayProcess whose only upstream is a process, too.

    :ivar upstream: the UpstreamProcess
    """

    async def __aenter__(self):
        self.upstreams = []
        await super().__aenter__()
        (port,) = free_ports(1)
        self.upstream = UpstreamProcess("only", port)
        await self.upstream.start()
        await self.store.put("servers/only", self.upstream.entry())
        await self.start()
        await self.wait(lambda: self.row("gateway_ready"))
        return self

    async def __aexit__(self, *exc):
        await super().__aexit__(*exc)
        await self.upstream.kill()


def test_a_stop_of_the_router_cuts_no_answer_that_is_confirmed(tmp_path):
    # Guards against a whole answer that is cut by a planned stop, as its
    # confirmation is under way.
    async def main():
        async with asyncio.timeout(PATIENCE):
            async with RouterProcess(tmp_path) as router:
                caller = SlowCaller()
                await caller.open(router.callers)
                request = request_of("r1").replace(b"/once/", b"/once/frozen")
                await caller.send(request)
                await router.upstream.wait_for_run()
                await asyncio.sleep(UNDER_WAY)
                assert not caller.got
                router.stop()
                await caller.read_rest()
                caller.close()
                assert caller.head.startswith("http/1.1 200")
                assert caller.body == BODY
                assert await router.end() == 0

    asyncio.run(main())
