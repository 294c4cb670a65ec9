"""``python -m soak``: run seeds of the soak and report what was found."""

import argparse
import asyncio
import collections
import json
import pathlib
import shutil
import signal
import sys
import tempfile
import time

from . import promises
from .broken import VARIANTS
from .faults import Injector
from .plan import choose_theme
from .plan import make_plan
from .plan import THEMES
from .world import World

CHECK_PAUSE = 2.0
UPSTREAMS = 4
# Seconds after the last fault, so that recovery shows.
CALM = 16.0


class Outcome:
    """What a run of one seed came to.

    :ivar findings: Findings, their times relative to the start
    """

    __slots__ = ("seed", "theme", "history", "findings", "plan", "lag")

    def __init__(self, seed, theme, history, findings, plan, lag):
        self.seed = seed
        self.theme = theme
        self.history = history
        self.findings = findings
        self.plan = plan
        self.lag = lag

    def line(self):
        """Return one line of figures."""
        requests = self.history.requests.values()
        counts = collections.Counter(
            str(r.status or r.outcome) for r in requests
        )
        figures = " ".join(f"{k}:{v}" for k, v in sorted(counts.items()))
        return (
            f"seed {self.seed} {self.theme}: {len(self.findings)} findings, "
            f"{len(requests)} requests ({figures}), "
            f"{len(self.history.runs)} runs, {len(self.plan)} steps, "
            f"{len(self.history.versions)} versions, "
            f"longest pause of the soak itself {self.lag:.2f} s"
        )


class _Lag:
    """Measures how long the soak's own loop was held up."""

    def __init__(self):
        self.longest = 0.0

    async def run(self):
        while True:
            begun = time.monotonic()
            await asyncio.sleep(0.05)
            late = time.monotonic() - begun - 0.05
            self.longest = max(self.longest, late)


async def _watch_promises(world, begun, seen):
    """Print each finding once, as soon as it shows."""
    while True:
        await asyncio.sleep(CHECK_PAUSE)
        _print_new(world.history, begun, seen)


def _print_new(history, begun, seen):
    for finding in promises.check(history):
        if finding.key not in seen:
            seen[finding.key] = finding
            print(
                f"  {finding.at - begun:7.2f} {finding.promise}: "
                f"{finding.evidence}",
                flush=True,
            )


async def run_seed(options, seed, directory):
    """Run one seed; return its Outcome."""
    theme = options.theme or choose_theme(seed)
    world = World(
        seed,
        options.processes,
        UPSTREAMS,
        options.seconds,
        directory,
        options.broken,
    )
    plan = make_plan(
        seed, theme, options.seconds, options.processes, UPSTREAMS
    )
    injector = Injector(world)
    lag = _Lag()
    seen = {}
    begun = time.monotonic()
    tasks = []
    try:
        await world.start()
        begun = time.monotonic()
        tasks = [
            asyncio.ensure_future(lag.run()),
            asyncio.ensure_future(_watch_promises(world, begun, seen)),
        ]
        await injector.run(plan)
        world.history.calm_at = time.monotonic()
        await asyncio.sleep(options.calm)
    finally:
        for task in tasks:
            task.cancel()
        await world.close()
        (directory / "steps.txt").write_text("\n".join(injector.done) + "\n")
    _print_new(world.history, begun, seen)
    return Outcome(
        seed, theme, world.history, list(seen.values()), plan, lag.longest
    )


def _run_all(options):
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        directory = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
        outcome = asyncio.run(_run_stoppable(options, seed, directory))
        print(outcome.line(), flush=True)
        for finding in outcome.findings:
            row = {"seed": seed, "promise": finding.promise}
            print(json.dumps({**row, "evidence": finding.evidence}))
        if outcome.findings:
            failed += 1
            print(f"  logs and steps: {directory}", flush=True)
        else:
            shutil.rmtree(directory)
    return failed


async def _run_stoppable(options, seed, directory):
    """Run a seed so that SIGTERM ends its processes too."""
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    return await run_seed(options, seed, directory)


def main():
    """Read the command line and run."""
    parser = argparse.ArgumentParser("soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--seconds", type=float, default=45.0)
    parser.add_argument("--calm", type=float, default=CALM)
    parser.add_argument(
        "--processes", type=int, default=3, help="number of routers"
    )
    parser.add_argument("--theme", choices=list(THEMES))
    parser.add_argument("--broken", choices=list(VARIANTS), default="")
    sys.exit(1 if _run_all(parser.parse_args()) else 0)


if __name__ == "__main__":
    main()
