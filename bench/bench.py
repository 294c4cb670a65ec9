"""Run the experiments and print their tables."""

import argparse
import asyncio
import json
import pathlib
import sys
import time

from bench import load
from bench import overload
from bench import spend

OUT = pathlib.Path("bench/out")
HIDDEN = ("kinds", "settled")


def print_rows(rows):
    """Print rows of figures as one table."""
    names = [name for name in rows[0] if name not in HIDDEN]
    load.print_table([names] + [[row[name] for name in names] for row in rows])


def write_rows(name, rows):
    """Write rows of figures as JSON lines, and print them."""
    OUT.mkdir(exist_ok=True)
    text = "\n".join(json.dumps(row) for row in rows)
    (OUT / f"{name}.jsonl").write_text(text + "\n")
    print(text)


async def run_spend(quick, modes, names):
    """Run the experiments on spend; return what is wrong."""
    chosen = spend.scenarios(0.5 if quick else 1.0)
    if names:
        chosen = [one for one in chosen if one.name in names]
    rows = []
    for mode in modes:
        rows += await spend.run_mode(mode, chosen, {})
    print_rows(rows)
    write_rows("spend", rows)
    return [
        f"{row['scenario']}: {column} {row[column]}"
        for row in rows
        for column in ("overspend", "doubled")
        if row["mode"] == "grants" and row[column]
    ]


async def run_overload(quick):
    """Run the experiments on order and choice."""
    rows, overheads = [], []
    for mode in overload.MODES:
        scales = overload.SCALES[-1:] if quick else overload.SCALES
        seconds = 8.0 if quick else 15.0
        found, overhead = await overload.run_mode(mode, scales, seconds)
        rows += found
        overheads.append(overhead)
    print_rows(rows)
    print_rows(overheads)
    write_rows("overload", rows + overheads)


def main():
    """Read the options and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--mode", action="append", choices=spend.MODES)
    parser.add_argument("--scenario", action="append")
    parser.add_argument(
        "--part", choices=("all", "spend", "overload"), default="all"
    )
    options = parser.parse_args()
    modes = options.mode or list(spend.MODES)
    if options.quick and not options.mode:
        modes = ["grants"]
    begun = time.monotonic()
    wrong = []
    if options.part != "overload":
        wrong = asyncio.run(run_spend(options.quick, modes, options.scenario))
    if options.part in ("all", "overload"):
        asyncio.run(run_overload(options.quick))
    print(f"{time.monotonic() - begun:.0f} s in all")
    for line in wrong:
        print("WRONG", line)
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
