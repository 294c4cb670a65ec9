"""``python -m soak``: run seeds of the soak and report what was found."""

import argparse
import asyncio
import collections
import json
import logging
import pathlib
import shutil
import signal
import sys
import tempfile
import time
import tomllib

import structlog

from . import promises
from .broken import VARIANTS
from .faults import Injector
from .history import Record
from .plan import choose_theme
from .plan import make_plan
from .plan import THEMES
from .shapes import shape_of
from .world import World

CHECK_PAUSE = 2.0
# Seconds after the last fault, so that recovery shows.
CALM = 16.0


CASES = pathlib.Path(__file__).parent / "cases"


class Wanted(Record):
    """What a run is to be like.

    :ivar processes: number of routers
    :ivar calm: seconds after the last fault
    :ivar broken: name of a broken variant, "" for the real program
    """

    __slots__ = ("seed", "theme", "seconds", "processes", "calm", "broken")

    defaults = {"calm": CALM, "broken": ""}


class Outcome(Record):
    """What a run of one seed came to.

    :ivar findings: Findings, their times relative to the start
    """

    __slots__ = ("wanted", "history", "findings", "plan", "lag")

    @property
    def _garbled(self):
        return sum(run.garbled for run in self.history.runs)

    def line(self):
        """Return one line of figures."""
        requests = self.history.requests.values()
        counts = collections.Counter(
            r.outcome if r.outcome == "half" else str(r.status or r.outcome)
            for r in requests
        )
        figures = " ".join(f"{k}:{v}" for k, v in sorted(counts.items()))
        return (
            f"seed {self.wanted.seed} {self.wanted.theme}: "
            f"{len(self.findings)} findings, "
            f"{len(requests)} requests ({figures}), "
            f"{len(self.history.runs)} runs, {self._garbled} garbled, "
            f"{len(self.plan)} steps, "
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


async def _watch_promises(world, begun, seen, broken):
    """Print each finding once, as soon as it shows.

    It ends when a broken variant was found.
    """
    while not _found(broken, seen.values()):
        await asyncio.sleep(CHECK_PAUSE)
        _print_new(world.history, begun, seen)


def _found(broken, findings):
    """Return whether the promise of a broken variant was found broken."""
    if not broken:
        return False
    promise = VARIANTS[broken].promise
    return any(finding.promise == promise for finding in findings)


def _print_new(history, begun, seen):
    for finding in promises.check(history):
        if finding.key not in seen:
            seen[finding.key] = finding
            print(
                f"  {finding.at - begun:7.2f} {finding.promise}: "
                f"{finding.evidence}",
                flush=True,
            )


async def _inject(world, injector, plan, calm):
    """Carry out the plan, and wait until the system is well again."""
    await injector.run(plan)
    world.history.calm_at = time.monotonic()
    await asyncio.sleep(calm)


async def run(wanted, directory):
    """Run one seed; return its Outcome.

    :param directory: for settings files, logs and the list of steps
    """
    size = (wanted.seconds, wanted.processes)
    shape = shape_of(wanted.theme)
    plan = make_plan(wanted.seed, wanted.theme, *size, shape.upstreams)
    world = World(wanted.seed, *size, shape, directory, wanted.broken)
    injector = Injector(world)
    lag = _Lag()
    seen = {}
    begun = time.monotonic()
    try:
        await world.start()
        begun = time.monotonic()
        await _run_parts(
            lag.run(),
            _inject(world, injector, plan, wanted.calm),
            _watch_promises(world, begun, seen, wanted.broken),
        )
    finally:
        await world.close()
        steps = "".join(f"{step}\n" for step in injector.done)
        (directory / "steps.txt").write_text(steps)
    if world.failures:
        raise world.failures[0]
    _print_new(world.history, begun, seen)
    findings = list(seen.values())
    return Outcome(wanted, world.history, findings, plan, lag.longest)


async def _run_parts(*coroutines):
    """Run coroutines until the first one ends, and end the others."""
    tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            if task.done():
                task.result()
    finally:
        for task in tasks:
            task.cancel()


async def _run_stoppable(wanted, directory):
    """Run a seed so that SIGTERM ends its processes too."""
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    return await run(wanted, directory)


def _run_and_report(wanted):
    """Run a seed and print what was found; return whether all is well."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    outcome = asyncio.run(_run_stoppable(wanted, directory))
    print(outcome.line(), flush=True)
    for finding in outcome.findings:
        row = {"seed": wanted.seed, "promise": finding.promise}
        print(json.dumps({**row, "evidence": finding.evidence}))
    if wanted.broken:
        shutil.rmtree(directory)
        return _found(wanted.broken, outcome.findings)
    if outcome.findings:
        print(f"  logs and steps: {directory}", flush=True)
        return False
    shutil.rmtree(directory)
    return True


def _read_cases():
    """Return a Wanted for each seed that ever failed."""
    for path in sorted(CASES.glob("*.toml")):
        fields = tomllib.loads(path.read_text(encoding="utf-8"))
        print(f"{path.name}: {fields.pop('cause')}", flush=True)
        yield Wanted(**fields)


def _wanted(options):
    """Return a Wanted for each seed that the command line asks for."""
    for seed in range(options.seed, options.seed + options.seeds):
        theme = options.theme or choose_theme(seed)
        if options.broken and not options.theme:
            theme = VARIANTS[options.broken].theme
        yield Wanted(
            seed,
            theme,
            options.seconds,
            options.processes,
            options.calm,
            options.broken,
        )


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
    parser.add_argument(
        "--cases", action="store_true", help="run the seeds that ever failed"
    )
    options = parser.parse_args()
    # The soak's own servers run in this process.
    level = structlog.make_filtering_bound_logger(logging.INFO)
    structlog.configure(wrapper_class=level)
    runs = _read_cases() if options.cases else _wanted(options)
    well = [_run_and_report(wanted) for wanted in runs]
    print(f"{well.count(True)} of {len(well)} runs were as they should be")
    sys.exit(0 if all(well) else 1)


if __name__ == "__main__":
    main()
