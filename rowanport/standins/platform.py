"""Stand-in of the platform: store with leases and watches, instance list."""

import asyncio
import time
import urllib.parse

from ..store.store import INSTANCE_HEADER
from ..store.store import VALUE_LIMIT
from ..store.store import VERSION_HEADER
from ..web import HttpServer
from ..web.server import HttpLimits
from .faults import Faults

WRITES_PER_SECOND = 100
READS_PER_SECOND = 2000
LONGEST_WAIT = 30.0


class RateLimit:
    """Admits a number of calls a second, with a burst of one second."""

    def __init__(self, rate):
        self._rate = rate
        self._tokens = float(rate)
        self._last = time.monotonic()
        self.admitted = 0
        self.refused = 0

    def admit(self):
        """Return whether one more call is within the rate."""
        now = time.monotonic()
        self._tokens += (now - self._last) * self._rate
        self._tokens = min(self._tokens, float(self._rate))
        self._last = now
        if self._tokens < 1:
            self.refused += 1
            return False
        self._tokens -= 1
        self.admitted += 1
        return True


class PlatformStandin:
    """Serves ``/kv``, ``/leases``, ``/instances``, ``/faults``, ``/counts``.

    :param lag: seconds by which the instance list is behind
    """

    def __init__(self, lag=1.0, writes=WRITES_PER_SECOND):
        self._lag = lag
        self._values = {}
        self._changed = asyncio.Condition()
        self._leases = {}
        self._instances = {}
        self._listed = [(0.0, [])]
        self._writes = RateLimit(writes)
        self._reads = RateLimit(READS_PER_SECOND)
        self._faults = Faults()
        limits = HttpLimits(body=2 * VALUE_LIMIT, connections=10000)
        self._server = HttpServer(self._handle, limits=limits)

    async def start(self, address, port):
        """Listen on an address."""
        await self._server.start(address, port)

    async def close(self):
        """Stop at once."""
        await self._server.close()

    async def _handle(self, request, responder):
        path, _, query = request.path.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        if path == "/faults":
            self._faults.set(request.json())
            return await responder.reply_json(200, {})
        if path == "/counts":
            return await responder.reply_json(200, self._counts())
        instance = request.header(INSTANCE_HEADER)
        await self._faults.before(instance)
        if path.startswith("/kv/"):
            status, headers, data = await self._serve_key(
                request, urllib.parse.unquote(path[4:]), query
            )
            await self._faults.after(instance)
            return await responder.reply(status, data, headers)
        status, value = self._serve_json(request, path)
        await self._faults.after(instance)
        return await responder.reply_json(status, value)

    def _counts(self):
        return {
            "writes": self._writes.admitted,
            "reads": self._reads.admitted,
            "writes_refused": self._writes.refused,
            "reads_refused": self._reads.refused,
        }

    # Keys

    async def _serve_key(self, request, key, query):
        limit = self._writes if request.method == "PUT" else self._reads
        if not limit.admit():
            return 429, (), b""
        if request.method == "PUT":
            return await self._put(key, request.body, int(query["version"]))
        if "after" in query:
            wait = min(float(query["wait"]), LONGEST_WAIT)
            await self._wait_newer(key, int(query["after"]), wait)
        version, data = self._values.get(key, (0, b""))
        return 200 if version else 404, _version(version), data

    async def _put(self, key, data, expected):
        version, _data = self._values.get(key, (0, b""))
        if version != expected:
            return 409, _version(version), b""
        if len(data) > VALUE_LIMIT:
            return 413, (), b""
        self._values[key] = (version + 1, data)
        async with self._changed:
            self._changed.notify_all()
        return 200, _version(version + 1), b""

    async def _wait_newer(self, key, version, wait):
        def newer():
            return self._values.get(key, (0, b""))[0] > version

        async with self._changed:
            try:
                await asyncio.wait_for(self._changed.wait_for(newer), wait)
            except asyncio.TimeoutError:
                pass

    # Leases and instances

    def _serve_json(self, request, path):
        name = path.rpartition("/")[2]
        if path.startswith("/leases/"):
            if not self._writes.admit():
                return 429, {}
            return self._lease(name, request.json())
        if path == "/instances":
            if not self._reads.admit():
                return 429, {}
            return 200, self._lagging_list()
        if path.startswith("/instances/"):
            if request.method == "DELETE":
                self._instances.pop(name, None)
            else:
                self._instances[name] = {"name": name, **request.json()}
            rows = [dict(row) for row in self._instances.values()]
            self._listed.append((time.monotonic(), rows))
            return 200, {}
        return 404, {}

    def _lease(self, name, wanted):
        now = time.time()
        holder, until = self._leases.get(name, ("", 0.0))
        if until > now and holder != wanted["holder"]:
            return 409, {"holder": holder, "until": until}
        until = now + wanted["seconds"]
        self._leases[name] = (wanted["holder"], until)
        return 200, {"holder": wanted["holder"], "until": until}

    def _lagging_list(self):
        seen = time.monotonic() - self._lag
        while len(self._listed) > 1 and self._listed[1][0] <= seen:
            self._listed.pop(0)
        return self._listed[0][1]


def _version(version):
    return [(VERSION_HEADER, str(version))]
