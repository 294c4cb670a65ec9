"""A fleet before engines that copy their runs, on a VirtualNet."""

import asyncio
from test.crash_world import CrashWorld
from test.platform_world import config
from test.platform_world import HOST as NAME
from test.platform_world import ID_HEADER
from test.platform_world import KEY
from test.platform_world import route
from test.test_silence import settings
from test.version_world import Stream
from test.virtual_net import HOST

from rowanport.errors import UpstreamError
from rowanport.platform.__main__ import build
from rowanport.standins.copying_engine import CopyingEngine
from rowanport.web import HttpClient

EVENTS = 8
PAUSE = 0.1
# Enough for all requests that a crash ends.
RETRY_SLACK = 1000
# Costs with which each run of a route that is not resumable gets a copy.
COSTS = {
    "copy_cost": 0.1,
    "lost_stream_cost": 1.0,
    "engine_failure_rate": 0.1,
}
PREPAID = 10_000_000
MEMORY = 700_000


class MigrationWorld(CrashWorld):
    """Routers, a store, and engines that copy their runs.

    :param costs: settings of the routers' MovePolicy
    :param feature: what the engines can do, "backups" or "moves"
    :ivar engines: all CopyingEngines that ever ran
    :ivar streams: the Streams that were asked for, by name
    """

    def __init__(
        self, loop, net, costs=COSTS, routers=2, engines=8, feature="backups"
    ):
        super().__init__(loop, net, routers, engines)
        self.engines = []
        self.streams = {}
        self._costs = costs
        self._links = {}
        self._feature = feature

    async def start_router(self, host):
        """Start the router of a host."""
        HOST.set(host)
        platform = settings(host, self.hosts)
        platform.gateway.retry_slack = RETRY_SLACK
        for name, value in self._costs.items():
            setattr(platform.gateway, name, value)
        gateway = build(platform, self.clocks[host])
        self.gateways[host] = gateway
        await gateway.start()
        HOST.set("caller")

    async def start(self):
        """Start everything, and configure engines with backups."""
        await super().start()
        await self.store.put("op/config", _config(self._feature))
        await asyncio.sleep(3.0)
        for gateway in self.gateways.values():
            engine = gateway.table.services["feed"].engine
            assert getattr(engine, self._feature)

    def _new_upstream(self, name):
        engine = CopyingEngine(name, self._links, EVENTS, MEMORY)
        engine.pause = PAUSE
        self.engines.append(engine)
        return engine

    @property
    def spans(self):
        """Return the RunSpans of all engines, in their order in time."""
        spans = [span for one in self.engines for span in one.spans]
        return sorted(spans, key=lambda span: span.begins_at)

    def engine_of(self, name):
        """Return the engine that executed a run last."""
        span = [span for span in self.spans if span.id == name][-1]
        (engine,) = [e for e in self.engines if e.name == span.engine]
        return engine

    def backup_of(self, name):
        """Return the engine that has the copy of a run, or None."""
        for engine in self.engines:
            if name in engine.copies:
                return engine
        return None

    def overlaps(self):
        """Return the ids of requests that ran twice, or began anew."""
        found = set()
        last = {}
        for span in self.spans:
            before = last.get(span.id)
            last[span.id] = span
            if before is None:
                continue
            ended = before.ends_at
            again = ended is None or ended > span.begins_at
            if again or not span.resumed:
                found.add(span.id)
        return found

    async def read(self, name, host=None, path="/plainstream/", most=None):
        """Ask for a stream; return it as the caller has it.

        :param most: events after which the caller leaves, None for all
        """
        stream = self.streams[name] = Stream(name)
        fields = [
            ("host", NAME),
            (ID_HEADER, name),
            ("api-key", KEY),
            ("x-rowanport-deadline-ms", "8000"),
            ("x-rowanport-token-count", "100,24"),
            ("x-rowanport-prompt-prefix", f"shared:50,{name}:50"),
            ("x-rowanport-model", "m"),
        ]
        client = HttpClient()
        try:
            answer = await client.request(
                f"{host or self.hosts[0]}:80",
                "POST",
                path,
                name.encode(),
                fields,
            )
            stream.status = answer.status
            if answer.status != 200:
                await answer.read()
                return stream
            while most is None or len(stream.events) < most:
                piece = await answer.next_piece()
                if piece is None:
                    stream.whole = True
                    break
                stream.add(piece)
            answer.close()
        except UpstreamError:
            pass
        finally:
            client.close()
        return stream


def _config(feature):
    long = {"timeout_ms": 15000, "target_latency_ms": 1000}
    routes = [
        route("/stream/", "streaming", stream_resume=True, **long),
        route("/plainstream/", "streaming", max_attempts=1, **long),
    ]
    fields = config(2, PREPAID, routes=routes)
    fields["services"][0]["engine"] = {
        "stride": 3,
        "slots": 12,
        "kv_capacity_tokens": MEMORY,
        "kv_token_bytes": 18432,
        "link_mbps": 370000,
        feature: True,
        "handle_s": 5,
    }
    return fields
