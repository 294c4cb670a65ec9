"""Stand-in of the users' platform's store, with the faults its pages tell."""

import asyncio
import base64
import contextlib
import itertools
import json
import random
import urllib.parse

from ..tasks import TaskSet
from ..web import HttpServer

# Seconds for which a call that gets no answer is held.
HOLD_SECONDS = 60
# Longest delay in seconds of a transaction that is carried out late.
LATE_SECONDS = 3.0


class StoreStandin:
    """The platform's store, in memory.

    :ivar fault: "" or what it does with each call: busy, limited, silent,
        reset
    :ivar away: the same by name of a door, for callers that use this door
    :ivar slow: seconds added to each call
    :ivar lossy: share of answers that are lost after the call took effect
    :ivar late: share of transactions carried out late, without an answer
    :ivar lost: transactions to come whose answers are lost
    :ivar leases: time to live in milliseconds by lease
    """

    def __init__(self):
        self.items = {}
        self.gone = []
        self.revision = 1
        self.oldest = 0
        self.leases = {}
        self.fault = ""
        self.away = {}
        self.slow = 0.0
        self.lossy = 0.0
        self.late = 0.0
        self.lost = 0
        self.calls = []
        self.random = random.Random(1)
        self._renewed = {}
        self._numbers = itertools.count(1)
        self._tasks = TaskSet()
        self._changed = asyncio.Condition()
        self._server = HttpServer(self._handle)
        self._doors = []

    async def start(self, port):
        await self.start_at("127.0.0.1", port)

    async def start_at(self, host, port):
        await self._server.start(host, port)

    async def open_door(self, name, port):
        """Listen on one more port, whose callers are known by a name."""

        async def handle(request, responder):
            await self._handle(request, responder, name)

        door = HttpServer(handle)
        self._doors.append(door)
        await door.start("127.0.0.1", port)

    async def close(self):
        self._tasks.cancel()
        for server in (self._server, *self._doors):
            await server.close()

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

    async def drop_expired(self):
        """End the leases that nobody renewed, and their keys."""
        now = _now()
        for lease, ttl in list(self.leases.items()):
            if now > self._renewed[lease] + ttl / 1000:
                del self.leases[lease]
                for key, item in list(self.items.items()):
                    if item[2] == lease:
                        await self.remove(key)

    async def _handle(self, request, responder, door=""):
        path, _, text = request.path.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        self.calls.append(path)
        fault = self.away.get(door) or self.fault
        if fault in ("busy", "limited"):
            status = 503 if fault == "busy" else 429
            return await responder.reply_json(status, {})
        if fault == "reset":
            raise ConnectionAbortedError
        if fault == "silent":
            await asyncio.sleep(HOLD_SECONDS)
        if self.slow:
            await asyncio.sleep(self.slow)
        name = path.split("/")[1].replace("-", "_")
        if name == "kv_txn" and self.random.random() < self.late:
            self._tasks.spawn(self._do_late(request))
            await asyncio.sleep(HOLD_SECONDS)
        status, answer = await getattr(self, f"_{name}")(request, query)
        if name == "kv_txn" and self.lost:
            self.lost -= 1
            await asyncio.sleep(HOLD_SECONDS)
        if self.random.random() < self.lossy:
            await asyncio.sleep(HOLD_SECONDS)
        await responder.reply_json(status, answer)

    async def _do_late(self, request):
        """Carry a transaction out later, if its condition holds then."""
        await asyncio.sleep(self.random.uniform(0.2, LATE_SECONDS))
        await self._kv_txn(request, {})

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
        deadline = _now() + int(query["wait_ms"]) / 1000
        while True:
            if after < self.oldest:
                return 410, {}
            events = self._events(prefix, after)
            left = deadline - _now()
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
        for key in body["remove"]:
            if self.items.pop(key, None) is not None:
                self.gone.append((key, self.revision))
        await self._tell()
        return 200, {"revision": self.revision}

    async def _kv_lease(self, request, query):
        lease = next(self._numbers)
        self.leases[lease] = request.json()["ttl_ms"]
        self._renewed[lease] = _now()
        return 200, {"lease": lease, "ttl_ms": self.leases[lease]}

    async def _kv_keep(self, request, query):
        lease = int(request.path.split("/")[2])
        if lease not in self.leases:
            return 404, {}
        self._renewed[lease] = _now()
        return 200, {"ttl_ms": self.leases[lease]}


def _now():
    """Return the loop's time, which tests may give."""
    return asyncio.get_running_loop().time()
