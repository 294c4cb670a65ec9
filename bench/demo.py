"""The main job: a fleet serves the traffic of both deployments.

Exits non-zero when anything is lost, doubled, overspent or billed wrongly.
"""

import argparse
import asyncio
import collections
import json
import signal
import sys
import time

from bench import load
from bench.deploy import MODEL
from bench.deploy import POLICY
from bench.deploy import SERVICE
from bench.fleet import Fleet

SEIZMOLINK = ("mines", "dams", "observatory")
CONSORTIUM = ("northwind", "brightsky", "tidewatch")
BUDGET_TOKENS = 400_000
COUNT = 800
SECONDS = 12.0


def create_everything(fleet):
    """Set the fleet up through the command line, as an operator would.

    :returns: API keys by organisation, and the configuration version
    """
    keys = {}
    for name in SEIZMOLINK + CONSORTIUM:
        answer = fleet.command("organisation", "create", name)
        keys[name] = answer["key"]
        fleet.command("budget", "create", f"{name}/main", BUDGET_TOKENS)
    fleet.command("upstream", "group", MODEL, "--bytes-per-token", 4)
    fleet.command("upstream", "group", SERVICE, "--kind", "service")
    for engine in fleet.engines:
        fleet.command("upstream", "add", engine.address, MODEL)
    for service in fleet.services:
        fleet.command(
            "upstream", "add", service.address, SERVICE, "--capacity", 64
        )
    path = fleet.path / "policy.toml"
    path.write_text(
        f"source = '''{POLICY}'''\n\n[[case]]\nname = 'bulletins first'\n"
        "request = {kind = 'bulletin'}\nexpected = {priority = 0}\n"
    )
    fleet.command("policy", "test", path, settings=False)
    version = fleet.command("policy", "publish", path)["version"]
    return keys, version


async def measure(fleet, seconds):
    """Return a row of control costs for each router, before and after."""
    rows = []
    for router in fleet.routers:
        cpu, memory = router.usage()
        status = await fleet.status(router)
        rows.append((router.name, cpu, memory, status["peer_bytes"], seconds))
    return rows


def print_kinds(samples):
    """Print what became of the requests of each kind."""
    rows = [
        (
            "kind",
            "sent",
            "done",
            "in time",
            "refused",
            "first p50",
            "p95",
            "p99 ms",
            "gap p50",
            "p95",
            "p99 ms",
        )
    ]
    for kind in load.KINDS:
        mine = [s for s in samples if s.plan.kind is kind]
        first = [s.first for s in mine if s.done and s.first is not None]
        gaps = [gap for s in mine for gap in s.gaps]
        rows.append(
            (
                kind.name,
                len(mine),
                sum(s.done for s in mine),
                sum(s.in_time for s in mine),
                sum(s.outcome == "not-run" for s in mine),
                *load.percentiles(first),
                *(load.percentiles(gaps) if gaps else ("", "", "")),
            )
        )
    load.print_table(rows)
    refused = load.count_errors(samples)
    print("refused or failed:", dict(refused) or "none", "\n")


async def check(fleet, samples, keys):
    """Print tokens billed against served; return what is wrong."""
    wrong = []
    served = collections.Counter()
    starts = collections.Counter()
    for engine in fleet.engines:
        counts = await fleet.counts(engine)
        served.update(counts["tokens"])
        starts.update(counts["starts"])
    rows = [("budget", "total", "billed", "served", "absorbed", "bills")]
    for name in keys:
        budget = fleet.command("budget", "show", f"{name}/main")
        tokens = served[budget["budget"]]
        rows.append(
            (
                budget["budget"],
                budget["total"],
                budget["settled"],
                tokens,
                budget["absorbed"],
                budget["bills"],
            )
        )
        if budget["settled"] != tokens:
            wrong.append(f"{budget['budget']} billed unlike served")
        if tokens > budget["total"]:
            wrong.append(f"{budget['budget']} overspent")
        paid = sum(
            s.done and s.plan.organisation == name and s.plan.kind.tokens > 0
            for s in samples
        )
        if budget["bills"] != paid:
            wrong.append(f"{budget['budget']}: {paid} done requests")
    load.print_table(rows)
    calls = collections.Counter()
    for service in fleet.services:
        calls.update(await fleet.counts(service))
    doubled = [key for key, count in (starts + calls).items() if count > 1]
    wrong += [f"ran twice: {key}" for key in doubled]
    for sample in samples:
        if not sample.own:
            wrong.append(f"{sample.plan.key}: another's answer")
        if sample.outcome == load.NONE:
            wrong.append(f"{sample.plan.key}: lost: {sample.error}")
        if sample.status == 200 and not sample.whole:
            wrong.append(f"{sample.plan.key}: not whole")
    return wrong


async def run(count, seconds):
    """Run the demo; return the exit code."""
    started = time.monotonic()
    with Fleet() as fleet:
        await fleet.wait_standins()
        print("8 routers in 3 data centres, 6 engines, 3 services; setting up")
        keys, version = await asyncio.to_thread(create_everything, fleet)
        await fleet.wait_routers(version=version)
        await asyncio.sleep(2.0)
        plans = load.make_plans(
            7, count, seconds, list(keys), len(fleet.routers)
        )
        addresses = [router.address for router in fleet.routers]
        sender = load.Load(addresses, keys, MODEL, SERVICE)
        before = await measure(fleet, 0.0)
        begun = time.monotonic()
        print(f"sending {count} requests within {seconds:.0f} s\n")
        samples = await sender.run(plans)
        took = time.monotonic() - begun
        after = await measure(fleet, took)
        await wait_settled(fleet)
        print_kinds(samples)
        wrong = await check(fleet, samples, keys)
        print_routers(before, after)
        store = await fleet.counts(fleet.platform)
        print("store calls in all:", json.dumps(store))
    print(f"{time.monotonic() - started:.0f} s in all")
    for line in wrong:
        print("WRONG", line)
    print("nothing lost, doubled, overspent or billed wrongly" * (not wrong))
    return 1 if wrong else 0


async def wait_settled(fleet):
    """Wait until every router's bills stand in the ledger."""
    for _try in range(100):
        states = [await fleet.status(router) for router in fleet.routers]
        if not any(state.get("unsettled", 1) for state in states):
            return
        await asyncio.sleep(0.1)


def print_routers(before, after):
    """Print the cost of each router during the load."""
    rows = [("router", "cpu %", "memory MB", "peers KB/s")]
    for old, new in zip(before, after):
        seconds = new[4]
        rows.append(
            (
                new[0],
                f"{100 * (new[1] - old[1]) / seconds:.1f}",
                f"{new[2]:.0f}",
                f"{(new[3] - old[3]) / seconds / 1e3:.1f}",
            )
        )
    load.print_table(rows)


def main():
    """Read the options and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=COUNT)
    parser.add_argument("--seconds", type=float, default=SECONDS)
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_args: sys.exit(143))
    try:
        return asyncio.run(run(options.count, options.seconds))
    except KeyboardInterrupt:
        print("interrupted; all processes are ended", file=sys.stderr)
        return 130


if __name__ == "__main__":
    sys.exit(main())
