"""Experiments on order and choice: an event at 1, 2 and 5 times capacity.

Against a plain queue with random choice, and against direct access to an
engine.
"""

import asyncio
import statistics
import time

from bench import load
from bench.deploy import Deployment
from bench.deploy import MODEL
from bench.deploy import SERVICE
from bench.fleet import Fleet

ORGANISATIONS = ("mines", "dams", "observatory", "northwind", "brightsky")
ENGINES = 6
BATCH = 8
STEP = 0.025
PREFIXES = 6
ENGINE_OPTIONS = (
    "--step",
    STEP,
    "--batch",
    BATCH,
    "--prefixes",
    PREFIXES,
)
MODES = {"rowanport": "rowanport", "fifo, random": "bench.baseline_fifo"}
SCALES = (1, 2, 5)
KINDS = (
    load.Kind("bulletin", 0.10, 40, 40, 8, False, True),
    load.Kind("label", 0.25, 4, 20, 5, True, False),
    load.Kind("advisory", 0.10, 60, 60, 12, True, False),
    load.Kind("digest", 0.10, 100, 80, 15, True, True),
    load.Kind("summary", 0.10, 160, 200, 20, True, True),
    load.Kind("lookup", 0.35, 0, 0, 2, True, False),
)
REFUSED = "not-run"


def capacity():
    """Return requests a second that the engines can serve."""
    tokens = ENGINES * BATCH / STEP
    mean = sum(kind.share * kind.tokens for kind in KINDS)
    return tokens / mean


class Event:
    """Runs one event on a fleet and judges it."""

    def __init__(self, mode, fleet, deployment, seconds):
        self._mode = mode
        self._fleet = fleet
        self._deployment = deployment
        self._seconds = seconds
        self._seed = 0

    async def run(self, scale):
        """Send an event at a multiple of capacity; return its row."""
        self._seed += 1
        count = int(scale * capacity() * self._seconds)
        plans = load.make_plans(
            self._seed,
            count,
            self._seconds,
            ORGANISATIONS,
            len(self._fleet.routers),
            KINDS,
        )
        addresses = [router.address for router in self._fleet.routers]
        sender = load.Load(addresses, self._deployment.keys, MODEL, SERVICE)
        before = await self._prefixes()
        begun = time.monotonic()
        samples = await sender.run(plans)
        after = await self._prefixes()
        row = {"mode": self._mode, "load": f"{scale}x", "sent": len(samples)}
        row["goodput"] = self._goodput(samples, begun)
        for kind in KINDS:
            mine = [s for s in samples if s.plan.kind is kind]
            share = sum(s.in_time for s in mine) / len(mine)
            row[kind.name] = f"{100 * share:.0f}%"
        row["fairness"] = self._fairness(samples)
        refused = [s.seconds for s in samples if s.outcome == REFUSED]
        first = [s.first for s in samples if s.done and s.plan.kind.stream]
        gaps = [gap for s in samples for gap in s.gaps]
        row["refusal p50"], row["refusal p95"], _p99 = load.percentiles(
            refused
        )
        row["first p50"], row["first p95"], _p99 = load.percentiles(first)
        row["gap p50"], row["gap p95"], _p99 = load.percentiles(gaps)
        hits, starts = after[0] - before[0], after[1] - before[1]
        row["hits"] = f"{100 * hits / max(1, starts):.0f}%"
        return row

    def _goodput(self, samples, begun):
        """Return tokens a second of requests that were done in time.

        Over the middle of the event, when the engines are busy.
        """
        start = begun + 0.3 * self._seconds
        end = begun + self._seconds
        tokens = sum(
            s.plan.kind.tokens
            for s in samples
            if s.in_time and start <= s.ended <= end
        )
        return round(tokens / (end - start))

    def _fairness(self, samples):
        """Return Jain's index of tokens served, by what each asked for."""
        shares = []
        for name in ORGANISATIONS:
            mine = [s for s in samples if s.plan.organisation == name]
            asked = sum(s.plan.kind.tokens for s in mine)
            served = sum(s.plan.kind.tokens for s in mine if s.in_time)
            shares.append(served / max(1, asked))
        squares = sum(share * share for share in shares)
        if not squares:
            return 0.0
        return round(sum(shares) ** 2 / (len(shares) * squares), 3)

    async def _prefixes(self):
        hits = starts = 0
        for engine in self._fleet.engines:
            counts = await self._fleet.counts(engine)
            hits += counts["prefix_hits"]
            starts += sum(counts["starts"].values())
        return hits, starts


async def measure_overhead(fleet, deployment, count=150):
    """Return what a router adds to the first token, in milliseconds."""
    kind = load.Kind("label", 1.0, 2, 5, 10, True, True)
    plans = load.make_plans(99, 2 * count, 1.0, ORGANISATIONS[:1], 1, [kind])
    router = fleet.routers[0].address
    sender = load.Load([router], deployment.keys, MODEL, SERVICE)
    engine = fleet.engines[0].address
    direct, routed = [], []
    for number in range(count):
        sample = await sender.send(plans[2 * number])
        routed.append(sample.first)
        headers = [("x-request-id", f"direct-{number}"), ("x-budget", "none")]
        sample = await sender.send(
            plans[2 * number + 1], engine, headers=headers
        )
        direct.append(sample.first)
    return {
        "direct p50": round(1e3 * statistics.median(direct), 2),
        "routed p50": round(1e3 * statistics.median(routed), 2),
        "overhead": round(
            1e3 * (statistics.median(routed) - statistics.median(direct)), 2
        ),
    }


async def run_mode(mode, scales, seconds):
    """Run events on a fresh fleet; return rows and the overhead."""
    rows = []
    with Fleet(engine_options=ENGINE_OPTIONS, module=MODES[mode]) as fleet:
        await fleet.wait_standins()
        deployment = Deployment(fleet)
        budgets = {f"{name}/main": 50_000_000 for name in ORGANISATIONS}
        version = await deployment.set_up(budgets, capacity=BATCH)
        await fleet.wait_routers(version=version)
        await asyncio.sleep(3.0)
        overhead = await measure_overhead(fleet, deployment)
        event = Event(mode, fleet, deployment, seconds)
        for scale in scales:
            rows.append(await event.run(scale))
            await asyncio.sleep(2.0)
    return rows, {"mode": mode, **overhead}
