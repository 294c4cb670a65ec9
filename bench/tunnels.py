"""``python -m bench.tunnels``: what relaying costs the router that does it.

A process of its own relays streams of events and idle tunnels, and tells the
processor time and memory that it used.  Slopes are fitted over several rates
of events and numbers of tunnels.
"""

import argparse
import asyncio
import json
import resource
import statistics
import subprocess
import sys
import time

import structlog

from rowanport.errors import UpstreamError
from rowanport.incarnation import new_incarnation
from rowanport.paths import Verdict
from rowanport.tunnels import TunnelClient
from rowanport.tunnels import TunnelServer
from rowanport.tunnels import UpstreamReach
from rowanport.web.connector import DirectConnector
from rowanport.web.connector import Keepalive
from rowanport.wire import PeerServer

from .ports import free_ports

LOCAL = "127.0.0.1"
SECRET = "only for this bench"
# Bytes of one event of a stream.
EVENT_BYTES = 200
RATES = (0, 500, 1000, 2000)
TUNNELS = (1, 100, 200, 400)
STREAMS = 40
CONNECT_TIMEOUT = 1.0
END_PAUSE = 0.3


class _Reach(UpstreamReach):
    """Reaches whatever address it is asked for."""

    def __init__(self):
        self._direct = DirectConnector(CONNECT_TIMEOUT, Keepalive())

    async def reach(self, address, fresh):
        try:
            return Verdict.REACHED, await self._direct.open(address)
        except UpstreamError:
            return Verdict.REFUSED, None


async def _relay(port):
    """Relay until standard input ends; print processor time and memory."""
    # Standard output is for the answers.
    errors = structlog.PrintLoggerFactory(sys.stderr)
    structlog.configure(logger_factory=errors)
    server = PeerServer(None, SECRET)
    server.on_tunnel = TunnelServer(_Reach(), Keepalive()).serve
    await server.start(LOCAL, port)
    loop = asyncio.get_running_loop()
    print(json.dumps({"listening": port}), flush=True)
    while await loop.run_in_executor(None, sys.stdin.readline):
        used = resource.getrusage(resource.RUSAGE_SELF)
        row = {
            "cpu": used.ru_utime + used.ru_stime,
            "kb": used.ru_maxrss,
        }
        print(json.dumps(row), flush=True)


class _Relay:
    """The relaying process."""

    def __init__(self, port):
        self.peer = new_incarnation("bench", f"{LOCAL}:{port}")
        self._process = subprocess.Popen(
            [sys.executable, "-m", "bench.tunnels", "--relay", str(port)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        self._process.stdout.readline()

    def usage(self):
        """Return the processor seconds and kilobytes used so far."""
        self._process.stdin.write("\n")
        self._process.stdin.flush()
        return json.loads(self._process.stdout.readline())

    def close(self):
        self._process.stdin.close()
        self._process.wait()


async def _open(relay, address, count):
    client = TunnelClient("bench/127.0.0.1:0/0", SECRET, Keepalive())
    opened = [await client.open(relay.peer, address) for _ in range(count)]
    return [path for _verdict, _tunnels, path in opened]


async def _measure_rate(address, rate, seconds):
    """Return the share of a core that relaying events takes."""
    relay = _Relay(*free_ports(1))
    paths = await _open(relay, address, STREAMS)
    for path in paths:
        path.writer.write(f"{rate / STREAMS}\n".encode())
    readers = [asyncio.ensure_future(_drain(path.reader)) for path in paths]
    await asyncio.sleep(0.5)
    before, begun = relay.usage()["cpu"], time.monotonic()
    await asyncio.sleep(seconds)
    share = (relay.usage()["cpu"] - before) / (time.monotonic() - begun)
    for reader, path in zip(readers, paths):
        reader.cancel()
        path.writer.transport.abort()
    relay.close()
    return share


async def _measure_tunnels(address, count):
    """Return the seconds per opened tunnel, and kilobytes of the process."""
    relay = _Relay(*free_ports(1))
    before = relay.usage()
    paths = await _open(relay, address, count)
    after = relay.usage()
    for path in paths:
        path.writer.transport.abort()
    relay.close()
    return (after["cpu"] - before["cpu"]) / count, after["kb"]


async def _drain(reader):
    while await reader.read(65536):
        pass


async def _serve_events(reader, writer):
    """Send events at the rate that the first line names."""
    rate = float(await reader.readline() or 0)
    loop = asyncio.get_running_loop()
    due = loop.time()
    try:
        while rate and not writer.is_closing():
            writer.write(b"x" * EVENT_BYTES)
            due += 1 / rate
            await asyncio.sleep(max(0.0, due - loop.time()))
        await reader.read()
    except OSError:
        pass
    finally:
        writer.close()


def _slope(xs, ys):
    return statistics.linear_regression(xs, ys).slope


async def _run(seconds):
    (port,) = free_ports(1)
    server = await asyncio.start_server(_serve_events, LOCAL, port)
    address = f"{LOCAL}:{port}"
    shares = [await _measure_rate(address, r, seconds) for r in RATES]
    for rate, share in zip(RATES, shares):
        print(f"{rate:5} events/s: {100 * share:5.2f}% of a core")
    print(f"an event: {1e6 * _slope(RATES, shares):.0f} us")
    rows = [await _measure_tunnels(address, n) for n in TUNNELS]
    for count, (cpu, kb) in zip(TUNNELS, rows):
        print(f"{count:5} tunnels: {1e3 * cpu:.2f} ms each, {kb} KB in all")
    kilobytes = [kb for _cpu, kb in rows]
    print(f"a tunnel: {_slope(TUNNELS, kilobytes):.1f} KB")
    server.close()
    # What serves connections ends before the loop does.
    await asyncio.sleep(END_PAUSE)


def main():
    """Read the command line and run."""
    parser = argparse.ArgumentParser("bench.tunnels", description=__doc__)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--relay", type=int, help="relay on this port")
    options = parser.parse_args()
    if options.relay:
        asyncio.run(_relay(options.relay))
    else:
        asyncio.run(_run(options.seconds))


if __name__ == "__main__":
    main()
