"""Replay load patterns: ``python -m bench.engines --help``."""

import argparse
import math
import statistics

from bench.engines.fleet import Fleet
from bench.engines.fleet import Outcome
from bench.engines.load import PATTERNS


def _columns(outcomes, kinds):
    """Return the means of what is compared, and the error of the first."""
    credits = [one.credit for one in outcomes]
    error = math.nan
    if len(credits) > 1:
        error = statistics.stdev(credits) / math.sqrt(len(credits))
    means = [
        statistics.fmean(function(one, kind) for one in outcomes)
        for kind in kinds
        for function in (Outcome.late, Outcome.refused)
    ]
    read = statistics.fmean(one.tokens_read for one in outcomes)
    return [statistics.fmean(credits), error, *means, read / 1e6]


def main():
    """Print a table with a row for each load pattern."""
    parser = argparse.ArgumentParser(
        prog="python -m bench.engines", description=__doc__
    )
    parser.add_argument("--pattern", action="append", choices=PATTERNS)
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=24.0)
    options = parser.parse_args()
    print(
        "| load | credit | error | long late | refused | short late |", end=""
    )
    print(" refused | million tokens read |")
    print("| --- " * 8 + "|")
    for name in options.pattern or PATTERNS:
        outcomes = [
            Fleet(PATTERNS[name], seed).play(options.seconds)
            for seed in range(options.seeds)
        ]
        columns = _columns(outcomes, PATTERNS[name].kinds)
        cells = " | ".join(f"{value:.3f}" for value in columns)
        print(f"| {name} | {cells} |", flush=True)


if __name__ == "__main__":
    main()
