"""Stand-in of the users' platform's store, with the faults its pages tell."""

import asyncio
import base64
import contextlib
import json
import time
import urllib.parse

from ..web import HttpServer


class StoreStandin:
    """The platform's store, in memory.

    :ivar fault: "" or what it does with each call: busy, silent, reset
    :ivar lost: transactions to come whose answers are lost
    """

    def __init__(self):
        self.items = {}
        self.gone = []
        self.revision = 1
        self.oldest = 0
        self.leases = {}
        self.fault = ""
        self.lost = 0
        self.calls = []
        self._changed = asyncio.Condition()
        self._server = HttpServer(self._handle)

    async def start(self, port):
        await self._server.start("127.0.0.1", port)

    async def close(self):
        await self._server.close()

    async def put(self, key, value, lease=0):
        """Write a key, as an operator or an upstream does."""
        self.revision += 1
        data = (
            value if isinstance(value, bytes) else json.dumps(value).encode()
        )
        self.items[key] = (data, self.revision, lease)
        await self._tell()

    async def remove(self, key):
        """Remove a key."""
        self.revision += 1
        del self.items[key]
        self.gone.append((key, self.revision))
        await self._tell()

    def forget_history(self):
        """Answer older watches with 410 from now on."""
        self.revision += 1
        self.oldest = self.revision

    async def _tell(self):
        async with self._changed:
            self._changed.notify_all()

    async def _handle(self, request, responder):
        path, _, text = request.path.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        self.calls.append(path)
        if self.fault == "busy":
            return await responder.reply_json(503, {})
        if self.fault == "silent":
            await asyncio.sleep(60)
        name = path.split("/")[1].replace("-", "_")
        status, answer = await getattr(self, f"_{name}")(request, query)
        if name == "kv_txn" and self.lost:
            self.lost -= 1
            await asyncio.sleep(60)
        await responder.reply_json(status, answer)

    def _row(self, key):
        data, revision, lease = self.items[key]
        return {
            "private_key": key,
            "value": base64.b64encode(data).decode(),
            "revision": revision,
            "made": revision,
            "lease": lease,
        }

    async def _kv_key(self, request, query):
        key = query["private_key"]
        if key not in self.items:
            return 404, {"at": self.revision}
        return 200, {**self._row(key), "at": self.revision}

    async def _kv_range(self, request, query):
        rows = [
            self._row(key)
            for key in sorted(self.items)
            if key.startswith(query["path_prefix"])
        ]
        return 200, {"items": rows, "more": False, "at": self.revision}

    async def _kv_watch(self, request, query):
        after = int(query["start_after_rev"])
        prefix = query["path_prefix"]
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if after < self.oldest:
                return 410, {}
            events = self._events(prefix, after)
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            async with self._changed:
                with contextlib.suppress(asyncio.TimeoutError):
                    async with asyncio.timeout(min(left, 0.2)):
                        await self._changed.wait()

    def _events(self, prefix, after):
        rows = [
            self._row(key)
            for key, (_data, revision, _lease) in self.items.items()
            if key.startswith(prefix) and revision > after
        ]
        rows += [
            {"private_key": key, "revision": revision, "gone": True}
            for key, revision in self.gone
            if key.startswith(prefix)
            and revision > after
            and key not in self.items
        ]
        return rows

    async def _kv_txn(self, request, query):
        body = request.json()
        expected = body["expected_rev"]
        current = {
            row["private_key"]: self.items.get(row["private_key"], (0, 0, 0))
            for row in expected
        }
        if any(
            current[row["private_key"]][1] != row["revision"]
            for row in expected
        ):
            rows = [self._row(key) for key in current if key in self.items]
            return 412, {"items": rows}
        if any(
            p["lease"] and p["lease"] not in self.leases for p in body["put"]
        ):
            return 404, {}
        self.revision += 1
        for put in body["put"]:
            data = base64.b64decode(put["value"])
            self.items[put["private_key"]] = (
                data,
                self.revision,
                put["lease"],
            )
        await self._tell()
        return 200, {"revision": self.revision}

    async def _kv_lease(self, request, query):
        lease = len(self.leases) + 1
        self.leases[lease] = request.json()["ttl_ms"]
        return 200, {"lease": lease, "ttl_ms": self.leases[lease]}

    async def _kv_keep(self, request, query):
        lease = int(request.path.split("/")[2])
        if lease not in self.leases:
            return 404, {}
        return 200, {"ttl_ms": self.leases[lease]}
