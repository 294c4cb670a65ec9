"""Upstreams that leave while a congested link delays the update."""

import asyncio
from test.platform_world import config
from test.platform_world import HOST as HOST_NAME
from test.platform_world import ID_HEADER
from test.platform_world import route
from test.test_silence import fleet_test
from test.virtual_net import HOST
from unittest import mock

from rowanport.errors import UpstreamError
from rowanport.gateway.views import Views
from rowanport.standins.upstream import UpstreamStandin
from rowanport.web import HttpClient

# Seconds after a change in the store by which no new request may reach an
# upstream that leaves.
DRAIN_SECONDS = 3.0
# Seconds within which an update reaches all routers, also on full links.
UPDATE_SECONDS = 1.5
# More routers than there are store watchers.
FLEET_SIZE = 10
# Concurrent requests before a link is congested, so that connections to all
# upstreams are open.
WARM_UP = 30
PAUSE = 0.2


class TimedUpstream(UpstreamStandin):
    """An upstream that records when requests begin to run."""

    def __init__(self, name):
        super().__init__(name)
        self.run_at = []

    def _note_run(self, connection, names):
        super()._note_run(connection, names)
        self.run_at.append(asyncio.get_running_loop().time())


class Service:
    """Upstreams of a Fleet, and a caller of its routers.

    :param fleet: the Fleet
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.upstreams = [TimedUpstream(f"up-{n}") for n in range(3)]
        self.statuses = []
        self._client = HttpClient(connect_timeout=20.0)
        self._tasks = []

    async def start(self):
        routes = [
            route("/open/", "idempotent", public=True, timeout_ms=12000),
        ]
        self.fleet.version += 1
        await self.fleet.store.put(
            "op/config", config(self.fleet.version, routes=routes)
        )
        for number, upstream in enumerate(self.upstreams):
            host = f"10.9.0.{number + 2}"
            HOST.set(host)
            await upstream.start_at(host, 80)
            await self.write(upstream, "ready")
        HOST.set("caller")
        await self.fleet.store.remove("servers/one")
        await asyncio.sleep(2.0)

    async def write(self, upstream, state):
        """Write an upstream's entry; return the time of the write."""
        entry = upstream.entry(state=state)
        await self.fleet.store.put(f"servers/{upstream.name}", entry)
        return asyncio.get_running_loop().time()

    async def ask(self, host, path="/open/"):
        """Send a request to a router; record and return its status."""
        headers = [
            ("host", HOST_NAME),
            (ID_HEADER, f"r{len(self._tasks)}"),
            ("x-rowanport-deadline-ms", "12000"),
        ]
        try:
            answer = await self._client.request(
                f"{host}:80", "POST", path, b"question", headers
            )
            await answer.read()
            status = answer.status
        except UpstreamError:
            status = 0
        self.statuses.append(status)
        return status

    def begin(self, host):
        """Send a request and do not wait for its answer."""
        self._tasks.append(asyncio.ensure_future(self.ask(host)))

    async def ask_on(self, host, seconds):
        """Send a request every PAUSE seconds for some time."""
        for _number in range(int(seconds / PAUSE)):
            self.begin(host)
            await asyncio.sleep(PAUSE)

    async def wait(self):
        """Wait for all answers; return the statuses since the last wait."""
        await asyncio.gather(*self._tasks)
        self._tasks.clear()
        statuses, self.statuses = self.statuses, []
        return statuses

    async def warm_up(self, host):
        """Let a router open connections to all upstreams."""
        for _number in range(WARM_UP):
            self.begin(host)
        assert set(await self.wait()) == {200}

    def close(self):
        for task in self._tasks:
            task.cancel()
        self._client.close()


def service_test(body):
    """Return a test that runs with a Fleet and its Service."""

    @fleet_test(FLEET_SIZE)
    async def test(fleet):
        service = Service(fleet)
        await service.start()
        try:
            await body(fleet, service)
        finally:
            service.close()

    test.__name__ = body.__name__
    test.__doc__ = body.__doc__
    return test


def watchers_and_others(fleet):
    """Return the hosts that watch the store, and the others."""
    watchers = [
        h for h in fleet.hosts if fleet.gateways[h]._views.watches_store
    ]
    return watchers, [host for host in fleet.hosts if host not in watchers]


@service_test
async def test_a_router_on_a_full_link_sends_nothing_to_a_leaving_upstream(
    fleet, service
):
    watchers, others = watchers_and_others(fleet)
    for host, leaving in ((others[0], 0), (watchers[0], 1)):
        upstream = service.upstreams[leaving]
        await service.warm_up(host)
        fleet.net.fill(host, inward=3.1, outward=0.05)
        asking = asyncio.ensure_future(service.ask_on(host, 12.0))
        await asyncio.sleep(5.0)
        left_at = await service.write(upstream, "draining")
        await asking
        statuses = await service.wait()
        late = [at - left_at for at in upstream.run_at]
        assert max(late) < DRAIN_SECONDS
        # Requests that are not served are refused, for other routers to serve.
        assert set(statuses) <= {200, 503}
        fleet.net.fill(host)
        await asyncio.sleep(5.0)
        assert await service.ask(host) == 200
        await service.wait()


@service_test
async def test_an_isolated_router_is_not_ready(fleet, service):
    _watchers, others = watchers_and_others(fleet)
    host = others[0]
    await service.warm_up(host)
    fleet.net.fill(host, inward=30.0)
    await asyncio.sleep(5.0)
    gateway = fleet.gateways[host]
    assert not gateway.ready
    fleet.net.fill(host)
    await asyncio.sleep(5.0)
    assert gateway.ready


@service_test
async def test_all_routers_serve_during_a_store_outage(fleet, service):
    for fault in ("silent", "reset"):
        fleet.store.fault = fault
        for _number in range(40):
            for host in fleet.hosts:
                service.begin(host)
            await asyncio.sleep(PAUSE)
            assert all(g.ready for g in fleet.gateways.values())
        assert set(await service.wait()) == {200}
        fleet.store.fault = ""
        await asyncio.sleep(5.0)


@service_test
async def test_updates_arrive_in_time_on_a_full_link(fleet, service):
    watchers, others = watchers_and_others(fleet)
    for host in (others[0], watchers[0]):
        gateway = fleet.gateways[host]
        fleet.net.fill(host, inward=0.6, outward=0.6)
        await asyncio.sleep(8.0)
        for number in range(8):
            state = ("draining", "ready")[number % 2]
            left_at = await service.write(service.upstreams[0], state)
            while _is_leaving(gateway) != (state == "draining"):
                await asyncio.sleep(0.01)
            now = asyncio.get_running_loop().time()
            assert now - left_at < UPDATE_SECONDS
            await asyncio.sleep(0.31)
        fleet.net.fill(host)
        await asyncio.sleep(5.0)


def _is_leaving(gateway):
    return gateway.upstreams.upstreams["up-0"].leaving


@service_test
async def test_peers_that_polled_recently_are_pushed_updates(fleet, service):
    _watchers, others = watchers_and_others(fleet)
    gateways = [fleet.gateways[host] for host in others]
    with mock.patch.object(Views, "_next_sources", lambda views: []):
        await service.write(service.upstreams[0], "draining")
        await asyncio.sleep(0.1)
        assert all(_is_leaving(gateway) for gateway in gateways)


@service_test
async def test_a_router_with_stale_views_calls_no_route_unknown(
    fleet, service
):
    _watchers, others = watchers_and_others(fleet)
    gateway = fleet.gateways[others[0]]
    assert await service.ask(others[0], "/nowhere/") == 404
    fleet.net.fill(others[0], inward=30.0)
    await asyncio.sleep(3.0)
    assert gateway.views.freshness.stale
    fleet.net.fill(others[0])
    # The answers take a while to arrive; until then the views are as stale.
    assert await service.ask(others[0], "/nowhere/") == 503
    await asyncio.sleep(5.0)
    assert await service.ask(others[0], "/nowhere/") == 404
