"""Measures what shared speeds of engines cost a router.

``python -m bench.speeds`` prints microseconds a request, of the choice and of
the exchange of state, bytes of reports and answers, and memory.
"""

import random
import time
import tracemalloc

from rowanport.engines.rows import pack_samples
from rowanport.gateway.choice import PrefixChoice
from rowanport.gateway.engine_speeds import EngineSpeeds
from rowanport.gateway.job import Job
from rowanport.gateway.job import Tokens
from rowanport.gateway.metrics import GatewayMetrics
from rowanport.gateway.pool import UpstreamPool
from rowanport.gateway.prefix_map import PrefixMap
from rowanport.gateway.speed_choice import SpeedChoice
from rowanport.gateway.state_exchange import REPORT_INTERVAL
from rowanport.gateway.upstream import Upstream
from rowanport.hashing import hash_of
from rowanport.routing import Route
from rowanport.routing import RouteKind

SERVICE = "engines"
# Engines, routers, and requests a second of all routers.
FLEETS = ((36, 62, 380.0), (600, 420, 1300.0))
REQUESTS = 300
CYCLES = 200


class Clock:
    """Given time."""

    now = 1000.0

    def steady(self):
        """Return the time."""
        return self.now


def make_job(rng, number):
    """Return a job with two shared parts."""
    targets = [(SERVICE, 1)]
    route = Route("r", "h", "/", RouteKind.STREAM, targets, 4.0, 0.335)
    job = Job(None, f"j{number}", route, SERVICE, 1000.0)
    thing = rng.randrange(140)
    job.affinity = f"a{thing % 4},b{thing}"
    job.prefix = hash_of(job.affinity)
    job.shared_tokens = 6300
    first = (hash_of(f"a{thing % 4}"), 2520)
    job.prefixes = ((job.prefix, 6300), first)
    job.tokens = Tokens(6300 + rng.randrange(500, 6000), 56)
    return job


def make_pool(count):
    """Return an UpstreamPool of some engines."""
    pool = UpstreamPool()
    pool.update(
        {
            f"e{n}": Upstream(
                f"e{n}", SERVICE, f"e{n}:1", f"dc-{n % 4}", 12, False, n + 1
            )
            for n in range(count)
        }
    )
    return pool


def time_choice(choice, pool, prefixes):
    """Return the microseconds of one choice."""
    rng = random.Random(1)
    jobs = [make_job(rng, number) for number in range(REQUESTS)]
    for job in jobs:
        prefixes.learn_parts(job.prefixes)
        for _engine in range(4):
            engine = f"e{rng.randrange(len(pool.records()))}"
            prefixes.record(job.prefix, engine, 1000.0)
    begin = time.perf_counter()
    for job in jobs:
        candidates = pool.candidates(SERVICE, (), 1000.0)
        choice.choose(candidates, job, 1000.0)
    return (time.perf_counter() - begin) / REQUESTS * 1e6


def time_exchange(speeds, pool, clock, per_cycle, reports):
    """Return the microseconds of a cycle by step, and the bytes of it.

    :param per_cycle: first events of this router between two reports
    :param reports: reports of peers that it collects meanwhile
    """
    rng = random.Random(1)
    states = [pool.get(record.id) for record in pool.records()]
    spent = {"record": 0.0, "report": 0.0, "collect": 0.0, "apply": 0.0}
    sizes = {"report": 0, "answer": 0}

    def measure(step, function, *arguments):
        begin = time.perf_counter()
        result = function(*arguments)
        spent[step] += time.perf_counter() - begin
        return result

    for _cycle in range(CYCLES):
        clock.now += REPORT_INTERVAL
        for _event in range(per_cycle):
            backlog = rng.choice(states).backlog
            tokens = rng.randrange(500, 9000)
            seconds = 0.04 + tokens / 130000
            measure(
                "record",
                speeds.record,
                backlog.speed,
                tokens,
                seconds,
                clock.now,
            )
        data = measure("report", speeds.report)
        sizes["report"] = max(sizes["report"], len(data))
        for _report in range(reports):
            rows = [
                (
                    rng.choice(states).backlog.speed.key,
                    tokens := rng.randrange(500, 9000),
                    0.04 + tokens / 130000,
                )
                for _event in range(per_cycle)
            ]
            data = pack_samples(rows)
            measure("collect", speeds.collect, data, "peer")
            answer = measure("collect", speeds.summarize, "peer")
            sizes["answer"] = max(sizes["answer"], len(answer))
        measure("apply", speeds.apply, answer, "peer")
    return {step: s / CYCLES * 1e6 for step, s in spent.items()}, sizes


def run(count, routers, per_second):
    """Print the figures of one fleet."""
    pool, clock = make_pool(count), Clock()
    prefixes = PrefixMap()
    before = time_choice(PrefixChoice("dc-0", prefixes), pool, prefixes)
    tracemalloc.start()
    speeds = EngineSpeeds(pool, clock, GatewayMetrics(), lambda: True)
    assert speeds.active
    prefixes = PrefixMap()
    per_cycle = max(1, round(per_second / routers * REPORT_INTERVAL))
    reports = max(8, round(routers / max(8, 0.1 * routers)))
    time_exchange(speeds, pool, clock, per_cycle, reports)
    held, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    cycle, sizes = time_exchange(speeds, pool, clock, per_cycle, reports)
    after = time_choice(SpeedChoice("dc-0", prefixes), pool, prefixes)
    print(
        f"{count} engines, {routers} routers, {per_second} requests a second"
    )
    print(f"  choice: {before:.0f} us before, {after:.0f} us now")
    print(f"  bytes: {sizes['report']} a report, {sizes['answer']} an answer")
    print(f"  memory: {held / 1e6:.2f} MB")
    collectors = max(8, 0.1 * routers) / routers
    cycle["collect"] *= collectors
    for step, spent in cycle.items():
        print(f"  {step}: {spent / per_cycle:.0f} us a request")
    total = sum(cycle.values()) / per_cycle
    print(f"  in all, a mean of all routers: {total:.0f} us a request")


if __name__ == "__main__":
    for fleet in FLEETS:
        run(*fleet)
