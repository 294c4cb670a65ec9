"""Shares of the connections that an upstream accepts, on given time.

What happened: 63 routers before 4 replicas opened 603 connections beyond the
440 that each replica accepts.  It resets those, and the requests on them
fail.  Each router kept as many as it had ever needed at once, and knew only
its own.
"""

import asyncio
from test.virtual import LoopClock
from test.virtual import VirtualLoop
from test.virtual_net import VirtualNet

import pytest

from rowanport.errors import NoConnectionFree
from rowanport.gateway.connection_shares import ConnectionShares
from rowanport.gateway.connection_shares import CountingConnector
from rowanport.gateway.metrics import GatewayMetrics
from rowanport.gateway.pool import UpstreamState
from rowanport.gateway.upstream import Upstream
from rowanport.placement import connection_share
from rowanport.routing import Service
from rowanport.web import HttpClient
from rowanport.web.client import Listening
from rowanport.web.connector import DirectConnector

ADDRESS = "10.0.0.1:80"
WORK = 0.06
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class Replica:
    """Accepts a number of connections, and resets all beyond it."""

    def __init__(self, most):
        self.most = most
        self.open = self.peak = self.resets = self.answered = 0
        self.hanging = self.closing = False

    async def serve(self, reader, writer):
        """Answer requests on a connection until it ends."""
        if self.open >= self.most:
            self.resets += 1
            writer.transport.abort()
            return
        self.open += 1
        self.peak = max(self.peak, self.open)
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                await asyncio.sleep(WORK)
                if self.hanging:
                    await asyncio.get_running_loop().create_future()
                if self.closing:
                    return
                self.answered += 1
                writer.write(ANSWER)
        except (asyncio.IncompleteReadError, OSError):
            return
        finally:
            self.open -= 1
            writer.close()


class Members:
    """The routers that are known."""

    def __init__(self, count):
        self.addresses = tuple(f"r{index}" for index in range(count))
        self.listed, self.seeds = [], []


class Table:
    """A configuration with one service."""

    def __init__(self, most):
        self.services = {"plain": Service("plain", "/healthz", most, 1)}


class Router:
    """What a gateway has besides, for its connections."""

    def __init__(self, routers, most, large=True):
        loop = asyncio.get_running_loop()
        self.large_fleet = large
        self.members = Members(routers)
        self.table = Table(most)
        self.shares = ConnectionShares(self, LoopClock(loop), GatewayMetrics())
        self.record = Upstream("r", "plain", ADDRESS, "hall-a", 6, False)
        self.shares.update([self.record])
        direct = DirectConnector(1.0)
        self.connector = CountingConnector(direct, self.shares.counts)
        self.client = HttpClient(connector=self.connector)

    async def ask(self, **options):
        """Send a request; return the status of its answer."""
        answer = await self.client.request(ADDRESS, "GET", "/", **options)
        await answer.read()
        return answer.status


def play(scenario, *args):
    """Run a coroutine function of a Replica on given time."""
    loop = VirtualLoop()
    net = VirtualNet(loop)

    async def run():
        replica = Replica(440)
        host, port = ADDRESS.split(":")
        await net.listen(replica.serve, host, int(port), 0, 0)
        return await scenario(replica, *args)

    try:
        with net.installed():
            return loop.run_until_complete(run())
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


async def crowd(replica, routers, each, large):
    """Let all routers send requests at once; return their statuses."""
    fleet = [Router(routers, 440, large) for _index in range(routers)]
    return await asyncio.gather(
        *(router.ask() for router in fleet for _request in range(each)),
        return_exceptions=True,
    )


@pytest.mark.parametrize("most", [440, 490, 430, 630, 1])
@pytest.mark.parametrize("routers", [1, 34, 62, 63, 420])
def test_all_shares_together_are_within_what_an_upstream_accepts(
    most, routers
):
    share = connection_share(most, routers)
    assert share >= 1
    assert share == 1 or share * routers <= 0.9 * most


def test_a_service_without_a_limit_has_no_shares():
    assert connection_share(0, 63) is None


def test_no_connection_beyond_the_cap_is_opened_by_63_routers():
    def scenario(replica):
        return crowd(replica, 63, 20, True)

    async def run(replica):
        return replica, await scenario(replica)

    replica, statuses = play(run)
    assert replica.resets == 0
    assert replica.peak == 63 * 6
    assert statuses == [200] * (63 * 20)


def test_a_small_fleet_opens_connections_as_before():
    async def run(replica):
        return replica, await crowd(replica, 8, 20, False)

    replica, _statuses = play(run)
    assert replica.peak == 8 * 20


def test_requests_beyond_the_share_wait_for_their_turn():
    # Guards against a reset, and against a request that overtakes others.
    async def run(replica):
        router, order = Router(63, 70), []

        async def ask(index):
            await router.ask()
            order.append(index)

        await asyncio.gather(*map(ask, range(5)))
        return replica.peak, order

    assert play(run) == (1, [0, 1, 2, 3, 4])


def test_idle_connections_count_and_are_used():
    async def run(replica):
        router = Router(63, 440)
        for _round in range(3):
            await asyncio.gather(*(router.ask() for _index in range(6)))
        assert router.client.idle_count(ADDRESS) == 6
        assert not router.shares.counts.has_room(ADDRESS)
        return router.client.opened

    assert play(run) == 6


def test_a_connection_that_failed_makes_room_for_the_next_request():
    # Guards against a share that is used up by connections that are gone.
    async def run(replica):
        router = Router(63, 70)
        replica.closing = True
        outcomes = await asyncio.gather(
            *(router.ask() for _index in range(3)), return_exceptions=True
        )
        assert len(outcomes) == 3
        replica.closing = False
        return await router.ask()

    assert play(run) == 200


def test_a_request_that_is_given_up_makes_room():
    # Guards against waiting requests that outlive their callers.
    async def run(replica):
        router = Router(63, 70)
        replica.hanging = True
        first = asyncio.ensure_future(router.ask())
        second = asyncio.ensure_future(router.ask())
        third = asyncio.ensure_future(router.ask())
        await asyncio.sleep(1.0)
        replica.hanging = False
        second.cancel()
        first.cancel()
        return await third

    assert play(run) == 200


def test_probes_do_not_use_up_the_last_connection():
    async def run(replica):
        router = Router(63, 440)
        replica.hanging = True
        waiting = [asyncio.ensure_future(router.ask()) for _i in range(5)]
        await asyncio.sleep(0.5)
        assert not router.connector.may_probe(ADDRESS)
        assert await router.client.probe(ADDRESS) is Listening.UNKNOWN
        assert router.shares.counts.has_room(ADDRESS)
        for task in waiting:
            task.cancel()
        await asyncio.sleep(0.1)
        return await router.client.probe(ADDRESS)

    assert play(run) is Listening.LISTENS


def test_what_needs_a_new_connection_does_not_wait_for_one():
    async def run(replica):
        router = Router(63, 70)
        await router.ask()
        with pytest.raises(NoConnectionFree):
            await router.ask(fresh=True)

    play(run)


def test_a_share_that_shrinks_closes_idle_connections():
    # Guards against a fleet that grows, whose first routers keep too many.
    async def run(replica):
        router = Router(34, 440)
        await asyncio.gather(*(router.ask() for _index in range(11)))
        assert replica.open == 11
        router.members = Members(63)
        await asyncio.sleep(1.0)
        await asyncio.gather(*(router.ask() for _index in range(6)))
        await asyncio.sleep(0.1)
        return replica.open

    assert play(run) == 6


def test_listed_routers_count_before_they_are_known():
    # Guards against the share of a router that has just started and has
    # heard of nobody.
    async def run(replica):
        router = Router(1, 440)
        router.members.listed = [f"r{index}" for index in range(63)]
        return router.shares.limit(ADDRESS)

    assert play(run) == 6


def test_an_upstream_with_a_free_connection_is_preferred():
    async def run(replica):
        router = Router(63, 440)
        busy, free = UpstreamState(router.record), UpstreamState(router.record)
        busy.outstanding = 6
        found = [busy, free]
        free_candidates = router.shares.free_candidates
        assert await free_candidates("plain", lambda: found) == [free]
        router.large_fleet = False
        assert await free_candidates("plain", lambda: found) == [busy, free]

    play(run)


def test_a_request_waits_until_some_upstream_has_a_free_connection():
    # Guards against requests that are bound to one busy upstream while
    # another one becomes free.
    async def run(replica):
        router = Router(63, 440)
        states = [UpstreamState(router.record) for _index in range(2)]
        for state in states:
            state.outstanding = 6

        def finish():
            states[1].outstanding -= 1
            router.shares.wake("plain")

        loop = asyncio.get_running_loop()
        began_at = loop.time()
        loop.call_later(0.03, finish)
        free = await router.shares.free_candidates("plain", lambda: states)
        return free == [states[1]], round(loop.time() - began_at, 3)

    assert play(run) == (True, 0.03)


def test_a_request_that_waits_learns_that_no_upstream_is_left():
    # Guards against a wait until the deadline for upstreams that have left.
    async def run(replica):
        router = Router(63, 440)
        state = UpstreamState(router.record)
        state.outstanding = 6
        found = [[state], [state], []]
        return await router.shares.free_candidates(
            "plain", lambda: found.pop(0)
        )

    assert play(run) == []
