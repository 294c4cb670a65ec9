"""Measure slopes at two or more sizes, and work out the target from them.

Prints Markdown for docs/CAPACITY.md.  Everything is measured on this
machine, on one thread, with the project's own code.
"""

import asyncio
import gc
import random
import statistics
import sys
import time
import tracemalloc

from bench import load
from bench.deploy import Deployment
from bench.deploy import MODEL
from bench.deploy import SERVICE
from bench.fleet import Fleet
from rowanport import hashing
from rowanport import keys
from rowanport.clock import ManualClock
from rowanport.config.snapshot import organisations_part
from rowanport.config.snapshot import Snapshot
from rowanport.ledger import apply_batch
from rowanport.ledger import Holder
from rowanport.ledger.record import MemoryLimits
from rowanport.ledger.record import new_shard
from rowanport.ledger.sizing import Sizing
from rowanport.membership import Membership
from rowanport.membership.members import READY
from rowanport.schema import messages
from rowanport.schema.settings import MembershipSettings
from rowanport.schema.settings import SECTIONS
from rowanport.wire import pack_frame

SIZING = Sizing()
LIMITS = MemoryLimits()

# The target, from the letter.
NODES = 420
REGIONS = 3
CELLS = 12
RUNNERS = 600
REQUESTS = 1300
TOKENS = 580_000
BUDGETS = 400_000
ORGANISATIONS = 22_000
CHANGES_A_DAY = 1600
SHARDS = 512
CLAIM_SHARDS = 4
CLAIM_INTERVAL = 0.1
STORE_WRITES = 100
STORE_READS = 2000
BILL_MEMORY = 600 + 120
RESTARTS_A_DAY = 190
FAILURES_A_DAY = 20


class Slope:
    """A straight line through measurements.

    :ivar points: (size, value) pairs
    """

    def __init__(self, name, unit, points):
        self.name = name
        self.unit = unit
        self.points = points
        sizes = [size for size, _value in points]
        values = [value for _size, value in points]
        fit = statistics.linear_regression(sizes, values)
        self.slope = fit.slope
        self.start = fit.intercept

    @property
    def worst(self):
        """Return the largest distance from the line, as a share."""
        return max(
            abs(self.at(size) - value) / max(abs(value), 1e-12)
            for size, value in self.points
        )

    def at(self, size):
        """Return the value that the line gives at a size."""
        return self.start + self.slope * size

    def row(self):
        """Return a Markdown row."""
        shown = ", ".join(f"{s:g}: {v:.4g}" for s, v in self.points)
        return (
            f"| {self.name} | {self.unit} | {shown} |"
            f" {self.start:.4g} + {self.slope:.4g} n |"
            f" {100 * self.worst:.0f}% |"
        )


def best_time(action, repeats=5):
    """Return the shortest time of an action in microseconds."""
    times = []
    for _repeat in range(repeats):
        begun = time.perf_counter()
        action()
        times.append(time.perf_counter() - begun)
    return 1e6 * min(times)


# Ledger


def make_shard(budgets, bills):
    """Return a shard as the target would have it: a home in each cell."""
    shard = new_shard()
    holders = [
        f"cell{number}/10.0.{number}.7:8081/{hashing.new_id()}~1"
        for number in range(CELLS)
    ]
    for holder in holders:
        entries = [holder[:-2] for _number in range(NODES // CELLS)]
        shard.holders[holder] = messages.HolderRecord(9, 1e9, entries)
    for number in range(budgets):
        name = f"organisation-{number % 100}/budget-{number}"
        # Most budgets are drawn on in one region, the busiest everywhere.
        first = number % REGIONS * CELLS // REGIONS
        near = holders[first : first + CELLS // REGIONS]
        grants = {holder: 100_000 for holder in near}
        shard.budgets[name] = messages.BudgetRecord(
            10**7, 10**6, 0, grants, {}
        )
    for number in range(bills):
        request = hashing.request_id("organisation", str(number))
        shard.bills[request] = messages.BillRecord(
            request + ".0123456789abcdef.0",
            "0123456789abcdef",
            "organisation-7/budget-7",
            500,
            2e9,
        )
    return shard, holders


def ledger_slopes():
    """Return slopes of a shard's size and of writing a batch."""
    sizes = (200, 800, 1600)
    by_budget = [(n, len(make_shard(n, 0)[0].pack())) for n in sizes]
    by_bill = [(n, len(make_shard(10, n)[0].pack())) for n in sizes]
    write = []
    for count in sizes:
        shard, holders = make_shard(count, count)
        holder = Holder(holders[0], 0, SIZING, hashing.new_id)
        holder.observe(shard, 1e9)
        holder.set_entries(shard.holders[holders[0]].entries)
        holder._touched = True
        holder._number = 9

        def one_write(holder=holder, data=shard.pack()):
            holder._batch = None
            holder._number = 9
            holder._touched = True
            batch = holder.make_batch(1e9)
            copy = messages.ShardRecord.unpack(data)
            apply_batch(copy, batch, SIZING, LIMITS)
            copy.pack()

        write.append((count, best_time(one_write)))
    return [
        Slope("shard size by budget", "bytes", by_budget),
        Slope("shard size by remembered bill", "bytes", by_bill),
        Slope("one batch, n budgets and n bills", "us", write),
    ]


def reserve_slope():
    """Return the slope of reserving and settling at a home."""
    points = []
    for count in (500, 2000, 4000):
        shard, holders = make_shard(100, 0)
        names = list(shard.budgets)
        entry = shard.holders[holders[0]].entries[0]

        def work(count=count, shard=shard, names=names, entry=entry):
            holder = Holder(holders[0], 0, SIZING, hashing.new_id)
            holder.observe(shard, 1e9)
            for number in range(count):
                name = names[number % len(names)]
                key = str(number)
                holder.reserve(
                    messages.Reserve(key, key, name, 300, 2e9, entry, 2e9),
                    1e9,
                )
                holder.settle(
                    messages.Settle(
                        key, key, key, name, holder.holder, 200, 2e9
                    ),
                    1e9,
                )

        points.append((count, best_time(work, 3)))
    return Slope("reserve and settle at the home", "us", points)


def account_memory():
    """Return the slope of a holder's memory by budget."""
    points = []
    for count in (400, 800, 1600):
        shard, holders = make_shard(count, 0)
        gc.collect()
        tracemalloc.start()
        holder = Holder(holders[0], 0, SIZING, hashing.new_id)
        holder.observe(shard.copy(), 1e9)
        size, _peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        points.append((count, size))
        del holder
    return Slope("a home's memory by budget", "bytes", points)


# Configuration


def make_organisations(count):
    """Return a root and parts with that many organisations."""
    members = {}
    for number in range(count):
        name = f"organisation-{number}"
        record = messages.OrganisationRecord(
            name, keys.new_salt(), b"x" * 32, 1, 10, 5.0
        )
        part = organisations_part(name)
        members.setdefault(part, {})[name] = record
    parts, names = {}, {}
    for part, organisations in members.items():
        data = messages.OrganisationsPart(organisations).pack()
        digest = hashing.content_hash(data)
        parts[digest] = data
        names[part] = digest
    return messages.RootRecord(1, "", names, [], ""), parts


def one_change(root, parts):
    """Return the time of putting a change of one bucket in force, in us."""
    previous = Snapshot(root, parts)
    name, digest = next(iter(root.parts.items()))
    part = messages.OrganisationsPart.unpack(parts[digest])
    next(iter(part.organisations.values())).weight = 2
    data = part.pack()
    changed = hashing.content_hash(data)
    names = {**root.parts, name: changed}
    newer = messages.RootRecord(2, "", names, [], "")
    known = {**parts, changed: data}
    return best_time(lambda: Snapshot(newer, known, previous))


def config_slopes():
    """Return slopes of a configuration's size, reading and memory."""
    size, read, memory = [], [], []
    for count in (1000, 4000, 8000):
        root, parts = make_organisations(count)
        total = sum(map(len, parts.values())) + len(root.pack())
        size.append((count, total))
        read.append((count, one_change(root, parts)))
        gc.collect()
        tracemalloc.start()
        snapshot = Snapshot(root, parts)
        memory.append((count, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del snapshot
    return [
        Slope("configuration size by organisation", "bytes", size),
        Slope("putting it in force", "us", read),
        Slope("its memory by organisation", "bytes", memory),
    ]


# Membership


def gossip_points(count, rounds=60):
    """Return bytes and CPU microseconds a router and second, and doubts."""
    values = {o.name: o.default for o in SECTIONS["membership"]}
    settings = MembershipSettings(values)
    clock = ManualClock(0.0)
    members = {}
    for number in range(count):
        address = f"10.0.{number // 200}.{number % 200}:8081"
        name = f"region1/{address}/{hashing.new_id()}"
        one = Membership(name, "north", settings, clock, number)
        one.set_state(READY)
        one.set_seeds(["10.0.0.0:8081"])
        members[address] = one
    sent = doubts = 0
    spent = 0.0
    for turn in range(2 * rounds):
        clock.advance(settings.interval)
        begun = time.perf_counter()
        for one in members.values():
            for target, message in one.tick():
                frame = pack_frame(1, message)
                answer = members[target].receive(
                    messages.Gossip.unpack(message.pack())
                )
                reply = pack_frame(1, answer)
                one.receive(messages.Gossip.unpack(answer.pack()))
                if turn >= rounds:
                    sent += len(frame) + len(reply)
        if turn >= rounds:
            spent += time.perf_counter() - begun
            doubts += sum(count - len(one.live()) for one in members.values())
    seconds = rounds * settings.interval * count
    return sent / seconds, 1e6 * spent / seconds, doubts / rounds / count**2


def gossip_slopes():
    """Return slopes of gossip by the size of a cell."""
    sizes = (16, 35, 70, 140)
    points = {count: gossip_points(count) for count in sizes}
    doubts = points[140][2]
    return [
        Slope(
            "gossip bytes a second by cell size",
            "bytes/s",
            [(count, points[count][0]) for count in sizes],
        ),
        Slope(
            "gossip CPU by cell size",
            "us/s",
            [(count, points[count][1]) for count in sizes],
        ),
    ], doubts


# A whole router, by requests and by tokens


async def router_points(rates, kind, seconds=8.0):
    """Return (events a second, CPU share) of the routers at some rates."""
    rows = []
    options = ("--step", 0.01, "--batch", 256, "--queue", 1000)
    with Fleet(routers=6, engines=2, engine_options=options) as fleet:
        await fleet.wait_standins()
        deployment = Deployment(fleet)
        version = await deployment.set_up({"a/main": 10**9}, capacity=1000)
        await fleet.wait_routers(version=version)
        await asyncio.sleep(4.0)
        addresses = [router.address for router in fleet.routers]
        for rate in rates:
            sender = load.Load(addresses, deployment.keys, MODEL, SERVICE)
            count = max(1, int(rate * seconds))
            plans = load.make_plans(
                random.randrange(10**6), count, seconds, ["a"], 6, [kind]
            )
            before = [await router_cost(fleet, r) for r in fleet.routers]
            begun = time.monotonic()
            await sender.run(plans if rate else [])
            await asyncio.sleep(max(0.0, begun + seconds - time.monotonic()))
            took = time.monotonic() - begun
            after = [await router_cost(fleet, r) for r in fleet.routers]
            cpu = sum(a[0] - b[0] for a, b in zip(after, before)) / 6 / took
            sent = sum(a[1] - b[1] for a, b in zip(after, before)) / 6 / took
            rows.append((count / took / 6, cpu, sent, after[0][2]))
    return rows


async def router_cost(fleet, router):
    """Return CPU seconds, bytes sent to peers and megabytes of a router."""
    cpu, memory = router.usage()
    status = await fleet.status(router)
    return cpu, status["peer_bytes"], memory


def router_slopes():
    """Return slopes of a router's CPU and peers' bytes."""
    short = load.Kind("short", 1.0, 1, 20, 20, True, True)
    long = load.Kind("long", 1.0, 101, 20, 40, True, True)
    rates = (0, 30, 90)
    few = asyncio.run(router_points(rates, short))
    many = asyncio.run(router_points(rates, long))
    request = Slope(
        "router CPU by requests a second, 1 token each",
        "us/s",
        [(row[0], 1e6 * row[1]) for row in few],
    )
    whole = Slope(
        "router CPU by requests a second, 101 tokens each",
        "us/s",
        [(row[0], 1e6 * row[1]) for row in many],
    )
    sent = Slope(
        "peers' bytes by requests a second",
        "bytes/s",
        [(row[0], row[2]) for row in few],
    )
    return request, whole, sent, few[0]


# The target


def target_rows(found):
    """Return Markdown rows: what, target, computed, margin."""
    budget, bill, batch = found["ledger"]
    config_size, config_read, config_memory = found["config"]
    gossip_bytes, gossip_cpu = found["gossip"]
    request, whole, sent, idle = found["router"]
    per_shard = BUDGETS / SHARDS
    bills = REQUESTS * BILL_MEMORY / SHARDS
    size = budget.at(per_shard) + bill.slope * bills
    pairs = SHARDS * CELLS
    ledger_writes = 0.6 * STORE_WRITES
    interval = pairs / ledger_writes
    batch_cpu = batch.at(max(per_shard, bills))
    homes = pairs / NODES
    rate = REQUESTS / NODES
    reserve = found["reserve"].slope
    calls = 2 * rate * reserve
    control = (
        found["rest"]
        + homes / interval * batch_cpu
        + calls
        + CHANGES_A_DAY / 86400 * config_read.at(ORGANISATIONS)
        + gossip_cpu.at(NODES / CELLS)
    ) / 1e6
    tokens = (whole.slope - request.slope) / 100
    serving = (rate * request.slope + TOKENS / NODES * tokens) / 1e6
    idle_memory = idle[3]
    memory = (
        config_memory.at(ORGANISATIONS)
        + homes * found["accounts"].at(per_shard)
        + homes * size
    ) / 1e6
    peers = gossip_bytes.at(NODES / CELLS) + rate * sent.slope
    return [
        ("ledger's store writes a second", STORE_WRITES, ledger_writes, "/s"),
        (
            "claims' store writes a second, at most",
            STORE_WRITES - ledger_writes,
            CLAIM_SHARDS * CELLS / CLAIM_INTERVAL,
            "/s",
        ),
        ("interval of a shard's write", 60, interval, "s"),
        ("store reads a second", STORE_READS, pairs / (2 * interval), "/s"),
        ("value of a ledger shard", 1048.576, size / 1000, "KB"),
        ("store traffic of ledger writes", 0, size * 60 / 1e6, "MB/s"),
        ("control CPU of a node", 3.0, 100 * control, "% of a core"),
        ("control memory of a node", 64, memory, "MB"),
        ("idle process before that", 64, idle_memory, "MB"),
        ("control bytes a node sends", 5.0, peers / 1000, "KB/s"),
        ("serving CPU of a node", 100.0, 100 * serving, "% of a core"),
        (
            "configuration size",
            0,
            config_size.at(ORGANISATIONS) / 1e6,
            "MB in 64 parts",
        ),
        (
            "putting a change in force",
            9000,
            config_read.at(ORGANISATIONS) / 1000,
            "ms of CPU",
        ),
    ]


def main():
    """Measure and print."""
    found = {"ledger": ledger_slopes()}
    found["reserve"] = reserve_slope()
    found["accounts"] = account_memory()
    found["config"] = config_slopes()
    found["gossip"], doubts = gossip_slopes()
    found["router"] = router_slopes()
    # What a router of two costs at rest: loops, gossip, load reads, shards.
    found["rest"] = 1e6 * found["router"][3][1]
    slopes = [
        *found["ledger"],
        found["reserve"],
        found["accounts"],
        *found["config"],
        *found["gossip"],
        *found["router"][:3],
    ]
    print("| slope | unit | measured | fit | worst |")
    print("| --- | --- | --- | --- | --- |")
    for slope in slopes:
        print(slope.row())
    print()
    print("| what | target | computed | unit | margin |")
    print("| --- | --- | --- | --- | --- |")
    for name, target, computed, unit in target_rows(found):
        margin = f"{target / computed:.1f}x" if target else ""
        shown = f"{target:g}" if target else "none"
        print(f"| {name} | {shown} | {computed:.3g} | {unit} | {margin} |")
    print()
    print(f"share of live routers doubted in a cell of 140: {doubts:.2g}")
    print(f"a router at rest: {found['router'][3][3]:.0f} MB resident")
    return 0


if __name__ == "__main__":
    sys.exit(main())
