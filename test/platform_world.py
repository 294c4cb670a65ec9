"""A gateway of the adapter, against stand-ins, in the test's own process."""

import asyncio
from unittest import mock

from bench.ports import free_ports
from rowanport.gateway import retry_allowances
from rowanport.gateway.settings import GatewaySettings
from rowanport.platform.__main__ import build
from rowanport.platform.settings import PlatformSettings
from rowanport.standins.kvstore import StoreStandin
from rowanport.standins.upstream import ID_HEADER
from rowanport.standins.upstream import LARGE
from rowanport.standins.upstream import STAMP_HEADER
from rowanport.standins.upstream import UpstreamStandin
from rowanport.web import HttpClient

__all__ = [
    "config",
    "HOST",
    "ID_HEADER",
    "KEY",
    "LARGE",
    "Platform",
    "route",
    "SECRET",
    "STAMP_HEADER",
    "StoreStandin",
]

HOST = "feed.example"
KEY = "key-of-org"
ORGANISATION = "org"
SECRET = "a secret of the tests"


def route(prefix, kind, **more):
    """Return a route of a configuration."""
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 2000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": "feed",
        "max_attempts": 2,
        "public": False,
        **more,
    }


def config(version=1, prepaid=100000, **more):
    """Return a configuration as an operator writes it."""
    return {
        "version": version,
        "routes": [
            route("/safe/", "idempotent"),
            route("/once/", "non_idempotent", max_attempts=1),
            route("/stream/", "streaming", stream_resume=True),
            route("/plainstream/", "streaming", max_attempts=1),
            route("/short/", "non_idempotent", timeout_ms=300),
            route("/open/", "idempotent", public=True),
        ],
        "services": [
            {
                "name": "feed",
                "health_path": "/healthz",
                "max_connections": 100,
                "engine": {"stride": 3},
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 100000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {"name": ORGANISATION, "api_keys": [KEY], "prepaid": prepaid}
        ],
        **more,
    }


class Platform:
    """A store, two upstreams and a gateway, started together."""

    def __init__(self):
        self.store = StoreStandin()
        self.upstreams = [UpstreamStandin("one"), UpstreamStandin("two")]
        self.gateway = None
        self.client = HttpClient()

    async def __aenter__(self):
        ports = free_ports(6)
        await self.store.start(ports[0])
        for upstream, port in zip(self.upstreams, ports[1:3]):
            await upstream.start(port)
            await self.store.put(f"servers/{upstream.name}", upstream.entry())
        await self.store.put("op/config", config())
        self.callers, self.health, self.peers = [
            f"127.0.0.1:{port}" for port in ports[3:]
        ]
        self.gateway = build(self.settings(ports[0]))
        with mock.patch.multiple(
            retry_allowances, CLAIM_DELAY=0.0, CLAIM_SPREAD=0.0
        ):
            await self.gateway.start()
            await self.wait(lambda: self.gateway.ready)
            await self.wait(lambda: self.gateway.retries.share)
        await self.wait(lambda: self.gateway.budgets.accounts["org"].inflow)
        return self

    async def __aexit__(self, *_exc):
        self.client.close()
        await self.gateway.close()
        await self.store.close()
        for upstream in self.upstreams:
            await upstream.close()

    def settings(self, store_port):
        gateway = GatewaySettings(
            name="front-1",
            data_centre="hall-a",
            region="north",
            callers=self.callers,
            health=self.health,
            peers=self.peers,
            seeds=[],
            secret=SECRET,
            stop_grace=4.0,
            retry_ratio=0.2,
            retry_slack=50,
            retry_window=10,
        )
        return PlatformSettings(gateway, f"127.0.0.1:{store_port}")

    async def wait(self, condition, seconds=8.0):
        """Wait until something holds."""
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.01)

    async def ask(
        self,
        path,
        request_id="r1",
        method="POST",
        body=b"question",
        **headers,
    ):
        """Send a request as a caller does; return its HttpAnswer."""
        fields = {
            "host": HOST,
            ID_HEADER: request_id,
            "x-rowanport-deadline-ms": "5000",
            "api-key": KEY,
        }
        for name, value in headers.items():
            fields[name.replace("_", "-")] = value
        items = [(k, v) for k, v in fields.items() if v is not None]
        return await self.client.request(
            self.callers, method, path, body, items
        )

    async def stream(self, path, request_id="r1", tokens="100,30"):
        """Ask for a stream; return the answer."""
        return await self.ask(
            path,
            request_id,
            x_rowanport_token_count=tokens,
            x_rowanport_prompt_prefix="aa:60,bb:40",
            x_rowanport_model="m",
        )

    @property
    def reach(self):
        """Return the gateway's Reachability of the store."""
        return self.gateway._sources[0]._store.reach

    @property
    def runs(self):
        """Return the headers of all requests that upstreams ran."""
        return [head for upstream in self.upstreams for head in upstream.heads]
