"""A small fleet for the cases: routers, runners, the store and callers.

Routers and runners are processes of their own.  Routers are started by the
command of the deploy file.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from rowanport.standins.kvstore import StoreStandin

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOCAL = "127.0.0.1"
HOST = "feed.example"
KEY = "key-of-org"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT = 1.2
ZONES = ("hall-a", "hall-b", "hall-c")
# Exit codes of a case.
HELD, BROKEN, UNABLE = 0, 1, 2
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_delay_s": 2,
    "contact_ms": 3000,
    "ack_timeout_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 5000,
    "strict_revoke": False,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_slack": 56,
    "recovery_s": 12,
    "pass_ms": 120,
    "again_s": 10,
    "settle_ms": 1500,
}


def free_ports(count):
    """Return ports that are free on all loopback addresses."""
    limit = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text()
    end = int(limit.split()[0])
    draw = random.SystemRandom()
    ports = []
    with contextlib.ExitStack() as held:
        while len(ports) < count:
            port = draw.randrange(10000, end)
            probe = held.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                probe.bind(("0.0.0.0", port))
                ports.append(port)
    return ports


def route(prefix, kind, service, **more):
    """Return a route of a configuration."""
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 5000,
        "target_latency_ms": 800,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
        **more,
    }


def config(routes, services, version=1, prepaid=10**9):
    """Return a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/healthz",
                "max_connections": 370,
                "engine": {"stride": 1},
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1000000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "org", "api_keys": [KEY], "prepaid": prepaid}],
    }


class Answer:
    """What a caller got.

    :ivar status: 0 if the channel ended without a head
    :ivar whole: whether the answer came to its end
    """

    def __init__(self, status=0, fields=None, body=b"", whole=False):
        self.status = status
        self.fields = fields or {}
        self.body = body
        self.whole = whole


class Process:
    """A process that the case started, and ends by its id."""

    def __init__(self, command, environment, output):
        self._output = open(output, "ab")
        self._process = subprocess.Popen(
            command,
            stdin=subprocess.DEVNULL,
            stdout=self._output,
            stderr=self._output,
            env=environment,
            cwd=ROOT,
        )

    @property
    def pid(self):
        return self._process.pid

    @property
    def alive(self):
        return self._process.poll() is None

    def signal(self, number):
        if self.alive:
            self._process.send_signal(number)

    def kill(self):
        """End it as a crash does, and wait until it is gone."""
        self.signal(signal.SIGKILL)
        self._process.wait()
        self._output.close()


class RunnerProcess:
    """A runner and its entry in the store; each start has a new id."""

    def __init__(self, fleet, service, zone, ip):
        self.service = service
        self.zone = zone
        self.address = f"{ip}:{fleet.runner_port}"
        self.process = None
        self.id = None
        # Address in the entry; a proxy's, where one stands before it.
        self.listed = self.address
        # Which of its streams it spoils: each Nth, 0 for none.
        self.spoil = 0
        self._fleet = fleet
        self._starts = 0
        self._ip = ip

    async def start(self):
        self._starts += 1
        self.id = f"i-{self._ip.replace('.', '-')}-{self._starts}"
        self.process = Process(
            [
                sys.executable,
                "-S",
                str(ROOT / "review/runner.py"),
                self.id,
                self._ip,
                str(self._fleet.runner_port),
                str(self._fleet.directory / "runs.txt"),
                str(self.spoil),
            ],
            self._fleet.environment,
            self._fleet.directory / "runners.log",
        )
        await wait_open(self._ip, self._fleet.runner_port)
        self._fleet.spawn(self._beat(self.id, self.process))

    async def _beat(self, name, process):
        """Write the entry while the runner lives; remove it in the end."""
        number = 0
        while process.alive:
            number += 1
            entry = {
                "service": self.service,
                "address": self.listed,
                "zone": self.zone,
                "version": "v1",
                "slots": 64,
                "state": "ready",
                "cold_left_ms": 0,
                "seq_num": number,
            }
            await self._fleet.store.put(f"servers/{name}", entry)
            await asyncio.sleep(HEARTBEAT)
        await asyncio.sleep(2 * HEARTBEAT)
        await self._fleet.store.remove(f"servers/{name}")


class RouterProcess:
    """A router, started by the command of the deploy file."""

    def __init__(self, fleet, name, zone, ip):
        self.name = name
        self.zone = zone
        self.ip = ip
        self.process = None
        self._fleet = fleet
        self._settings = fleet.directory / f"{name}.json"
        self.log = fleet.directory / f"{name}.log"

    @property
    def callers(self):
        return self.ip, self._fleet.ports[0]

    def start(self, seeds, bootstrap):
        front, ready, control = [
            f"{self.ip}:{port}" for port in self._fleet.ports
        ]
        fields = {
            "node_name": self.name,
            "role": "router",
            "machine_class": "front",
            "serves": ["front", "control_plane"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "north",
            "zones": dict.fromkeys(ZONES, "north"),
            "listen": {"front": front, "ready": ready, "control": control},
            "seeds": seeds,
            "bootstrap": bootstrap,
            "limits": {"link_mbps": 1000.0},
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
            "platform": {
                "address": f"{LOCAL}:{self._fleet.store_port}",
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }
        self._settings.write_text(json.dumps(fields))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["router"]
        self.process = Process(
            role["run"].split(),
            {
                **self._fleet.environment,
                **role["env"],
                "ROWANPORT_NODE_FILE": str(self._settings),
            },
            self.log,
        )

    async def is_ready(self):
        answer = await ask(
            (self.ip, self._fleet.ports[1]), "GET", "/readyz", {}, timeout=1.0
        )
        return answer.status == 200

    def lines(self, event):
        """Return the log's lines of an event."""
        rows = []
        for line in self.log.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                row = json.loads(line)
                if row.get("event") == event:
                    rows.append(row)
        return rows


class Fleet:
    """All that a case starts.

    :param case: folder of the case, which gets its record
    """

    def __init__(self, case):
        self.case = pathlib.Path(case).resolve()
        self.directory = pathlib.Path(tempfile.mkdtemp())
        self.record = open(self.case / "record.txt", "w", encoding="utf-8")
        self.store = StoreStandin()
        *self.ports, self.runner_port, self.store_port = free_ports(5)
        self.runners = []
        self.routers = []
        self._tasks = set()
        self._block = 10 + os.getpid() % 200
        self.environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        self.environment["PYTHONPATH"] = "target/deps"
        self.environment["PYTHONDONTWRITEBYTECODE"] = "1"

    def write(self, what, **fields):
        """Write a line of the record."""
        row = {"at": time.time(), "what": what, **fields}
        self.record.write(json.dumps(row) + "\n")

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def add_runner(self, service, zone):
        ip = f"127.{self._block}.2.{len(self.runners) + 1}"
        self.runners.append(RunnerProcess(self, service, zone, ip))
        return self.runners[-1]

    def add_router(self, zone):
        number = len(self.routers) + 1
        ip = f"127.{self._block}.1.{number}"
        router = RouterProcess(self, f"front-{number}", zone, ip)
        self.routers.append(router)
        return router

    async def start(self, configuration):
        """Start all, and wait until the routers are ready."""
        await self.store.start_at(LOCAL, self.store_port)
        self.spawn(self._expire())
        await self.store.put("op/config", configuration)
        await asyncio.gather(*(one.start() for one in self.runners))
        seeds = [f"{one.ip}:{self.ports[2]}" for one in self.routers[:3]]
        for router in self.routers:
            router.start(seeds, True)
        async with asyncio.timeout(30):
            for router in self.routers:
                while not await router.is_ready():
                    await asyncio.sleep(0.1)

    def at_work(self, target):
        """Return how many requests for a target each live runner works on."""
        rows = (self.directory / "runs.txt").read_text().splitlines()
        rows = [json.loads(line) for line in rows]
        ended = {
            (row["id"], row["runner"])
            for row in rows
            if row["what"] == "has run"
        }
        counts = {one: 0 for one in self.runners if one.process.alive}
        names = {one.id: one for one in counts}
        for row in rows:
            wanted = row.get("target") == target and row["runner"] in names
            if wanted and (row["id"], row["runner"]) not in ended:
                counts[names[row["runner"]]] += 1
        return counts

    async def _expire(self):
        while True:
            await self.store.drop_expired()
            await asyncio.sleep(0.2)

    async def close(self):
        """End all processes, and complete the record."""
        for task in list(self._tasks):
            task.cancel()
        for one in (*self.routers, *self.runners):
            if one.process is not None:
                one.process.kill()
        with contextlib.suppress(Exception):
            await self.store.close()
        runs = self.directory / "runs.txt"
        if runs.exists():
            self.record.write(runs.read_text())
        self.record.close()
        if os.environ.get("KEEP"):
            print("logs:", self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


async def wait_open(ip, port):
    """Wait until somebody listens."""
    async with asyncio.timeout(20):
        while True:
            try:
                _reader, writer = await asyncio.open_connection(ip, port)
            except OSError:
                await asyncio.sleep(0.02)
                continue
            writer.close()
            return


async def ask(address, method, target, fields, body=b"", timeout=20.0):
    """Send one request on a channel of its own; return the Answer.

    :param timeout: seconds after which it is given up
    """
    answer = Answer()
    try:
        async with asyncio.timeout(timeout):
            await _ask(answer, address, method, target, fields, body)
    except (OSError, EOFError, ValueError):
        pass
    return answer


async def _ask(answer, address, method, target, fields, body):
    reader, writer = await asyncio.open_connection(*address)
    try:
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *rest = head.strip().split("\r\n")
        for line in rest:
            name, _, value = line.partition(":")
            answer.fields[name.strip().lower()] = value.strip()
        answer.status = int(first.split(" ")[1])
        if answer.fields.get("transfer-encoding") == "chunked":
            while size := int(await reader.readline(), 16):
                answer.body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        elif "content-length" in answer.fields:
            left = int(answer.fields["content-length"])
            while left:
                piece = await reader.read(left)
                if not piece:
                    return
                answer.body += piece
                left -= len(piece)
        else:
            while piece := await reader.read(65536):
                answer.body += piece
        answer.whole = True
    finally:
        writer.close()


class Caller:
    """Sends requests, and writes down what became of them."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.count = 0
        self.answers = []

    async def send(
        self, router, method, target, body=b"", patience=20.0, **more
    ):
        """Send a request; return the Answer.

        :param patience: seconds after which the caller leaves
        """
        self.count += 1
        name = f"{self.count:08x}"
        fields = {
            "X-Rowanport-Request-Id": name,
            "X-Rowanport-Deadline-Ms": "5000",
            "Api-Key": KEY,
            **{key.replace("_", "-"): value for key, value in more.items()},
        }
        write = self._fleet.write
        write("sent", id=name, router=router.name, request=f"{method} {target}")
        sent_at = time.time()
        answer = await ask(
            router.callers, method, target, fields, body, patience
        )
        write(
            "answered",
            id=name,
            status=answer.status,
            whole=answer.whole,
            size=len(answer.body),
            stamp=answer.fields.get("x-rowanport-server-stamp"),
            text=answer.body[:200].decode("latin-1")
            if answer.status >= 300
            else "",
        )
        answer.sent_at = sent_at
        answer.seconds = time.time() - sent_at
        answer.target = target
        answer.id = name
        self.answers.append(answer)
        return answer


def run(case, play):
    """Run a case; its exit code tells whether the rule held.

    :param play: coroutine function of the Fleet that returns the exit code
    """
    fleet = Fleet(case)

    async def main():
        try:
            async with asyncio.timeout(float(os.environ.get("LIMIT","110"))):
                return await play(fleet)
        finally:
            await fleet.close()

    # A case that is stopped ends its processes, too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        code = asyncio.run(main())
    except (Exception, KeyboardInterrupt) as error:
        print(f"could not run: {error!r}")
        code = UNABLE
    sys.exit(code)
